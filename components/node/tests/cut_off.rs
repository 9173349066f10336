//! Requests in flight at an endpoint that becomes unreachable, on real sockets.

mod support {
    pub mod endpoint;
    pub mod route;
}

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Policy;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::hedge::AttemptShare;
use chicoryford_fleet::hedge::SecondAttempts;
use chicoryford_fleet::reachability::UnreachableSet;
use chicoryford_http::Request;
use chicoryford_http::message::Method;
use chicoryford_node::clock;
use chicoryford_node::forward::Budget;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::forward::Outcome;
use chicoryford_node::forward::Requester;
use chicoryford_node::message::Update;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use support::endpoint::endpoint;
use support::route::route;

/// Time limit of the requests in milliseconds.
const LIMIT_MS: u64 = 1_500;
/// Time after the start of a request at which its endpoint is marked as unreachable. A second
/// attempt is due by then.
const MARKED_AFTER: Duration = Duration::from_millis(200);

/// Answers its first request and no further one. Returns the number of requests.
async fn silent_after_one() -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Rc::new(Cell::new(0));
    let count = requests.clone();
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let count = count.clone();
            actix_rt::spawn(async move {
                let mut bytes = vec![0; 4_096];
                while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
                    count.set(count.get() + 1);
                    let text = "HTTP/1.1 200 OK\r\nx-attempt-id: id\r\nx-response-stamp: s\r\n\
                                content-length: 2\r\n\r\nok";
                    if count.get() == 1 && stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, requests)
}

async fn send(forwarder: &Forwarder, kind: RouteKind) -> Outcome {
    let mut request = Request::new(Method::POST, "/desk/x", "");
    request.headers.set("x-attempt-id", "id");
    let budget = Budget::new(clock::now() + LIMIT_MS);
    let route = route("desk", kind, 3);
    forwarder.forward(&route, &request, &budget, LIMIT_MS, Requester::default()).await
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
    let (first, _) = silent_after_one().await;
    forwarder.apply(&Update::Endpoint(endpoint("desk", "a", first, 4)));
    assert!(matches!(send(&forwarder, RouteKind::Idempotent).await, Outcome::Answered(_)));
    let (second, requests) = silent_after_one().await;
    let other = async {
        tokio::time::sleep(MARKED_AFTER).await;
        forwarder.apply(&Update::Endpoint(endpoint("desk", "b", second, 4)));
        let endpoints = BTreeMap::from([("a".to_owned(), 0)]);
        forwarder.apply(&Update::Unreachable(UnreachableSet { endpoints, probe_ms: 10_000 }));
    };
    let (outcome, ()) = tokio::join!(send(&forwarder, kind), other);
    (outcome, requests.get())
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
