//! Decides when the next load report is sent to a reader.
//!
//! An entry reads the reports of some 48 agents per model, and an agent has a dozen readers
//! (docs/ROUTING.md). One report per health check cost a busy entry several times the bytes that a
//! node may spend on control traffic (docs/CAPACITY.md). Routing tolerates reports that are 3 s
//! late, because an entry counts its own attempts and each answer ends with a report. So a reader
//! is sent at most one report every 3 s. Cache events in between are accumulated, not dropped, and
//! a change of versions is sent at once.

use chicoryford_types::LoadReport;
use chicoryford_types::Millis;

/// The shortest time between two reports to one reader, in milliseconds.
pub const MIN_REPORT_INTERVAL_MS: u64 = 3_000;
/// The longest time between two reports to one reader, in milliseconds. A report is sent even if
/// nothing changed, because readers consider the agent lost after 12 s without one.
pub const MAX_REPORT_INTERVAL_MS: u64 = 8_000;
/// The maximum number of cache events of each kind in one report. The oldest are dropped; routing
/// tolerates that the reader's view of the cache is then stale.
const MAX_CACHE_EVENTS: usize = 256;

/// The last report sent to one reader, and the cache events accumulated since.
#[derive(Clone, Debug, Default)]
pub struct ReportPacer {
    sent: Option<(Millis, LoadReport)>,
    cached: Vec<u64>,
    evicted: Vec<u64>,
    changed_due: Option<Millis>,
}

impl ReportPacer {
    /// Records a new report of the monitor. It is sent at [`ReportPacer::next_due`].
    pub fn record(&mut self, now: Millis, report: &LoadReport) {
        let Some((at, last)) = &self.sent else {
            self.changed_due = Some(now);
            return;
        };
        // An insertion and an eviction of the same prefix since the last report cancel out.
        self.cached.retain(|prefix| !report.evicted.contains(prefix));
        self.evicted.retain(|prefix| !report.cached.contains(prefix));
        accumulate(&mut self.cached, &report.cached);
        accumulate(&mut self.evicted, &report.evicted);
        let version_changed = report.versions != last.versions;
        let is_unchanged =
            self.cached.is_empty() && self.evicted.is_empty() && has_same_load(report, last);
        if is_unchanged && !version_changed {
            return;
        }
        let due = if version_changed { now } else { *at + MIN_REPORT_INTERVAL_MS };
        self.changed_due = Some(self.changed_due.map_or(due, |before| before.min(due)));
    }

    /// Returns when the next report is due.
    pub fn next_due(&self) -> Millis {
        match (&self.sent, self.changed_due) {
            (None, _) => Millis::default(),
            (Some((at, _)), None) => *at + MAX_REPORT_INTERVAL_MS,
            (Some((at, _)), Some(due)) => due.min(*at + MAX_REPORT_INTERVAL_MS),
        }
    }

    /// Returns the report to send now, with the accumulated cache events, and records it as sent.
    pub fn take_report(&mut self, now: Millis, report: &LoadReport) -> LoadReport {
        let is_first = self.sent.is_none();
        let cached = std::mem::take(&mut self.cached);
        let evicted = std::mem::take(&mut self.evicted);
        self.changed_due = None;
        self.sent = Some((now, report.clone()));
        if is_first {
            return report.clone();
        }
        LoadReport { cached, evicted, ..report.clone() }
    }
}

fn accumulate(accumulated: &mut Vec<u64>, new: &[u64]) {
    for prefix in new {
        if !accumulated.contains(prefix) {
            accumulated.push(*prefix);
        }
    }
    let excess = accumulated.len().saturating_sub(MAX_CACHE_EVENTS);
    accumulated.drain(..excess);
}

/// Returns whether the load figures of two reports are equal.
fn has_same_load(a: &LoadReport, b: &LoadReport) -> bool {
    let load = |r: &LoadReport| (r.running, r.waiting, r.rate, r.memory, r.prefill, r.link);
    load(a) == load(b)
}
