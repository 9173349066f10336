//! An engine as the planner knows it.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use crate::endpoint::Endpoint;
use crate::endpoint::Standing;

/// Milliseconds without news of a pace after which half of it is forgotten.
pub(super) const HALF_MS: f64 = 2_000.0;

/// What the planner knows of an engine.
#[derive(Clone, Debug)]
pub struct Seat {
    /// What the engine announced.
    pub endpoint: Endpoint,
    /// Runs there, by model.
    pub running: BTreeMap<String, u32>,
    /// The model that is being loaded there, or is about to be.
    pub loading: Option<String>,
    pub(super) pace_ms: f64,
    pub(super) paced: Millis,
    pub(super) failures: u32,
    pub(super) until: Millis,
    pub(super) moved: Option<u64>,
}

impl Seat {
    /// Starts without runs.
    pub(super) fn new(endpoint: &Endpoint) -> Self {
        Self {
            endpoint: endpoint.clone(),
            running: BTreeMap::new(),
            loading: None,
            pace_ms: 0.0,
            paced: Millis::default(),
            failures: 0,
            until: Millis::default(),
            moved: None,
        }
    }

    /// Counts the runs there.
    pub fn load(&self) -> u32 {
        self.running.values().sum()
    }

    /// Tells whether it may be given work.
    pub fn is_ready(&self, now: Millis) -> bool {
        let heard_again = self.moved.is_none_or(|since| self.endpoint.said.sequence > since);
        self.endpoint.standing == Standing::Ready && now >= self.until && heard_again
    }

    pub(super) fn room(&self) -> u32 {
        self.endpoint.said.slots.saturating_sub(self.load())
    }

    pub(super) fn pace(&self, now: Millis) -> f64 {
        self.pace_ms * 0.5_f64.powf(now.since(self.paced) as f64 / HALF_MS)
    }
}

/// Ranks an engine for one more run: the least loaded first, a slow one by how slow it is.
pub(super) fn rank(seat: &Seat, usual: f64, now: Millis) -> f64 {
    let slots = f64::from(seat.endpoint.said.slots.max(1));
    let load = f64::from(seat.load()) / slots;
    let slow = if usual > 0.0 { (seat.pace(now) / usual).max(1.0) } else { 1.0 };
    (1.0 + load) * slow
}
