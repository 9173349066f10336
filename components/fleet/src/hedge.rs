//! Second attempts within a limit, and the fallback of attempts that cannot connect.
//!
//! Second attempts are limited per service to a share of the first ones. Each process earns its own
//! credit and begins with none, so the limit holds across all processes without any messages
//! between them.
//!
//! An attempt whose connection is not established after a few round trips is followed by an attempt
//! at another endpoint. Only one of them is sent, so the fallback is no extra work for the service.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use chicoryford_types::Millis;
use serde::Deserialize;
use thiserror::Error;

use crate::baseline::MIN_BASELINE_MS;
use crate::pick::AttemptOutcome;

/// Millionths of a second attempt, the unit of credit. Sums of integers are exact, so rounding
/// cannot exceed the limit.
const MILLIONTHS: u64 = 1_000_000;
/// Maximum credit of a service in second attempts. Without a bound, hours without slow answers
/// would permit thousands of second attempts within seconds.
const MAX_CREDIT: u64 = 5;
/// Number of recent attempts at a service that show whether it is full.
const RECENT_ATTEMPTS: usize = 20;
/// Number of refusals among them up to which the service is not full: a quarter.
const MAX_REFUSALS: usize = RECENT_ATTEMPTS / 4;
/// Multiple of the baseline of a route above which the median of its recent answers shows that the
/// service as a whole is slow.
const SLOW_FACTOR: f64 = 2.0;
/// Milliseconds after which an attempt without a connection is followed by another one. A round
/// trip takes a few milliseconds, and a lost SYN packet is sent again only after a second.
pub const CONNECT_FALLBACK_MS: u64 = 30;
/// Milliseconds after which a fallback is first tried again if no endpoint could be chosen. An
/// endpoint may become free or ready meanwhile. The delay doubles with each further try.
const FALLBACK_RETRY_MS: u64 = 10;
/// Maximum of this delay. Within the timeout of a connection (250 ms), it leaves several tries to an
/// endpoint that becomes available late.
const MAX_FALLBACK_RETRY_MS: u64 = 80;
/// Maximum number of connection fallbacks of a request in one pass. The attempt after the last one
/// has the full time to connect, so that endpoints whose round trips take longer than
/// [`CONNECT_FALLBACK_MS`] are reached.
const MAX_FALLBACKS: u32 = 3;

/// A share between 0 and 1, in millionths.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(try_from = "f64")]
pub struct AttemptShare(u64);

/// A number is not a share.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("a share must be between 0 and 1, not {0}")]
pub struct ShareError(f64);

impl TryFrom<f64> for AttemptShare {
    type Error = ShareError;

    fn try_from(share: f64) -> Result<Self, ShareError> {
        let is_share = (0.0..=1.0).contains(&share);
        let millionths = (share * MILLIONTHS as f64).round() as u64;
        is_share.then_some(Self(millionths)).ok_or(ShareError(share))
    }
}

/// The limits of second attempts as a share of first attempts. Services without a share have no
/// limit.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct SecondAttempts {
    /// The share of services that are not listed.
    pub share: Option<AttemptShare>,
    /// Shares by service.
    pub services: BTreeMap<String, AttemptShare>,
}

impl SecondAttempts {
    fn share(&self, service: &str) -> Option<AttemptShare> {
        self.services.get(service).copied().or(self.share)
    }
}

/// What was decided when a second attempt was due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeDecision {
    /// It may be sent.
    Send,
    /// The credit of the service is used up.
    Limit,
    /// The service as a whole is slow or full. More work would make it slower.
    Slow,
    /// Second attempts are switched off.
    Off,
}

impl HedgeDecision {
    /// Returns the name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Send => "sent",
            Self::Limit => "limit",
            Self::Slow => "slow",
            Self::Off => "off",
        }
    }
}

/// The durations of a route's answers in milliseconds, as far as they are known.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteTimes {
    /// The median of the recent answers.
    pub median_ms: Option<f64>,
    /// The lowest median of the minute that ends with the latest answer.
    pub baseline_ms: Option<f64>,
}

impl RouteTimes {
    fn is_slow(self) -> bool {
        let times = self.median_ms.zip(self.baseline_ms);
        times.is_some_and(|(median, baseline)| median > SLOW_FACTOR * baseline.max(MIN_BASELINE_MS))
    }
}

/// Decides which second attempts one process sends.
#[derive(Clone, Debug, Default)]
pub struct Hedging {
    limits: SecondAttempts,
    services: BTreeMap<String, ServiceState>,
}

/// What is known about a service with a limit.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    /// Credit in millionths of a second attempt.
    credit: u64,
    /// Whether each of the recent attempts was refused because the endpoint was full.
    refusals: VecDeque<bool>,
}

impl ServiceState {
    fn add_credit(&mut self, millionths: u64) {
        self.credit = (self.credit + millionths).min(MAX_CREDIT * MILLIONTHS);
    }

    fn is_full(&self) -> bool {
        self.refusals.iter().filter(|refused| **refused).count() > MAX_REFUSALS
    }
}

impl Hedging {
    /// Creates the state of a process that has no credit yet.
    pub fn new(limits: SecondAttempts) -> Self {
        Self { limits, services: BTreeMap::new() }
    }

    /// Records that the first attempt of a repeatable request was sent in a pass, which earns
    /// credit. The limit holds for attempts, so it is recorded once per pass.
    pub fn record_first(&mut self, service: &str) {
        if let Some(AttemptShare(millionths)) = self.limits.share(service) {
            self.service(service).add_credit(millionths);
        }
    }

    /// Records that an attempt that was sent has ended, and whether the endpoint refused it because
    /// it was full.
    pub fn record_end(&mut self, service: &str, refused: bool) {
        if self.limits.share(service).is_none() {
            return;
        }
        let refusals = &mut self.service(service).refusals;
        refusals.push_back(refused);
        if refusals.len() > RECENT_ATTEMPTS {
            refusals.pop_front();
        }
    }

    /// Returns what [`Hedging::decide`] would decide now, without taking credit. A second attempt
    /// that has to wait first takes its credit when it is sent.
    pub fn preview(&self, service: &str, times: RouteTimes) -> HedgeDecision {
        let Some(AttemptShare(share)) = self.limits.share(service) else {
            return HedgeDecision::Send;
        };
        if share == 0 {
            return HedgeDecision::Off;
        }
        let state = self.services.get(service);
        if times.is_slow() || state.is_some_and(ServiceState::is_full) {
            return HedgeDecision::Slow;
        }
        let has_credit = state.is_some_and(|state| state.credit >= MILLIONTHS);
        if has_credit { HedgeDecision::Send } else { HedgeDecision::Limit }
    }

    /// Decides whether a second attempt that is due may be sent. If so, its credit is taken, and
    /// has to be returned by [`Hedging::refund`] if the attempt is not sent.
    pub fn decide(&mut self, service: &str, times: RouteTimes) -> HedgeDecision {
        let decision = self.preview(service, times);
        if decision == HedgeDecision::Send
            && let Some(state) = self.services.get_mut(service)
        {
            state.credit = state.credit.saturating_sub(MILLIONTHS);
        }
        decision
    }

    /// Returns the credit of a second attempt that was not sent.
    pub fn refund(&mut self, service: &str) {
        if self.limits.share(service).is_some() {
            self.service(service).add_credit(MILLIONTHS);
        }
    }

    /// Removes the state of all services for which `known` returns false.
    pub fn retain_services(&mut self, known: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| known(service));
    }

    fn service(&mut self, service: &str) -> &mut ServiceState {
        self.services.entry(service.to_owned()).or_default()
    }
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// It has no connection yet, since this time.
    Connecting(Millis),
    /// It has a connection, but another attempt was sent before.
    Held,
    /// It has the right to send, and nothing was written yet.
    Writing(SendOrder),
    /// The first bytes of the request were written.
    Sent,
    /// It has ended.
    Ended,
}

/// How an attempt relates to the others of its request when it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOrder {
    /// It is the first one that is sent.
    First,
    /// Another one is in flight, so it is extra work.
    Second,
    /// The ones before it have ended without a result.
    Again,
}

/// Decides which attempts of one request are sent. One is in flight at a time, and one more for
/// each permit for a second attempt.
#[derive(Clone, Debug, Default)]
pub struct SendGate {
    /// Whether an attempt that cannot connect is followed by another one.
    fallback: bool,
    phases: Vec<Phase>,
    /// The attempts that were sent while another one was in flight.
    seconds: Vec<usize>,
    permits: u32,
    /// Whether an attempt was sent.
    was_sent: bool,
    fallbacks: u32,
    /// When a fallback may be tried again for which no endpoint could be chosen.
    next_fallback: Millis,
    /// Number of times in a row that no endpoint could be chosen.
    deferrals: u32,
}

impl SendGate {
    /// Creates the gate of a request without attempts.
    pub fn new(fallback: bool) -> Self {
        Self { fallback, ..Self::default() }
    }

    /// Adds an attempt that begins to connect. Returns its number.
    pub fn start(&mut self, now: Millis) -> usize {
        self.phases.push(Phase::Connecting(now));
        // The delay of a fallback belongs to the attempt that it replaces.
        (self.next_fallback, self.deferrals) = (Millis::default(), 0);
        self.phases.len() - 1
    }

    /// Records that an attempt has a connection. Returns whether it may be sent now; otherwise it
    /// is held until [`SendGate::may_send`] returns true.
    pub fn connect(&mut self, attempt: usize) -> bool {
        let may_send = self.may_send();
        if !may_send {
            self.phases[attempt] = Phase::Held;
        }
        may_send
    }

    /// Returns whether an attempt that has a connection may be sent now.
    pub fn may_send(&self) -> bool {
        self.in_flight() == 0 || self.permits > 0
    }

    /// Gives an attempt the right to send, which counts as in flight from now on. A second attempt
    /// uses up a permit.
    pub fn reserve(&mut self, attempt: usize) -> SendOrder {
        if let Phase::Writing(order) = self.phases[attempt] {
            return order;
        }
        let order = match (self.in_flight(), self.was_sent) {
            (0, false) => SendOrder::First,
            (0, true) => SendOrder::Again,
            _ => {
                self.permits = self.permits.saturating_sub(1);
                SendOrder::Second
            }
        };
        self.phases[attempt] = Phase::Writing(order);
        order
    }

    /// Records that the first bytes of an attempt were written. It need not be reserved before.
    pub fn send(&mut self, attempt: usize) -> SendOrder {
        let order = self.reserve(attempt);
        if order == SendOrder::Second {
            self.seconds.push(attempt);
        }
        self.was_sent = true;
        self.phases[attempt] = Phase::Sent;
        order
    }

    /// Records that an attempt has ended. A second attempt of which nothing was written leaves its
    /// permit, and after a first one the next attempt is the first.
    pub fn end(&mut self, attempt: usize) {
        if self.phases[attempt] == Phase::Writing(SendOrder::Second) {
            self.permits += 1;
        }
        self.phases[attempt] = Phase::Ended;
    }

    /// Permits one attempt to be sent while another one is in flight.
    pub fn permit(&mut self) {
        self.permits += 1;
    }

    /// Withdraws a permit that no attempt has used. Returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let had_permit = self.permits > 0;
        self.permits = self.permits.saturating_sub(1);
        had_permit
    }

    /// Returns the number of attempts that have the right to send or were sent, and have not ended.
    pub fn in_flight(&self) -> usize {
        self.count(|phase| matches!(phase, Phase::Writing(_) | Phase::Sent))
    }

    /// Returns whether an attempt was written and has not ended.
    pub fn awaits_reply(&self) -> bool {
        self.phases.contains(&Phase::Sent)
    }

    /// Returns the number of attempts that have a connection but must not be sent.
    pub fn held(&self) -> usize {
        self.count(|phase| phase == Phase::Held)
    }

    /// Returns the number of attempts that have not ended.
    pub fn live(&self) -> usize {
        self.count(|phase| phase != Phase::Ended)
    }

    /// Returns the attempts that have not ended.
    pub fn live_attempts(&self) -> impl Iterator<Item = usize> {
        let phases = self.phases.iter().enumerate();
        phases.filter(|(_, phase)| **phase != Phase::Ended).map(|(attempt, _)| attempt)
    }

    /// Returns the attempts that were sent while another one was in flight.
    pub fn seconds(&self) -> &[usize] {
        &self.seconds
    }

    /// Returns the milliseconds after which the latest attempt is followed by another one unless it
    /// is connected by then, or `None` if no attempt waits for a connection that it could use.
    pub fn fallback_wait(&self, now: Millis) -> Option<u64> {
        if !self.fallback || self.fallbacks >= MAX_FALLBACKS || !self.may_send() {
            return None;
        }
        if self.held() > 0 {
            return None;
        }
        let started = self.phases.iter().filter_map(|phase| match phase {
            Phase::Connecting(started) => Some(*started),
            _ => None,
        });
        let due = started.max()? + CONNECT_FALLBACK_MS;
        Some(due.max(self.next_fallback).since(now))
    }

    /// Records that a connection fallback is made.
    pub fn count_fallback(&mut self) {
        self.fallbacks += 1;
        self.deferrals = 0;
    }

    /// Records that no endpoint could be chosen for a connection fallback. It is tried again after
    /// a delay that doubles from [`FALLBACK_RETRY_MS`] to [`MAX_FALLBACK_RETRY_MS`].
    pub fn defer_fallback(&mut self, now: Millis) {
        let factor = 1_u64.checked_shl(self.deferrals).unwrap_or(u64::MAX);
        let delay = FALLBACK_RETRY_MS.saturating_mul(factor).min(MAX_FALLBACK_RETRY_MS);
        self.next_fallback = now + delay;
        self.deferrals += 1;
    }

    /// Returns the outcome of an attempt that is dropped after the thread has run for `ran_ms`
    /// since it began. `had_time` means that it has run for [`CONNECT_FALLBACK_MS`], and has read
    /// what arrived during a stall: otherwise the connection may have been established unnoticed.
    /// An attempt that was held says nothing about its endpoint. One that did not connect in time
    /// counts as failed, so that other requests avoid the endpoint.
    pub fn drop_outcome(&self, attempt: usize, ran_ms: u64, had_time: bool) -> AttemptOutcome {
        match self.phases[attempt] {
            Phase::Held => AttemptOutcome::Dropped(0),
            Phase::Connecting(_) if self.fallback && had_time => AttemptOutcome::Failed,
            _ => AttemptOutcome::Dropped(ran_ms),
        }
    }

    fn count(&self, condition: impl Fn(Phase) -> bool) -> usize {
        self.phases.iter().filter(|phase| condition(**phase)).count()
    }
}
