//! Which entries are still to tell of a window before it is closed.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use super::EntryProcess;
use super::UsageReport;

/// Milliseconds after its end before which no window is closed: entries tell each quarter of a second.
const LEAST_MS: u64 = 600;
/// Milliseconds after its end at which a window is closed though entries have not told of it: they are
/// gone, or cut off for longer than can be waited for. Four seconds are left to report it in time.
const LATEST_MS: u64 = 6_000;
/// Milliseconds after which a new leader has heard of all entries that are in touch: they notice the
/// loss of the leader before within 0.9 s, and look for the next one 16 times a second.
const GATHER_MS: u64 = 2_000;

/// The lives of entries that a leader has heard of.
#[derive(Debug)]
pub struct ReportTracker {
    leader_since: Millis,
    complete_before: BTreeMap<EntryProcess, u64>,
}

impl ReportTracker {
    /// Starts when the leadership begins, with the lives that the log knows.
    pub fn new(began: Millis, known: impl Iterator<Item = EntryProcess>) -> Self {
        Self { leader_since: began, complete_before: known.map(|life| (life, 0)).collect() }
    }

    /// Takes in how far an entry has told. Its process before, if there was one on its VM, tells
    /// nothing more.
    pub fn record(&mut self, told: &UsageReport) {
        let EntryProcess { node, number } = &told.process;
        self.complete_before.retain(|life, _| life.node != *node || life.number == *number);
        let before = self.complete_before.entry(told.process.clone()).or_default();
        *before = told.complete_before.max(*before);
    }

    /// Tells whether a window may be closed that ended `ended_ms` ago. Entries that are waited for in
    /// vain are not waited for in the next window.
    pub fn may_close(&mut self, window: u64, ended_ms: u64, now: Millis) -> bool {
        if ended_ms < LEAST_MS {
            return false;
        }
        if ended_ms < LATEST_MS {
            let whole = self.complete_before.values().all(|before| *before > window);
            return whole && now.since(self.leader_since) >= GATHER_MS;
        }
        if now.since(self.leader_since) < GATHER_MS {
            // All processes may just have been lost, so that no window could be closed in time; what
            // entries that live have counted is still on its way.
            return false;
        }
        self.complete_before.retain(|_, before| *before > window);
        true
    }
}
