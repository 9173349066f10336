//! What admission needs to know of a model's endpoints.

use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Version;

use crate::router::Router;
use crate::score;

/// The room that a model's endpoints have, as this entry sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolCapacity {
    /// Endpoints that could take work now.
    pub endpoints: u32,
    /// Attempts that they may run at once.
    pub slots: u32,
    /// Attempts that they have, estimated.
    pub load: u32,
    /// The least headroom of each over memory, prefill and link, on the mean, in thousandths.
    pub headroom: u32,
}

impl Router {
    /// Sums up the endpoints of this entry's subset that could serve a model now.
    pub fn pool_capacity(
        &self,
        now: Millis,
        model: &Model,
        floor: Option<Version>,
    ) -> PoolCapacity {
        let Some(pool) = self.pools.get(model) else {
            return PoolCapacity::default();
        };
        let mut view = PoolCapacity::default();
        let mut load = 0.0;
        let mut slots = 0.0;
        let mut grown = 0.0;
        for seat in &pool.subset {
            let state = &self.states[seat.0 as usize];
            if !self.usable(now, state, model, floor) {
                continue;
            }
            view.endpoints += 1;
            view.headroom += state.headroom;
            let here = score::load(now, &self.settings, pool, state);
            load += here;
            grown += state.own_in_flight as f32 - state.own_reported as f32;
            let limit = if self.settings.adapt { state.limit.get() } else { state.slots as f32 };
            // The resource that runs out first need not be the one that slots stand for: long
            // prompts exhaust prefill, and what passes between engines the link, while memory
            // looks free. The smallest headroom fraction decides (Polyulya, "Multi-Resource
            // Capacity and the Price of Anarchy", definition 4; docs/ADMISSION.md).
            let short = state.headroom < self.settings.headroom;
            slots += if short { limit.min(here) } else { limit };
        }
        view.headroom /= view.endpoints.max(1);
        // Entries do not see each other's starts until the next report. A trainer's step reaches
        // all of them at once: each would take all the room for its own, and urgent callers would
        // find none. What this entry started since the reports, the others likely did as well.
        if self.settings.mirror {
            load = (load + grown * (pool.peers - 1.0)).max(0.0);
        }
        view.load = load as u32;
        view.slots = slots as u32;
        view
    }
}
