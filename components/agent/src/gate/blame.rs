//! Records which attempts are blamed for a crash of the endpoint, and whether the report of that
//! crash is committed.

use std::collections::BTreeMap;
use std::collections::HashMap;

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

/// What is known about an attempt that ran at a crash or whose connection to the endpoint broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Blame {
    /// It is not known yet whether the endpoint crashed.
    Undetermined,
    /// It ran at a crash for which others are blamed.
    NotBlamed,
    /// The content of the attempt is blamed for the crash with this number.
    Crash(u64),
}

struct Record {
    blame: Blame,
    until: Millis,
    /// Its number in [`BlameLog::order`].
    number: u64,
}

/// Records attempts that are or may be blamed for a crash. An attempt without a record is not
/// blamed.
#[derive(Default)]
pub(super) struct BlameLog {
    attempts: HashMap<Id, Record>,
    /// The recorded attempts in the order in which they were recorded.
    order: BTreeMap<u64, Id>,
    next: u64,
    committed: BTreeMap<u64, Position>,
}

impl BlameLog {
    /// Records that the connection of an attempt broke. Returns whether it is undetermined if the
    /// endpoint crashed. For an attempt that ran at a known crash this is already determined, and it
    /// must not be blamed for the next crash.
    pub(super) fn record_broken(&mut self, id: Id, now: Millis) -> bool {
        if self.attempts.contains_key(&id) {
            return false;
        }
        self.record(id, Blame::Undetermined, now);
        true
    }

    /// Records that an attempt is blamed for a crash.
    pub(super) fn record_blamed(&mut self, id: Id, crash: u64, now: Millis) {
        self.record(id, Blame::Crash(crash), now);
    }

    /// Records that an attempt ran at a crash and is not blamed. An attempt that is already blamed
    /// for an earlier crash remains so.
    pub(super) fn record_not_blamed(&mut self, id: Id, now: Millis) {
        if !matches!(self.attempts.get(&id), Some(Record { blame: Blame::Crash(_), .. })) {
            self.record(id, Blame::NotBlamed, now);
        }
    }

    /// Removes the record of an attempt whose connection broke without a crash.
    pub(super) fn remove(&mut self, id: Id) {
        if let Some(record) = self.attempts.remove(&id) {
            self.order.remove(&record.number);
        }
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
        match self.attempts.get(&id).map(|record| record.blame) {
            None | Some(Blame::NotBlamed) => CrashDecision::NotBlamed,
            Some(Blame::Undetermined) => CrashDecision::Pending,
            Some(Blame::Crash(crash)) => self
                .committed
                .get(&crash)
                .map_or(CrashDecision::Pending, |at| CrashDecision::Committed(*at)),
        }
    }

    /// Evicts the records that have expired at `now`.
    pub(super) fn evict_expired(&mut self, now: Millis) {
        while let Some(id) = self.oldest()
            && self.attempts.get(&id).is_none_or(|record| record.until <= now)
        {
            self.order.pop_first();
            self.attempts.remove(&id);
        }
    }

    fn oldest(&self) -> Option<Id> {
        self.order.first_key_value().map(|(_, id)| *id)
    }

    /// Records what is known about an attempt. A known attempt keeps its age.
    fn record(&mut self, id: Id, blame: Blame, now: Millis) {
        if let Some(record) = self.attempts.get_mut(&id) {
            record.blame = blame;
            return;
        }
        let number = self.next;
        self.next += 1;
        self.attempts.insert(id, Record { blame, until: now + RECORD_TTL_MS, number });
        self.order.insert(number, id);
        if self.order.len() > MAX_ATTEMPTS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.attempts.remove(&oldest);
        }
    }
}
