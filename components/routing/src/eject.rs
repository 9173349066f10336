//! Ejects endpoints that fail, and lets them back.

use chicoryford_types::Millis;

use crate::router::Router;
use crate::seat::Ending;
use crate::seat::Seat;

/// The share of the mean of failures that one attempt makes.
const FAILING: f32 = 0.1;
/// Doublings of the time of ejection.
const DOUBLINGS: u32 = 5;

impl Router {
    /// Takes in how an attempt fared, and ejects its endpoint where it failed too often in a row.
    ///
    /// An engine that fails each attempt at once is always the least loaded; without ejection it
    /// would draw most of the work and fail it. A silent connection says nothing of its endpoint
    /// (docs/ROUTING.md), and a refusal neither.
    pub(crate) fn judge(&mut self, now: Millis, seat: Seat, ending: Ending) {
        let failures = self.settings.failures;
        let state = &mut self.states[seat.0 as usize];
        match ending {
            Ending::Finished => {
                state.row = 0;
                state.ejections = state.ejections.saturating_sub(1);
                state.failing -= FAILING * state.failing;
            }
            Ending::Failed => {
                state.row += 1;
                state.failing += FAILING * (1.0 - state.failing);
            }
            Ending::Released | Ending::Silent => {}
        }
        let out = state.ejected.is_some_and(|until| now < until);
        if state.row >= failures && !out {
            self.eject(now, seat);
        }
    }

    fn eject(&mut self, now: Millis, seat: Seat) {
        if self.settings.protections.cap && !self.has_room(now, seat) {
            self.counts.spared += 1;
            return;
        }
        let state = &mut self.states[seat.0 as usize];
        let doublings = state.ejections.min(DOUBLINGS);
        let until = now + (self.settings.eject_ms << doublings);
        state.ejected = Some(until);
        state.ejections += 1;
        // After its time one failure is enough to eject it again, and it starts slowly.
        state.row = self.settings.failures.saturating_sub(1);
        state.fresh = until;
        self.counts.ejected += 1;
        let endpoint = &state.target.endpoint;
        tracing::warn!(event = "endpoint_ejected", %endpoint, ms = until.since(now));
        self.check_cap(now);
    }

    /// Tells whether one more endpoint may be ejected in every pool that holds this one.
    ///
    /// When all endpoints fail, the fault is likely elsewhere (a bad deployment, a partition);
    /// ejecting all of them would turn many errors into a whole outage.
    fn has_room(&self, now: Millis, seat: Seat) -> bool {
        let cap = self.settings.eject_cap;
        let holds = |pool: &&crate::pool::Pool| pool.seats.contains(&seat);
        self.pools
            .values()
            .filter(holds)
            .all(|pool| pool.ejected(now, &self.states) < pool.ejectable(cap))
    }

    fn check_cap(&mut self, now: Millis) {
        let cap = self.settings.eject_cap;
        let over = |pool: &crate::pool::Pool| {
            pool.ejected(now, &self.states) > pool.ejectable(cap).max(pool.shrunk)
        };
        if self.pools.values().any(over) {
            self.promise_broken("ejections_within_cap");
        }
    }
}
