//! Requests that crash the endpoints that run them, on real sockets.

mod support {
    pub mod endpoint;
    pub mod route;
}

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Policy;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::grant::Grant;
use chicoryford_fleet::run::CallCost;
use chicoryford_http::Request;
use chicoryford_http::message::Method;
use chicoryford_node::clock;
use chicoryford_node::crashes;
use chicoryford_node::forward::Budget;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::forward::Outcome;
use chicoryford_node::forward::Requester;
use chicoryford_node::message::Update;
use chicoryford_types::Fingerprint;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use support::endpoint::endpoint;
use support::route::route;

/// What an endpoint does with a request whose body is "bad"; it answers all others.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Behavior {
    /// It crashes: its connections break, and it accepts no others.
    Crash,
    /// It closes the connection and continues.
    Close,
    /// It falls silent: it neither answers nor closes its connections.
    Hang,
}

/// The endpoints that received "bad", in order.
type Received = Rc<RefCell<Vec<String>>>;

async fn crashing(number: usize, behavior: Behavior, received: Received) -> Endpoint {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let id = format!("i{number}");
    let endpoint = endpoint("desk", &id, address, 4);
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = vec![0; 4_096];
            while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
                if bytes.windows(3).any(|three| three == b"bad") {
                    received.borrow_mut().push(id.clone());
                    match behavior {
                        Behavior::Crash => return,
                        Behavior::Close => break,
                        Behavior::Hang => std::future::pending().await,
                    }
                }
                let answer = "HTTP/1.1 200 OK\r\nx-attempt-id: id\r\nx-response-stamp: s\r\n\
                              content-length: 2\r\n\r\nok";
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        }
    });
    endpoint
}

async fn forwarder(endpoints: usize, behavior: Behavior) -> (Rc<Forwarder>, Received) {
    let (forwarder, received) = (Forwarder::new(Policy::default()), Received::default());
    for number in 0..endpoints {
        forwarder.apply(&Update::Endpoint(crashing(number, behavior, received.clone()).await));
    }
    (forwarder, received)
}

fn request(body: &'static str) -> Request {
    let mut request = Request::new(Method::POST, "/x", body);
    request.headers.set("host", "h");
    request.headers.set("x-attempt-id", "id");
    request
}

async fn send(forwarder: &Forwarder, body: &'static str) -> Outcome {
    let route = route("desk", RouteKind::Idempotent, 2);
    let budget = Budget::new(clock::now() + 1_000);
    let outcome =
        forwarder.forward(&route, &request(body), &budget, 1_000, Requester::default()).await;
    // Waits until it has been determined whether endpoints have crashed.
    tokio::time::sleep(Duration::from_millis(200)).await;
    outcome
}

/// Guards against a content that crashes one endpoint after the other when it is sent repeatedly.
#[actix_rt::test]
async fn a_content_that_has_crashed_three_endpoints_is_sent_to_no_other() {
    let (forwarder, received) = forwarder(8, Behavior::Crash).await;
    for _ in 0..4 {
        send(&forwarder, "bad").await;
    }
    assert!(received.borrow().len() <= 4, "{received:?}");
    let refused = send(&forwarder, "bad").await;
    assert!(matches!(refused, Outcome::NotRun("the content crashes endpoints", _)), "{refused:?}");
    let other = send(&forwarder, "good").await;
    assert!(matches!(&other, Outcome::Answered(reply) if reply.status.is_success()), "{other:?}");
}

/// Guards against refusing a content although no endpoint has crashed.
#[actix_rt::test]
async fn a_closed_connection_without_a_crash_refuses_no_content() {
    let (forwarder, received) = forwarder(4, Behavior::Close).await;
    for _ in 0..4 {
        assert!(matches!(send(&forwarder, "bad").await, Outcome::Lost));
    }
    assert_eq!(received.borrow().len(), 8, "each time as many endpoints as the route allows");
}

#[actix_rt::test]
async fn a_content_that_the_fleet_refuses_is_sent_to_no_endpoint() {
    let (forwarder, received) = forwarder(2, Behavior::Close).await;
    let content = crashes::content_fingerprint(&request("bad"), "");
    forwarder.apply(&Update::Refused(BTreeSet::from([content])));
    assert!(matches!(send(&forwarder, "bad").await, Outcome::NotRun(..)));
    assert!(received.borrow().is_empty());
}

/// Guards against a content that crashes endpoints which keep their connections open, as a VM
/// without power does: it was sent to one endpoint after another, and no process suspected it.
#[actix_rt::test]
async fn a_content_whose_endpoints_fall_silent_is_sent_to_no_other() {
    let (forwarder, received) = forwarder(8, Behavior::Hang).await;
    for _ in 0..3 {
        let asked = received.borrow().len();
        assert!(matches!(send(&forwarder, "bad").await, Outcome::Late));
        let silent: Vec<String> = received.borrow()[asked..].to_vec();
        for id in silent {
            let mut endpoint = endpoint("desk", &id, "127.0.0.1:9".parse().unwrap(), 4);
            endpoint.status = EndpointStatus::Silent;
            forwarder.apply(&Update::Endpoint(endpoint));
        }
        tokio::time::sleep(Duration::from_millis(1_600)).await;
    }
    let refused = send(&forwarder, "bad").await;
    assert!(matches!(refused, Outcome::NotRun("the content crashes endpoints", _)), "{refused:?}");
    assert!(matches!(send(&forwarder, "good").await, Outcome::Answered(_)));
}

/// A scorer's call is part of its sample, which is owed. Guards against holding back a sample for a
/// day because endpoints crashed, or fell silent, while they ran its scorer's call.
#[actix_rt::test]
async fn the_call_of_a_scorer_is_made_again_whatever_crashed_under_it() {
    let (forwarder, received) = forwarder(8, Behavior::Crash).await;
    let endpoints: BTreeSet<String> = (0..8).map(|number| format!("i{number}")).collect();
    let route = route("desk", RouteKind::Idempotent, 8);
    let call = async |body| {
        let grant = Grant { endpoints: endpoints.clone(), ..Grant::default() };
        let budget = Budget::shared(clock::now() + 1_000, CallCost::default(), grant, || true);
        let requester = Requester::default();
        let outcome = forwarder.forward(&route, &request(body), &budget, 1_000, requester).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        (outcome, budget.broken())
    };
    for _ in 0..3 {
        let (outcome, broken) = call("bad").await;
        assert!(!matches!(outcome, Outcome::NotRun("the content crashes endpoints", _)));
        assert!(broken >= 2, "{broken} broken connections are known to the host");
    }
    assert!(received.borrow().len() >= 6, "{received:?}");
    let refused: BTreeSet<Fingerprint> =
        ["bad", "good"].map(|body| crashes::content_fingerprint(&request(body), "")).into();
    forwarder.apply(&Update::Refused(refused));
    let (good, _) = call("good").await;
    assert!(matches!(&good, Outcome::Answered(reply) if reply.status.is_success()), "{good:?}");
    let other = send(&forwarder, "good").await;
    assert!(matches!(other, Outcome::NotRun("the content crashes endpoints", _)), "{other:?}");
}
