//! Whether an attempt that arrives may start, wait, or is refused.

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Millis;
use chicoryford_types::Unix;
use chicoryford_types::request::AttemptState;
use chicoryford_types::request::StoredAnswer;

use super::Arrival;
use super::Gate;
use super::Once;
use super::Verdict;
use super::memory::Fate;
use super::memory::Key;
use super::memory::KeyFate;

/// When to come back to a full or unhealthy agent, in milliseconds, if nothing better is known.
const COME_BACK: u64 = 1_000;

impl Gate {
    pub(super) fn judge(&mut self, arrival: &Arrival, now: Millis, wall: Unix) -> Verdict {
        if let Some(refusal) = self.seen(arrival) {
            return refusal;
        }
        if let Some(refusal) = self.once(arrival, now, wall) {
            return refusal;
        }
        if self.draining && self.settings.protections.draining {
            return Verdict::Refuse(leaving());
        }
        if self.unhealthy {
            return Verdict::Refuse(not_working());
        }
        if !self.memory.has_room(&self.settings) {
            return Verdict::Refuse(self.full("remembered attempts", now));
        }
        self.place(arrival, now)
    }

    fn seen(&mut self, arrival: &Arrival) -> Option<Verdict> {
        let protections = self.settings.protections;
        let record = self.memory.attempt(arrival.id)?;
        match record.fate {
            Fate::Revoked | Fate::Refused if !protections.revoked => None,
            Fate::Revoked | Fate::Refused => {
                let detail = "the attempt was called off before it arrived";
                Some(Verdict::Refuse(Failure::not_run(Code::Conflict, detail)))
            }
            _ if !protections.attempts => None,
            Fate::Ended => {
                let key = record.key.clone();
                Some(match self.stored(key.as_ref()) {
                    AttemptState::Done(answer) => Verdict::Stored(answer),
                    _ => Verdict::Refuse(duplicate()),
                })
            }
            Fate::Waiting | Fate::Running | Fate::Unknown => Some(Verdict::Refuse(duplicate())),
        }
    }

    fn once(&mut self, arrival: &Arrival, now: Millis, wall: Unix) -> Option<Verdict> {
        let once = arrival.once.as_ref()?;
        let own = self.settings.incarnation;
        if self.settings.protections.incarnation && once.incarnation != own {
            let detail = "the attempt was meant for this agent before it restarted";
            return Some(Verdict::Refuse(Failure::not_run(Code::Conflict, detail)));
        }
        let key = key_of(once)?;
        if let Some(failure) = self.lapsed(&key.1, wall) {
            return Some(Verdict::Refuse(failure));
        }
        if let Some(record) = self.memory.key(&key) {
            if record.fingerprint != arrival.fingerprint {
                let detail = "the idempotency key came before with other content";
                return Some(Verdict::Refuse(Failure::not_run(Code::KeyReused, detail)));
            }
            return match &record.fate {
                KeyFate::Free => None,
                _ if !self.settings.protections.keys => None,
                KeyFate::Answered(answer) => Some(Verdict::Stored(answer.clone())),
                KeyFate::Taken | KeyFate::Unknown => Some(Verdict::Refuse(duplicate())),
            };
        }
        let promised = self.promised();
        if !self.memory.has_key_room(&self.settings, promised) {
            return Some(Verdict::Refuse(self.full("remembered keys and answers", now)));
        }
        None
    }

    /// A key is refused when it is older than the window, because what was remembered of it may
    /// be forgotten by then, and also when it lies so far ahead that it would outlive its memory.
    fn lapsed(&self, key: &IdempotencyKey, wall: Unix) -> Option<Failure> {
        let issued = key.as_str().split('.').next().and_then(|ms| ms.parse::<u64>().ok());
        let fresh = issued.is_some_and(|issued| {
            issued.saturating_add(self.settings.key_ms) >= wall.0
                && issued <= wall.0.saturating_add(self.settings.skew_ms)
        });
        let detail = "the idempotency key is malformed, older than the window, or ahead of time";
        (!fresh).then(|| Failure::not_run(Code::KeyExpired, detail))
    }

    fn place(&mut self, arrival: &Arrival, now: Millis) -> Verdict {
        let may_start = self.has_slot() && (!arrival.suspect || !self.runs_suspect());
        if may_start && self.queue.ahead(arrival.class) == 0 {
            return Verdict::Start;
        }
        let ahead = self.queue.ahead(arrival.class) as u64 + 1;
        let wait = ahead * self.held / self.settings.slots.max(1) as u64;
        if wait > arrival.budget {
            let detail = format!("a slot is expected in {wait} ms, after the deadline");
            return Verdict::Refuse(Failure::not_run(Code::DeadlineTooClose, detail));
        }
        if self.queue.len() < self.settings.waiting || self.displace(arrival.class, now) {
            return Verdict::Wait;
        }
        let detail = "the agent's queue is full";
        Verdict::Refuse(Failure::not_run(Code::Overloaded, detail).retry_after(wait.max(COME_BACK)))
    }

    fn displace(&mut self, class: Class, now: Millis) -> bool {
        let Some(waiting) = self.queue.displace(class) else { return false };
        let detail = "more urgent work took the place in the agent's queue";
        self.refuse(
            waiting,
            Failure::not_run(Code::Overloaded, detail).retry_after(COME_BACK),
            now,
        );
        true
    }

    /// Remembers the refusal of a call that may not be repeated: the entry may now run it
    /// elsewhere, so that a late duplicate of this attempt must not run here. A refusal that
    /// cannot be remembered would not stay true, so it is not called "not run".
    pub(super) fn deny(&mut self, arrival: &Arrival, refusal: Verdict, now: Millis) -> Verdict {
        if arrival.once.is_none() || self.memory.attempt(arrival.id).is_some() {
            return refusal;
        }
        if !self.memory.has_refusal_room(&self.settings) {
            return Verdict::Refuse(duplicate());
        }
        self.memory.remember(arrival.id, Fate::Refused, None);
        self.settle(arrival.id, Fate::Refused, now);
        refusal
    }

    pub(super) fn stored(&mut self, key: Option<&Key>) -> AttemptState {
        match key.and_then(|key| self.memory.key(key)).map(|record| &record.fate) {
            Some(KeyFate::Answered(answer)) => AttemptState::Done(StoredAnswer::clone(answer)),
            _ => AttemptState::Unknown,
        }
    }

    fn full(&self, what: &str, now: Millis) -> Failure {
        let relief = self.memory.relief(now).unwrap_or(COME_BACK).max(COME_BACK);
        let detail = format!("the agent's bound on {what} is reached");
        Failure::not_run(Code::Overloaded, detail).retry_after(relief)
    }

    fn promised(&self) -> usize {
        let running = self.running.values().filter(|run| run.arrival.once.is_some()).count();
        running + self.queue.len()
    }
}

pub(super) fn key_of(once: &Once) -> Option<Key> {
    once.key.as_ref().map(|key| (once.workspace.clone(), key.clone()))
}

pub(super) fn leaving() -> Failure {
    Failure::not_run(Code::Draining, "the endpoint is leaving and takes no new work")
}

pub(super) fn not_working() -> Failure {
    Failure::not_run(Code::NoEndpoint, "the endpoint does not answer its agent")
        .retry_after(COME_BACK)
}

pub(super) fn duplicate() -> Failure {
    let detail = "the same attempt or call was here before and may have run";
    Failure::unknown(Code::DuplicateUnknown, detail)
}
