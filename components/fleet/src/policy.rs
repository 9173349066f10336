//! Switches for the mechanisms that decide where work is sent.
//!
//! Most of them are enabled by default. Disabling one serves to measure its effect on a deployment
//! (docs/POLICY.md), or to avoid it where it does harm. Mechanisms that only some deployments need
//! are disabled by default.

use serde::Deserialize;
use serde::Serialize;

/// Which mechanisms are enabled.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Start a second, concurrent attempt for an idempotent request that takes too long.
    pub second_attempts: bool,
    /// Avoid endpoints for some time after they failed or refused a request.
    pub penalties: bool,
    /// Send attempts to the endpoint with the shortest recent durations instead of the least loaded
    /// one.
    pub learned_times: bool,
    /// Start the longest samples of a step first instead of in the order of the step.
    pub longest_first: bool,
    /// Prefer engines that have read the prompt of a sample's group, among equally loaded ones.
    pub group_homes: bool,
    /// Assign runs to engines slower than usual only after the others.
    pub engine_paces: bool,
    /// Prefer engines that are always faster than the others for the samples that decide when their
    /// step ends. Disabled by default.
    pub engine_speeds: bool,
    /// Move runs away from engines that are much slower than usual.
    pub slow_moves: bool,
    /// List the last results of a step together.
    pub last_together: bool,
    /// Answer a read early so that the next one is pending when the last results of a step arrive.
    pub timed_reads: bool,
    /// Write checkpoints of long runs to the stores.
    pub run_notes: bool,
    /// Load new weights on more than half of the engines of a model if the load limit permits.
    pub spare_loads: bool,
    /// Load weights first on engines of models with waiting samples, then on those with the oldest
    /// versions.
    pub load_order: bool,
    /// Host runs in the data centre of their engine.
    pub near_hosts: bool,
    /// Keep one copy of each part in the data centre of the leader.
    pub near_copies: bool,
    /// Let entries read result texts from stores in their own data centre.
    pub near_reads: bool,
    /// Cache results that entries have read.
    pub kept_results: bool,
    /// Compress frames between processes.
    pub compression: bool,
    /// Limit the concurrent scorers' calls of a host at each endpoint, so that callers find free
    /// slots. Disabled by default.
    pub paced_scorers: bool,
    /// Start another attempt if one has no connection after some round trips; off by default.
    pub connect_fallback: bool,
    /// Inform other processes, through the leader, which endpoints of plain services are
    /// unreachable. Disabled by default.
    pub shared_reachability: bool,
    /// Let an entry that approaches its limits divert new connections and refuse new requests.
    /// Disabled by default.
    pub overload_protection: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            second_attempts: true,
            penalties: true,
            learned_times: true,
            longest_first: true,
            group_homes: true,
            engine_paces: true,
            engine_speeds: false,
            slow_moves: true,
            last_together: true,
            timed_reads: true,
            run_notes: true,
            spare_loads: true,
            load_order: true,
            near_hosts: true,
            near_copies: true,
            near_reads: true,
            kept_results: true,
            compression: true,
            paced_scorers: false,
            connect_fallback: false,
            shared_reachability: false,
            overload_protection: false,
        }
    }
}
