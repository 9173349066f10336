//! Ejects endpoints that fail, and lets them back.

use chicoryford_types::Millis;

use crate::endpoint::AttemptOutcome;
use crate::endpoint::EndpointId;
use crate::router::Router;

/// The share of the mean of failures that one attempt makes.
const FAILURE_WEIGHT: f32 = 0.1;
/// Doublings of the time of ejection.
const MAX_DOUBLINGS: u32 = 5;

impl Router {
    /// Takes in how an attempt fared, and ejects its endpoint where it failed too often in a row.
    ///
    /// An engine that fails each attempt at once is always the least loaded; without ejection it
    /// would draw most of the work and fail it. A silent connection says nothing of its endpoint
    /// (docs/ROUTING.md), and a refusal neither.
    pub(crate) fn record_outcome(&mut self, now: Millis, seat: EndpointId, ending: AttemptOutcome) {
        let failures = self.settings.failures;
        let state = &mut self.states[seat.0 as usize];
        match ending {
            AttemptOutcome::Finished => {
                state.failure_streak = 0;
                state.ejections = state.ejections.saturating_sub(1);
                state.failure_rate -= FAILURE_WEIGHT * state.failure_rate;
            }
            AttemptOutcome::Failed => {
                state.failure_streak += 1;
                state.failure_rate += FAILURE_WEIGHT * (1.0 - state.failure_rate);
            }
            AttemptOutcome::Released | AttemptOutcome::Silent => {}
        }
        let out = state.ejected_until.is_some_and(|until| now < until);
        if state.failure_streak >= failures && !out {
            self.eject(now, seat);
        }
    }

    fn eject(&mut self, now: Millis, seat: EndpointId) {
        if self.settings.protections.cap && !self.may_eject(now, seat) {
            self.counts.spared += 1;
            return;
        }
        let state = &mut self.states[seat.0 as usize];
        let doublings = state.ejections.min(MAX_DOUBLINGS);
        let until = now + (self.settings.eject_ms << doublings);
        state.ejected_until = Some(until);
        state.ejections += 1;
        // After its time one failure is enough to eject it again, and it starts slowly.
        state.failure_streak = self.settings.failures.saturating_sub(1);
        state.usable_since = until;
        self.counts.ejected += 1;
        let endpoint = &state.target.endpoint;
        tracing::warn!(event = "endpoint_ejected", %endpoint, ms = until.since(now));
        self.check_cap(now);
    }

    /// Tells whether one more endpoint may be ejected in every pool that holds this one.
    ///
    /// When all endpoints fail, the fault is likely elsewhere (a bad deployment, a partition);
    /// ejecting all of them would turn many errors into a whole outage.
    fn may_eject(&self, now: Millis, seat: EndpointId) -> bool {
        let cap = self.settings.eject_cap;
        let holds = |pool: &&crate::pool::Pool| pool.subset.contains(&seat);
        self.pools
            .values()
            .filter(holds)
            .all(|pool| pool.ejected_count(now, &self.states) < pool.max_ejected(cap))
    }

    fn check_cap(&mut self, now: Millis) {
        let cap = self.settings.eject_cap;
        let over = |pool: &crate::pool::Pool| {
            pool.ejected_count(now, &self.states) > pool.max_ejected(cap).max(pool.ejected_at_draw)
        };
        if self.pools.values().any(over) {
            self.report_violation("ejections_within_cap");
        }
    }
}
