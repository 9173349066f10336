//! Which requests probe endpoints that are known to be unreachable.

mod support {
    pub mod answering;
    pub mod endpoint;
    pub mod marked;
    pub mod route;
    pub mod send;
}

use chicoryford_fleet::Policy;
use chicoryford_fleet::Route;
use chicoryford_fleet::RouteKind;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::forward::Outcome;
use chicoryford_node::message::Update;

use support::answering::answer;
use support::answering::listener;
use support::endpoint::endpoint;
use support::marked::marked;
use support::route::route;
use support::send::send;

/// A time limit within which a request can wait for a connection that fails, and be sent elsewhere.
const LONG_MS: u64 = 2_000;
/// A time limit of which a connection that fails takes more than half.
const SHORT_MS: u64 = 400;

/// Sends a request while a probe of an endpoint is due. Returns whether the request probed it.
async fn probes(route: Route, connect_fallback: bool, limit_ms: u64) -> bool {
    let policy = Policy { shared_reachability: true, connect_fallback, ..Policy::default() };
    let forwarder = Forwarder::new(policy);
    let (probed, requests) = answer(listener().await, u32::MAX);
    let (other, _) = answer(listener().await, u32::MAX);
    for (id, address) in [("d0", probed), ("d1", other)] {
        forwarder.apply(&Update::Endpoint(endpoint("desk", id, address, 4)));
    }
    forwarder.apply(&marked("d0", 0));
    let outcome = send(&forwarder, &route, limit_ms).await;
    assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    // A connection is a probe, also if no request was sent on it.
    !requests.borrow().is_empty()
}

fn repeatable(attempts: u32) -> Route {
    route("desk", RouteKind::Idempotent, attempts)
}

/// Guards against a caller that fails or is late because its request was used as a probe: the
/// connection fails only after the connection timeout, and the request needs another attempt.
#[actix_rt::test]
async fn a_request_that_cannot_afford_a_failed_connection_probes_nothing() {
    assert!(probes(repeatable(2), false, LONG_MS).await, "a request with time left is a probe");
    assert!(!probes(repeatable(1), false, LONG_MS).await, "there is no other attempt");
    assert!(!probes(repeatable(2), false, SHORT_MS).await, "there is no time for another attempt");
}

/// Guards against a request that may run only once and waits for a connection that fails, although
/// nothing lets it go to another endpoint before the connection timeout.
#[actix_rt::test]
async fn a_request_that_may_run_once_probes_only_with_the_connection_fallback() {
    assert!(!probes(route("desk", RouteKind::Once, 2), false, LONG_MS).await);
    assert!(probes(route("desk", RouteKind::Once, 2), true, LONG_MS).await);
}
