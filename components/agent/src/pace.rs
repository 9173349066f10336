//! Decides when a reader of load reports gets the next one.
//!
//! An entry reads some 48 agents for each model and an agent has a dozen readers (docs/ROUTING.md).
//! A report at every look at the endpoint cost a busy entry several times the bytes that a node
//! may spend on control (docs/CAPACITY.md), while routing holds with reports that are 3 s late,
//! because an entry counts its own attempts and each answer ends with a report. So a reader gets
//! one each 3 s at most. Cache events in between are gathered, not dropped, and a change of
//! versions goes out at once.

use chicoryford_types::LoadReport;
use chicoryford_types::Millis;

/// The least time between two reports to one reader, in milliseconds.
pub const APART_MS: u64 = 3_000;
/// A report is sent after this time even if nothing changed, so that its reader knows that the
/// agent lives. Readers wait for 12 s.
pub const AT_LEAST_MS: u64 = 8_000;
/// Cache events that one report carries at most; the oldest are given up, and the reader's
/// picture of the cache is stale by them, which routing allows for.
const EVENTS: usize = 256;

/// What one reader was sent, and what has gathered since.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    sent: Option<(Millis, LoadReport)>,
    cached: Vec<u64>,
    evicted: Vec<u64>,
    hurried: Option<Millis>,
}

impl Pace {
    /// Takes a report of the watch; it is sent when [`Pace::due`] says so.
    pub fn gather(&mut self, now: Millis, report: &LoadReport) {
        let Some((at, last)) = &self.sent else {
            self.hurried = Some(now);
            return;
        };
        // A prefix that came and went since the last report is not there, and the reverse.
        self.cached.retain(|prefix| !report.evicted.contains(prefix));
        self.evicted.retain(|prefix| !report.cached.contains(prefix));
        gather(&mut self.cached, &report.cached);
        gather(&mut self.evicted, &report.evicted);
        let swapped = report.versions != last.versions;
        let quiet = self.cached.is_empty() && self.evicted.is_empty() && is_same(report, last);
        if quiet && !swapped {
            return;
        }
        let due = if swapped { now } else { *at + APART_MS };
        self.hurried = Some(self.hurried.map_or(due, |before| before.min(due)));
    }

    /// Tells when the next report is to be sent.
    pub fn due(&self) -> Millis {
        match (&self.sent, self.hurried) {
            (None, _) => Millis::default(),
            (Some((at, _)), None) => *at + AT_LEAST_MS,
            (Some((at, _)), Some(hurried)) => hurried.min(*at + AT_LEAST_MS),
        }
    }

    /// Gives the report to be sent now, with the cache events that gathered.
    pub fn give(&mut self, now: Millis, report: &LoadReport) -> LoadReport {
        let first = self.sent.is_none();
        let cached = std::mem::take(&mut self.cached);
        let evicted = std::mem::take(&mut self.evicted);
        self.hurried = None;
        self.sent = Some((now, report.clone()));
        if first {
            return report.clone();
        }
        LoadReport { cached, evicted, ..report.clone() }
    }
}

fn gather(gathered: &mut Vec<u64>, new: &[u64]) {
    for prefix in new {
        if !gathered.contains(prefix) {
            gathered.push(*prefix);
        }
    }
    let over = gathered.len().saturating_sub(EVENTS);
    gathered.drain(..over);
}

/// Tells whether two reports say the same of the load.
fn is_same(a: &LoadReport, b: &LoadReport) -> bool {
    let load = |r: &LoadReport| (r.running, r.waiting, r.rate, r.memory, r.prefill, r.link);
    load(a) == load(b)
}
