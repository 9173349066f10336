//! The capacity of a model's endpoints, for admission.

use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Version;

use crate::router::Router;
use crate::score;

/// The capacity and load of a model's endpoints, as estimated by this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolCapacity {
    /// Endpoints that are usable now.
    pub endpoints: u32,
    /// Attempts that they can run concurrently.
    pub slots: u32,
    /// The estimated attempts there.
    pub load: u32,
    /// The mean over the endpoints of their smallest headroom among memory, prefill and link, in
    /// thousandths.
    pub headroom: u32,
}

impl Router {
    /// Sums up the usable endpoints of a model in this entry's subset.
    pub fn pool_capacity(
        &self,
        now: Millis,
        model: &Model,
        floor: Option<Version>,
    ) -> PoolCapacity {
        let Some(pool) = self.pools.get(model) else {
            return PoolCapacity::default();
        };
        let mut capacity = PoolCapacity::default();
        let mut load = 0.0;
        let mut slots = 0.0;
        let mut started_since_report = 0.0;
        for id in &pool.subset {
            let state = &self.states[id.0 as usize];
            if !self.usable(now, state, model, floor) {
                continue;
            }
            capacity.endpoints += 1;
            capacity.headroom += state.headroom;
            let endpoint_load = score::load(now, &self.settings, pool, state);
            load += endpoint_load;
            started_since_report += state.own_in_flight as f32 - state.own_reported as f32;
            let limit = if self.settings.adapt { state.limit.get() } else { state.slots as f32 };
            // The slots do not represent the resource that is exhausted first: long prompts exhaust
            // prefill, and traffic between engines the link, while memory is free. The smallest
            // headroom decides (Polyulya, "Multi-Resource Capacity and the Price of Anarchy",
            // definition 4; docs/ADMISSION.md).
            let is_exhausted = state.headroom < self.settings.headroom;
            slots += if is_exhausted { limit.min(endpoint_load) } else { limit };
        }
        capacity.headroom /= capacity.endpoints.max(1);
        // Entries do not see each other's starts until the next report. The step of a trainer
        // reaches all entries at the same time: each would use all of the capacity, and none would
        // be left for urgent requests. The other entries are therefore assumed to have started as
        // many attempts as this one since the reports.
        if self.settings.mirror {
            load = (load + started_since_report * (pool.peers - 1.0)).max(0.0);
        }
        capacity.load = load as u32;
        capacity.slots = slots as u32;
        capacity
    }
}
