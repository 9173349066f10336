//! The router's part of the state dump.

use serde_json::Value;
use serde_json::json;

use crate::router::book::Book;

/// Describes what the router knows; it holds no content of any request.
pub fn dump(book: &Book) -> Value {
    let mut endpoints = Vec::new();
    for pick in book.subset() {
        let seat = book.routing.find(&pick.endpoint);
        let Some(state) = seat.and_then(|seat| book.routing.state(seat)) else { continue };
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
        "running": book.admission.running(),
        "waiting": book.admission.waiting(),
        "entries": book.entries,
        "routing": book.routing.counts(),
        "admission": book.admission.counts(),
    })
}
