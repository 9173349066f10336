//! The mechanisms that decide where work goes, each of which may be switched off.
//!
//! All of them are on; a switch is there to measure what its mechanism is worth on a deployment
//! (docs/POLICY.md), and to do without one that harms there.

use serde::Deserialize;
use serde::Serialize;

/// Which mechanisms are on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// A second attempt beside the first of a request that may be repeated and takes too long.
    pub second_attempts: bool,
    /// Endpoints that failed or refused are left alone for a while.
    pub penalties: bool,
    /// Attempts go where they took the least time lately; else to the least loaded endpoint.
    pub learned_times: bool,
    /// Of a step's samples the longest start first; else in the order of the step.
    pub longest_first: bool,
    /// A sample goes to an engine that has read its group's prompt, among those as little loaded.
    pub group_homes: bool,
    /// Engines that are slower than usual come last.
    pub engine_paces: bool,
    /// Runs on engines that are far slower than usual go on elsewhere.
    pub slow_moves: bool,
    /// The last results of a step are listed together.
    pub last_together: bool,
    /// A read is answered early so that the next one is under way when a step's last results come.
    pub timed_reads: bool,
    /// What long runs have made is noted on the stores.
    pub run_notes: bool,
    /// A model's engines beyond half take new weights too, when there is room.
    pub spare_loads: bool,
    /// Engines of models whose samples wait load first, then those furthest behind.
    pub load_order: bool,
    /// Runs are hosted in the data centre of their engine.
    pub near_hosts: bool,
    /// One copy of each part lies in the leader's data centre.
    pub near_copies: bool,
    /// Entries read texts of results from stores of their own data centre.
    pub near_reads: bool,
    /// Entries keep results that they have read.
    pub kept_results: bool,
    /// Frames between processes are compressed.
    pub compression: bool,
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
        }
    }
}
