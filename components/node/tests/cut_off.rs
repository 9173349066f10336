//! Requests in flight at an endpoint that becomes unreachable, on real sockets.

mod support {
    pub mod answering;
    pub mod endpoint;
    pub mod marked;
    pub mod route;
    pub mod send;
}

use std::time::Duration;

use chicoryford_fleet::Policy;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::hedge::AttemptShare;
use chicoryford_fleet::hedge::SecondAttempts;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::forward::Outcome;
use chicoryford_node::message::Update;

use support::answering::answer;
use support::answering::listener;
use support::endpoint::endpoint;
use support::marked::marked;
use support::route::route;
use support::send::send;

/// Time limit of the requests in milliseconds.
const LIMIT_MS: u64 = 1_500;
/// Time after the start of a request at which its endpoint is marked as unreachable. A second
/// attempt is due by then.
const MARKED_AFTER: Duration = Duration::from_millis(200);

async fn send_to_desk(forwarder: &Forwarder, kind: RouteKind) -> Outcome {
    send(forwarder, &route("desk", kind, 3), LIMIT_MS).await
}

/// Sends a request on a pooled connection that has gone silent, and marks its endpoint as
/// unreachable while it is in flight. No second attempts are allowed. Returns the outcome and the
/// number of requests that the other endpoint got.
async fn send_to_silent(shared_reachability: bool, kind: RouteKind) -> (Outcome, u32) {
    let policy = Policy { shared_reachability, ..Policy::default() };
    let limits = SecondAttempts {
        share: Some(AttemptShare::try_from(0.0).unwrap()),
        ..SecondAttempts::default()
    };
    let forwarder = Forwarder::with_limits(policy, limits);
    // The first endpoint answers one request, which leaves a connection in the pool.
    let (first, _) = answer(listener().await, 1);
    forwarder.apply(&Update::Endpoint(endpoint("desk", "a", first, 4)));
    let pooled = send_to_desk(&forwarder, RouteKind::Idempotent).await;
    assert!(matches!(pooled, Outcome::Answered(_)), "{pooled:?}");
    let (second, requests) = answer(listener().await, 1);
    let other = async {
        tokio::time::sleep(MARKED_AFTER).await;
        forwarder.apply(&Update::Endpoint(endpoint("desk", "b", second, 4)));
        forwarder.apply(&marked("a", 10_000));
    };
    let (outcome, ()) = tokio::join!(send_to_desk(&forwarder, kind), other);
    (outcome, requests.borrow().iter().sum())
}

/// Guards against callers that wait until their time is up for an endpoint that all processes know
/// to be unreachable: an attempt on a pooled connection does not fail there, and a second attempt
/// may be withheld by its limit.
#[actix_rt::test]
async fn a_request_at_an_endpoint_that_becomes_unreachable_is_tried_elsewhere() {
    let (outcome, requests) = send_to_silent(true, RouteKind::Idempotent).await;
    assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    assert_eq!(requests, 1);
}

/// Guards against a change for deployments that do not share reachability.
#[actix_rt::test]
async fn a_request_stays_where_it_is_if_reachability_is_not_shared() {
    let (outcome, requests) = send_to_silent(false, RouteKind::Idempotent).await;
    assert!(matches!(outcome, Outcome::Late), "{outcome:?}");
    assert_eq!(requests, 0);
}

/// Guards against a second run of a request that may run at most once.
#[actix_rt::test]
async fn a_request_that_must_not_run_twice_stays_where_it_is() {
    let (outcome, requests) = send_to_silent(true, RouteKind::Once).await;
    assert!(!matches!(outcome, Outcome::NotRun(..)), "{outcome:?}");
    assert_eq!(requests, 0);
}
