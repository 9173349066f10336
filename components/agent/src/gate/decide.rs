//! The decisions of the gate.

use std::collections::HashMap;

use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Unix;
use chicoryford_types::request::AttemptState;

use super::Action;
use super::Arrival;
use super::End;
use super::GateSettings;
use super::Id;
use super::Verdict;
use super::judge::key_of;
use super::judge::leaving;
use super::judge::not_working;
use super::memory::Fate;
use super::memory::KeyFate;
use super::memory::Memory;
use super::queue::Queue;
use super::queue::Waiting;

/// The weight of the newest holding time in the average, as one part in this many.
const SMOOTHING: u64 = 8;

/// An attempt that runs.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) arrival: Arrival,
    since: Millis,
    cancelled: bool,
}

/// An attempt whose connection broke, until it is known whether the endpoint crashed.
#[derive(Clone, Debug)]
pub(super) struct Broken {
    fingerprint: Fingerprint,
    suspect: bool,
    at: Millis,
}

/// Decides which attempts start; see the module's page.
#[derive(Default)]
pub struct Gate {
    pub(super) settings: GateSettings,
    pub(super) memory: Memory,
    pub(super) queue: Queue,
    pub(super) running: HashMap<Id, Running>,
    pub(super) broken: Vec<Broken>,
    pub(super) draining: bool,
    pub(super) unhealthy: bool,
    actions: Vec<Action>,
    pub(super) held: u64,
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

    pub(super) fn settle(&mut self, id: Id, fate: Fate, now: Millis) {
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

    pub(super) fn refuse(&mut self, waiting: Waiting, failure: Failure, now: Millis) {
        let Waiting { arrival, .. } = waiting;
        if let Some(record) =
            arrival.once.as_ref().and_then(key_of).and_then(|key| self.memory.key(&key))
        {
            record.fate = KeyFate::Free;
        }
        self.settle(arrival.id, Fate::Refused, now);
        self.actions.push(Action::Drop(arrival.id, failure));
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

    pub(super) fn has_slot(&self) -> bool {
        self.running.len() < self.settings.slots
    }

    pub(super) fn runs_suspect(&self) -> bool {
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
