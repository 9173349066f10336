//! Concurrency windows for the scorers' calls of one host, so that callers find free slots.
//!
//! Scorers' calls have seconds, callers a fraction of a second. Without windows, the hosts fill the
//! slots and the queues of all endpoints whenever a step ends, and callers wait behind them. Each
//! host therefore limits its calls in flight per endpoint, and keeps the others in a queue of its
//! own. A window has at most the host's share of the slots, so that the hosts need no messages
//! among themselves to leave the endpoints' queues empty.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::baseline::MIN_BASELINE_MS;
use crate::endpoint::Endpoint;
use crate::pick::AttemptOutcome;

/// Multiple of the baseline of its route from which on an answer shows that its endpoint is
/// overloaded or slow.
const MAX_SLOWNESS: f64 = 2.0;
/// Ratio of the upper bound of a window to its lower bound. A single halving of a full window leads
/// to the lower bound, so that callers get half of the slots at once.
const BOUND_RATIO: u32 = 2;
/// Divisor of a window after a sign of overload.
const CUT_DIVISOR: u32 = 2;

/// Position of a call in the queue: by rank, then first attempts before second ones, then by
/// arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallPlace {
    rank: u32,
    is_second: bool,
    arrival: u64,
}

impl CallPlace {
    /// Returns the place of a second attempt of the same call: behind the first attempts of its
    /// rank, whose calls have nothing in progress yet.
    pub fn for_second(self) -> Self {
        Self { is_second: true, ..self }
    }
}

/// The window of an endpoint.
#[derive(Clone, Debug)]
struct Window {
    /// Start time of the endpoint, which differs between incarnations with the same id.
    started_ms: u64,
    slots: u32,
    /// Calls of this host in flight.
    running: u32,
    /// Calls above the lower bound. The size is relative to it because the bounds change with the
    /// number of hosts.
    growth: u32,
    /// Answers in time since the size last changed.
    answered: u32,
    /// Whether the endpoint has been removed and only its calls in flight remain.
    forgotten: bool,
}

impl Window {
    fn new(endpoint: &Endpoint) -> Self {
        let announcement = &endpoint.announcement;
        Self {
            started_ms: announcement.started_ms,
            slots: announcement.slots,
            running: 0,
            growth: 0,
            answered: 0,
            forgotten: false,
        }
    }

    /// Returns the lower and upper bound for this number of hosts.
    fn bounds(&self, hosts: u32) -> (u32, u32) {
        let hosts = hosts.max(1);
        let lower = self.slots / hosts.saturating_mul(BOUND_RATIO);
        (lower.max(1), (self.slots / hosts).max(1))
    }

    fn size(&self, hosts: u32) -> u32 {
        let (lower, upper) = self.bounds(hosts);
        lower.saturating_add(self.growth).min(upper)
    }

    fn cut(&mut self, hosts: u32) {
        let (lower, _) = self.bounds(hosts);
        self.growth = (self.size(hosts) / CUT_DIVISOR).saturating_sub(lower);
        self.answered = 0;
    }

    fn record_timely_answer(&mut self, hosts: u32) {
        self.answered += 1;
        let (lower, upper) = self.bounds(hosts);
        if self.answered >= self.size(hosts) {
            self.growth = self.growth.saturating_add(1).min(upper - lower);
            self.answered = 0;
        }
    }
}

/// Decides when a host sends its scorers' calls to which endpoints.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    /// Number of hosts that share the endpoints; zero if unknown.
    hosts: u32,
    windows: BTreeMap<String, Window>,
    /// The waiting calls, with the endpoints that each of them may use.
    waiting: BTreeMap<CallPlace, BTreeSet<String>>,
    /// The calls that must be checked again when the state of an endpoint changes, with all
    /// endpoints that each of them is granted.
    watching: BTreeMap<CallPlace, BTreeSet<String>>,
    last_arrival: u64,
}

impl Pacer {
    /// Sets the number of hosts that share the endpoints. Zero keeps the last known number.
    pub fn set_hosts(&mut self, hosts: u32) {
        if hosts > 0 {
            self.hosts = hosts;
        }
    }

    /// Adds an endpoint or updates it. Its window starts at the lower bound, again after each
    /// restart. Late announcements of an earlier start are ignored.
    pub fn observe(&mut self, endpoint: &Endpoint) {
        let announcement = &endpoint.announcement;
        let new = Window::new(endpoint);
        match self.windows.get_mut(&announcement.id) {
            Some(window) if window.started_ms == announcement.started_ms => {
                window.slots = announcement.slots;
                window.forgotten = false;
            }
            // Calls from before the restart still count until they end. An endpoint that was
            // removed may come back with an earlier start time, because its clock was set back.
            Some(window) if window.forgotten || window.started_ms < announcement.started_ms => {
                *window = Window { running: window.running, ..new };
            }
            Some(_) => {}
            None => {
                self.windows.insert(announcement.id.clone(), new);
            }
        }
    }

    /// Removes an endpoint. Its calls in flight are counted until they end, since it may come back.
    pub fn forget(&mut self, id: &str) {
        if let Some(window) = self.windows.get_mut(id) {
            window.forgotten = true;
            window.growth = 0;
        }
        self.remove_unused(id);
    }

    fn remove_unused(&mut self, id: &str) {
        if self.windows.get(id).is_some_and(|window| window.forgotten && window.running == 0) {
            self.windows.remove(id);
        }
    }

    /// Returns the place of a call that arrives now. The call keeps it until it has ended, however
    /// often it waits.
    pub fn assign_place(&mut self, rank: u32) -> CallPlace {
        self.last_arrival += 1;
        CallPlace { rank, is_second: false, arrival: self.last_arrival }
    }

    /// Returns whether the window of an endpoint is not full.
    fn has_room(&self, id: &str) -> bool {
        let window = self.windows.get(id).filter(|window| !window.forgotten);
        window.is_some_and(|window| window.running < window.size(self.hosts))
    }

    /// Returns whether a call may be sent to an endpoint now: its window is not full, which no call
    /// ahead in the queue waits for.
    pub fn admits(&self, place: CallPlace, id: &str) -> bool {
        self.has_room(id) && !self.waiting.range(..place).any(|(_, wanted)| wanted.contains(id))
    }

    /// Adds a call to the queue, or replaces the endpoints that it may use. Returns whether it has
    /// given up an endpoint whose window is not full, which a call behind it may use now.
    pub fn wait(&mut self, place: CallPlace, wanted: BTreeSet<String>) -> bool {
        let before = self.waiting.get(&place);
        let given_up =
            before.is_some_and(|before| before.difference(&wanted).any(|id| self.has_room(id)));
        self.waiting.insert(place, wanted);
        given_up
    }

    /// Removes a call from the queue, because it is about to be sent or is no longer wanted.
    pub fn leave(&mut self, place: CallPlace) {
        self.waiting.remove(&place);
    }

    /// Records the endpoints on whose state a call depends, whether it waits or is in progress.
    pub fn watch(&mut self, place: CallPlace, endpoints: BTreeSet<String>) {
        self.watching.insert(place, endpoints);
    }

    /// Records that a call depends on no endpoints any more.
    pub fn unwatch(&mut self, place: CallPlace) {
        self.watching.remove(&place);
    }

    /// Returns the calls that depend on the state of one of these endpoints, in the order of the
    /// queue.
    pub fn affected_calls(&self, changed: &BTreeSet<String>) -> Vec<CallPlace> {
        let affected = self.watching.iter().filter(|(_, ids)| !ids.is_disjoint(changed));
        affected.map(|(place, _)| *place).collect()
    }

    /// Returns the first call in the queue that may be sent to an endpoint now.
    pub fn next_call(&self) -> Option<CallPlace> {
        let mut admitted =
            self.waiting.iter().filter(|(_, wanted)| wanted.iter().any(|id| self.has_room(id)));
        admitted.next().map(|(place, _)| *place)
    }

    /// Records that a call is sent to an endpoint.
    pub fn record_start(&mut self, id: &str) {
        if let Some(window) = self.windows.get_mut(id) {
            window.running += 1;
        }
    }

    /// Records how a call at an endpoint ended, where `baseline_ms` is the baseline of its route.
    /// Returns whether the window was made smaller.
    pub fn record_end(
        &mut self,
        id: &str,
        outcome: AttemptOutcome,
        baseline_ms: Option<f64>,
    ) -> bool {
        let hosts = self.hosts;
        let Some(window) = self.windows.get_mut(id) else { return false };
        let before = window.size(hosts);
        window.running = window.running.saturating_sub(1);
        let is_slow = |ms: u64| {
            let baseline = baseline_ms.map(|baseline| baseline.max(MIN_BASELINE_MS));
            baseline.is_some_and(|baseline| ms as f64 > MAX_SLOWNESS * baseline)
        };
        match outcome {
            AttemptOutcome::Answered(ms) if !is_slow(ms) => window.record_timely_answer(hosts),
            // An attempt that was cancelled early shows nothing.
            AttemptOutcome::Dropped(ms) if !is_slow(ms) => {}
            AttemptOutcome::Moved => {}
            AttemptOutcome::Answered(_)
            | AttemptOutcome::Dropped(_)
            | AttemptOutcome::Refused
            | AttemptOutcome::Failed => window.cut(hosts),
        }
        let is_smaller = window.size(hosts) < before;
        self.remove_unused(id);
        is_smaller
    }
}
