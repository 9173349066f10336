//! The gate's state and the events that change it.

use std::collections::HashMap;

use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Position;
use chicoryford_types::Unix;
use chicoryford_types::request::AttemptState;
use chicoryford_types::request::CrashDecision;

use super::Action;
use super::Arrival;
use super::AttemptEnd;
use super::GateSettings;
use super::Id;
use super::Verdict;
use super::admission::draining_failure;
use super::admission::key_of;
use super::admission::unhealthy_failure;
use super::blame::BlameLog;
use super::history::AttemptStatus;
use super::history::History;
use super::history::KeyStatus;
use super::queue::Queue;
use super::queue::QueuedAttempt;

/// The divisor of the exponential moving average of slot times: a new value has the weight
/// 1 / `SMOOTHING`.
const SMOOTHING: u64 = 8;

/// An attempt that holds a slot.
#[derive(Clone, Debug)]
pub(super) struct RunningAttempt {
    pub(super) arrival: Arrival,
    since: Millis,
    cancelled: bool,
}

/// An attempt whose connection broke, kept until it is known whether the endpoint crashed.
#[derive(Clone, Debug)]
pub(super) struct BrokenAttempt {
    id: Id,
    fingerprint: Fingerprint,
    suspect: bool,
    at: Millis,
}

/// Decides which attempts start (see [the module](super)).
#[derive(Default)]
pub struct Gate {
    pub(super) settings: GateSettings,
    pub(super) history: History,
    pub(super) queue: Queue,
    pub(super) running: HashMap<Id, RunningAttempt>,
    pub(super) broken: Vec<BrokenAttempt>,
    blames: BlameLog,
    pub(super) draining: bool,
    pub(super) unhealthy: bool,
    actions: Vec<Action>,
    pub(super) mean_slot_ms: u64,
    violations: u64,
}

/// Statistics of the gate, for load reports and dumps.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct GateStats {
    /// Running attempts.
    pub running: usize,
    /// Queued attempts.
    pub waiting: usize,
    /// Attempts in the history.
    pub attempts: usize,
    /// Keys in the history.
    pub keys: usize,
    /// Bytes of stored answers.
    pub stored: usize,
    /// The average time for which an attempt holds its slot, in milliseconds.
    #[serde(rename = "held")]
    pub mean_slot_ms: u64,
    /// Whether new work is refused because the endpoint drains.
    pub draining: bool,
    /// Invariant violations found so far; any value but zero is a bug.
    #[serde(rename = "promises")]
    pub violations: u64,
}

impl Gate {
    /// Creates a gate with an empty history.
    pub fn new(settings: GateSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Decides on an arriving attempt and records the decision. `wall` is only compared with the
    /// issue time of idempotency keys.
    pub fn arrive(&mut self, arrival: Arrival, now: Millis, wall: Unix) -> Verdict {
        self.history.evict_expired(now);
        let verdict = self.admit(&arrival, now, wall);
        match &verdict {
            Verdict::Start => {
                self.record_admitted(&arrival, AttemptStatus::Running, now);
                self.start(arrival, now);
            }
            Verdict::Wait => {
                self.record_admitted(&arrival, AttemptStatus::Waiting, now);
                let deadline = now + arrival.budget_ms;
                self.queue.push(QueuedAttempt { arrival, deadline });
            }
            Verdict::Stored(_) => {}
            Verdict::Refuse(_) => return self.record_refusal(&arrival, verdict, now),
        }
        self.check_invariants();
        verdict
    }

    /// Records the end of a running attempt and starts queued ones.
    pub fn record_end(&mut self, id: Id, end: AttemptEnd, now: Millis) {
        let Some(run) = self.running.remove(&id) else { return };
        let slot_ms = now.since(run.since);
        self.mean_slot_ms = if self.mean_slot_ms == 0 {
            slot_ms
        } else {
            self.mean_slot_ms - self.mean_slot_ms / SMOOTHING + slot_ms / SMOOTHING
        };
        if end == AttemptEnd::Broken && self.blames.record_broken(id, now) {
            let Arrival { fingerprint, suspect, .. } = run.arrival;
            self.broken.push(BrokenAttempt { id, fingerprint, suspect, at: now });
        }
        let status = match end {
            AttemptEnd::NotRun => AttemptStatus::Refused,
            AttemptEnd::Answered(_) | AttemptEnd::Finished | AttemptEnd::Stopped => {
                AttemptStatus::Ended
            }
            AttemptEnd::Broken => AttemptStatus::Unknown,
        };
        self.record_key_end(&run.arrival, end);
        self.record_status(id, status, now);
        self.start_queued(now);
        self.check_invariants();
    }

    /// Returns the state of an attempt, and with `cancel` also cancels it. An attempt that has not
    /// arrived is revoked, so that it is refused if it arrives later.
    pub fn query(
        &mut self,
        id: Id,
        incarnation: Incarnation,
        cancel: bool,
        now: Millis,
    ) -> AttemptState {
        self.history.evict_expired(now);
        if incarnation != self.settings.incarnation {
            return AttemptState::Unknown;
        }
        let known = self.history.attempt(id).map(|record| (record.status, record.key.clone()));
        match known {
            None => self.revoke(id, now),
            Some((AttemptStatus::Waiting, _)) if cancel => {
                self.cancel_queued(id, now);
                AttemptState::Refused
            }
            Some((AttemptStatus::Waiting, _)) => AttemptState::Running,
            Some((AttemptStatus::Running, _)) => {
                if cancel {
                    self.cancel_running(id);
                }
                AttemptState::Running
            }
            Some((AttemptStatus::Refused, _)) => AttemptState::Refused,
            Some((AttemptStatus::Revoked, _)) => AttemptState::Revoked,
            Some((AttemptStatus::Ended, key)) => self.ended_state(key.as_ref()),
            Some((AttemptStatus::Unknown, _)) => AttemptState::Unknown,
        }
    }

    /// Cancels an attempt whose entry has disconnected.
    pub fn disconnected(&mut self, id: Id, now: Millis) {
        self.cancel_queued(id, now);
        self.cancel_running(id);
        self.check_invariants();
    }

    /// Starts or ends draining. Queued attempts are dropped at once: they have not run and can run
    /// at another endpoint, and would only delay the stop. Running attempts are completed.
    pub fn set_draining(&mut self, draining: bool, now: Millis) {
        self.draining = draining;
        if draining && self.settings.protections.draining {
            self.drop_all_queued(&draining_failure(), now);
        }
        self.check_invariants();
    }

    /// Records whether the endpoint is healthy. While it is not, work is refused, so that the entry
    /// retries at another endpoint at once instead of waiting for a timeout.
    pub fn set_healthy(&mut self, healthy: bool, now: Millis) {
        self.unhealthy = !healthy;
        if !healthy {
            self.drop_all_queued(&unhealthy_failure(), now);
        }
        self.check_invariants();
    }

    /// Drops the queued attempts whose deadline has passed, and evicts expired records.
    pub fn tick(&mut self, now: Millis) {
        self.history.evict_expired(now);
        self.blames.evict_expired(now);
        for waiting in self.queue.take_expired(now) {
            let detail = "the deadline passed while the attempt waited for a slot";
            self.drop_queued(waiting, Failure::not_run(Code::DeadlinePassed, detail), now);
        }
        self.start_queued(now);
        self.check_invariants();
    }

    /// Returns the fingerprints of the content that may have caused a crash, and forgets the broken
    /// attempts. These are the suspects among the attempts in progress if there are any, because
    /// suspects were already in progress during an earlier crash; otherwise all of them.
    ///
    /// `crash` is the number of the crash. [`Gate::crash_decision`] then refers to it for the
    /// blamed attempts.
    pub fn take_crash_suspects(&mut self, crash: u64, now: Millis) -> Vec<Fingerprint> {
        let running = self.running.iter().map(|(id, run)| {
            let Arrival { fingerprint, suspect, .. } = run.arrival;
            (*id, fingerprint, suspect)
        });
        let broken = std::mem::take(&mut self.broken);
        let broken =
            broken.into_iter().map(|broken| (broken.id, broken.fingerprint, broken.suspect));
        let all: Vec<(Id, Fingerprint, bool)> = running.chain(broken).collect();
        let suspects = all.iter().any(|(_, _, suspect)| *suspect);
        let mut blamed = Vec::new();
        for (id, fingerprint, suspect) in all {
            if suspect || !suspects {
                self.blames.record_blamed(id, crash, now);
                blamed.push(fingerprint);
            } else {
                self.blames.record_not_blamed(id, now);
            }
        }
        blamed.sort();
        blamed.dedup();
        blamed
    }

    /// Records that the endpoint had not crashed at `since`: connections that broke until then
    /// broke for another reason, so their content is not suspected.
    pub fn record_not_crashed(&mut self, since: Millis) {
        for broken in self.broken.extract_if(.., |broken| broken.at <= since) {
            self.blames.remove(broken.id);
        }
    }

    /// Records that the report of a crash was committed and applied at this position of the
    /// configuration.
    pub fn record_crash_committed(&mut self, crash: u64, at: Position) {
        self.blames.record_committed(crash, at);
    }

    /// Returns what is decided about an attempt whose connection to the endpoint broke. Another
    /// incarnation of the agent has lost the content that was in progress and reports none of it.
    pub fn crash_decision(&self, id: Id, incarnation: Incarnation) -> CrashDecision {
        if incarnation != self.settings.incarnation {
            return CrashDecision::NotBlamed;
        }
        self.blames.decision(id)
    }

    /// Removes and returns the collected actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the current statistics.
    pub fn stats(&self) -> GateStats {
        let (attempts, keys, stored) = self.history.size();
        GateStats {
            running: self.running.len(),
            waiting: self.queue.len(),
            attempts,
            keys,
            stored,
            mean_slot_ms: self.mean_slot_ms,
            draining: self.draining,
            violations: self.violations,
        }
    }

    fn record_admitted(&mut self, arrival: &Arrival, status: AttemptStatus, now: Millis) {
        let key = arrival.at_most_once.as_ref().and_then(key_of);
        self.history.insert_attempt(arrival.id, status, key.clone());
        let Some(key) = key else { return };
        if self.history.key(&key).is_none() {
            let until = now + self.settings.key_validity_ms + 2 * self.settings.max_skew_ms;
            self.history.insert_key(&key, arrival.fingerprint, until);
        }
        if let Some(record) = self.history.key(&key) {
            record.status = KeyStatus::InFlight;
        }
    }

    /// Starts an attempt and checks that it may start.
    fn start(&mut self, arrival: Arrival, now: Millis) {
        let id = arrival.id;
        let mut may_start = !self.draining;
        if let Some(record) = self.history.attempt(id) {
            record.status = AttemptStatus::Running;
            record.starts += 1;
            may_start &= record.starts == 1 && !record.refusal_reported;
        }
        if let Some(at_most_once) = &arrival.at_most_once {
            may_start &= at_most_once.incarnation == self.settings.incarnation;
            if let Some(record) = key_of(at_most_once).and_then(|key| self.history.key(&key)) {
                record.runs += 1;
                may_start &= record.runs == 1;
            }
        }
        self.check_invariant(may_start, "an attempt starts at most once, and only where it may");
        self.running.insert(id, RunningAttempt { arrival, since: now, cancelled: false });
    }

    fn start_queued(&mut self, now: Millis) {
        while self.has_slot() {
            let allow_suspects = !self.is_suspect_running();
            let Some(waiting) = self.queue.pop(self.settings.max_batch_passes, allow_suspects)
            else {
                return;
            };
            let id = waiting.arrival.id;
            self.start(waiting.arrival, now);
            self.actions.push(Action::Start(id));
        }
    }

    pub(super) fn record_status(&mut self, id: Id, status: AttemptStatus, now: Millis) {
        if let Some(record) = self.history.attempt(id) {
            record.status = status;
            record.refusal_reported |= status == AttemptStatus::Refused;
        }
        self.history.expire_attempt_at(id, now + self.settings.attempt_ttl_ms);
    }

    fn record_key_end(&mut self, arrival: &Arrival, end: AttemptEnd) {
        let Some(key) = arrival.at_most_once.as_ref().and_then(key_of) else { return };
        let max_bytes = self.settings.max_answer_bytes;
        match end {
            AttemptEnd::Answered(answer) if answer.body.len() <= max_bytes => {
                self.history.store_answer(&key, answer)
            }
            AttemptEnd::NotRun => {
                if let Some(record) = self.history.key(&key) {
                    record.status = KeyStatus::Free;
                    record.runs = record.runs.saturating_sub(1);
                }
            }
            _ => {
                if let Some(record) = self.history.key(&key) {
                    record.status = KeyStatus::Unknown;
                }
            }
        }
    }

    pub(super) fn drop_queued(&mut self, waiting: QueuedAttempt, failure: Failure, now: Millis) {
        let QueuedAttempt { arrival, .. } = waiting;
        if let Some(record) =
            arrival.at_most_once.as_ref().and_then(key_of).and_then(|key| self.history.key(&key))
        {
            record.status = KeyStatus::Free;
        }
        self.record_status(arrival.id, AttemptStatus::Refused, now);
        self.actions.push(Action::Drop(arrival.id, failure));
    }

    fn revoke(&mut self, id: Id, now: Millis) -> AttemptState {
        if !self.history.has_refusal_room(&self.settings) {
            return AttemptState::Unknown;
        }
        self.history.insert_attempt(id, AttemptStatus::Revoked, None);
        if let Some(record) = self.history.attempt(id) {
            record.refusal_reported = true;
        }
        self.history.expire_attempt_at(id, now + self.settings.attempt_ttl_ms);
        AttemptState::Revoked
    }

    fn cancel_queued(&mut self, id: Id, now: Millis) {
        if let Some(waiting) = self.queue.remove(id) {
            let detail = "the attempt was cancelled while it waited for a slot";
            self.drop_queued(waiting, Failure::not_run(Code::DeadlinePassed, detail), now);
        }
    }

    /// Stops a running attempt, unless it must run at most once: the effect of such a call at the
    /// endpoint can neither be undone nor determined, and a resend will need its answer.
    fn cancel_running(&mut self, id: Id) {
        let Some(run) = self.running.get_mut(&id) else { return };
        if run.arrival.at_most_once.is_none() && !run.cancelled {
            run.cancelled = true;
            self.actions.push(Action::Cancel(id));
        }
    }

    fn drop_all_queued(&mut self, failure: &Failure, now: Millis) {
        for waiting in self.queue.clear() {
            self.drop_queued(waiting, failure.clone(), now);
        }
    }

    pub(super) fn has_slot(&self) -> bool {
        self.running.len() < self.settings.slots
    }

    pub(super) fn is_suspect_running(&self) -> bool {
        self.running.values().any(|run| run.arrival.suspect)
    }

    fn check_invariants(&mut self) {
        let suspects = self.running.values().filter(|run| run.arrival.suspect).count();
        let (slots, queue_length) = (self.settings.slots, self.settings.queue_length);
        self.check_invariant(
            self.running.len() <= slots,
            "no more attempts run than there are slots",
        );
        self.check_invariant(self.queue.len() <= queue_length, "the queue is bounded");
        self.check_invariant(suspects <= 1, "one suspect runs at a time");
        let (_, _, stored) = self.history.size();
        self.check_invariant(
            stored <= self.settings.max_stored_bytes,
            "stored answers are bounded",
        );
    }

    fn check_invariant(&mut self, holds: bool, invariant: &'static str) {
        if !holds {
            self.violations += 1;
            tracing::error!(event = "promise_broken", promise = invariant);
        }
    }
}
