//! Endpoints that send bytes without end to entries and hosts, on real sockets.

mod support {
    pub mod endpoint;
    pub mod job;
    pub mod route;
}

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Policy;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::run::HostCommand;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::run::RunStatus;
use chicoryford_http::Request;
use chicoryford_http::message::Method;
use chicoryford_node::clock;
use chicoryford_node::forward::Budget;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::forward::Outcome;
use chicoryford_node::forward::Requester;
use chicoryford_node::message::MemberMessage;
use chicoryford_node::message::Update;
use chicoryford_node::runner::Runner;
use chicoryford_node::view::View;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;

use support::endpoint::endpoint;
use support::job::job;
use support::route::route;

const EVENTS_HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: s\r\nx-response-stamp: p\r\n\r\n";
/// The time within which a run must end whose engine sends no event.
const RUN_LIMIT: Duration = Duration::from_secs(4);

/// Sends the first bytes, then the second ones again and again until the caller closes, with a pause
/// between them. Returns the address and the number of requests.
async fn pour(first: &str, again: &str, pause: Duration) -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (first, again) = (first.as_bytes().to_vec(), again.as_bytes().to_vec());
    let requests = Rc::<Cell<u32>>::default();
    let counted = requests.clone();
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (first, again, counted) = (first.clone(), again.clone(), counted.clone());
            actix_rt::spawn(async move {
                let mut request = [0; 4_096];
                if !stream.read(&mut request).await.is_ok_and(|read| read > 0) {
                    return;
                }
                counted.set(counted.get() + 1);
                let mut is_open = stream.write_all(&first).await.is_ok();
                while is_open {
                    is_open = stream.write_all(&again).await.is_ok();
                    tokio::time::sleep(pause).await;
                }
            });
        }
    });
    (address, requests)
}

/// Returns how a run ends, and after what time.
async fn run_end(job: Job) -> (RunStatus, Duration) {
    let runner = Runner::new(Rc::new(View::default()), Forwarder::new(Policy::default()));
    let (sender, mut messages) = mpsc::channel(1_024);
    runner.attach(sender);
    actix_rt::spawn(runner.clone().run());
    let began = Instant::now();
    runner.handle_local(HostCommand::Run(Box::new(job)));
    let ended = tokio::time::timeout(2 * RUN_LIMIT, async {
        loop {
            match messages.recv().await.expect("the host runs") {
                MemberMessage::Report(RunReport { status, .. })
                    if !matches!(status, RunStatus::Running) =>
                {
                    return status;
                }
                _ => {}
            }
        }
    });
    (ended.await.expect("the run has no end"), began.elapsed())
}

/// Guards against runs that keep their slots and memory for ever: an engine sends a line without end,
/// or lines that are no event, so that the time limit of each piece never passes.
#[actix_rt::test]
async fn a_run_without_events_ends_although_bytes_arrive() {
    let long_line = "x".repeat(16 << 10);
    let short = Duration::from_millis(1);
    for (first, again, pause) in [
        ("data: ", long_line.as_str(), Duration::ZERO),
        ("data: ", "x", short),
        ("", ": no event\n", short),
        ("", "\n", short),
        ("", "data: part of an event\n", Duration::ZERO),
    ] {
        let (address, _) = pour(&format!("{EVENTS_HEAD}{first}"), again, pause).await;
        let (status, took) = run_end(job(address)).await;
        assert!(matches!(status, RunStatus::Ended(_)), "{again:.20?}: {status:?}");
        assert!(took < RUN_LIMIT, "{again:.20?}: {took:?}");
    }
}

/// Guards against a run whose engine makes more events than its sample can have, without end.
#[actix_rt::test]
async fn a_run_with_more_events_than_tokens_ends() {
    let (address, _) = pour(EVENTS_HEAD, "data: x\n\n", Duration::ZERO).await;
    let mut job = job(address);
    job.sample.tokens = 100;
    let (status, took) = run_end(job).await;
    assert!(matches!(status, RunStatus::Ended(_)), "{status:?}");
    assert!(took < RUN_LIMIT, "{took:?}");
}

/// Guards against requests that wait for an endpoint which sends bytes without end until their time
/// is up, and against endpoints that go on getting requests meanwhile.
#[actix_rt::test]
async fn a_request_goes_on_elsewhere_and_the_endpoint_is_avoided() {
    let chunked = "HTTP/1.1 200 OK\r\nx-attempt-id: id\r\ntransfer-encoding: chunked\r\n\r\n";
    let (header, extension) = ("HTTP/1.1 200 OK\r\nx-a: ", format!("{chunked}5;"));
    let long = "x".repeat(16 << 10);
    let cases = [
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        (header, long.as_str()),
        (extension.as_str(), "a=b;"),
    ];
    for (first, again) in cases {
        let forwarder = Forwarder::new(Policy::default());
        let (address, poured) = pour(first, again, Duration::ZERO).await;
        forwarder.apply(&Update::Endpoint(endpoint("desk", "poured", address, 6)));
        let sound = "HTTP/1.1 200 OK\r\nx-attempt-id: id\r\nx-response-stamp: s\r\n\
                     connection: close\r\ncontent-length: 2\r\n\r\nok";
        let (address, _) = pour(sound, "", Duration::from_secs(9)).await;
        forwarder.apply(&Update::Endpoint(endpoint("desk", "sound", address, 6)));
        let route = route("desk", RouteKind::Idempotent, 2);
        let requests = 20;
        for _ in 0..requests {
            let mut request = Request::new(Method::POST, "/x", "");
            request.headers.set("host", "h");
            request.headers.set("x-attempt-id", "id");
            let budget = Budget::new(clock::now() + 1_500);
            let requester = Requester::default();
            let outcome = forwarder.forward(&route, &request, &budget, 1_500, requester).await;
            let is_answered =
                matches!(&outcome, Outcome::Answered(reply) if reply.status.is_success());
            assert!(is_answered, "{again:.20?}: {outcome:?}");
        }
        assert!(poured.get() <= requests / 2, "{again:.20?}: {} requests", poured.get());
    }
}
