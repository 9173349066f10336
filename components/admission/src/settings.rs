//! The settings of admission; docs/TUNING.md describes which to change and when.

use serde::Deserialize;
use serde::Serialize;

/// The settings of admission.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The share of a model's slots that samples of trainers may use.
    pub batch_share: f32,
    /// The share of a model's slots that samples and normal requests may use together.
    pub normal_share: f32,
    /// The share of a model's slots that urgent requests may use; above 1 they queue at the agents.
    pub urgent_share: f32,
    /// The share of starts that waiting samples are credited with while other requests start.
    pub batch_floor: f32,
    /// The share of the queue that is reserved for samples.
    pub batch_places: f32,
    /// The capacity of the queue, in requests over all models.
    pub waiting: usize,
    /// The quantile of actual over expected durations by which a request is refused because it
    /// cannot meet its deadline. It is also the share of such refusals that may be unnecessary.
    pub needless: f32,
    /// The most unused retries that a workspace can accumulate.
    pub retry_burst: f32,
    /// Milliseconds before a first retry; doubles with each further one.
    pub retry_ms: u64,
    /// The longest delay before a retry, in milliseconds.
    pub retry_most_ms: u64,
    /// The most concurrent hedges, as a share of the running requests.
    pub hedge_share: f32,
    /// The multiple of its expected duration after which a sample may be hedged.
    pub hedge_after: f32,
    /// The share of a group that may be unfinished when hedging begins.
    pub hedge_last: f32,
    /// The share of slots in use above which no hedge starts.
    pub hedge_load: f32,
    /// Which protections are enabled; only tests disable one.
    #[serde(skip)]
    pub protections: Protections,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            batch_share: 0.85,
            normal_share: 0.92,
            urgent_share: 1.25,
            batch_floor: 0.05,
            batch_places: 0.25,
            waiting: 4_096,
            needless: 0.02,
            retry_burst: 10.0,
            retry_ms: 20,
            retry_most_ms: 2_000,
            hedge_share: 0.05,
            hedge_after: 1.5,
            hedge_last: 0.125,
            hedge_load: 0.85,
            protections: Protections::default(),
        }
    }
}

/// Protections that tests disable one at a time, to verify that the checks detect the loss.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// Capacity is reserved for more urgent classes.
    pub reserve: bool,
    /// The queue is bounded.
    pub bound: bool,
    /// Workspaces are held to their limits.
    pub limits: bool,
    /// Retries are held to their budget.
    pub budget: bool,
    /// A refused request is removed from the queue.
    pub forget: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self { reserve: true, bound: true, limits: true, budget: true, forget: true }
    }
}
