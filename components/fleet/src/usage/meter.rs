//! Counts at an entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Counts;
use super::EntryProcess;
use super::Totals;
use super::UsageReport;

/// Windows that are kept, to be told again to the next leader.
const KEPT: usize = 12;

/// Counts the requests that began to run, by window and workspace.
#[derive(Debug, Default)]
pub struct Meter {
    process: EntryProcess,
    counts: BTreeMap<u64, Counts>,
    /// Counts that were not told since they grew.
    unreported: BTreeSet<(u64, String)>,
    /// Requests that are under way, by the window in which they came.
    running: BTreeMap<u64, u32>,
    /// The window before which all was told.
    complete_before: u64,
}

impl Meter {
    /// Starts to count in a life that is told from all others.
    pub fn new(life: EntryProcess) -> Self {
        Self { process: life, ..Self::default() }
    }

    /// Notes that a request came in a window. Until it has ended, the window is not told as complete:
    /// it is known only then whether it began to run, and when.
    pub fn begin_request(&mut self, window: u64) {
        *self.running.entry(window).or_default() += 1;
    }

    /// Notes that a request has ended that came in a window, and in which window it began to run, if
    /// it did.
    pub fn end_request(&mut self, came: u64, workspace: &str, began: Option<u64>) {
        if let Some(running) = self.running.get_mut(&came) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(&came);
            }
        }
        let Some(window) = began else { return };
        let count = self.counts.entry(window).or_default();
        *count.entry(workspace.to_owned()).or_default() += 1;
        self.unreported.insert((window, workspace.to_owned()));
        while self.counts.len() > KEPT {
            self.counts.pop_first();
        }
    }

    /// Begins to tell a leader that knows nothing.
    pub fn resend_all(&mut self) {
        self.complete_before = 0;
        let all = self.counts.iter().flat_map(|(window, counts)| {
            counts.keys().map(move |workspace| (*window, workspace.clone()))
        });
        self.unreported = all.collect();
    }

    /// Gives what is to be told in the window that lasts now; none if there is no news.
    pub fn next_report(&mut self, window: u64) -> Option<UsageReport> {
        let first = self.running.first_key_value().map(|(first, _)| *first);
        let before = first.unwrap_or(window).min(window);
        if self.unreported.is_empty() && before <= self.complete_before {
            return None;
        }
        self.complete_before = self.complete_before.max(before);
        let mut totals: BTreeMap<u64, Counts> = BTreeMap::new();
        for (window, workspace) in std::mem::take(&mut self.unreported) {
            let count = self.counts.get(&window).and_then(|counts| counts.get(&workspace));
            if let Some(count) = count {
                totals.entry(window).or_default().insert(workspace, *count);
            }
        }
        let life = || self.process.clone();
        let totals =
            totals.into_iter().map(|(window, counts)| Totals { process: life(), window, counts });
        Some(UsageReport {
            process: life(),
            complete_before: self.complete_before,
            totals: totals.collect(),
        })
    }
}
