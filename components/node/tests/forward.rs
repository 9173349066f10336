//! Retries and hedging after failed attempts at endpoints, on real sockets.

mod support {
    pub mod endpoint;
    pub mod log_lines;
    pub mod route;
}

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use chicoryford_fleet::Policy;
use chicoryford_fleet::RouteKind;
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
use tokio::net::TcpStream;

use support::endpoint::endpoint;
use support::log_lines::LogLines;
use support::route::route;

/// What a stub endpoint does with each request.
#[derive(Clone, Copy)]
enum Behavior {
    Answer,
    Refuse,
    Fail,
    /// Fails the first request late, and never answers another one.
    FailOnceSlowly,
    AnswerSlowly,
    Reset,
    Hang,
}

struct Stub {
    address: SocketAddr,
    requests: Rc<Cell<u32>>,
}

async fn stub(behavior: Behavior) -> Stub {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Rc::new(Cell::new(0));
    let count = requests.clone();
    actix_rt::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            actix_rt::spawn(serve(stream, behavior, count.clone()));
        }
    });
    Stub { address, requests }
}

async fn serve(mut stream: TcpStream, behavior: Behavior, requests: Rc<Cell<u32>>) {
    let mut bytes = vec![0; 4_096];
    while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
        requests.set(requests.get() + 1);
        let own = "x-attempt-id: id\r\nx-response-stamp: s\r\n";
        let text = match behavior {
            Behavior::Answer => format!("HTTP/1.1 200 OK\r\n{own}content-length: 2\r\n\r\nok"),
            Behavior::Refuse => {
                "HTTP/1.1 503 x\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
            }
            Behavior::Fail => format!("HTTP/1.1 500 x\r\n{own}content-length: 0\r\n\r\n"),
            Behavior::AnswerSlowly => {
                tokio::time::sleep(Duration::from_millis(200)).await;
                format!("HTTP/1.1 200 OK\r\n{own}content-length: 2\r\n\r\nok")
            }
            Behavior::FailOnceSlowly if requests.get() == 1 => {
                tokio::time::sleep(Duration::from_millis(200)).await;
                format!("HTTP/1.1 500 x\r\n{own}content-length: 0\r\n\r\n")
            }
            Behavior::Reset => {
                stream.set_zero_linger().unwrap();
                return;
            }
            Behavior::Hang | Behavior::FailOnceSlowly => {
                tokio::time::sleep(Duration::from_secs(60)).await;
                return;
            }
        };
        stream.write_all(text.as_bytes()).await.unwrap();
    }
}

/// Creates a forwarder with these endpoints, which tries the first one first.
fn forwarder(stubs: &[&Stub]) -> Rc<Forwarder> {
    let forwarder = Forwarder::new(Policy::default());
    for (number, stub) in stubs.iter().enumerate() {
        let slots = if number == 0 { 1_000 } else { 1 };
        let endpoint = endpoint("desk", &format!("i{number}"), stub.address, slots);
        forwarder.apply(&Update::Endpoint(endpoint));
    }
    forwarder
}

fn request() -> Request {
    let mut request = Request::new(Method::POST, "/desk/x", "body");
    request.headers.set("host", "h");
    request.headers.set("x-attempt-id", "id");
    request
}

/// Sends a request. Returns its outcome, and the number of replies with status 500.
async fn send_counting(
    stubs: &[&Stub],
    kind: RouteKind,
    attempts: u32,
    budget_ms: u64,
) -> (Outcome, u32) {
    let budget = Budget::new(clock::now() + budget_ms);
    let (route, request) = (route("desk", kind, attempts), request());
    let forwarder = forwarder(stubs);
    let outcome =
        forwarder.forward(&route, &request, &budget, budget_ms, Requester::default()).await;
    (outcome, budget.spent().failures)
}

async fn send(stubs: &[&Stub], kind: RouteKind, attempts: u32, budget_ms: u64) -> Outcome {
    send_counting(stubs, kind, attempts, budget_ms).await.0
}

fn is_success(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(reply) if reply.status.is_success())
}

#[actix_rt::test]
async fn an_idempotent_request_is_retried_after_any_failure() {
    for behavior in [Behavior::Refuse, Behavior::Fail, Behavior::Reset] {
        let (bad, good) = (stub(behavior).await, stub(Behavior::Answer).await);
        let outcome = send(&[&bad, &good], RouteKind::Idempotent, 3, 1_500).await;
        assert!(is_success(&outcome), "{outcome:?}");
    }
}

/// Guards against sending a request with side effects again after its connection was reset, because
/// the first endpoint may have run it: a label was printed twice.
#[actix_rt::test]
async fn a_request_that_may_have_run_is_not_retried() {
    let (bad, good) = (stub(Behavior::Reset).await, stub(Behavior::Reset).await);
    let (outcome, failures) = send_counting(&[&bad, &good], RouteKind::Once, 3, 1_500).await;
    assert!(matches!((&outcome, failures), (Outcome::Lost, 0)), "{outcome:?} {failures}");
    assert_eq!(bad.requests.get() + good.requests.get(), 1);
}

#[actix_rt::test]
async fn a_request_that_did_not_run_is_retried_elsewhere_even_if_not_idempotent() {
    let (bad, good) = (stub(Behavior::Refuse).await, stub(Behavior::Answer).await);
    let outcome = send(&[&bad, &good], RouteKind::Once, 1, 1_500).await;
    assert!(is_success(&outcome), "{outcome:?}");
}

#[actix_rt::test]
async fn a_request_is_refused_soon_if_all_endpoints_are_full() {
    let full = stub(Behavior::Refuse).await;
    let began = Instant::now();
    let outcome = send(&[&full], RouteKind::Once, 1, 5_000).await;
    assert!(matches!(outcome, Outcome::NotRun(_, after) if after > 0), "{outcome:?}");
    assert!(began.elapsed() < Duration::from_secs(2));
}

#[actix_rt::test]
async fn a_request_without_endpoints_is_refused_and_an_unanswered_one_times_out() {
    let outcome = send(&[], RouteKind::Idempotent, 2, 1_000).await;
    assert!(matches!(outcome, Outcome::NotRun(..)), "{outcome:?}");
    let hanging = stub(Behavior::Hang).await;
    let (outcome, failures) = send_counting(&[&hanging], RouteKind::Idempotent, 2, 300).await;
    assert!(matches!((&outcome, failures), (Outcome::Late, 0)), "it may have run: {outcome:?}");
}

/// One of several endpoints becomes silent, while callers wait only for a fraction of a second.
#[actix_rt::test]
async fn a_request_to_a_silent_endpoint_is_hedged() {
    let (silent, good) = (stub(Behavior::Hang).await, stub(Behavior::Answer).await);
    let began = Instant::now();
    let outcome = send(&[&silent, &good], RouteKind::Idempotent, 2, 3_000).await;
    assert!(is_success(&outcome), "{outcome:?}");
    assert!(began.elapsed() < Duration::from_secs(1));
}

#[actix_rt::test]
async fn no_more_endpoints_run_it_than_the_route_allows() {
    let stubs =
        [stub(Behavior::Fail).await, stub(Behavior::Fail).await, stub(Behavior::Fail).await];
    let all = [&stubs[0], &stubs[1], &stubs[2]];
    let (outcome, failures) = send_counting(&all, RouteKind::Idempotent, 2, 1_500).await;
    let Outcome::Answered(reply) = outcome else { panic!("{outcome:?}") };
    assert_eq!((reply.status.as_u16(), failures), (500, 2), "the endpoint's own answer");
    assert_eq!(stubs.iter().map(|stub| stub.requests.get()).sum::<u32>(), 2);
}

/// A scorer may fail so slowly that a call times out before all attempts have failed. Guards
/// against losing the count of failures then: the next call started at zero, so the sample was
/// never given up, and its step waited until its trainer gave up.
///
/// After their failures the endpoints hang, so that attempts are still running when the time is up.
/// If the last failure came at that moment, either of the two could decide the request.
#[actix_rt::test]
async fn failures_count_also_when_the_time_is_up() {
    let stubs = [stub(Behavior::FailOnceSlowly).await, stub(Behavior::FailOnceSlowly).await];
    let (outcome, failures) =
        send_counting(&[&stubs[0], &stubs[1]], RouteKind::Idempotent, 9, 1_500).await;
    assert!(matches!((&outcome, failures), (Outcome::Late, 2)), "{outcome:?} {failures}");
    let requests = stubs.each_ref().map(|stub| stub.requests.get());
    assert!(requests.iter().sum::<u32>() > 2, "an attempt after the failures: {requests:?}");
}

/// A first endpoint hangs, and the second attempt is answered late. Guards against a log line
/// without the attempts that succeeded or were abandoned for a faster one, which would not explain
/// the delay.
#[actix_rt::test]
async fn the_attempts_of_a_late_request_are_logged() {
    let lines = LogLines::collect();
    let (bad, good) = (stub(Behavior::Hang).await, stub(Behavior::AnswerSlowly).await);
    let outcome = send(&[&bad, &good], RouteKind::Idempotent, 3, 1_500).await;
    assert!(is_success(&outcome), "{outcome:?}");
    let lines = lines.take();
    let line = lines.first().expect("a line");
    assert!(line.contains("request=\"id\""), "{line}");
    assert!(line.contains("i0 at=") && line.contains("i1 at="), "{line}");
    assert!(line.contains("dropped=") && line.contains("answered="), "{line}");
}

/// A host's call is dropped when its run is taken away. Guards against a call of which no log line
/// says at which endpoints it may have run.
#[actix_rt::test]
async fn the_attempts_of_a_dropped_request_are_logged() {
    let lines = LogLines::collect();
    let hanging = stub(Behavior::Hang).await;
    let stubs = [&hanging];
    let request = send(&stubs, RouteKind::Idempotent, 3, 1_500);
    assert!(tokio::time::timeout(Duration::from_millis(100), request).await.is_err());
    let lines = lines.take();
    let line = lines.first().expect("a line");
    assert!(line.contains("i0 at=") && line.contains("dropped=true"), "{line}");
}
