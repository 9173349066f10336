//! Shares between processes which endpoints of plain services cannot be connected to.
//!
//! A connection to an unreachable endpoint costs a caller up to a quarter of a second, and without
//! sharing each process discovers each such endpoint for itself. Members report failed connections
//! to the leader ([`LocalReachability`]). The leader marks an endpoint once two processes report
//! it, and broadcasts the marked ones ([`ReachabilityTracker`]).

mod local;
mod tracker;

use std::collections::BTreeMap;

use chicoryford_types::Millis;
use serde::Deserialize;
use serde::Serialize;

pub use local::LocalReachability;
pub use tracker::ReachabilityTracker;
pub use tracker::Reason;
pub use tracker::Transition;

/// Milliseconds within which different processes must report an endpoint for it to be marked.
const MARK_WINDOW_MS: u64 = 1_000;
/// Milliseconds after the last report for which an endpoint stays marked, if there are enough
/// processes to probe each marked endpoint about once per second.
const MARK_MS: u64 = 2_000;
/// Minimum milliseconds between two probes of a process.
const MIN_PROBE_INTERVAL_MS: u64 = 1_000;

/// The endpoints that the leader has marked as unreachable.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct UnreachableSet {
    /// The start time of each endpoint by its id. The mark does not apply to a later start.
    pub endpoints: BTreeMap<String, u64>,
    /// Milliseconds between two probes of one process, which depend on the number of processes.
    pub probe_ms: u64,
}

/// A connection result that a member reports to the leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The endpoint id.
    pub endpoint: String,
    /// The start time of the endpoint.
    pub started_ms: u64,
    /// Whether the connection was established.
    pub reached: bool,
}

/// Returns whether a report of this time counts for marking.
fn is_in_window(at: Millis, now: Millis) -> bool {
    now.since(at) <= MARK_WINDOW_MS
}
