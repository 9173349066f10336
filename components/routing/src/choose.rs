//! The choice of an endpoint.

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

/// The confidence in a cache entry from before a gap in the reports, which may have contained its
/// eviction.
const GAP_CONFIDENCE: f32 = 0.5;
/// The assumed cached share of a prefix at its home, if no endpoint is known to have cached it. It
/// makes entries prefer the home.
const HOME_CONFIDENCE: f32 = 0.25;
/// The share of the limit above which the probing rule treats an endpoint as heavily loaded.
const HIGH_LOAD_SHARE: f32 = 0.8;

#[derive(Clone, Copy)]
struct ScoredEndpoint {
    endpoint: EndpointId,
    reason: ChoiceReason,
    score: Score,
    rank: f32,
}

impl Router {
    /// Chooses the endpoint of an attempt. The caller then calls [`Self::started`].
    ///
    /// # Errors
    ///
    /// Returns [`NoEndpoint`] with the reason if no endpoint is eligible.
    pub fn choose(
        &mut self,
        now: Millis,
        request: &RouteRequest<'_>,
    ) -> Result<Choice, NoEndpoint> {
        let Some(pool) = self.pools.get_mut(request.model) else {
            self.counts.none += 1;
            return Err(NoEndpoint::Unserved);
        };
        let round_robin = pool.next_turn;
        pool.next_turn = pool.next_turn.wrapping_add(1);
        let random = self.rng.random_range(0..usize::MAX);
        let best = self.select(now, request, round_robin, random);
        let Some(best) = best else {
            self.counts.none += 1;
            return Err(self.failure_reason(now, request));
        };
        self.counts.chosen += 1;
        self.counts.cached += u64::from(best.reason == ChoiceReason::Cached);
        self.counts.outside += u64::from(best.reason == ChoiceReason::Outside);
        self.check_invariants(now, request, best.endpoint);
        Ok(Choice {
            endpoint: best.endpoint,
            reason: best.reason,
            expected_ms: best.score.finish_ms as u64,
        })
    }

    fn select(
        &mut self,
        now: Millis,
        request: &RouteRequest<'_>,
        round_robin: usize,
        random: usize,
    ) -> Option<ScoredEndpoint> {
        if request.suspect
            && let Some(best) = self.isolated(now, request)
        {
            return Some(best);
        }
        let best = match self.settings.rule {
            Rule::RoundRobin => self.first_eligible(now, request, round_robin),
            Rule::Random => self.first_eligible(now, request, random),
            Rule::LeastInFlight => self.least_in_flight(now, request, random),
            Rule::TwoChoices => self.best_of_random(now, request, 2, |score| score.load_share),
            Rule::Probing => self.best_of_random(now, request, self.settings.draws, probing_rank),
            Rule::LeastFinish => self.earliest_finish(now, request),
        };
        best.or_else(|| self.first_eligible(now, request, random))
            .or_else(|| self.outside_subset(now, request, random))
    }

    /// Returns whether an endpoint can serve a model now.
    pub(crate) fn usable(
        &self,
        now: Millis,
        state: &EndpointState,
        model: &Model,
        floor: Option<Version>,
    ) -> bool {
        let protections = &self.settings.protections;
        let is_draining = protections.drain && state.draining;
        let is_ejected = protections.eject && state.ejected_until.is_some_and(|until| now < until);
        if !state.present || !state.healthy || is_draining || is_ejected {
            return false;
        }
        let version = state.version(model);
        match floor {
            Some(floor) if protections.floor => version.is_some_and(|version| version >= floor),
            _ => version.is_some(),
        }
    }

    fn eligible(&self, now: Millis, request: &RouteRequest<'_>, id: EndpointId) -> bool {
        let is_excluded = self.settings.protections.exclude && request.exclude.contains(&id);
        !is_excluded && self.usable(now, self.state_of(id), request.model, request.floor)
    }

    fn state_of(&self, id: EndpointId) -> &EndpointState {
        &self.states[id.0 as usize]
    }

    fn score(
        &self,
        now: Millis,
        request: &RouteRequest<'_>,
        pool: &Pool,
        id: EndpointId,
        cached: f32,
    ) -> Score {
        score::score(now, &self.settings, pool, self.state_of(id), request, cached)
    }

    /// Returns the first eligible endpoint of the subset, starting at an offset.
    fn first_eligible(
        &self,
        now: Millis,
        request: &RouteRequest<'_>,
        offset: usize,
    ) -> Option<ScoredEndpoint> {
        let pool = self.pools.get(request.model)?;
        let len = pool.subset.len();
        let id = (0..len)
            .map(|n| pool.subset[(offset % len + n) % len])
            .find(|id| self.eligible(now, request, *id))?;
        let score = self.score(now, request, pool, id, 0.0);
        Some(ScoredEndpoint { endpoint: id, reason: ChoiceReason::Best, score, rank: score.rank })
    }

    /// Returns the eligible endpoint with the fewest own attempts in flight.
    fn least_in_flight(
        &self,
        now: Millis,
        request: &RouteRequest<'_>,
        offset: usize,
    ) -> Option<ScoredEndpoint> {
        let pool = self.pools.get(request.model)?;
        let len = pool.subset.len();
        let id = (0..len)
            .map(|n| pool.subset[(offset % len + n) % len])
            .filter(|id| self.eligible(now, request, *id))
            .min_by_key(|id| self.state_of(*id).own_in_flight)?;
        let score = self.score(now, request, pool, id, 0.0);
        Some(ScoredEndpoint { endpoint: id, reason: ChoiceReason::Best, score, rank: score.rank })
    }

    /// Returns the best of a few random endpoints.
    fn best_of_random(
        &mut self,
        now: Millis,
        request: &RouteRequest<'_>,
        draws: usize,
        rank: impl Fn(&Score) -> f32,
    ) -> Option<ScoredEndpoint> {
        let len = self.pools.get(request.model)?.subset.len();
        let mut best: Option<ScoredEndpoint> = None;
        let mut remaining = draws;
        // Draws of an ineligible endpoint are repeated a limited number of times.
        for _ in 0..draws * 4 {
            if remaining == 0 || len == 0 {
                break;
            }
            let n = self.rng.random_range(0..len);
            let pool = self.pools.get(request.model)?;
            let id = pool.subset[n];
            if !self.eligible(now, request, id) {
                continue;
            }
            remaining -= 1;
            let score = self.score(now, request, pool, id, 0.0);
            let rank = rank(&score);
            if best.is_none_or(|best| rank < best.rank) {
                best =
                    Some(ScoredEndpoint { endpoint: id, reason: ChoiceReason::Best, score, rank });
            }
        }
        best
    }

    /// Returns the endpoint with the earliest expected finish, of a few random ones, those that
    /// have cached the prefix and the home of the prefix.
    fn earliest_finish(
        &mut self,
        now: Millis,
        request: &RouteRequest<'_>,
    ) -> Option<ScoredEndpoint> {
        let best = self.best_of_random(now, request, self.settings.draws, |score| score.rank)?;
        let Some(prefix) = request.prefix else {
            return Some(best);
        };
        let pool = self.pools.get(request.model)?;
        let mut chosen = best;
        let mut is_cached = false;
        for entry in self.directory.holders(prefix) {
            let cached = self.cache_confidence(now, entry);
            is_cached |= cached > 0.0;
            let candidate = self.prefix_candidate(
                now,
                request,
                pool,
                entry.endpoint,
                cached,
                ChoiceReason::Cached,
            );
            chosen = better_of(chosen, candidate);
        }
        if !is_cached && let Some(home) = pool.home(prefix) {
            let candidate = self.prefix_candidate(
                now,
                request,
                pool,
                home,
                HOME_CONFIDENCE,
                ChoiceReason::Home,
            );
            chosen = better_of(chosen, candidate);
        }
        Some(chosen)
    }

    /// Scores an endpoint that may have cached the prefix, unless its load exceeds the bound.
    ///
    /// The expected finish already includes the load. The bound is needed because loads are
    /// estimates: between two reports, a popular prefix would otherwise attract the requests of all
    /// entries to one endpoint (compare consistent hashing with bounded loads).
    fn prefix_candidate(
        &self,
        now: Millis,
        request: &RouteRequest<'_>,
        pool: &Pool,
        id: EndpointId,
        cached: f32,
        reason: ChoiceReason,
    ) -> Option<ScoredEndpoint> {
        if cached <= 0.0 || !self.eligible(now, request, id) || !self.serves(request, id) {
            return None;
        }
        let score = self.score(now, request, pool, id, cached);
        let mean = pool.load_share();
        if score.load_share > self.settings.bound * mean.max(1.0 / self.state_of(id).slots as f32) {
            return None;
        }
        Some(ScoredEndpoint { endpoint: id, reason, score, rank: score.rank })
    }

    fn serves(&self, request: &RouteRequest<'_>, id: EndpointId) -> bool {
        self.state_of(id).version(request.model).is_some()
    }

    fn cache_confidence(&self, now: Millis, entry: CacheEntry) -> f32 {
        let state = self.state_of(entry.endpoint);
        if entry.at < state.cache_reset || now.since(entry.at) > self.settings.believe_ms {
            0.0
        } else if state.gap_at.is_some_and(|gap_at| entry.at < gap_at) {
            GAP_CONFIDENCE
        } else {
            1.0
        }
    }

    /// Chooses among the few endpoints that run suspected requests. They are the same at all
    /// entries, so that a request that crashes endpoints harms few others.
    fn isolated(&self, now: Millis, request: &RouteRequest<'_>) -> Option<ScoredEndpoint> {
        let pool = self.pools.get(request.model)?;
        let count = pool.ring.len().div_ceil(self.settings.apart.max(1));
        let id = pool
            .ring
            .iter()
            .take(count)
            .map(|(_, id)| *id)
            .filter(|id| self.eligible(now, request, *id))
            .min_by_key(|id| self.state_of(*id).own_in_flight)?;
        let score = self.score(now, request, pool, id, 0.0);
        Some(ScoredEndpoint {
            endpoint: id,
            reason: ChoiceReason::Isolated,
            score,
            rank: score.rank,
        })
    }

    fn outside_subset(
        &self,
        now: Millis,
        request: &RouteRequest<'_>,
        offset: usize,
    ) -> Option<ScoredEndpoint> {
        let pool = self.pools.get(request.model)?;
        let len = pool.outside.len();
        let id = (0..len)
            .map(|n| pool.outside[(offset % len + n) % len])
            .find(|id| self.eligible(now, request, *id))?;
        let score = self.score(now, request, pool, id, 0.0);
        Some(ScoredEndpoint {
            endpoint: id,
            reason: ChoiceReason::Outside,
            score,
            rank: score.rank,
        })
    }

    /// Returns why no endpoint is eligible.
    fn failure_reason(&self, now: Millis, request: &RouteRequest<'_>) -> NoEndpoint {
        let Some(pool) = self.pools.get(request.model) else {
            return NoEndpoint::Unserved;
        };
        let endpoints =
            || pool.subset.iter().chain(&pool.outside).map(|id| (*id, self.state_of(*id)));
        let active = || endpoints().filter(|(_, state)| !state.draining);
        if endpoints().next().is_none() {
            return NoEndpoint::Unserved;
        }
        if active().next().is_none() {
            return NoEndpoint::Draining;
        }
        if !active().any(|(_, state)| self.usable(now, state, request.model, None)) {
            return NoEndpoint::Failing;
        }
        if active().any(|(_, state)| self.usable(now, state, request.model, request.floor)) {
            return NoEndpoint::Excluded;
        }
        NoEndpoint::BelowFloor
    }

    /// Checks the invariants of a choice, independently of the rules by which it was made.
    fn check_invariants(&mut self, now: Millis, request: &RouteRequest<'_>, id: EndpointId) {
        let state = self.state_of(id);
        let version = state.version(request.model);
        let violated = if state.draining {
            Some("no_work_to_leaving_endpoint")
        } else if version.is_none() {
            Some("model_is_served")
        } else if request.floor.is_some_and(|floor| version < Some(floor)) {
            Some("version_not_below_floor")
        } else if request.exclude.contains(&id) {
            Some("no_excluded_endpoint")
        } else if state.ejected_until.is_some_and(|until| now < until) {
            Some("no_work_to_ejected_endpoint")
        } else {
            None
        };
        if let Some(invariant) = violated {
            self.report_violation(invariant);
        }
    }
}

fn probing_rank(score: &Score) -> f32 {
    // Heavily loaded endpoints rank behind all others and by load; the others rank by latency.
    if score.load_share > HIGH_LOAD_SHARE { 1.0e9 * score.load_share } else { score.finish_ms }
}

fn better_of(best: ScoredEndpoint, other: Option<ScoredEndpoint>) -> ScoredEndpoint {
    match other {
        Some(other) if other.rank < best.rank => other,
        _ => best,
    }
}
