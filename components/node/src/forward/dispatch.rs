//! Dispatches one request: tries endpoints until one answers.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::crashes::Crash;
use chicoryford_fleet::hedge::HedgeDecision;
use chicoryford_fleet::hedge::RouteTimes;
use chicoryford_fleet::pick::PickError;
use chicoryford_fleet::pick::Target;
use chicoryford_fleet::wait_queue::QueuePosition;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::message::StatusCode;
use chicoryford_kernel::run_time;
use chicoryford_kernel::run_time::RunTimer;
use chicoryford_platform::request;
use chicoryford_types::Millis;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::AttemptResult;
use super::Budget;
use super::CONNECT_TIMEOUT;
use super::CRASHING_CONTENT;
use super::FULL_RETRY_AFTER_MS;
use super::Forwarder;
use super::NOT_READY_RETRY_AFTER_MS;
use super::Outcome;
use super::REFUSED_RETRY_AFTER_MS;
use super::Requester;
use super::attempt::Attempt;
use super::attempt::AttemptReason;
use super::attempt::AttemptRecord;
use super::gate::Attempts;
use crate::clock;
use crate::crashes;
use crate::metrics;

/// Multiple of the usual response time after which a second attempt starts concurrently. An
/// endpoint that becomes slow takes about four times as long; about one attempt in a hundred takes
/// three times as long by chance.
const HEDGE_FACTOR: f64 = 3.0;
/// Minimum time before a second attempt in milliseconds, also used while the usual response time is
/// unknown.
const MIN_HEDGE_MS: u64 = 60;
/// Minimum milliseconds before a connection fallback. In this time, the thread reads its sockets,
/// and may find that the connection was established while it did not run.
const MIN_WAIT_MS: u64 = 1;
/// Milliseconds for which a request waits while all endpoints are full before it is refused. The
/// caller can wait just as well, and another entry may find a free endpoint.
const MAX_FULL_WAIT_MS: u64 = 90;

/// Interval between checks whether the endpoints of the attempts in flight have become unreachable.
const CUT_OFF_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The state of one request in one pass.
pub(super) struct Dispatch<'a> {
    pub(super) forwarder: &'a Forwarder,
    pub(super) service: &'a str,
    pub(super) route: &'a str,
    pub(super) request: &'a Request,
    pub(super) budget: &'a Budget,
    pub(super) at_most_once: bool,
    /// Maximum number of endpoints that may run the request, over all passes.
    pub(super) max_endpoints: u32,
    /// Remaining attempts in this pass.
    pub(super) attempts_left: u32,
    pub(super) tried: Vec<String>,
    /// Endpoints that may have run the request in this pass for the first time.
    pub(super) new_endpoints: BTreeSet<String>,
    /// Its place in the queue for endpoints with free capacity, once it has reached the head.
    pub(super) queue_place: Option<QueuePosition>,
    /// Milliseconds for which it has waited because all endpoints were full.
    pub(super) waited_ms: u64,
    /// Milliseconds for which its first attempts have waited because the windows of its endpoints
    /// were full.
    pub(super) paced_ms: Cell<u64>,
    /// Whether the endpoint of a second attempt is being chosen, which other calls may be ahead of.
    pub(super) picks_second: Cell<bool>,
    /// Number of attempts that may have run.
    pub(super) possible_runs: u32,
    pub(super) last_failure: Option<Reply>,
    pub(super) began: Millis,
    pub(super) attempts: Rc<Attempts>,
    /// What was decided when a second attempt was due.
    pub(super) hedge: Option<HedgeDecision>,
    /// The attempt that was answered with success.
    pub(super) winner: Option<usize>,
    /// Whether its outcome was logged, or did not have to be.
    pub(super) is_logged: bool,
    /// Whether an endpoint has answered.
    pub(super) is_answered: bool,
    pub(super) requester: Requester<'a>,
}

impl Drop for Dispatch<'_> {
    /// Logs the attempts of a request that was dropped, and records for its workspace whether and when
    /// the request began to run. It counts once, however many endpoints ran it.
    fn drop(&mut self) {
        if !self.is_logged && !self.tried.is_empty() {
            self.log(None);
        }
        self.uncount_unsent();
        self.record_unanswered();
        self.record_seconds();
        let Some(usage) = &mut self.requester.usage else { return };
        let tries = self.attempts.records.borrow();
        if let Some(began) = tries.iter().filter_map(AttemptRecord::began).min() {
            usage.record_start(began);
        }
    }
}

impl<'a> Dispatch<'a> {
    /// Tries endpoints until the outcome is known.
    pub(super) async fn run(&mut self) -> Outcome {
        let mut running = FuturesUnordered::new();
        let mut hedged = self.at_most_once;
        let fallback = self.forwarder.policy.connect_fallback;
        let may_give_up = !self.at_most_once && self.forwarder.policy.shared_reachability;
        if self.forwarder.queues.must_wait(self.service) && !self.wait_for_turn().await {
            return self.give_up(PickError::AllTried);
        }
        loop {
            let is_idle = running.is_empty();
            // After a failure, an attempt that was held is sent next.
            let sends_next = is_idle || (fallback && self.attempts.gate.borrow().in_flight() == 0);
            if sends_next && self.forwarder.crashes.refuses(self.request, self.requester.workspace)
            {
                return self.refuse_content();
            }
            if is_idle {
                let is_first = self.attempts.records.borrow().is_empty();
                let reason = if is_first { AttemptReason::First } else { AttemptReason::Again };
                match self.pick_endpoint() {
                    Ok(target) => running.push(self.start_attempt(target, reason)),
                    Err(PickError::AllTried) if self.is_paced() => {
                        self.wait_for_window().await;
                        continue;
                    }
                    Err(PickError::AllTried)
                        if self.attempts_left > 0 && !self.is_budget_limited() =>
                    {
                        self.tried.clear();
                        self.forwarder.queues.record_full(self.service);
                        if !self.wait_for_turn().await {
                            return self.give_up(PickError::AllTried);
                        }
                        continue;
                    }
                    Err(nowhere) => return self.give_up(nowhere),
                }
            }
            let hedge = Duration::from_millis(self.hedge_ms());
            // With the fallback, a second attempt is due only after an attempt was sent.
            let is_sent = !fallback || self.attempts.gate.borrow().in_flight() > 0;
            let fallback_ms = self.attempts.gate.borrow().fallback_wait(clock::now());
            let fallback_wait =
                Duration::from_millis(fallback_ms.unwrap_or_default().max(MIN_WAIT_MS));
            let attempts = self.attempts.clone();
            // A connection that is established when the time is up counts as in time.
            let tried = tokio::select! {
                biased;
                tried = running.next() => tried,
                () = attempts.sent.notified(), if fallback && !hedged => continue,
                () = run_time::sleep(fallback_wait), if fallback_ms.is_some() => {
                    if let Some(target) = self.fall_back(&mut running) {
                        running.push(self.start_attempt(target, AttemptReason::Connect));
                    }
                    continue;
                }
                () = self.hedge_due(hedge), if !hedged && is_sent => {
                    hedged = true;
                    if let Some(target) = self.hedge() {
                        running.push(self.start_attempt(target, AttemptReason::Beside));
                    }
                    continue;
                }
                () = run_time::sleep(CUT_OFF_CHECK_INTERVAL), if hedged && may_give_up => {
                    if self.is_cut_off() {
                        running.clear();
                    }
                    continue;
                }
            };
            if let Some(outcome) = tried.and_then(|tried| self.handle_result(tried)) {
                return outcome;
            }
            let gate = self.attempts.gate.borrow();
            let needs_no_permit = gate.in_flight() == 0 || gate.live() <= 1;
            drop(gate);
            if needs_no_permit {
                self.refund();
            }
        }
    }

    /// Decides whether a second attempt that is due is made. Returns its endpoint if it needs a new
    /// connection.
    fn hedge(&mut self) -> Option<Target> {
        let decision = if self.forwarder.policy.second_attempts {
            self.forwarder.hedging.borrow_mut().decide(self.service, self.route_times())
        } else {
            HedgeDecision::Off
        };
        self.hedge = Some(decision);
        let withheld = match decision {
            HedgeDecision::Send => None,
            HedgeDecision::Limit => Some("withheld_limit"),
            HedgeDecision::Slow => Some("withheld_slow"),
            HedgeDecision::Off => return None,
        };
        if let Some(withheld) = withheld {
            metrics::SECOND_ATTEMPTS.with_label_values(&[self.service, withheld]).inc();
            return None;
        }
        self.attempts.permit();
        if self.attempts.gate.borrow().held() > 0 {
            return None;
        }
        self.picks_second.set(true);
        let target = self.pick_endpoint().ok();
        self.picks_second.set(false);
        if target.is_none() && self.attempts.gate.borrow().live() <= 1 {
            self.hedge = None;
            self.refund();
        }
        target
    }

    fn route_times(&self) -> RouteTimes {
        let picker = self.forwarder.picker.borrow();
        let (median_ms, baseline_ms) =
            (picker.median_ms(self.route), picker.baseline_ms(self.route));
        RouteTimes { median_ms, baseline_ms }
    }

    /// Returns whether a second attempt that is due now would be sent.
    pub(super) fn would_hedge(&self) -> bool {
        self.forwarder.policy.second_attempts
            && self.forwarder.hedging.borrow().preview(self.service, self.route_times())
                == HedgeDecision::Send
    }

    /// Returns the credit of a second attempt that was permitted and not sent.
    fn refund(&self) {
        if self.attempts.gate.borrow_mut().withdraw() {
            self.forwarder.hedging.borrow_mut().refund(self.service);
        }
    }

    /// Chooses an endpoint in place of one that could not be connected to in time. Attempts that
    /// are still connecting go on beside it only if the request may be repeated and its route
    /// allows one more; otherwise they are abandoned, which closes their connections before the
    /// next one is opened.
    fn fall_back<F>(&mut self, running: &mut FuturesUnordered<F>) -> Option<Target> {
        // The attempt may have been connected, or have ended, at the same moment.
        if self.attempts.gate.borrow().fallback_wait(clock::now()) != Some(0) {
            return None;
        }
        let target = self.pick_fallback(running);
        let mut gate = self.attempts.gate.borrow_mut();
        if target.is_some() {
            gate.count_fallback();
        } else {
            gate.defer_fallback(clock::now());
        }
        target
    }

    fn pick_fallback<F>(&mut self, running: &mut FuturesUnordered<F>) -> Option<Target> {
        if !self.at_most_once
            && let Ok(target) = self.pick_endpoint()
        {
            return Some(target);
        }
        if self.attempts.gate.borrow().in_flight() > 0 {
            return None;
        }
        let ids: Vec<String> = {
            let (records, gate) = (self.attempts.records.borrow(), self.attempts.gate.borrow());
            gate.live_attempts().map(|index| records[index].target.id.clone()).collect()
        };
        let released: Vec<bool> = ids.iter().map(|id| self.uncount(id)).collect();
        let target = self.pick_endpoint().ok();
        if target.is_some() {
            running.clear();
            return target;
        }
        for (id, was_new) in ids.iter().zip(released) {
            self.attempts_left -= 1;
            self.possible_runs += 1;
            if was_new {
                self.budget.spent.borrow_mut().endpoints.insert(id.clone());
                self.new_endpoints.insert(id.clone());
            }
        }
        None
    }

    /// Removes an attempt that was not sent from the counts. Returns whether it was the first one
    /// at its endpoint.
    fn uncount(&mut self, id: &str) -> bool {
        self.attempts_left += 1;
        self.possible_runs -= 1;
        let was_new = self.new_endpoints.remove(id);
        if was_new {
            self.budget.spent.borrow_mut().endpoints.remove(id);
        }
        was_new
    }

    /// Removes the endpoints from the budget that were chosen first in this pass and were sent
    /// nothing, so that a later pass may use others in their place.
    fn uncount_unsent(&self) {
        let records = self.attempts.records.borrow();
        let was_sent = |id: &String| {
            records.iter().any(|record| record.target.id == *id && record.sent.is_some())
        };
        let mut spent = self.budget.spent.borrow_mut();
        for id in self.new_endpoints.iter().filter(|id| !was_sent(id)) {
            spent.endpoints.remove(id);
        }
    }

    /// Counts the second attempts that won and those that were wasted, and returns the credit of
    /// one that was not sent.
    fn record_seconds(&self) {
        self.refund();
        for second in self.attempts.gate.borrow().seconds() {
            let outcome = if self.winner == Some(*second) { "won" } else { "wasted" };
            metrics::SECOND_ATTEMPTS.with_label_values(&[self.service, outcome]).inc();
        }
    }

    /// Waits in the queue while all endpoints are full. Returns whether the turn came in time.
    async fn wait_for_turn(&mut self) -> bool {
        let began = clock::now();
        let until = began + MAX_FULL_WAIT_MS.saturating_sub(self.waited_ms);
        let queued_as = (self.requester.workspace, self.requester.rank);
        let place = self.queue_place.take();
        self.queue_place =
            self.forwarder.queues.wait_for_turn(self.service, queued_as, place, until).await;
        self.waited_ms += clock::now().since(began);
        self.queue_place.is_some()
    }

    /// Returns whether the budget excludes an untried ready endpoint, or any attempt now. Then a
    /// lack of capacity is not the reason that no endpoint can be picked.
    fn is_budget_limited(&self) -> bool {
        if !self.budget.permits_send() {
            return true;
        }
        let picker = self.forwarder.picker.borrow();
        picker.has_ready(self.service, |id| !self.tried.iter().any(|tried| tried == id))
    }

    fn pick_endpoint(&mut self) -> Result<Target, PickError> {
        if self.attempts_left == 0 || !self.budget.permits_send() {
            return Err(PickError::AllTried);
        }
        let paced = self.paced_endpoints();
        let mut picker = self.forwarder.picker.borrow_mut();
        let fits = |id: &str| self.may_try(id) && self.has_window(id);
        if self.can_probe()
            && let Some(target) = picker.pick_probe(self.service, self.route, fits, clock::now())
        {
            return Ok(target);
        }
        let is_wanted = |id: &str| paced.as_ref().is_none_or(|paced| paced.contains(id));
        picker.pick(self.service, self.route, |id| is_wanted(id) && fits(id), clock::now())
    }

    /// Returns whether the request can be used as a probe. If the probe fails, it needs another
    /// attempt and time for it, and a request that may run once would wait for the whole connection
    /// timeout if its connection were not given up earlier.
    fn can_probe(&self) -> bool {
        let min_left_ms = 2 * CONNECT_TIMEOUT.as_millis() as u64;
        self.tried.is_empty()
            && self.attempts_left > 1
            && self.budget.left_ms() > min_left_ms
            && (!self.at_most_once || self.forwarder.policy.connect_fallback)
    }

    /// Returns whether the budget allows an endpoint that was not tried yet.
    pub(super) fn may_try(&self, id: &str) -> bool {
        let tried = self.tried.iter().any(|tried| tried == id);
        !tried && self.budget.allows(id, self.max_endpoints as usize)
    }

    fn start_attempt(
        &mut self,
        target: Target,
        reason: AttemptReason,
    ) -> impl Future<Output = (usize, AttemptResult)> + use<'a> {
        metrics::ATTEMPTS.with_label_values(&[reason.as_str()]).inc();
        self.attempts_left -= 1;
        self.possible_runs += 1;
        let id = target.id.clone();
        self.tried.push(id.clone());
        if self.budget.spent.borrow_mut().endpoints.insert(id.clone()) {
            self.new_endpoints.insert(id);
            self.budget.changed.notify_one();
        }
        let began = clock::now();
        let index = self.attempts.gate.borrow_mut().start(began);
        self.attempts.records.borrow_mut().push(AttemptRecord {
            target: target.clone(),
            reason,
            at_ms: began.since(self.began),
            sent: None,
            end: None,
        });
        let (forwarder, request, budget) = (self.forwarder, self.request, self.budget);
        let paced = self.start_paced(&target.id, index);
        // The attempt exists from here on, so that its end is recorded even if the future is
        // dropped before it is polled.
        let attempt = Attempt {
            forwarder,
            target,
            service: self.service,
            route: self.route,
            at_most_once: self.at_most_once,
            began,
            timer: RunTimer::start(),
            ended: false,
            record: (self.attempts.clone(), index),
        };
        async move {
            let _paced = paced;
            (index, forwarder.attempt(attempt, request, budget).await)
        }
    }

    /// Handles the result of an attempt. Returns the outcome if it decides the request.
    fn handle_result(&mut self, (index, tried): (usize, AttemptResult)) -> Option<Outcome> {
        let id = self.attempts.records.borrow()[index].target.id.clone();
        match tried {
            AttemptResult::Answered(reply) => {
                self.is_answered = true;
                // Only this status means that the endpoint failed to process the request; samples
                // are given up because of it.
                let failed = reply.status == StatusCode::INTERNAL_SERVER_ERROR;
                self.forwarder.crashes.record_completion(self.request, self.requester.workspace);
                self.budget.spent.borrow_mut().failures += u32::from(failed);
                // A failure of a shared call is recorded before the call is repeated.
                let is_final = self.at_most_once || (failed && self.budget.is_shared());
                if !reply.status.is_server_error() {
                    self.winner = Some(index);
                }
                if is_final || !reply.status.is_server_error() {
                    return Some(Outcome::Answered(reply));
                }
                self.last_failure = Some(reply);
                None
            }
            AttemptResult::NotRun | AttemptResult::Unsent => {
                self.uncount(&id);
                None
            }
            AttemptResult::Lost => self.at_most_once.then_some(Outcome::Lost),
            AttemptResult::Broken(address) => {
                let content = crashes::content_fingerprint(self.request, self.requester.workspace);
                self.forwarder.crashes.probe(Crash { content, endpoint: id }, address);
                self.at_most_once.then_some(Outcome::Lost)
            }
        }
    }

    /// Gives up because the content has been found to crash endpoints in the meantime.
    fn refuse_content(&mut self) -> Outcome {
        match self.give_up(PickError::AllTried) {
            Outcome::NotRun(..) => Outcome::NotRun(CRASHING_CONTENT, REFUSED_RETRY_AFTER_MS),
            outcome => outcome,
        }
    }

    fn give_up(&mut self, nowhere: PickError) -> Outcome {
        match (self.last_failure.take(), nowhere) {
            (Some(reply), _) => Outcome::Answered(reply),
            (None, _) if self.possible_runs > 0 => Outcome::Lost,
            (None, PickError::NoneReady) => {
                Outcome::NotRun("no endpoint is ready", NOT_READY_RETRY_AFTER_MS)
            }
            (None, PickError::AllTried) => {
                Outcome::NotRun("all endpoints are full", FULL_RETRY_AFTER_MS)
            }
        }
    }

    /// Logs the attempts of a request that was late or failed. This line alone shows whether an
    /// endpoint was slow, failed, or was the only one left. Other requests are only counted, which
    /// bounds the volume of the log.
    pub(super) fn log_attempts(&mut self, outcome: &Outcome, target_ms: u64) {
        self.is_logged = true;
        let ms = clock::now().since(self.began);
        let good = matches!(outcome, Outcome::Answered(reply) if reply.status.is_success());
        if !good || ms > target_ms {
            self.log(Some(target_ms));
        }
    }

    /// Records the attempts that were in progress when the request ended without any answer.
    fn record_unanswered(&self) {
        let tries = self.attempts.records.borrow();
        let dropped = tries.iter().filter(|attempt| !self.is_answered && attempt.was_dropped());
        for attempt in dropped {
            let content = crashes::content_fingerprint(self.request, self.requester.workspace);
            let endpoint = attempt.target.id.clone();
            self.forwarder.crashes.record_unanswered(Crash { content, endpoint });
        }
    }

    /// Logs the attempts. `target_ms` is `None` if the request was dropped.
    fn log(&self, target_ms: Option<u64>) {
        let ms = clock::now().since(self.began);
        let dropped = target_ms.is_none();
        let request = request::attempt_id(self.request).unwrap_or_default();
        let tries: Vec<String> =
            self.attempts.records.borrow().iter().map(AttemptRecord::to_string).collect();
        let tries = tries.join("; ");
        let (service, waited_ms) = (self.service, self.waited_ms);
        let paced_ms = self.budget.is_shared().then(|| self.paced_ms.get());
        let hedge = self.hedge.map(HedgeDecision::as_str);
        tracing::info!(
            event = "request_tried",
            request,
            service,
            tries,
            hedge,
            waited_ms,
            paced_ms,
            ms,
            target_ms,
            dropped
        );
    }

    fn hedge_ms(&self) -> u64 {
        let usual = self.forwarder.picker.borrow().median_ms(self.route);
        usual.map_or(MIN_HEDGE_MS, |ms| ((ms * HEDGE_FACTOR) as u64).max(MIN_HEDGE_MS))
    }
}
