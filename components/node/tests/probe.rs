//! Which requests probe endpoints that are known to be unreachable.

mod support {
    pub mod endpoint;
    pub mod route;
}

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryford_fleet::Policy;
use chicoryford_fleet::Route;
use chicoryford_fleet::RouteKind;
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

/// A time limit within which a request can wait for a connection that fails, and be sent elsewhere.
const LONG_MS: u64 = 2_000;
/// A time limit of which a connection that fails takes more than half.
const SHORT_MS: u64 = 400;

/// Starts an endpoint that answers each request. Returns its address and its number of connections.
async fn answering() -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Rc::<Cell<usize>>::default();
    let count = connections.clone();
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            count.set(count.get() + 1);
            actix_rt::spawn(async move {
                let mut bytes = vec![0; 4_096];
                while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
                    let answer = "HTTP/1.1 200 OK\r\nx-attempt-id: id\r\nx-response-stamp: s\r\n\
                                  content-length: 2\r\n\r\nok";
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, connections)
}

/// Sends a request while a probe of an endpoint is due. Returns whether the request probed it.
async fn probes(route: Route, connect_fallback: bool, limit_ms: u64) -> bool {
    let policy = Policy { shared_reachability: true, connect_fallback, ..Policy::default() };
    let forwarder = Forwarder::new(policy);
    let ((marked, connections), (other, _)) = (answering().await, answering().await);
    for (id, address) in [("d0", marked), ("d1", other)] {
        forwarder.apply(&Update::Endpoint(endpoint("desk", id, address, 4)));
    }
    let endpoints = BTreeMap::from([("d0".to_owned(), 0)]);
    forwarder.apply(&Update::Unreachable(UnreachableSet { endpoints, probe_ms: 0 }));
    let mut request = Request::new(Method::POST, "/desk/x", "");
    request.headers.set("x-attempt-id", "id");
    let budget = Budget::new(clock::now() + limit_ms);
    let outcome =
        forwarder.forward(&route, &request, &budget, limit_ms, Requester::default()).await;
    assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    connections.get() > 0
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
