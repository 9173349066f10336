//! The choice itself.

use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Version;
use rand::Rng;

use crate::cache::Hold;
use crate::pool::Pool;
use crate::router::Router;
use crate::score;
use crate::score::Score;
use crate::seat::Seat;
use crate::seat::State;
use crate::settings::Rule;
use crate::want::Choice;
use crate::want::NoChoice;
use crate::want::Want;
use crate::want::Why;

/// How far a hold is believed after reports were missing, which may have told of its eviction.
const DOUBTED: f32 = 0.5;
/// How far the home of a prefix that nobody is known to hold is preferred, as a share of prefill.
const HOMELY: f32 = 0.25;
/// The load, as a share of the limit, from which probing takes an endpoint for a loaded one.
const HOT: f32 = 0.8;

#[derive(Clone, Copy)]
struct Best {
    seat: Seat,
    why: Why,
    score: Score,
    rank: f32,
}

impl Router {
    /// Chooses the endpoint of an attempt. The caller then reports [`Self::started`].
    ///
    /// # Errors
    ///
    /// [`NoChoice`] tells why no endpoint will do.
    pub fn choose(&mut self, now: Millis, want: &Want<'_>) -> Result<Choice, NoChoice> {
        let Some(pool) = self.pools.get_mut(want.model) else {
            self.counts.none += 1;
            return Err(NoChoice::Unserved);
        };
        let turn = pool.turn;
        pool.turn = pool.turn.wrapping_add(1);
        let start = self.rng.random_range(0..usize::MAX);
        let best = self.pick(now, want, turn, start);
        let Some(best) = best else {
            self.counts.none += 1;
            return Err(self.explain(now, want));
        };
        self.counts.chosen += 1;
        self.counts.cached += u64::from(best.why == Why::Cached);
        self.counts.outside += u64::from(best.why == Why::Outside);
        self.check(now, want, best.seat);
        Ok(Choice { seat: best.seat, why: best.why, expected_ms: best.score.finish_ms as u64 })
    }

    fn pick(&mut self, now: Millis, want: &Want<'_>, turn: usize, start: usize) -> Option<Best> {
        if want.suspect
            && let Some(best) = self.apart(now, want)
        {
            return Some(best);
        }
        let best = match self.settings.rule {
            Rule::RoundRobin => self.first(now, want, turn),
            Rule::Random => self.first(now, want, start),
            Rule::LeastInFlight => self.least(now, want, start),
            Rule::TwoChoices => self.drawn(now, want, 2, |score| score.share),
            Rule::Probing => self.drawn(now, want, self.settings.draws, probing),
            Rule::LeastFinish => self.finish(now, want),
        };
        best.or_else(|| self.first(now, want, start)).or_else(|| self.outside(now, want, start))
    }

    /// Tells whether an endpoint could serve a model now.
    pub(crate) fn usable(
        &self,
        now: Millis,
        state: &State,
        model: &Model,
        floor: Option<Version>,
    ) -> bool {
        let on = &self.settings.protections;
        let leaves = on.drain && state.draining;
        let ejected = on.eject && state.ejected.is_some_and(|until| now < until);
        if !state.present || !state.healthy || leaves || ejected {
            return false;
        }
        let version = state.version(model);
        match floor {
            Some(floor) if on.floor => version.is_some_and(|version| version >= floor),
            _ => version.is_some(),
        }
    }

    fn eligible(&self, now: Millis, want: &Want<'_>, seat: Seat) -> bool {
        let excluded = self.settings.protections.exclude && want.exclude.contains(&seat);
        !excluded && self.usable(now, self.at(seat), want.model, want.floor)
    }

    fn at(&self, seat: Seat) -> &State {
        &self.states[seat.0 as usize]
    }

    fn scored(&self, now: Millis, want: &Want<'_>, pool: &Pool, seat: Seat, cached: f32) -> Score {
        score::score(now, &self.settings, pool, self.at(seat), want, cached)
    }

    /// Gives the first that will do, from a place on.
    fn first(&self, now: Millis, want: &Want<'_>, from: usize) -> Option<Best> {
        let pool = self.pools.get(want.model)?;
        let len = pool.seats.len();
        let seat = (0..len)
            .map(|n| pool.seats[(from % len + n) % len])
            .find(|seat| self.eligible(now, want, *seat))?;
        let score = self.scored(now, want, pool, seat, 0.0);
        Some(Best { seat, why: Why::Best, score, rank: score.rank })
    }

    /// Gives the one with the fewest own attempts in flight.
    fn least(&self, now: Millis, want: &Want<'_>, from: usize) -> Option<Best> {
        let pool = self.pools.get(want.model)?;
        let len = pool.seats.len();
        let seat = (0..len)
            .map(|n| pool.seats[(from % len + n) % len])
            .filter(|seat| self.eligible(now, want, *seat))
            .min_by_key(|seat| self.at(*seat).own)?;
        let score = self.scored(now, want, pool, seat, 0.0);
        Some(Best { seat, why: Why::Best, score, rank: score.rank })
    }

    /// Gives the best of a few drawn at random.
    fn drawn(
        &mut self,
        now: Millis,
        want: &Want<'_>,
        draws: usize,
        rank: impl Fn(&Score) -> f32,
    ) -> Option<Best> {
        let len = self.pools.get(want.model)?.seats.len();
        let mut best: Option<Best> = None;
        let mut left = draws;
        // Draws that hit an endpoint that will not do are repeated, but not without end.
        for _ in 0..draws * 4 {
            if left == 0 || len == 0 {
                break;
            }
            let n = self.rng.random_range(0..len);
            let pool = self.pools.get(want.model)?;
            let seat = pool.seats[n];
            if !self.eligible(now, want, seat) {
                continue;
            }
            left -= 1;
            let score = self.scored(now, want, pool, seat, 0.0);
            let rank = rank(&score);
            if best.is_none_or(|best| rank < best.rank) {
                best = Some(Best { seat, why: Why::Best, score, rank });
            }
        }
        best
    }

    /// Gives the one expected to finish first, of a few drawn at random, those that hold the
    /// prefix and its home.
    fn finish(&mut self, now: Millis, want: &Want<'_>) -> Option<Best> {
        let best = self.drawn(now, want, self.settings.draws, |score| score.rank)?;
        let Some(prefix) = want.prefix else {
            return Some(best);
        };
        let pool = self.pools.get(want.model)?;
        let mut chosen = best;
        let mut known = false;
        for hold in self.directory.holders(prefix) {
            let cached = self.belief(now, hold);
            known |= cached > 0.0;
            let found = self.with_prefix(now, want, pool, hold.seat, cached, Why::Cached);
            chosen = lesser(chosen, found);
        }
        if !known && let Some(home) = pool.home(prefix) {
            let found = self.with_prefix(now, want, pool, home, HOMELY, Why::Home);
            chosen = lesser(chosen, found);
        }
        Some(chosen)
    }

    /// Weighs an endpoint that may hold the prefix, unless it is loaded past the bound.
    ///
    /// The finish expected there already counts the load; the bound is needed because loads are
    /// estimates, and a popular prefix would otherwise draw all entries to one endpoint between
    /// two reports (compare consistent hashing with bounded loads).
    fn with_prefix(
        &self,
        now: Millis,
        want: &Want<'_>,
        pool: &Pool,
        seat: Seat,
        cached: f32,
        why: Why,
    ) -> Option<Best> {
        if cached <= 0.0 || !self.eligible(now, want, seat) || !self.in_pool(want, seat) {
            return None;
        }
        let score = self.scored(now, want, pool, seat, cached);
        let mean = pool.load_share();
        if score.share > self.settings.bound * mean.max(1.0 / self.at(seat).slots as f32) {
            return None;
        }
        Some(Best { seat, why, score, rank: score.rank })
    }

    fn in_pool(&self, want: &Want<'_>, seat: Seat) -> bool {
        self.at(seat).version(want.model).is_some()
    }

    fn belief(&self, now: Millis, hold: Hold) -> f32 {
        let state = self.at(hold.seat);
        if hold.at < state.cold || now.since(hold.at) > self.settings.believe_ms {
            0.0
        } else if state.gap.is_some_and(|gap| hold.at < gap) {
            DOUBTED
        } else {
            1.0
        }
    }

    /// Chooses among the few endpoints that take suspected requests, the same at all entries, so
    /// that a request that crashes endpoints takes few others with it.
    fn apart(&self, now: Millis, want: &Want<'_>) -> Option<Best> {
        let pool = self.pools.get(want.model)?;
        let count = pool.ring.len().div_ceil(self.settings.apart.max(1));
        let seat = pool
            .ring
            .iter()
            .take(count)
            .map(|(_, seat)| *seat)
            .filter(|seat| self.eligible(now, want, *seat))
            .min_by_key(|seat| self.at(*seat).own)?;
        let score = self.scored(now, want, pool, seat, 0.0);
        Some(Best { seat, why: Why::Apart, score, rank: score.rank })
    }

    fn outside(&self, now: Millis, want: &Want<'_>, from: usize) -> Option<Best> {
        let pool = self.pools.get(want.model)?;
        let len = pool.rest.len();
        let seat = (0..len)
            .map(|n| pool.rest[(from % len + n) % len])
            .find(|seat| self.eligible(now, want, *seat))?;
        let score = self.scored(now, want, pool, seat, 0.0);
        Some(Best { seat, why: Why::Outside, score, rank: score.rank })
    }

    /// Tells why nothing will do.
    fn explain(&self, now: Millis, want: &Want<'_>) -> NoChoice {
        let Some(pool) = self.pools.get(want.model) else {
            return NoChoice::Unserved;
        };
        let seats = || pool.seats.iter().chain(&pool.rest).map(|seat| (*seat, self.at(*seat)));
        let staying = || seats().filter(|(_, state)| !state.draining);
        if seats().next().is_none() {
            return NoChoice::Unserved;
        }
        if staying().next().is_none() {
            return NoChoice::Draining;
        }
        if !staying().any(|(_, state)| self.usable(now, state, want.model, None)) {
            return NoChoice::Failing;
        }
        if staying().any(|(_, state)| self.usable(now, state, want.model, want.floor)) {
            return NoChoice::Excluded;
        }
        NoChoice::Below
    }

    /// Asserts the promises on what was chosen, by the facts and not by the rules above.
    fn check(&mut self, now: Millis, want: &Want<'_>, seat: Seat) {
        let state = self.at(seat);
        let version = state.version(want.model);
        let broken = if state.draining {
            Some("no_work_to_leaving_endpoint")
        } else if version.is_none() {
            Some("model_is_served")
        } else if want.floor.is_some_and(|floor| version < Some(floor)) {
            Some("version_not_below_floor")
        } else if want.exclude.contains(&seat) {
            Some("no_excluded_endpoint")
        } else if state.ejected.is_some_and(|until| now < until) {
            Some("no_work_to_ejected_endpoint")
        } else {
            None
        };
        if let Some(promise) = broken {
            self.promise_broken(promise);
        }
    }
}

fn probing(score: &Score) -> f32 {
    // Endpoints that are loaded rank behind all others, by load; the others rank by latency.
    if score.share > HOT { 1.0e9 * score.share } else { score.finish_ms }
}

fn lesser(best: Best, other: Option<Best>) -> Best {
    match other {
        Some(other) if other.rank < best.rank => other,
        _ => best,
    }
}
