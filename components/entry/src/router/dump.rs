//! The router's part of the state dump.

use serde_json::Value;
use serde_json::json;

use crate::router::state::RouterState;

/// Describes what the router knows; it holds no content of any request.
pub fn dump(state: &RouterState) -> Value {
    let mut endpoints = Vec::new();
    for pick in state.subset() {
        let seat = state.routing.find(&pick.endpoint);
        let Some(state) = seat.and_then(|seat| state.routing.state(seat)) else { continue };
        endpoints.push(json!({
            "endpoint": pick.endpoint,
            "agent": pick.agent,
            "running": state.own,
            "slots": state.slots,
            "others": state.others,
            "draining": state.draining,
            "healthy": state.healthy,
            "failures": state.row,
            "ejected": state.ejected.is_some(),
            "versions": state.versions,
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
