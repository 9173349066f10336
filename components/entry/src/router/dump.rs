//! The router's part of the state dump.

use serde_json::Value;
use serde_json::json;

use crate::router::state::RouterState;

/// Returns the state of the router for the dump. It contains no content of requests.
pub fn dump(state: &RouterState) -> Value {
    let mut endpoints = Vec::new();
    for pick in state.subset() {
        let seat = state.routing.find(&pick.endpoint);
        let Some(endpoint) = seat.and_then(|seat| state.routing.state(seat)) else { continue };
        endpoints.push(json!({
            "endpoint": pick.endpoint,
            "agent": pick.agent,
            "running": endpoint.own_in_flight,
            "slots": endpoint.slots,
            "others": endpoint.others_reported,
            "draining": endpoint.draining,
            "healthy": endpoint.healthy,
            "failures": endpoint.failure_streak,
            "ejected": endpoint.ejected_until.is_some(),
            "versions": endpoint.versions,
        }));
    }
    json!({
        "endpoints": endpoints,
        "running": state.admission.running(),
        "waiting": state.admission.waiting(),
        "entries": state.entries,
        "routing": state.routing.counts(),
        "admission": state.admission.counts(),
    })
}
