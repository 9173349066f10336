//! Tracks which entries have yet to report a window before it is closed.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use super::EntryProcess;
use super::UsageReport;

/// Minimum milliseconds between the end of a window and its closing; entries report every quarter
/// of a second.
const MIN_CLOSE_DELAY_MS: u64 = 600;
/// Milliseconds after its end at which a window is closed even if entries have not reported it.
/// They are lost, or have been disconnected for too long. This leaves four seconds to report the
/// window to the platform in time.
const REPORT_TIMEOUT_MS: u64 = 6_000;
/// Milliseconds after which a new leader has received reports of all reachable entries. They detect
/// the loss of the previous leader within 0.9 s and search for the next one 16 times a second.
const NEW_LEADER_WAIT_MS: u64 = 2_000;

/// The entry processes known to a leader and how far they have reported.
#[derive(Debug)]
pub struct ReportTracker {
    leader_since: Millis,
    complete_before: BTreeMap<EntryProcess, u64>,
}

impl ReportTracker {
    /// Creates the tracker of a new leader with the processes in the log.
    pub fn new(leader_since: Millis, known: impl Iterator<Item = EntryProcess>) -> Self {
        Self { leader_since, complete_before: known.map(|process| (process, 0)).collect() }
    }

    /// Records how far an entry has reported. An earlier process on the same VM will not report any
    /// more and is removed.
    pub fn record(&mut self, report: &UsageReport) {
        let EntryProcess { node, number } = &report.process;
        self.complete_before
            .retain(|process, _| process.node != *node || process.number == *number);
        let complete_before = self.complete_before.entry(report.process.clone()).or_default();
        *complete_before = report.complete_before.max(*complete_before);
    }

    /// Returns whether a window that ended `ended_ms` ago may be closed. Entries that did not
    /// report within the timeout are not waited for in the next window.
    pub fn may_close(&mut self, window: u64, ended_ms: u64, now: Millis) -> bool {
        if ended_ms < MIN_CLOSE_DELAY_MS {
            return false;
        }
        if ended_ms < REPORT_TIMEOUT_MS {
            let all_reported =
                self.complete_before.values().all(|complete_before| *complete_before > window);
            return all_reported && now.since(self.leader_since) >= NEW_LEADER_WAIT_MS;
        }
        if now.since(self.leader_since) < NEW_LEADER_WAIT_MS {
            // All processes may just have been lost, so that no window could be closed in time.
            // Reports of running entries are still arriving.
            return false;
        }
        self.complete_before.retain(|_, complete_before| *complete_before > window);
        true
    }
}
