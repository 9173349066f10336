//! Serves the engine's weights to other engines, of which a bounded number fetch concurrently.

use std::sync::Arc;

use chicoryford_wire::Call;
use chicoryford_wire::Reply;

use super::batch::Engine;
use super::batch::Line;
use crate::http;

/// Prefix of the path of the weights; `<model>/<version>` follows.
pub const PATH: &str = "/weights/";

/// Responds with the weights of the requested version, if it was fetched and is the one in use.
pub fn serve(engine: &Arc<Engine>, call: &Call) -> Reply {
    let requested = call.path.strip_prefix(PATH).and_then(|rest| rest.rsplit_once('/'));
    let Some((model, version)) = requested else {
        return http::error(400, "the path does not contain a model and a version");
    };
    let (loaded, size) = {
        let state = engine.state();
        (state.models.get(model).copied(), state.sizes.get(model).copied())
    };
    let (Some(loaded), Some(size)) = (loaded.filter(|loaded| loaded.to_string() == version), size)
    else {
        return http::error(404, "this version was not fetched, or is not in use");
    };
    let Ok(permit) = engine.feeds.clone().try_acquire_owned() else {
        return http::error(503, "the maximum number of engines is fetching already");
    };
    let instance = engine.instance();
    engine.records.write(&Line { event: "give", model, count: loaded, ..Line::new(&instance) });
    engine.weights_limiter.body(size, engine.settings.link, permit)
}
