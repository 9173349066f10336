//! What may be set of admission; docs/TUNING.md tells operators which to touch and when.

use serde::Deserialize;
use serde::Serialize;

/// What may be set of admission.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The share of a model's slots that trainers' samples may fill.
    pub batch_share: f32,
    /// The share of a model's slots that samples and ordinary callers may fill together.
    pub normal_share: f32,
    /// The share of a model's slots that urgent callers may fill; past one they wait at agents.
    pub urgent_share: f32,
    /// The share of starts that waiting samples are owed while callers start.
    pub batch_floor: f32,
    /// The share of the places in the queue that samples keep.
    pub batch_places: f32,
    /// Requests that wait at once, over all models.
    pub waiting: usize,
    /// Of attempts, the share that finishes sooner than the finish by which a request is judged
    /// to have no chance: the share of refusals for lack of time that may prove needless.
    pub needless: f32,
    /// Retries that may be saved up.
    pub retry_burst: f32,
    /// Milliseconds before a first retry; each next one waits twice as long.
    pub retry_ms: u64,
    /// Milliseconds before a retry at most.
    pub retry_most_ms: u64,
    /// Hedges at once, as a share of the requests that run.
    pub hedge_share: f32,
    /// How many times the expected duration a sample must have run before it is hedged.
    pub hedge_after: f32,
    /// The share of a group that may be left when hedging begins.
    pub hedge_last: f32,
    /// The share of slots in use past which nothing is hedged.
    pub hedge_load: f32,
    /// Which protections are on; only tests turn one off.
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

/// Protections that tests turn off one at a time, to see that the checks notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// Room is reserved for more urgent classes.
    pub reserve: bool,
    /// The queue is bounded.
    pub bound: bool,
    /// Workspaces are held to their limits.
    pub limits: bool,
    /// Retries are held to their budget.
    pub budget: bool,
    /// A request that was refused is forgotten.
    pub forget: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self { reserve: true, bound: true, limits: true, budget: true, forget: true }
    }
}
