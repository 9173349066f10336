//! The decisions of the gate.

use std::collections::HashMap;

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Unix;
use chicoryford_types::request::AttemptState;
use chicoryford_types::request::StoredAnswer;

use super::Action;
use super::Arrival;
use super::End;
use super::GateSettings;
use super::Id;
use super::Once;
use super::Verdict;
use super::memory::Fate;
use super::memory::Key;
use super::memory::KeyFate;
use super::memory::Memory;
use super::queue::Queue;
use super::queue::Waiting;

/// When to come back to a full or unhealthy agent, in milliseconds, if nothing better is known.
const COME_BACK: u64 = 1_000;
/// The weight of the newest holding time in the average, as one part in this many.
const SMOOTHING: u64 = 8;

/// An attempt that runs.
#[derive(Clone, Debug)]
struct Running {
    arrival: Arrival,
    since: Millis,
    cancelled: bool,
}

/// An attempt whose connection broke, until it is known whether the endpoint crashed.
#[derive(Clone, Debug)]
struct Broken {
    fingerprint: Fingerprint,
    suspect: bool,
    at: Millis,
}

/// Decides which attempts start; see the module's page.
#[derive(Default)]
pub struct Gate {
    settings: GateSettings,
    memory: Memory,
    queue: Queue,
    running: HashMap<Id, Running>,
    broken: Vec<Broken>,
    draining: bool,
    unhealthy: bool,
    actions: Vec<Action>,
    held: u64,
    promises: u64,
}

/// The gate's figures, for reports and dumps.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Figures {
    /// Attempts that run.
    pub running: usize,
    /// Attempts that wait.
    pub waiting: usize,
    /// Attempts that are remembered.
    pub attempts: usize,
    /// Keys that are remembered.
    pub keys: usize,
    /// Bytes of stored answers.
    pub stored: usize,
    /// The average time for which an attempt held its slot, in milliseconds.
    pub held: u64,
    /// Whether new work is refused because the endpoint leaves.
    pub draining: bool,
    /// Promises that were found broken; anything but zero is a fault of the system.
    pub promises: u64,
}

impl Gate {
    /// Makes a gate that remembers nothing.
    pub fn new(settings: GateSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Decides on an attempt that arrives. `wall` is only compared with the issue time of keys.
    pub fn arrive(&mut self, arrival: Arrival, now: Millis, wall: Unix) -> Verdict {
        self.memory.forget(now);
        let verdict = self.judge(&arrival, now, wall);
        match &verdict {
            Verdict::Start => {
                self.admit(&arrival, Fate::Running, now);
                self.start(arrival, now);
            }
            Verdict::Wait => {
                self.admit(&arrival, Fate::Waiting, now);
                let deadline = now + arrival.budget;
                self.queue.push(Waiting { arrival, deadline });
            }
            Verdict::Stored(_) => {}
            Verdict::Refuse(_) => return self.deny(&arrival, verdict, now),
        }
        self.check();
        verdict
    }

    /// Takes note that an attempt ended, and starts what waits.
    pub fn ended(&mut self, id: Id, end: End, now: Millis) {
        let Some(run) = self.running.remove(&id) else { return };
        let held = now.since(run.since);
        self.held = if self.held == 0 {
            held
        } else {
            self.held - self.held / SMOOTHING + held / SMOOTHING
        };
        if end == End::Broken {
            let Arrival { fingerprint, suspect, .. } = run.arrival;
            self.broken.push(Broken { fingerprint, suspect, at: now });
        }
        let fate = match end {
            End::NotRun => Fate::Refused,
            End::Answered(_) | End::Finished => Fate::Ended,
            End::Stopped | End::Broken => Fate::Unknown,
        };
        self.settle_key(&run.arrival, end);
        self.settle(id, fate, now);
        self.fill(now);
        self.check();
    }

    /// Tells what became of an attempt; one that never arrived is revoked, so that "not run"
    /// stays true when it arrives late.
    pub fn question(
        &mut self,
        id: Id,
        incarnation: Incarnation,
        cancel: bool,
        now: Millis,
    ) -> AttemptState {
        self.memory.forget(now);
        if incarnation != self.settings.incarnation {
            return AttemptState::Unknown;
        }
        let known = self.memory.attempt(id).map(|record| (record.fate, record.key.clone()));
        match known {
            None => self.revoke(id, now),
            Some((Fate::Waiting, _)) if cancel => {
                self.withdraw(id, now);
                AttemptState::Refused
            }
            Some((Fate::Waiting, _)) => AttemptState::Running,
            Some((Fate::Running, _)) => {
                if cancel {
                    self.cancel(id);
                }
                AttemptState::Running
            }
            Some((Fate::Refused, _)) => AttemptState::Refused,
            Some((Fate::Revoked, _)) => AttemptState::Revoked,
            Some((Fate::Ended, key)) => self.stored(key.as_ref()),
            Some((Fate::Unknown, _)) => AttemptState::Unknown,
        }
    }

    /// Takes note that the entry's connection is gone: nobody waits for the answer any more.
    pub fn gone(&mut self, id: Id, now: Millis) {
        self.withdraw(id, now);
        self.cancel(id);
        self.check();
    }

    /// Starts or ends draining. What waits is dropped at once: it did not run and can run
    /// elsewhere, while here it would hold up the stop. What runs goes on to its end.
    pub fn drain(&mut self, draining: bool, now: Millis) {
        self.draining = draining;
        if draining && self.settings.protections.draining {
            self.drop_waiting(&leaving(), now);
        }
        self.check();
    }

    /// Takes note whether the endpoint works. While it does not, work is refused, so that the
    /// entry tries elsewhere at once instead of waiting for an answer that will not come.
    pub fn health(&mut self, healthy: bool, now: Millis) {
        self.unhealthy = !healthy;
        if !healthy {
            self.drop_waiting(&not_working(), now);
        }
        self.check();
    }

    /// Drops what waits and can no longer be answered in time.
    pub fn tick(&mut self, now: Millis) {
        self.memory.forget(now);
        for waiting in self.queue.doomed(now) {
            let detail = "the deadline passed while the attempt waited for a slot";
            self.refuse(waiting, Failure::not_run(Code::DeadlinePassed, detail), now);
        }
        self.fill(now);
        self.check();
    }

    /// Gives the contents to blame for a crash: the suspects among those in progress if there
    /// were any, because one of them has a record already, or else all.
    pub fn crashed(&mut self) -> Vec<Fingerprint> {
        let running =
            self.running.values().map(|run| (&run.arrival.fingerprint, run.arrival.suspect));
        let broken = self.broken.iter().map(|broken| (&broken.fingerprint, broken.suspect));
        let all: Vec<(Fingerprint, bool)> =
            running.chain(broken).map(|(fingerprint, suspect)| (*fingerprint, suspect)).collect();
        self.broken.clear();
        let suspects = all.iter().any(|(_, suspect)| *suspect);
        let mut blamed: Vec<Fingerprint> =
            all.into_iter().filter(|(_, s)| *s || !suspects).map(|(f, _)| f).collect();
        blamed.sort();
        blamed.dedup();
        blamed
    }

    /// Takes note that the endpoint had not crashed at `since`: connections that broke before
    /// broke for another reason, and nobody is to blame.
    pub fn not_crashed(&mut self, since: Millis) {
        self.broken.retain(|broken| broken.at > since);
    }

    /// Takes what is to be done.
    pub fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Gives the figures.
    pub fn figures(&self) -> Figures {
        let (attempts, keys, stored) = self.memory.size();
        Figures {
            running: self.running.len(),
            waiting: self.queue.len(),
            attempts,
            keys,
            stored,
            held: self.held,
            draining: self.draining,
            promises: self.promises,
        }
    }

    fn judge(&mut self, arrival: &Arrival, now: Millis, wall: Unix) -> Verdict {
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

    fn admit(&mut self, arrival: &Arrival, fate: Fate, now: Millis) {
        let key = arrival.once.as_ref().and_then(key_of);
        self.memory.remember(arrival.id, fate, key.clone());
        let Some(key) = key else { return };
        if self.memory.key(&key).is_none() {
            let until = now + self.settings.key_ms + 2 * self.settings.skew_ms;
            self.memory.remember_key(&key, arrival.fingerprint, until);
        }
        if let Some(record) = self.memory.key(&key) {
            record.fate = KeyFate::Taken;
        }
    }

    fn start(&mut self, arrival: Arrival, now: Millis) {
        let id = arrival.id;
        let mut kept = !self.draining;
        if let Some(record) = self.memory.attempt(id) {
            record.fate = Fate::Running;
            record.starts += 1;
            kept &= record.starts == 1 && !record.denied;
        }
        if let Some(once) = &arrival.once {
            kept &= once.incarnation == self.settings.incarnation;
            if let Some(record) = key_of(once).and_then(|key| self.memory.key(&key)) {
                record.runs += 1;
                kept &= record.runs == 1;
            }
        }
        self.promise(kept, "an attempt starts at most once, and only where it may");
        self.running.insert(id, Running { arrival, since: now, cancelled: false });
    }

    fn fill(&mut self, now: Millis) {
        while self.has_slot() {
            let suspects = !self.runs_suspect();
            let Some(waiting) = self.queue.pop(self.settings.turn, suspects) else { return };
            let id = waiting.arrival.id;
            self.start(waiting.arrival, now);
            self.actions.push(Action::Start(id));
        }
    }

    fn settle(&mut self, id: Id, fate: Fate, now: Millis) {
        if let Some(record) = self.memory.attempt(id) {
            record.fate = fate;
            record.denied |= fate == Fate::Refused;
        }
        self.memory.fade(id, now + self.settings.window_ms);
    }

    fn settle_key(&mut self, arrival: &Arrival, end: End) {
        let Some(key) = arrival.once.as_ref().and_then(key_of) else { return };
        let bound = self.settings.answer;
        match end {
            End::Answered(answer) if answer.body.len() <= bound => self.memory.store(&key, answer),
            End::NotRun => {
                if let Some(record) = self.memory.key(&key) {
                    record.fate = KeyFate::Free;
                    record.runs = record.runs.saturating_sub(1);
                }
            }
            _ => {
                if let Some(record) = self.memory.key(&key) {
                    record.fate = KeyFate::Unknown;
                }
            }
        }
    }

    fn refuse(&mut self, waiting: Waiting, failure: Failure, now: Millis) {
        let Waiting { arrival, .. } = waiting;
        if let Some(record) =
            arrival.once.as_ref().and_then(key_of).and_then(|key| self.memory.key(&key))
        {
            record.fate = KeyFate::Free;
        }
        self.settle(arrival.id, Fate::Refused, now);
        self.actions.push(Action::Drop(arrival.id, failure));
    }

    /// Remembers the refusal of a call that may not be repeated: the entry may now run it
    /// elsewhere, so that a late duplicate of this attempt must not run here. A refusal that
    /// cannot be remembered would not stay true, so it is not called "not run".
    fn deny(&mut self, arrival: &Arrival, refusal: Verdict, now: Millis) -> Verdict {
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

    fn revoke(&mut self, id: Id, now: Millis) -> AttemptState {
        if !self.memory.has_refusal_room(&self.settings) {
            return AttemptState::Unknown;
        }
        self.memory.remember(id, Fate::Revoked, None);
        if let Some(record) = self.memory.attempt(id) {
            record.denied = true;
        }
        self.memory.fade(id, now + self.settings.window_ms);
        AttemptState::Revoked
    }

    fn withdraw(&mut self, id: Id, now: Millis) {
        if let Some(waiting) = self.queue.remove(id) {
            let detail = "the attempt was cancelled while it waited for a slot";
            self.refuse(waiting, Failure::not_run(Code::DeadlinePassed, detail), now);
        }
    }

    /// Stops a running attempt, unless it may not be repeated: its effect at the endpoint could
    /// then neither be undone nor known, while its answer will be wanted by a resend.
    fn cancel(&mut self, id: Id) {
        let Some(run) = self.running.get_mut(&id) else { return };
        if run.arrival.once.is_none() && !run.cancelled {
            run.cancelled = true;
            self.actions.push(Action::Cancel(id));
        }
    }

    fn drop_waiting(&mut self, failure: &Failure, now: Millis) {
        for waiting in self.queue.clear() {
            self.refuse(waiting, failure.clone(), now);
        }
    }

    fn stored(&mut self, key: Option<&Key>) -> AttemptState {
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

    fn has_slot(&self) -> bool {
        self.running.len() < self.settings.slots
    }

    fn runs_suspect(&self) -> bool {
        self.running.values().any(|run| run.arrival.suspect)
    }

    fn check(&mut self) {
        let suspects = self.running.values().filter(|run| run.arrival.suspect).count();
        let (slots, waiting) = (self.settings.slots, self.settings.waiting);
        self.promise(self.running.len() <= slots, "no more attempts run than there are slots");
        self.promise(self.queue.len() <= waiting, "the queue is bounded");
        self.promise(suspects <= 1, "one suspect runs at a time");
        let (_, _, stored) = self.memory.size();
        self.promise(stored <= self.settings.stored, "stored answers are bounded");
    }

    fn promise(&mut self, kept: bool, promise: &'static str) {
        if !kept {
            self.promises += 1;
            tracing::error!(event = "promise_broken", promise);
        }
    }
}

fn key_of(once: &Once) -> Option<Key> {
    once.key.as_ref().map(|key| (once.workspace.clone(), key.clone()))
}

fn leaving() -> Failure {
    Failure::not_run(Code::Draining, "the endpoint is leaving and takes no new work")
}

fn not_working() -> Failure {
    Failure::not_run(Code::NoEndpoint, "the endpoint does not answer its agent")
        .retry_after(COME_BACK)
}

fn duplicate() -> Failure {
    let detail = "the same attempt or call was here before and may have run";
    Failure::unknown(Code::DuplicateUnknown, detail)
}
