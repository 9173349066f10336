//! The choice itself.

use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Version;
use rand::Rng;

use crate::cache::CacheEntry;
use crate::endpoint::EndpointId;
use crate::endpoint::EndpointState;
use crate::pool::Pool;
use crate::request::Choice;
use crate::request::ChoiceReason;
use crate::request::NoEndpoint;
use crate::request::RouteRequest;
use crate::router::Router;
use crate::score;
use crate::score::Score;
use crate::settings::Rule;

/// How far a hold is believed after reports were missing, which may have told of its eviction.
const GAP_CONFIDENCE: f32 = 0.5;
/// How far the home of a prefix that nobody is known to hold is preferred, as a share of prefill.
const HOME_CONFIDENCE: f32 = 0.25;
/// The load, as a share of the limit, from which probing takes an endpoint for a loaded one.
const HIGH_LOAD_SHARE: f32 = 0.8;

#[derive(Clone, Copy)]
struct ScoredEndpoint {
    endpoint: EndpointId,
    reason: ChoiceReason,
    score: Score,
    rank: f32,
}

impl Router {
    /// Chooses the endpoint of an attempt. The caller then reports [`Self::started`].
    ///
    /// # Errors
    ///
    /// [`NoEndpoint`] tells why no endpoint will do.
    pub fn choose(&mut self, now: Millis, want: &RouteRequest<'_>) -> Result<Choice, NoEndpoint> {
        let Some(pool) = self.pools.get_mut(want.model) else {
            self.counts.none += 1;
            return Err(NoEndpoint::Unserved);
        };
        let turn = pool.next_turn;
        pool.next_turn = pool.next_turn.wrapping_add(1);
        let start = self.rng.random_range(0..usize::MAX);
        let best = self.select(now, want, turn, start);
        let Some(best) = best else {
            self.counts.none += 1;
            return Err(self.failure_reason(now, want));
        };
        self.counts.chosen += 1;
        self.counts.cached += u64::from(best.reason == ChoiceReason::Cached);
        self.counts.outside += u64::from(best.reason == ChoiceReason::Outside);
        self.check_invariants(now, want, best.endpoint);
        Ok(Choice {
            endpoint: best.endpoint,
            reason: best.reason,
            expected_ms: best.score.finish_ms as u64,
        })
    }

    fn select(
        &mut self,
        now: Millis,
        want: &RouteRequest<'_>,
        turn: usize,
        start: usize,
    ) -> Option<ScoredEndpoint> {
        if want.suspect
            && let Some(best) = self.isolated(now, want)
        {
            return Some(best);
        }
        let best = match self.settings.rule {
            Rule::RoundRobin => self.first_eligible(now, want, turn),
            Rule::Random => self.first_eligible(now, want, start),
            Rule::LeastInFlight => self.least_in_flight(now, want, start),
            Rule::TwoChoices => self.best_of_random(now, want, 2, |score| score.load_share),
            Rule::Probing => self.best_of_random(now, want, self.settings.draws, probing_rank),
            Rule::LeastFinish => self.least_finish(now, want),
        };
        best.or_else(|| self.first_eligible(now, want, start))
            .or_else(|| self.outside_subset(now, want, start))
    }

    /// Tells whether an endpoint could serve a model now.
    pub(crate) fn usable(
        &self,
        now: Millis,
        state: &EndpointState,
        model: &Model,
        floor: Option<Version>,
    ) -> bool {
        let on = &self.settings.protections;
        let leaves = on.drain && state.draining;
        let ejected = on.eject && state.ejected_until.is_some_and(|until| now < until);
        if !state.present || !state.healthy || leaves || ejected {
            return false;
        }
        let version = state.version(model);
        match floor {
            Some(floor) if on.floor => version.is_some_and(|version| version >= floor),
            _ => version.is_some(),
        }
    }

    fn eligible(&self, now: Millis, want: &RouteRequest<'_>, seat: EndpointId) -> bool {
        let excluded = self.settings.protections.exclude && want.exclude.contains(&seat);
        !excluded && self.usable(now, self.state_of(seat), want.model, want.floor)
    }

    fn state_of(&self, seat: EndpointId) -> &EndpointState {
        &self.states[seat.0 as usize]
    }

    fn score(
        &self,
        now: Millis,
        want: &RouteRequest<'_>,
        pool: &Pool,
        seat: EndpointId,
        cached: f32,
    ) -> Score {
        score::score(now, &self.settings, pool, self.state_of(seat), want, cached)
    }

    /// Gives the first that will do, from a place on.
    fn first_eligible(
        &self,
        now: Millis,
        want: &RouteRequest<'_>,
        from: usize,
    ) -> Option<ScoredEndpoint> {
        let pool = self.pools.get(want.model)?;
        let len = pool.subset.len();
        let seat = (0..len)
            .map(|n| pool.subset[(from % len + n) % len])
            .find(|seat| self.eligible(now, want, *seat))?;
        let score = self.score(now, want, pool, seat, 0.0);
        Some(ScoredEndpoint { endpoint: seat, reason: ChoiceReason::Best, score, rank: score.rank })
    }

    /// Gives the one with the fewest own attempts in flight.
    fn least_in_flight(
        &self,
        now: Millis,
        want: &RouteRequest<'_>,
        from: usize,
    ) -> Option<ScoredEndpoint> {
        let pool = self.pools.get(want.model)?;
        let len = pool.subset.len();
        let seat = (0..len)
            .map(|n| pool.subset[(from % len + n) % len])
            .filter(|seat| self.eligible(now, want, *seat))
            .min_by_key(|seat| self.state_of(*seat).own_in_flight)?;
        let score = self.score(now, want, pool, seat, 0.0);
        Some(ScoredEndpoint { endpoint: seat, reason: ChoiceReason::Best, score, rank: score.rank })
    }

    /// Gives the best of a few drawn at random.
    fn best_of_random(
        &mut self,
        now: Millis,
        want: &RouteRequest<'_>,
        draws: usize,
        rank: impl Fn(&Score) -> f32,
    ) -> Option<ScoredEndpoint> {
        let len = self.pools.get(want.model)?.subset.len();
        let mut best: Option<ScoredEndpoint> = None;
        let mut left = draws;
        // Draws that hit an endpoint that will not do are repeated, but not without end.
        for _ in 0..draws * 4 {
            if left == 0 || len == 0 {
                break;
            }
            let n = self.rng.random_range(0..len);
            let pool = self.pools.get(want.model)?;
            let seat = pool.subset[n];
            if !self.eligible(now, want, seat) {
                continue;
            }
            left -= 1;
            let score = self.score(now, want, pool, seat, 0.0);
            let rank = rank(&score);
            if best.is_none_or(|best| rank < best.rank) {
                best = Some(ScoredEndpoint {
                    endpoint: seat,
                    reason: ChoiceReason::Best,
                    score,
                    rank,
                });
            }
        }
        best
    }

    /// Gives the one expected to finish first, of a few drawn at random, those that hold the
    /// prefix and its home.
    fn least_finish(&mut self, now: Millis, want: &RouteRequest<'_>) -> Option<ScoredEndpoint> {
        let best = self.best_of_random(now, want, self.settings.draws, |score| score.rank)?;
        let Some(prefix) = want.prefix else {
            return Some(best);
        };
        let pool = self.pools.get(want.model)?;
        let mut chosen = best;
        let mut known = false;
        for hold in self.directory.holders(prefix) {
            let cached = self.cache_confidence(now, hold);
            known |= cached > 0.0;
            let found =
                self.prefix_candidate(now, want, pool, hold.endpoint, cached, ChoiceReason::Cached);
            chosen = better_of(chosen, found);
        }
        if !known && let Some(home) = pool.home(prefix) {
            let found =
                self.prefix_candidate(now, want, pool, home, HOME_CONFIDENCE, ChoiceReason::Home);
            chosen = better_of(chosen, found);
        }
        Some(chosen)
    }

    /// Weighs an endpoint that may hold the prefix, unless it is loaded past the bound.
    ///
    /// The finish expected there already counts the load; the bound is needed because loads are
    /// estimates, and a popular prefix would otherwise draw all entries to one endpoint between
    /// two reports (compare consistent hashing with bounded loads).
    fn prefix_candidate(
        &self,
        now: Millis,
        want: &RouteRequest<'_>,
        pool: &Pool,
        seat: EndpointId,
        cached: f32,
        why: ChoiceReason,
    ) -> Option<ScoredEndpoint> {
        if cached <= 0.0 || !self.eligible(now, want, seat) || !self.serves(want, seat) {
            return None;
        }
        let score = self.score(now, want, pool, seat, cached);
        let mean = pool.load_share();
        if score.load_share > self.settings.bound * mean.max(1.0 / self.state_of(seat).slots as f32)
        {
            return None;
        }
        Some(ScoredEndpoint { endpoint: seat, reason: why, score, rank: score.rank })
    }

    fn serves(&self, want: &RouteRequest<'_>, seat: EndpointId) -> bool {
        self.state_of(seat).version(want.model).is_some()
    }

    fn cache_confidence(&self, now: Millis, hold: CacheEntry) -> f32 {
        let state = self.state_of(hold.endpoint);
        if hold.at < state.cache_reset || now.since(hold.at) > self.settings.believe_ms {
            0.0
        } else if state.gap_at.is_some_and(|gap| hold.at < gap) {
            GAP_CONFIDENCE
        } else {
            1.0
        }
    }

    /// Chooses among the few endpoints that take suspected requests, the same at all entries, so
    /// that a request that crashes endpoints takes few others with it.
    fn isolated(&self, now: Millis, want: &RouteRequest<'_>) -> Option<ScoredEndpoint> {
        let pool = self.pools.get(want.model)?;
        let count = pool.ring.len().div_ceil(self.settings.apart.max(1));
        let seat = pool
            .ring
            .iter()
            .take(count)
            .map(|(_, seat)| *seat)
            .filter(|seat| self.eligible(now, want, *seat))
            .min_by_key(|seat| self.state_of(*seat).own_in_flight)?;
        let score = self.score(now, want, pool, seat, 0.0);
        Some(ScoredEndpoint {
            endpoint: seat,
            reason: ChoiceReason::Isolated,
            score,
            rank: score.rank,
        })
    }

    fn outside_subset(
        &self,
        now: Millis,
        want: &RouteRequest<'_>,
        from: usize,
    ) -> Option<ScoredEndpoint> {
        let pool = self.pools.get(want.model)?;
        let len = pool.outside.len();
        let seat = (0..len)
            .map(|n| pool.outside[(from % len + n) % len])
            .find(|seat| self.eligible(now, want, *seat))?;
        let score = self.score(now, want, pool, seat, 0.0);
        Some(ScoredEndpoint {
            endpoint: seat,
            reason: ChoiceReason::Outside,
            score,
            rank: score.rank,
        })
    }

    /// Tells why nothing will do.
    fn failure_reason(&self, now: Millis, want: &RouteRequest<'_>) -> NoEndpoint {
        let Some(pool) = self.pools.get(want.model) else {
            return NoEndpoint::Unserved;
        };
        let seats =
            || pool.subset.iter().chain(&pool.outside).map(|seat| (*seat, self.state_of(*seat)));
        let staying = || seats().filter(|(_, state)| !state.draining);
        if seats().next().is_none() {
            return NoEndpoint::Unserved;
        }
        if staying().next().is_none() {
            return NoEndpoint::Draining;
        }
        if !staying().any(|(_, state)| self.usable(now, state, want.model, None)) {
            return NoEndpoint::Failing;
        }
        if staying().any(|(_, state)| self.usable(now, state, want.model, want.floor)) {
            return NoEndpoint::Excluded;
        }
        NoEndpoint::BelowFloor
    }

    /// Asserts the promises on what was chosen, by the facts and not by the rules above.
    fn check_invariants(&mut self, now: Millis, want: &RouteRequest<'_>, seat: EndpointId) {
        let state = self.state_of(seat);
        let version = state.version(want.model);
        let broken = if state.draining {
            Some("no_work_to_leaving_endpoint")
        } else if version.is_none() {
            Some("model_is_served")
        } else if want.floor.is_some_and(|floor| version < Some(floor)) {
            Some("version_not_below_floor")
        } else if want.exclude.contains(&seat) {
            Some("no_excluded_endpoint")
        } else if state.ejected_until.is_some_and(|until| now < until) {
            Some("no_work_to_ejected_endpoint")
        } else {
            None
        };
        if let Some(promise) = broken {
            self.report_violation(promise);
        }
    }
}

fn probing_rank(score: &Score) -> f32 {
    // Endpoints that are loaded rank behind all others, by load; the others rank by latency.
    if score.load_share > HIGH_LOAD_SHARE { 1.0e9 * score.load_share } else { score.finish_ms }
}

fn better_of(best: ScoredEndpoint, other: Option<ScoredEndpoint>) -> ScoredEndpoint {
    match other {
        Some(other) if other.rank < best.rank => other,
        _ => best,
    }
}
