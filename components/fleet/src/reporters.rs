//! Which control processes report the announcements that they receive.
//!
//! The leader hears of most announcements only through these reports. If they do not arrive, for
//! instance because the leader is overloaded or control processes have just lost it, then the
//! silence of an endpoint says nothing about the endpoint. Without this distinction, a leader that
//! hears of nobody considers the whole fleet lost, and informing everybody of that keeps it from
//! hearing of anybody (docs/SCALE.md).

use std::collections::BTreeMap;

use chicoryford_types::Millis;

/// Milliseconds without a report after which a control process no longer counts as reporting. They
/// report every second; one report may be late or lost with its connection.
const REPORT_TTL_MS: u64 = 2_500;

/// Identifies a control process that has reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReporterId(u32);

/// A control process that has reported.
#[derive(Debug)]
struct Reporter {
    /// When its last report arrived.
    last_report: Millis,
    /// Whether it reports regularly.
    active: bool,
    /// When it started or stopped to do so.
    changed_at: Millis,
}

/// The control processes that have reported to a leader.
#[derive(Debug, Default)]
pub struct Reporters {
    ids: BTreeMap<String, ReporterId>,
    all: Vec<Reporter>,
    /// The number of reporting control processes without which nobody is considered silent.
    quorum: usize,
    /// The last time at which there were fewer.
    short_at: Millis,
}

impl Reporters {
    /// Sets the number of reporting control processes without which nobody is considered silent: an
    /// endpoint that its control process does not answer turns to another, and is heard of again if
    /// most of them report.
    pub fn set_quorum(&mut self, quorum: usize) {
        self.quorum = quorum;
    }

    /// Records a report of the control process on a VM.
    pub fn record(&mut self, node: &str, now: Millis) -> ReporterId {
        let id = match self.ids.get(node) {
            Some(id) => *id,
            None => {
                let id = ReporterId(self.all.len() as u32);
                self.ids.insert(node.to_owned(), id);
                self.all.push(Reporter { last_report: now, active: false, changed_at: now });
                id
            }
        };
        let reporter = &mut self.all[id.0 as usize];
        if !reporter.active {
            reporter.active = true;
            reporter.changed_at = now;
        }
        reporter.last_report = now;
        id
    }

    /// Notes which control processes no longer report.
    pub fn tick(&mut self, now: Millis) {
        for reporter in self.all.iter_mut().filter(|reporter| reporter.active) {
            if now.since(reporter.last_report) >= REPORT_TTL_MS {
                reporter.active = false;
                reporter.changed_at = now;
            }
        }
        if self.all.iter().filter(|reporter| reporter.active).count() < self.quorum {
            self.short_at = now;
        }
    }

    /// Returns since when an endpoint would have been heard of if it had announced itself. `heard`
    /// is when it was last heard of, and `reporter` the control process that reported it, which
    /// it keeps announcing itself to as long as that process answers.
    pub fn silent_since(&self, heard: Millis, reporter: Option<ReporterId>) -> Millis {
        let changed_at = reporter.map(|id| self.all[id.0 as usize].changed_at).unwrap_or_default();
        heard.max(changed_at).max(self.short_at)
    }
}
