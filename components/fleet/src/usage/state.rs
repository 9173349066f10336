//! Usage as replicated in the log.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Counts;
use super::EntryProcess;
use super::Totals;

/// Open and closed windows of usage.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct UsageState {
    /// The window that is closed next; `None` before the first one.
    next: Option<u64>,
    open: BTreeMap<u64, BTreeMap<EntryProcess, Counts>>,
    /// Closed windows that are not known to be accepted by the platform.
    closed: BTreeMap<u64, Counts>,
}

impl UsageState {
    /// Merges reported totals. Totals of closed windows are dropped, because the window may have
    /// been reported to the platform and a second report must contain the same counts. Returns the
    /// number of dropped requests.
    pub fn merge(&mut self, totals: Vec<Totals>) -> u64 {
        let mut late = 0;
        for Totals { process, window, counts } in totals {
            if self.next.is_some_and(|next| window < next) {
                late += counts.values().sum::<u64>();
                continue;
            }
            let known = self.open.entry(window).or_default().entry(process).or_default();
            for (workspace, count) in counts {
                let total = known.entry(workspace).or_default();
                *total = count.max(*total);
            }
        }
        late
    }

    /// Closes a window and all windows before it, and removes those that the platform has accepted.
    /// Returns whether the next window to close changed.
    pub fn close(&mut self, window: u64, accepted: Option<u64>) -> bool {
        self.closed.retain(|closed, _| accepted.is_none_or(|accepted| *closed > accepted));
        let Some(next) = self.next else {
            // There is nothing to report for the time before the first window.
            self.next = Some(window + 1);
            self.open.retain(|open, _| *open > window);
            return true;
        };
        for window in next..=window {
            let mut sum = Counts::new();
            for (workspace, count) in
                self.open.remove(&window).into_iter().flatten().flat_map(|l| l.1)
            {
                *sum.entry(workspace).or_default() += count;
            }
            self.closed.insert(window, sum);
        }
        self.next = Some(next.max(window + 1));
        window >= next
    }

    /// Returns the window that is closed next, or `None` before the first one.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Returns the processes with counts in open windows.
    pub fn processes(&self) -> impl Iterator<Item = &EntryProcess> {
        self.open.values().flat_map(|processes| processes.keys())
    }

    /// Returns the first closed window after `after` that was not accepted.
    pub fn unreported(&self, after: Option<u64>) -> Option<(u64, &Counts)> {
        let mut closed = self.closed.iter();
        let found = closed.find(|(window, _)| after.is_none_or(|after| **window > after));
        found.map(|(window, counts)| (*window, counts))
    }
}
