//! What each workspace used: the requests that began to run in each window of time.
//!
//! Entries count ([`Meter`]) and tell the leader running totals, which it writes into the log
//! ([`UsageState`]). A window is closed once all entries have told of it, or have been waited for long
//! enough ([`ReportTracker`]); from then on its counts never change, so whoever leads reports the same.

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

/// One life of an entry's process. What it counted is gone with it, but for what it has told; the
/// process that is started in its place counts anew, beside it.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct EntryProcess {
    /// The VM.
    pub node: String,
    /// A number drawn at its start, not read from a clock that may be set back.
    pub number: u64,
}

/// What one life of an entry has counted of a window. Totals only grow, so it does not matter how
/// often and in which order they are told.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Totals {
    /// The life.
    pub process: EntryProcess,
    /// The window.
    pub window: u64,
    /// Its totals of the workspaces that have more than was told before.
    pub counts: Counts,
}

/// What an entry tells.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct UsageReport {
    /// Its life.
    pub process: EntryProcess,
    /// It has told all of the windows before this one.
    pub complete_before: u64,
    /// What it has counted since it told last.
    pub totals: Vec<Totals>,
}

/// Windows of time, numbered since the start of 1970.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Windows {
    /// Milliseconds of one.
    pub length_ms: u64,
}

impl Windows {
    /// Gives the window in which a time lies.
    pub fn at(&self, time: Unix) -> u64 {
        time.0 / self.length_ms
    }

    /// Gives the milliseconds since the end of a window; none while it lasts.
    pub fn since_end(&self, window: u64, time: Unix) -> Option<u64> {
        time.0.checked_sub((window + 1) * self.length_ms)
    }
}
