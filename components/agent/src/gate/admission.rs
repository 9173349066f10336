//! Decides whether an arriving attempt starts, waits in the queue, or is refused.

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Millis;
use chicoryford_types::Unix;
use chicoryford_types::request::AttemptState;
use chicoryford_types::request::StoredAnswer;

use super::Arrival;
use super::AtMostOnce;
use super::Gate;
use super::Verdict;
use super::history::AttemptStatus;
use super::history::KeyStatus;
use super::history::ScopedKey;

/// The shortest retry delay that a full or unhealthy agent gives, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

impl Gate {
    /// Decides on an attempt without recording it.
    pub(super) fn admit(&mut self, arrival: &Arrival, now: Millis, wall: Unix) -> Verdict {
        if let Some(refusal) = self.check_duplicate(arrival) {
            return refusal;
        }
        if let Some(refusal) = self.check_at_most_once(arrival, now, wall) {
            return refusal;
        }
        if self.draining && self.settings.protections.draining {
            return Verdict::Refuse(draining_failure());
        }
        if self.unhealthy {
            return Verdict::Refuse(unhealthy_failure());
        }
        if !self.history.has_room(&self.settings) {
            return Verdict::Refuse(self.history_full("remembered attempts", now));
        }
        self.start_or_queue(arrival, now)
    }

    /// Decides on an attempt that was seen before; returns `None` for a new one.
    fn check_duplicate(&mut self, arrival: &Arrival) -> Option<Verdict> {
        let protections = self.settings.protections;
        let record = self.history.attempt(arrival.id)?;
        match record.status {
            AttemptStatus::Revoked | AttemptStatus::Refused if !protections.revoked => None,
            AttemptStatus::Revoked | AttemptStatus::Refused => {
                let detail = "the attempt was revoked before it arrived";
                Some(Verdict::Refuse(Failure::not_run(Code::Conflict, detail)))
            }
            _ if !protections.attempts => None,
            AttemptStatus::Ended => {
                let key = record.key.clone();
                Some(match self.ended_state(key.as_ref()) {
                    AttemptState::Done(answer) => Verdict::Stored(answer),
                    _ => Verdict::Refuse(duplicate_failure()),
                })
            }
            AttemptStatus::Waiting | AttemptStatus::Running | AttemptStatus::Unknown => {
                Some(Verdict::Refuse(duplicate_failure()))
            }
        }
    }

    /// Refuses a call that must run at most once if this agent cannot guarantee that, and answers a
    /// resend from the stored answer.
    fn check_at_most_once(
        &mut self,
        arrival: &Arrival,
        now: Millis,
        wall: Unix,
    ) -> Option<Verdict> {
        let at_most_once = arrival.at_most_once.as_ref()?;
        let own = self.settings.incarnation;
        if self.settings.protections.incarnation && at_most_once.incarnation != own {
            let detail = "the attempt was sent to an earlier incarnation of this agent";
            return Some(Verdict::Refuse(Failure::not_run(Code::Conflict, detail)));
        }
        let key = key_of(at_most_once)?;
        if let Some(failure) = self.check_key_age(&key.1, wall) {
            return Some(Verdict::Refuse(failure));
        }
        if let Some(record) = self.history.key(&key) {
            if record.fingerprint != arrival.fingerprint {
                let detail = "the idempotency key was used before with different content";
                return Some(Verdict::Refuse(Failure::not_run(Code::KeyReused, detail)));
            }
            return match &record.status {
                KeyStatus::Free => None,
                _ if !self.settings.protections.keys => None,
                KeyStatus::Answered(answer) => Some(Verdict::Stored(answer.clone())),
                KeyStatus::InFlight | KeyStatus::Unknown => {
                    Some(Verdict::Refuse(duplicate_failure()))
                }
            };
        }
        let pending_answers = self.pending_answers();
        if !self.history.has_key_room(&self.settings, pending_answers) {
            return Some(Verdict::Refuse(self.history_full("remembered keys and answers", now)));
        }
        None
    }

    /// Refuses a key that is older than its validity, because its record may have been evicted, and
    /// a key issued so far in the future that it would remain valid after its record expires.
    fn check_key_age(&self, key: &IdempotencyKey, wall: Unix) -> Option<Failure> {
        let issued = key.as_str().split('.').next().and_then(|ms| ms.parse::<u64>().ok());
        let is_valid = issued.is_some_and(|issued| {
            issued.saturating_add(self.settings.key_validity_ms) >= wall.0
                && issued <= wall.0.saturating_add(self.settings.max_skew_ms)
        });
        let detail = "the idempotency key is malformed, expired, or issued in the future";
        (!is_valid).then(|| Failure::not_run(Code::KeyExpired, detail))
    }

    /// Starts the attempt or queues it, unless it would miss its deadline or the queue is full.
    fn start_or_queue(&mut self, arrival: &Arrival, now: Millis) -> Verdict {
        let may_start = self.has_slot() && (!arrival.suspect || !self.is_suspect_running());
        if may_start && self.queue.ahead(arrival.class) == 0 {
            return Verdict::Start;
        }
        let ahead = self.queue.ahead(arrival.class) as u64 + 1;
        let wait_ms = ahead * self.mean_slot_ms / self.settings.slots.max(1) as u64;
        if wait_ms > arrival.budget_ms {
            let detail =
                format!("a slot is expected to be free in {wait_ms} ms, after the deadline");
            return Verdict::Refuse(Failure::not_run(Code::DeadlineTooClose, detail));
        }
        if self.queue.len() < self.settings.queue_length || self.displace_queued(arrival.class, now)
        {
            return Verdict::Wait;
        }
        let detail = "the agent's queue is full";
        Verdict::Refuse(
            Failure::not_run(Code::Overloaded, detail).retry_after(wait_ms.max(MIN_RETRY_AFTER_MS)),
        )
    }

    /// Drops a queued attempt of a lower class than `class`. Returns whether there was one.
    fn displace_queued(&mut self, class: Class, now: Millis) -> bool {
        let Some(waiting) = self.queue.displace(class) else { return false };
        let detail = "work of a higher class took the place in the agent's queue";
        self.drop_queued(
            waiting,
            Failure::not_run(Code::Overloaded, detail).retry_after(MIN_RETRY_AFTER_MS),
            now,
        );
        true
    }

    /// Records the refusal of a call that must run at most once. The entry may now run the call at
    /// another endpoint, so a late duplicate of this attempt must not run here. If there is no room
    /// to record the refusal, the outcome is reported as unknown instead of "not run".
    pub(super) fn record_refusal(
        &mut self,
        arrival: &Arrival,
        refusal: Verdict,
        now: Millis,
    ) -> Verdict {
        if arrival.at_most_once.is_none() || self.history.attempt(arrival.id).is_some() {
            return refusal;
        }
        if !self.history.has_refusal_room(&self.settings) {
            return Verdict::Refuse(duplicate_failure());
        }
        self.history.insert_attempt(arrival.id, AttemptStatus::Refused, None);
        self.record_status(arrival.id, AttemptStatus::Refused, now);
        refusal
    }

    /// Returns the state of an attempt that ended: the stored answer of its key, or
    /// [`AttemptState::Unknown`] if none is stored. An attempt without a key has no answer to store.
    pub(super) fn ended_state(&mut self, key: Option<&ScopedKey>) -> AttemptState {
        let Some(key) = key else { return AttemptState::Ended };
        match self.history.key(key).map(|record| &record.status) {
            Some(KeyStatus::Answered(answer)) => AttemptState::Done(StoredAnswer::clone(answer)),
            _ => AttemptState::Unknown,
        }
    }

    fn history_full(&self, what: &str, now: Millis) -> Failure {
        let retry_ms =
            self.history.next_expiry_ms(now).unwrap_or(MIN_RETRY_AFTER_MS).max(MIN_RETRY_AFTER_MS);
        let detail = format!("the agent has reached its limit of {what}");
        Failure::not_run(Code::Overloaded, detail).retry_after(retry_ms)
    }

    /// Counts the calls that may still store an answer. Every queued attempt counts, whatever its
    /// kind.
    fn pending_answers(&self) -> usize {
        let running =
            self.running.values().filter(|run| run.arrival.at_most_once.is_some()).count();
        running + self.queue.len()
    }
}

pub(super) fn key_of(at_most_once: &AtMostOnce) -> Option<ScopedKey> {
    at_most_once.key.as_ref().map(|key| (at_most_once.workspace.clone(), key.clone()))
}

pub(super) fn draining_failure() -> Failure {
    Failure::not_run(Code::Draining, "the endpoint is draining and accepts no new work")
}

pub(super) fn unhealthy_failure() -> Failure {
    Failure::not_run(Code::NoEndpoint, "the endpoint failed the agent's health checks")
        .retry_after(MIN_RETRY_AFTER_MS)
}

pub(super) fn duplicate_failure() -> Failure {
    let detail = "the same attempt or call was received before and may have run";
    Failure::unknown(Code::DuplicateUnknown, detail)
}
