//! Counts requests at an entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Counts;
use super::EntryProcess;
use super::Totals;
use super::UsageReport;

/// Number of windows that are kept so that they can be reported again to the next leader.
const MAX_WINDOWS: usize = 12;

/// Counts requests that started to run, by window and workspace.
#[derive(Debug, Default)]
pub struct Meter {
    process: EntryProcess,
    counts: BTreeMap<u64, Counts>,
    /// Counts that have grown since they were last reported.
    unreported: BTreeSet<(u64, String)>,
    /// Requests in flight, by the window in which they arrived.
    running: BTreeMap<u64, u32>,
    /// All windows before this one were reported completely.
    complete_before: u64,
}

impl Meter {
    /// Creates the meter of a process, whose identity differs from that of any other process.
    pub fn new(process: EntryProcess) -> Self {
        Self { process, ..Self::default() }
    }

    /// Records that a request arrived in a window. The window is not reported as complete until the
    /// request has ended, because only then is it known whether and when the request started to
    /// run.
    pub fn begin_request(&mut self, window: u64) {
        *self.running.entry(window).or_default() += 1;
    }

    /// Records the end of a request that arrived in window `arrived`. `started` is the window in
    /// which it started to run, if it did.
    pub fn end_request(&mut self, arrived: u64, workspace: &str, started: Option<u64>) {
        if let Some(running) = self.running.get_mut(&arrived) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(&arrived);
            }
        }
        let Some(window) = started else { return };
        let count = self.counts.entry(window).or_default();
        *count.entry(workspace.to_owned()).or_default() += 1;
        self.unreported.insert((window, workspace.to_owned()));
        while self.counts.len() > MAX_WINDOWS {
            self.counts.pop_first();
        }
    }

    /// Marks all counts as unreported, for a new leader.
    pub fn resend_all(&mut self) {
        self.complete_before = 0;
        let all = self.counts.iter().flat_map(|(window, counts)| {
            counts.keys().map(move |workspace| (*window, workspace.clone()))
        });
        self.unreported = all.collect();
    }

    /// Returns the report to send during the current window, or `None` if there is nothing new.
    pub fn next_report(&mut self, window: u64) -> Option<UsageReport> {
        let first_running = self.running.first_key_value().map(|(first_running, _)| *first_running);
        let complete_before = first_running.unwrap_or(window).min(window);
        if self.unreported.is_empty() && complete_before <= self.complete_before {
            return None;
        }
        self.complete_before = self.complete_before.max(complete_before);
        let mut totals: BTreeMap<u64, Counts> = BTreeMap::new();
        for (window, workspace) in std::mem::take(&mut self.unreported) {
            let count = self.counts.get(&window).and_then(|counts| counts.get(&workspace));
            if let Some(count) = count {
                totals.entry(window).or_default().insert(workspace, *count);
            }
        }
        let process = || self.process.clone();
        let totals = totals.into_iter().map(|(window, counts)| Totals {
            process: process(),
            window,
            counts,
        });
        Some(UsageReport {
            process: process(),
            complete_before: self.complete_before,
            totals: totals.collect(),
        })
    }
}
