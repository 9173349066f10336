//! What the gate remembers of attempts and keys. It is bounded, and refuses rather than forgets.

use std::collections::HashMap;
use std::collections::VecDeque;

use chicoryford_types::Fingerprint;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Millis;
use chicoryford_types::Workspace;
use chicoryford_types::request::StoredAnswer;

use super::GateSettings;
use super::Id;

/// What became of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It waits for a slot.
    Waiting,
    /// It runs.
    Running,
    /// It did not run, and never will.
    Refused,
    /// It had not arrived when somebody asked for it; it never will run.
    Revoked,
    /// It ran to its end.
    Ended,
    /// It reached the endpoint, and how it ended is not known.
    Unknown,
}

/// What is remembered of one attempt.
#[derive(Clone, Debug)]
pub struct Record {
    /// What became of it.
    pub fate: Fate,
    /// How often it started; more than once breaks a promise.
    pub starts: u32,
    /// Whether somebody was told that it did not run; a start after that breaks a promise.
    pub denied: bool,
    /// The key under which its answer is stored.
    pub key: Option<Key>,
}

/// Workspace and key of a call that may not be repeated.
pub type Key = (Workspace, IdempotencyKey);

/// What became of the call of a key.
#[derive(Clone, Debug)]
pub enum KeyFate {
    /// No attempt of it ran, or waits or runs now.
    Free,
    /// An attempt of it waits or runs.
    Taken,
    /// It ran and answered.
    Answered(StoredAnswer),
    /// It may have run.
    Unknown,
}

/// What is remembered of one key.
#[derive(Clone, Debug)]
pub struct KeyRecord {
    /// What became of it.
    pub fate: KeyFate,
    /// Hash of the content with which it first came.
    pub fingerprint: Fingerprint,
    /// Starts that reached the endpoint or still may; more than one breaks a promise.
    pub runs: u32,
}

/// Attempts and keys, each with the moment at which it may be forgotten.
#[derive(Default)]
pub struct Memory {
    attempts: HashMap<Id, Record>,
    keys: HashMap<Key, KeyRecord>,
    fading: VecDeque<(Millis, Id)>,
    lapsing: VecDeque<(Millis, Key)>,
    stored: usize,
}

impl Memory {
    /// Gives what is remembered of an attempt.
    pub fn attempt(&mut self, id: Id) -> Option<&mut Record> {
        self.attempts.get_mut(&id)
    }

    /// Gives what is remembered of a key.
    pub fn key(&mut self, key: &Key) -> Option<&mut KeyRecord> {
        self.keys.get_mut(key)
    }

    /// Remembers an attempt that was not known.
    pub fn remember(&mut self, id: Id, fate: Fate, key: Option<Key>) {
        let known = self.attempts.get(&id);
        let starts = known.map_or(0, |record| record.starts);
        let denied = known.is_some_and(|record| record.denied);
        self.attempts.insert(id, Record { fate, starts, denied, key });
    }

    /// Remembers a key that was not known, until `until`.
    pub fn remember_key(&mut self, key: &Key, fingerprint: Fingerprint, until: Millis) {
        let record = KeyRecord { fate: KeyFate::Free, fingerprint, runs: 0 };
        self.keys.insert(key.clone(), record);
        self.lapsing.push_back((until, key.clone()));
    }

    /// Lets an attempt that ended be forgotten at `until`.
    pub fn fade(&mut self, id: Id, until: Millis) {
        self.fading.push_back((until, id));
    }

    /// Stores the answer of a key.
    pub fn store(&mut self, key: &Key, answer: StoredAnswer) {
        let Some(record) = self.keys.get_mut(key) else { return };
        self.stored += answer.body.len();
        record.fate = KeyFate::Answered(answer);
    }

    /// Tells whether one more attempt can be remembered.
    pub fn has_room(&self, settings: &GateSettings) -> bool {
        self.attempts.len() < settings.remembered
    }

    /// Tells whether one more refusal can be remembered. Refusals have as much room again as
    /// attempts, because those that a full memory causes must be remembered too.
    pub fn has_refusal_room(&self, settings: &GateSettings) -> bool {
        self.attempts.len() < 2 * settings.remembered
    }

    /// Tells whether one more key can be remembered with its answer, while `promised` calls that
    /// wait or run may yet store an answer each.
    pub fn has_key_room(&self, settings: &GateSettings, promised: usize) -> bool {
        let answers = self.stored + (promised + 1) * settings.answer;
        self.keys.len() < settings.remembered && answers <= settings.stored
    }

    /// Gives the milliseconds until the next thing may be forgotten.
    pub fn relief(&self, now: Millis) -> Option<u64> {
        let fading = self.fading.front().map(|(until, _)| until.since(now));
        let lapsing = self.lapsing.front().map(|(until, _)| until.since(now));
        fading.into_iter().chain(lapsing).min()
    }

    /// Forgets what may be forgotten at `now`.
    pub fn forget(&mut self, now: Millis) {
        while let Some((_, id)) = self.fading.pop_front_if(|(until, _)| *until <= now) {
            self.attempts.remove(&id);
        }
        while let Some((_, key)) = self.lapsing.pop_front_if(|(until, _)| *until <= now) {
            self.lapse(key, now);
        }
    }

    /// Counts attempts, keys and bytes of stored answers.
    pub fn size(&self) -> (usize, usize, usize) {
        (self.attempts.len(), self.keys.len(), self.stored)
    }

    fn lapse(&mut self, key: Key, now: Millis) {
        /// A call that still runs when its key lapses keeps it for this long more.
        const LONGER: u64 = 60_000;
        match self.keys.get(&key).map(|record| &record.fate) {
            Some(KeyFate::Taken) => self.lapsing.push_back((now + LONGER, key)),
            Some(KeyFate::Answered(answer)) => {
                self.stored -= answer.body.len();
                self.keys.remove(&key);
            }
            _ => {
                self.keys.remove(&key);
            }
        }
    }
}
