//! An engine as the planner knows it.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use crate::endpoint::Endpoint;
use crate::endpoint::EndpointStatus;

/// Milliseconds without news of a pace after which half of it is forgotten.
pub(super) const HALF_MS: f64 = 2_000.0;

/// What the planner knows of an engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// What the engine announced.
    pub endpoint: Endpoint,
    /// Runs there, by model.
    pub running: BTreeMap<String, u32>,
    /// The model that is being loaded there, or is about to be.
    pub loading: Option<String>,
    pub(super) pace_ms: f64,
    pub(super) paced_at: Millis,
    pub(super) failures: u32,
    pub(super) blocked_until: Millis,
    pub(super) moved_sequence: Option<u64>,
}

impl EngineState {
    /// Starts without runs.
    pub(super) fn new(endpoint: &Endpoint) -> Self {
        Self {
            endpoint: endpoint.clone(),
            running: BTreeMap::new(),
            loading: None,
            pace_ms: 0.0,
            paced_at: Millis::default(),
            failures: 0,
            blocked_until: Millis::default(),
            moved_sequence: None,
        }
    }

    /// Counts the runs there.
    pub fn load(&self) -> u32 {
        self.running.values().sum()
    }

    /// Tells whether it may be given work.
    pub fn is_ready(&self, now: Millis) -> bool {
        let heard_again =
            self.moved_sequence.is_none_or(|since| self.endpoint.announcement.sequence > since);
        self.endpoint.status == EndpointStatus::Ready && now >= self.blocked_until && heard_again
    }

    pub(super) fn free_slots(&self) -> u32 {
        self.endpoint.announcement.slots.saturating_sub(self.load())
    }

    pub(super) fn pace(&self, now: Millis) -> f64 {
        self.pace_ms * 0.5_f64.powf(now.since(self.paced_at) as f64 / HALF_MS)
    }
}

/// Ranks an engine for one more run: the least loaded first, a slow one by how slow it is.
pub(super) fn rank(seat: &EngineState, usual: f64, now: Millis) -> f64 {
    let slots = f64::from(seat.endpoint.announcement.slots.max(1));
    let load = f64::from(seat.load()) / slots;
    let slow = if usual > 0.0 { (seat.pace(now) / usual).max(1.0) } else { 1.0 };
    (1.0 + load) * slow
}
