//! The expected duration of an attempt at an endpoint.

use chicoryford_types::Millis;

use crate::endpoint::EndpointState;
use crate::pool::Pool;
use crate::request::RouteRequest;
use crate::settings::Settings;

/// The penalty for failures: at a failure rate of one, the rank is ten times the expected duration.
const FAILURE_PENALTY: f32 = 9.0;

/// The expected duration of an attempt at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score {
    /// The estimated attempts there.
    pub load: f32,
    /// The load as a share of the limit.
    pub load_share: f32,
    /// The expected milliseconds until it finishes, with penalties, to compare endpoints; lower is
    /// better.
    pub rank: f32,
    /// The expected milliseconds until it finishes.
    pub finish_ms: f32,
}

/// Estimates the attempts at an endpoint, including those of other entries.
pub fn load(now: Millis, settings: &Settings, pool: &Pool, state: &EndpointState) -> f32 {
    state.own_in_flight as f32
        + state.estimate_others(now, settings.half_ms, pool.others_mean).max(0.0)
}

/// Estimates the duration of an attempt. `cached` is the confidence that its prefix is cached
/// there.
pub fn score(
    now: Millis,
    settings: &Settings,
    pool: &Pool,
    state: &EndpointState,
    request: &RouteRequest<'_>,
    cached: f32,
) -> Score {
    let load = load(now, settings, pool, state);
    let limit = if settings.adapt { state.limit.get() } else { state.slots as f32 };
    let load_factor = 1.0 + settings.slowdown * (load / state.slots as f32).min(1.0);
    let run = if request.output_tokens == 0 {
        first_known(state.service_ms, pool.service_ms, settings.token_ms)
    } else {
        let token = first_known(state.token_ms, pool.token_ms, settings.token_ms);
        let prefill = request.prompt_tokens as f32 * (1.0 - cached) * settings.prefill_ms;
        (prefill + request.output_tokens as f32 * token) * load_factor
    };
    let service = first_known(state.service_ms, pool.service_ms, run);
    let wait = (load + 1.0 - limit).max(0.0) / limit * service;
    let finish_ms = run + wait + state.distance_ms;
    let warmup_share = state.warmup_share(now, settings.warm_ms);
    let rank = finish_ms * (1.0 + FAILURE_PENALTY * state.failure_rate) / warmup_share;
    Score { load, load_share: load / limit, rank, finish_ms }
}

fn first_known(own: f32, pool: f32, fallback: f32) -> f32 {
    if own > 0.0 {
        own
    } else if pool > 0.0 {
        pool
    } else {
        fallback
    }
}
