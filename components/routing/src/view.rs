//! What admission needs to know of a model's endpoints.

use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Version;

use crate::router::Router;
use crate::score;

/// The room that a model's endpoints have, as this entry sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
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
    pub fn view(&self, now: Millis, model: &Model, floor: Option<Version>) -> View {
        let Some(pool) = self.pools.get(model) else {
            return View::default();
        };
        let mut view = View::default();
        let mut load = 0.0;
        let mut slots = 0.0;
        for seat in &pool.seats {
            let state = &self.states[seat.0 as usize];
            if !self.usable(now, state, model, floor) {
                continue;
            }
            view.endpoints += 1;
            view.headroom += state.headroom;
            load += score::load(now, &self.settings, pool, state);
            slots += if self.settings.adapt { state.limit.get() } else { state.slots as f32 };
        }
        view.headroom /= view.endpoints.max(1);
        view.load = load as u32;
        view.slots = slots as u32;
        view
    }
}
