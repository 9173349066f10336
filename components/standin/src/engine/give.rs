//! Gives the engine's own weights to other engines, a bounded number at a time.

use std::sync::Arc;

use chicoryford_wire::Call;
use chicoryford_wire::Reply;

use super::batch::Engine;
use super::batch::Line;
use crate::http;

/// The path below which weights are given, as `<model>/<version>`.
pub const PATH: &str = "/weights/";

/// Gives the version asked for, if it is the one in use.
pub fn give(engine: &Arc<Engine>, call: &Call) -> Reply {
    let wanted = call.path.strip_prefix(PATH).and_then(|rest| rest.rsplit_once('/'));
    let Some((model, version)) = wanted else {
        return http::error(400, "the path names no model and version");
    };
    let (held, size) = {
        let state = engine.state();
        (state.models.get(model).copied(), state.sizes.get(model).copied())
    };
    let (Some(held), Some(size)) = (held.filter(|held| held.to_string() == version), size) else {
        return http::error(404, "this version was not fetched, or is not in use");
    };
    let Ok(place) = engine.feeds.clone().try_acquire_owned() else {
        return http::error(503, "no more engines can be fed");
    };
    let instance = engine.instance();
    engine.records.write(&Line { event: "give", model, count: held, ..Line::new(&instance) });
    engine.meter.body(size, engine.settings.link, place)
}
