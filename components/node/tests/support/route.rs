//! A route of a plain service.

use chicoryford_fleet::Route;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::Share;

/// Creates a route on the host "h" to a service, for all paths below `/SERVICE/`.
pub fn route(service: &str, kind: RouteKind, attempts: u32) -> Route {
    Route {
        name: service.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{service}/"),
        kind,
        timeout_ms: Some(2_000),
        target_ms: 150,
        priority: 1,
        shares: vec![Share { service: service.to_owned(), weight: 1 }],
        attempts,
        resumable: false,
        due_ms: None,
        age_ms: None,
        single_version: false,
        open: false,
    }
}
