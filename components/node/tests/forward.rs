//! What follows when an attempt at an endpoint fails, on real sockets.

mod support {
    pub mod endpoint;
    pub mod route;
}

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use chicoryford_fleet::Kind;
use chicoryford_fleet::Policy;
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
use support::route::route;

/// What an endpoint does with each request.
#[derive(Clone, Copy)]
enum Does {
    Answer,
    Refuse,
    Fail,
    FailSlowly,
    AnswerSlowly,
    Reset,
    Hang,
}

struct Stub {
    address: SocketAddr,
    asked: Rc<Cell<u32>>,
}

async fn stub(does: Does) -> Stub {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let asked = Rc::new(Cell::new(0));
    let count = asked.clone();
    actix_rt::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            actix_rt::spawn(play(stream, does, count.clone()));
        }
    });
    Stub { address, asked }
}

async fn play(mut stream: TcpStream, does: Does, asked: Rc<Cell<u32>>) {
    let mut bytes = vec![0; 4_096];
    while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
        asked.set(asked.get() + 1);
        let own = "x-attempt-id: id\r\nx-response-stamp: s\r\n";
        let text = match does {
            Does::Answer => format!("HTTP/1.1 200 OK\r\n{own}content-length: 2\r\n\r\nok"),
            Does::Refuse => {
                "HTTP/1.1 503 x\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
            }
            Does::Fail => format!("HTTP/1.1 500 x\r\n{own}content-length: 0\r\n\r\n"),
            Does::AnswerSlowly => {
                tokio::time::sleep(Duration::from_millis(200)).await;
                format!("HTTP/1.1 200 OK\r\n{own}content-length: 2\r\n\r\nok")
            }
            Does::FailSlowly => {
                tokio::time::sleep(Duration::from_millis(200)).await;
                format!("HTTP/1.1 500 x\r\n{own}content-length: 0\r\n\r\n")
            }
            Does::Reset => {
                stream.set_zero_linger().unwrap();
                return;
            }
            Does::Hang => {
                tokio::time::sleep(Duration::from_secs(60)).await;
                return;
            }
        };
        stream.write_all(text.as_bytes()).await.unwrap();
    }
}

/// Makes a forwarder that knows these endpoints; it asks the first one first.
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

/// Sends a request; gives what became of it, and how many answers had status 500.
async fn send_counting(
    stubs: &[&Stub],
    kind: Kind,
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

async fn send(stubs: &[&Stub], kind: Kind, attempts: u32, budget_ms: u64) -> Outcome {
    send_counting(stubs, kind, attempts, budget_ms).await.0
}

fn is_success(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(reply) if reply.status.is_success())
}

#[actix_rt::test]
async fn a_request_that_may_be_repeated_goes_on_after_any_failure() {
    for does in [Does::Refuse, Does::Fail, Does::Reset] {
        let (bad, good) = (stub(does).await, stub(Does::Answer).await);
        let outcome = send(&[&bad, &good], Kind::Idempotent, 3, 1_500).await;
        assert!(is_success(&outcome), "{outcome:?}");
    }
}

/// Symptom: a label is printed twice.
/// Sequence: the endpoint resets the connection after it has read the request.
/// Cause: the request was sent to another endpoint though it may have run.
#[actix_rt::test]
async fn a_request_that_may_have_run_is_not_repeated() {
    let (bad, good) = (stub(Does::Reset).await, stub(Does::Reset).await);
    let (outcome, failures) = send_counting(&[&bad, &good], Kind::Once, 3, 1_500).await;
    assert!(matches!((&outcome, failures), (Outcome::Lost, 0)), "{outcome:?} {failures}");
    assert_eq!(bad.asked.get() + good.asked.get(), 1);
}

#[actix_rt::test]
async fn a_request_that_did_not_run_goes_on_elsewhere_even_if_it_must_not_be_repeated() {
    let (bad, good) = (stub(Does::Refuse).await, stub(Does::Answer).await);
    let outcome = send(&[&bad, &good], Kind::Once, 1, 1_500).await;
    assert!(is_success(&outcome), "{outcome:?}");
}

#[actix_rt::test]
async fn endpoints_that_are_all_full_are_a_refusal_at_once() {
    let full = stub(Does::Refuse).await;
    let began = Instant::now();
    let outcome = send(&[&full], Kind::Once, 1, 5_000).await;
    assert!(matches!(outcome, Outcome::NotRun(_, after) if after > 0), "{outcome:?}");
    assert!(began.elapsed() < Duration::from_secs(2));
}

#[actix_rt::test]
async fn no_endpoint_is_a_refusal_and_no_answer_in_time_is_not() {
    let outcome = send(&[], Kind::Idempotent, 2, 1_000).await;
    assert!(matches!(outcome, Outcome::NotRun(..)), "{outcome:?}");
    let hanging = stub(Does::Hang).await;
    let (outcome, failures) = send_counting(&[&hanging], Kind::Idempotent, 2, 300).await;
    assert!(matches!((&outcome, failures), (Outcome::Late, 0)), "it may have run: {outcome:?}");
}

/// The load: one endpoint of some goes silent; callers wait a fraction of a second.
#[actix_rt::test]
async fn a_silent_endpoint_gets_company_from_another() {
    let (silent, good) = (stub(Does::Hang).await, stub(Does::Answer).await);
    let began = Instant::now();
    let outcome = send(&[&silent, &good], Kind::Idempotent, 2, 3_000).await;
    assert!(is_success(&outcome), "{outcome:?}");
    assert!(began.elapsed() < Duration::from_secs(1));
}

#[actix_rt::test]
async fn no_more_endpoints_run_it_than_the_route_allows() {
    let stubs = [stub(Does::Fail).await, stub(Does::Fail).await, stub(Does::Fail).await];
    let all = [&stubs[0], &stubs[1], &stubs[2]];
    let (outcome, failures) = send_counting(&all, Kind::Idempotent, 2, 1_500).await;
    let Outcome::Answered(reply) = outcome else { panic!("{outcome:?}") };
    assert_eq!((reply.status.as_u16(), failures), (500, 2), "the endpoint's own answer");
    assert_eq!(stubs.iter().map(|stub| stub.asked.get()).sum::<u32>(), 2);
}

/// Symptom: a sample is never given up, and its step waits for it until its trainer gives up.
/// Sequence: the sample's scorer fails at it each time, and so slowly that the time of a call is up
/// before all attempts have failed; the next call begins to count anew.
/// Cause: a call that ran out of time did not tell how often the scorer had failed.
#[actix_rt::test]
async fn failures_count_also_when_the_time_is_up() {
    let stubs = [stub(Does::FailSlowly).await, stub(Does::FailSlowly).await];
    let (outcome, failures) =
        send_counting(&[&stubs[0], &stubs[1]], Kind::Idempotent, 9, 700).await;
    assert!(matches!((&outcome, failures), (Outcome::Late, 2..)), "{outcome:?} {failures}");
}

/// Collects log lines.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Symptom: a request was late, and its only log line says just that.
/// Sequence: one endpoint hangs; the second attempt, elsewhere, is answered.
/// Cause: attempts that ended well, or were given up for a faster one, were not written down.
#[actix_rt::test]
async fn a_late_requests_attempts_are_written_down() {
    let lines = Lines::default();
    let copy = lines.clone();
    let log = tracing_subscriber::fmt().with_ansi(false).with_writer(move || copy.clone()).finish();
    let _guard = tracing::subscriber::set_default(log);
    let (bad, good) = (stub(Does::Hang).await, stub(Does::AnswerSlowly).await);
    let outcome = send(&[&bad, &good], Kind::Idempotent, 3, 1_500).await;
    assert!(is_success(&outcome), "{outcome:?}");
    let text = String::from_utf8(lines.0.lock().unwrap().clone()).unwrap();
    let line = text.lines().find(|line| line.contains("request_tried")).expect("a line");
    assert!(line.contains("request=\"id\""), "{line}");
    assert!(line.contains("i0 at=") && line.contains("i1 at="), "{line}");
    assert!(line.contains("dropped=") && line.contains("answered="), "{line}");
}
