//! What an attempt may expect at an endpoint.

use chicoryford_types::Millis;

use crate::pool::Pool;
use crate::seat::State;
use crate::settings::Settings;
use crate::want::Want;

/// How much a failing endpoint's expectation grows; ten times at a share of failures of one.
const FAILING: f32 = 9.0;

/// What an attempt may expect at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score {
    /// Attempts there, estimated.
    pub load: f32,
    /// The load as a share of the limit.
    pub share: f32,
    /// Milliseconds until it finishes, penalties included, for comparison.
    pub rank: f32,
    /// Milliseconds until it finishes.
    pub finish_ms: f32,
}

/// Estimates how many attempts an endpoint has, those of other entries included.
pub fn load(now: Millis, settings: &Settings, pool: &Pool, state: &State) -> f32 {
    state.own as f32 + state.others(now, settings.half_ms, pool.mean).max(0.0)
}

/// Estimates when an attempt would finish; `cached` is how far its prefix is believed cached.
pub fn score(
    now: Millis,
    settings: &Settings,
    pool: &Pool,
    state: &State,
    want: &Want<'_>,
    cached: f32,
) -> Score {
    let load = load(now, settings, pool, state);
    let limit = if settings.adapt { state.limit.get() } else { state.slots as f32 };
    let slow = 1.0 + settings.slowdown * (load / state.slots as f32).min(1.0);
    let run = if want.tokens == 0 {
        known(state.service_ms, pool.service_ms, settings.token_ms)
    } else {
        let token = known(state.token_ms, pool.token_ms, settings.token_ms);
        let prefill = want.prompt as f32 * (1.0 - cached) * settings.prefill_ms;
        (prefill + want.tokens as f32 * token) * slow
    };
    let service = known(state.service_ms, pool.service_ms, run);
    let wait = (load + 1.0 - limit).max(0.0) / limit * service;
    let finish_ms = run + wait + state.away_ms;
    let warmth = state.warmth(now, settings.warm_ms);
    let rank = finish_ms * (1.0 + FAILING * state.failing) / warmth;
    Score { load, share: load / limit, rank, finish_ms }
}

fn known(own: f32, pool: f32, fallback: f32) -> f32 {
    if own > 0.0 {
        own
    } else if pool > 0.0 {
        pool
    } else {
        fallback
    }
}
