//! The gate's bounded history of attempts and keys. When it is full, new work is refused; no
//! record is evicted before it expires.

use std::collections::HashMap;
use std::collections::VecDeque;

use chicoryford_types::Fingerprint;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Millis;
use chicoryford_types::Workspace;
use chicoryford_types::request::StoredAnswer;

use super::GateSettings;
use super::Id;

/// The recorded status of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptStatus {
    /// It waits for a slot.
    Waiting,
    /// It runs.
    Running,
    /// It did not run and must not run.
    Refused,
    /// It had not arrived when its state was queried; it must not run.
    Revoked,
    /// It ran and ended, or was stopped, at a working endpoint.
    Ended,
    /// It reached the endpoint, and its outcome is unknown.
    Unknown,
}

/// The record of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Its status.
    pub status: AttemptStatus,
    /// How often it started; more than once violates an invariant.
    pub starts: u32,
    /// Whether it was reported as not run; a start after that violates an invariant.
    pub refusal_reported: bool,
    /// The key under which its answer is stored.
    pub key: Option<ScopedKey>,
}

/// The workspace and key of a call that must run at most once.
pub type ScopedKey = (Workspace, IdempotencyKey);

/// The status of the call that a key identifies.
#[derive(Clone, Debug)]
pub enum KeyStatus {
    /// No attempt of it has run, waits or runs.
    Free,
    /// An attempt of it waits or runs now.
    InFlight,
    /// It ran and was answered.
    Answered(StoredAnswer),
    /// It may have run.
    Unknown,
}

/// The record of one key.
#[derive(Clone, Debug)]
pub struct KeyRecord {
    /// Its status.
    pub status: KeyStatus,
    /// Hash of the content with which the key was first used.
    pub fingerprint: Fingerprint,
    /// Starts that reached the endpoint or still may; more than one violates an invariant.
    pub runs: u32,
}

/// Records of attempts and keys, each with the time at which it expires.
#[derive(Default)]
pub struct History {
    attempts: HashMap<Id, AttemptRecord>,
    keys: HashMap<ScopedKey, KeyRecord>,
    attempt_expiries: VecDeque<(Millis, Id)>,
    key_expiries: VecDeque<(Millis, ScopedKey)>,
    stored_bytes: usize,
}

impl History {
    /// Returns the record of an attempt.
    pub fn attempt(&mut self, id: Id) -> Option<&mut AttemptRecord> {
        self.attempts.get_mut(&id)
    }

    /// Returns the record of a key.
    pub fn key(&mut self, key: &ScopedKey) -> Option<&mut KeyRecord> {
        self.keys.get_mut(key)
    }

    /// Records an attempt. The start count and the refusal flag of an existing record are kept.
    pub fn insert_attempt(&mut self, id: Id, status: AttemptStatus, key: Option<ScopedKey>) {
        let known = self.attempts.get(&id);
        let starts = known.map_or(0, |record| record.starts);
        let refusal_reported = known.is_some_and(|record| record.refusal_reported);
        self.attempts.insert(id, AttemptRecord { status, starts, refusal_reported, key });
    }

    /// Records a new key, which expires at `until`.
    pub fn insert_key(&mut self, key: &ScopedKey, fingerprint: Fingerprint, until: Millis) {
        let record = KeyRecord { status: KeyStatus::Free, fingerprint, runs: 0 };
        self.keys.insert(key.clone(), record);
        self.key_expiries.push_back((until, key.clone()));
    }

    /// Schedules the eviction of an ended attempt at `until`.
    pub fn expire_attempt_at(&mut self, id: Id, until: Millis) {
        self.attempt_expiries.push_back((until, id));
    }

    /// Stores the answer of a key.
    pub fn store_answer(&mut self, key: &ScopedKey, answer: StoredAnswer) {
        let Some(record) = self.keys.get_mut(key) else { return };
        self.stored_bytes += answer.body.len();
        record.status = KeyStatus::Answered(answer);
    }

    /// Returns whether one more attempt can be recorded.
    pub fn has_room(&self, settings: &GateSettings) -> bool {
        self.attempts.len() < settings.max_records
    }

    /// Returns whether one more refusal can be recorded. The limit is twice that of attempts,
    /// because the refusals that a full history causes must be recorded too.
    pub fn has_refusal_room(&self, settings: &GateSettings) -> bool {
        self.attempts.len() < 2 * settings.max_records
    }

    /// Returns whether one more key can be recorded with its answer, given that each of the
    /// `pending_answers` waiting or running calls may still store an answer.
    pub fn has_key_room(&self, settings: &GateSettings, pending_answers: usize) -> bool {
        let answers = self.stored_bytes + (pending_answers + 1) * settings.max_answer_bytes;
        self.keys.len() < settings.max_records && answers <= settings.max_stored_bytes
    }

    /// Returns the milliseconds until the next record expires.
    pub fn next_expiry_ms(&self, now: Millis) -> Option<u64> {
        let attempt = self.attempt_expiries.front().map(|(until, _)| until.since(now));
        let key = self.key_expiries.front().map(|(until, _)| until.since(now));
        attempt.into_iter().chain(key).min()
    }

    /// Evicts the records that have expired at `now`.
    pub fn evict_expired(&mut self, now: Millis) {
        while let Some((_, id)) = self.attempt_expiries.pop_front_if(|(until, _)| *until <= now) {
            self.attempts.remove(&id);
        }
        while let Some((_, key)) = self.key_expiries.pop_front_if(|(until, _)| *until <= now) {
            self.expire_key(key, now);
        }
    }

    /// Returns the number of attempts, the number of keys and the bytes of stored answers.
    pub fn size(&self) -> (usize, usize, usize) {
        (self.attempts.len(), self.keys.len(), self.stored_bytes)
    }

    fn expire_key(&mut self, key: ScopedKey, now: Millis) {
        /// Extends the lifetime of a key whose call is still in flight when the key expires.
        const IN_FLIGHT_EXTENSION_MS: u64 = 60_000;
        match self.keys.get(&key).map(|record| &record.status) {
            Some(KeyStatus::InFlight) => {
                self.key_expiries.push_back((now + IN_FLIGHT_EXTENSION_MS, key))
            }
            Some(KeyStatus::Answered(answer)) => {
                self.stored_bytes -= answer.body.len();
                self.keys.remove(&key);
            }
            _ => {
                self.keys.remove(&key);
            }
        }
    }
}
