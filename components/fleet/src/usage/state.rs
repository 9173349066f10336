//! What the log holds of usage.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Counts;
use super::EntryProcess;
use super::Totals;

/// Windows as the replicas agree on them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct UsageState {
    /// The window that is closed next; none before the first.
    next: Option<u64>,
    open: BTreeMap<u64, BTreeMap<EntryProcess, Counts>>,
    /// Windows that are closed and not known to be accepted.
    closed: BTreeMap<u64, Counts>,
}

impl UsageState {
    /// Takes in what entries have counted. What comes after its window was closed is left out: the
    /// window may have been reported, and a second report must say the same. Tells how many
    /// requests were left out so.
    pub fn merge(&mut self, totals: Vec<Totals>) -> u64 {
        let mut late = 0;
        for Totals { process: life, window, counts } in totals {
            if self.next.is_some_and(|next| window < next) {
                late += counts.values().sum::<u64>();
                continue;
            }
            let known = self.open.entry(window).or_default().entry(life).or_default();
            for (workspace, count) in counts {
                let total = known.entry(workspace).or_default();
                *total = count.max(*total);
            }
        }
        late
    }

    /// Closes a window, and those before it; forgets those that the platform has accepted. Tells
    /// whether that changed anything.
    pub fn close(&mut self, window: u64, accepted: Option<u64>) -> bool {
        self.closed.retain(|closed, _| accepted.is_none_or(|accepted| *closed > accepted));
        let Some(next) = self.next else {
            // Nothing was counted for anybody to pay before the first window.
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

    /// Gives the window that is closed next; none before the first.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Gives the lives that have counted anything in windows that are open.
    pub fn processes(&self) -> impl Iterator<Item = &EntryProcess> {
        self.open.values().flat_map(|lives| lives.keys())
    }

    /// Gives the first window after another one that is closed and was not accepted.
    pub fn unreported(&self, after: Option<u64>) -> Option<(u64, &Counts)> {
        let mut closed = self.closed.iter();
        let found = closed.find(|(window, _)| after.is_none_or(|after| **window > after));
        found.map(|(window, counts)| (*window, counts))
    }
}
