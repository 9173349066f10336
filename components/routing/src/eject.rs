//! Ejection of failing endpoints, and their return.

use chicoryford_types::Millis;

use crate::endpoint::AttemptOutcome;
use crate::endpoint::EndpointId;
use crate::router::Router;

/// The weight of one attempt in the running failure rate.
const FAILURE_WEIGHT: f32 = 0.1;
/// The most doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 5;

impl Router {
    /// Records the outcome of an attempt, and ejects its endpoint after too many consecutive
    /// failures.
    ///
    /// An engine that fails every attempt at once is always the least loaded; without ejection it
    /// would receive most of the requests and fail them. A silent connection is no evidence against
    /// its endpoint (docs/ROUTING.md), and neither is a refusal.
    pub(crate) fn record_outcome(&mut self, now: Millis, id: EndpointId, outcome: AttemptOutcome) {
        let failures = self.settings.failures;
        let state = &mut self.states[id.0 as usize];
        match outcome {
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
        let is_ejected = state.ejected_until.is_some_and(|until| now < until);
        if state.failure_streak >= failures && !is_ejected {
            self.eject(now, id);
        }
    }

    fn eject(&mut self, now: Millis, id: EndpointId) {
        if self.settings.protections.cap && !self.may_eject(now, id) {
            self.counts.spared += 1;
            return;
        }
        let state = &mut self.states[id.0 as usize];
        let doublings = state.ejections.min(MAX_DOUBLINGS);
        let until = now + (self.settings.eject_ms << doublings);
        state.ejected_until = Some(until);
        state.ejections += 1;
        // After the ejection, one more failure ejects it again, and its load grows slowly.
        state.failure_streak = self.settings.failures.saturating_sub(1);
        state.usable_since = until;
        self.counts.ejected += 1;
        let endpoint = &state.target.endpoint;
        tracing::warn!(event = "endpoint_ejected", %endpoint, ms = until.since(now));
        self.check_cap(now);
    }

    /// Returns whether one more endpoint may be ejected in every pool whose subset contains this
    /// one.
    ///
    /// When all endpoints fail, the cause is probably elsewhere (a faulty deployment, a network
    /// partition). Ejecting all of them would turn many errors into a complete outage.
    fn may_eject(&self, now: Millis, id: EndpointId) -> bool {
        let cap = self.settings.eject_cap;
        let contains_id = |pool: &&crate::pool::Pool| pool.subset.contains(&id);
        self.pools
            .values()
            .filter(contains_id)
            .all(|pool| pool.ejected_count(now, &self.states) < pool.max_ejected(cap))
    }

    fn check_cap(&mut self, now: Millis) {
        let cap = self.settings.eject_cap;
        let exceeds_cap = |pool: &crate::pool::Pool| {
            pool.ejected_count(now, &self.states) > pool.max_ejected(cap).max(pool.ejected_at_draw)
        };
        if self.pools.values().any(exceeds_cap) {
            self.report_violation("ejections_within_cap");
        }
    }
}
