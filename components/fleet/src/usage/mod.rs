//! Usage accounting: the number of requests of each workspace that started to run in each time
//! window.
//!
//! Entries count ([`Meter`]) and report running totals to the leader, which writes them to the log
//! ([`UsageState`]). A window is closed once all entries have reported it completely or the wait
//! for them has timed out ([`ReportTracker`]). After that its counts never change, so every leader
//! reports the same numbers.

mod meter;
mod state;
mod tracker;

use std::collections::BTreeMap;

use chicoryford_types::Unix;
use serde::Deserialize;
use serde::Serialize;

pub use meter::Meter;
pub use state::UsageState;
pub use tracker::ReportTracker;

/// Requests by workspace.
pub type Counts = BTreeMap<String, u64>;

/// The process of an entry. Counts that it has not reported are lost with it; the process that
/// replaces it counts separately.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct EntryProcess {
    /// The VM.
    pub node: String,
    /// A random number chosen at its start. A clock reading could repeat, because clocks may be set
    /// back.
    pub number: u64,
}

/// The counts of a process in a window. Totals only grow, so it does not matter how often and in
/// which order they are reported.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Totals {
    /// The process.
    pub process: EntryProcess,
    /// The window.
    pub window: u64,
    /// The totals of the workspaces that have grown since the last report.
    pub counts: Counts,
}

/// A usage report of an entry.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct UsageReport {
    /// The process of the entry.
    pub process: EntryProcess,
    /// All windows before this one have been reported completely.
    pub complete_before: u64,
    /// The totals that have grown since the last report.
    pub totals: Vec<Totals>,
}

/// Time windows, numbered from the start of 1970.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Windows {
    /// The length of a window in milliseconds.
    pub length_ms: u64,
}

impl Windows {
    /// Returns the window that contains a time.
    pub fn at(&self, time: Unix) -> u64 {
        time.0 / self.length_ms
    }

    /// Returns the milliseconds since the end of a window, or `None` before its end.
    pub fn since_end(&self, window: u64, time: Unix) -> Option<u64> {
        time.0.checked_sub((window + 1) * self.length_ms)
    }
}
