//! Records which attempts are blamed for a crash of the endpoint, and whether the report of that
//! crash is committed.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use chicoryford_types::Millis;
use chicoryford_types::Position;
use chicoryford_types::request::CrashDecision;

use super::Id;

/// Milliseconds for which an attempt is recorded. Entries wait for the decision about a crash for
/// a few seconds at most.
const RECORD_TTL_MS: u64 = 60_000;
/// Maximum number of recorded attempts; the oldest ones are evicted.
const MAX_ATTEMPTS: usize = 4_096;
/// Maximum number of crashes whose commit is recorded.
const MAX_CRASHES: usize = 64;

/// What is known about an attempt whose connection to the endpoint broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Blame {
    /// It is not known yet whether the endpoint crashed.
    Undetermined,
    /// The content of the attempt is blamed for the crash with this number.
    Crash(u64),
}

/// Records attempts that are or may be blamed for a crash. An attempt without a record is not
/// blamed.
#[derive(Default)]
pub(super) struct BlameLog {
    attempts: HashMap<Id, Blame>,
    expiries: VecDeque<(Millis, Id)>,
    committed: BTreeMap<u64, Position>,
}

impl BlameLog {
    /// Records that the connection of an attempt broke. Returns whether it is undetermined if the
    /// endpoint crashed; an attempt that ran at a known crash is already blamed for it.
    pub(super) fn record_broken(&mut self, id: Id, now: Millis) -> bool {
        if self.attempts.contains_key(&id) {
            return false;
        }
        self.insert(id, Blame::Undetermined, now);
        true
    }

    /// Records that an attempt is blamed for a crash.
    pub(super) fn record_blamed(&mut self, id: Id, crash: u64, now: Millis) {
        match self.attempts.get_mut(&id) {
            Some(blame) => *blame = Blame::Crash(crash),
            None => self.insert(id, Blame::Crash(crash), now),
        }
    }

    /// Records that an attempt is not blamed.
    pub(super) fn record_not_blamed(&mut self, id: Id) {
        self.attempts.remove(&id);
    }

    /// Records that the report of a crash was committed and applied at `at`.
    pub(super) fn record_committed(&mut self, crash: u64, at: Position) {
        self.committed.insert(crash, at);
        while self.committed.len() > MAX_CRASHES {
            self.committed.pop_first();
        }
    }

    /// Returns the decision about an attempt.
    pub(super) fn decision(&self, id: Id) -> CrashDecision {
        match self.attempts.get(&id) {
            None => CrashDecision::NotBlamed,
            Some(Blame::Undetermined) => CrashDecision::Pending,
            Some(Blame::Crash(crash)) => self
                .committed
                .get(crash)
                .map_or(CrashDecision::Pending, |at| CrashDecision::Committed(*at)),
        }
    }

    /// Evicts the records that have expired at `now`.
    pub(super) fn evict_expired(&mut self, now: Millis) {
        while let Some((_, id)) = self.expiries.pop_front_if(|(until, _)| *until <= now) {
            self.attempts.remove(&id);
        }
    }

    fn insert(&mut self, id: Id, blame: Blame, now: Millis) {
        self.attempts.insert(id, blame);
        self.expiries.push_back((now + RECORD_TTL_MS, id));
        if self.expiries.len() > MAX_ATTEMPTS
            && let Some((_, oldest)) = self.expiries.pop_front()
        {
            self.attempts.remove(&oldest);
        }
    }
}
