//! Pacing of scorers' calls by a forwarder, on real sockets.

mod support {
    pub mod endpoint;
    pub mod log_lines;
    pub mod route;
    pub mod unreachable;
}

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Grant;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Route;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::hedge::AttemptShare;
use chicoryford_fleet::hedge::SecondAttempts;
use chicoryford_fleet::reachability::UnreachableSet;
use chicoryford_fleet::run::CallCost;
use chicoryford_fleet::run::HostCommand;
use chicoryford_http::Request;
use chicoryford_http::message::Method;
use chicoryford_node::clock;
use chicoryford_node::forward::Budget;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::forward::Outcome;
use chicoryford_node::forward::Requester;
use chicoryford_node::message::Update;
use chicoryford_node::metrics;
use chicoryford_node::runner::Runner;
use chicoryford_node::view::View;
use futures_util::future::join_all;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use support::endpoint::endpoint;
use support::log_lines::LogLines;
use support::route::route;
use support::unreachable::unreachable;

const SLOTS: u32 = 6;
const HOSTS: u32 = 3;
/// The upper bound of a window.
const WINDOW: u32 = SLOTS / HOSTS;
/// The time for which an endpoint works on a call.
const WORK: Duration = Duration::from_millis(20);
/// A time for which calls of these tests do not wait.
const LONG_MS: u64 = 10_000;

/// An endpoint that answers after a while, or never.
struct FakeEndpoint {
    address: SocketAddr,
    running: Cell<u32>,
    most_running: Cell<u32>,
    hangs: Cell<bool>,
    /// The calls in the order of their arrival.
    calls: RefCell<Vec<String>>,
}

impl FakeEndpoint {
    async fn start(hangs: bool) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let fake = Rc::new(Self {
            address: listener.local_addr().unwrap(),
            running: Cell::default(),
            most_running: Cell::default(),
            hangs: Cell::new(hangs),
            calls: RefCell::default(),
        });
        let served = fake.clone();
        actix_rt::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                actix_rt::spawn(served.clone().serve(stream));
            }
        });
        fake
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut bytes = vec![0; 4_096];
        while let Ok(read @ 1..) = stream.read(&mut bytes).await {
            let text = String::from_utf8_lossy(&bytes[..read]).to_lowercase();
            let id = text.split("x-attempt-id: ").nth(1).and_then(|rest| rest.split("\r\n").next());
            let id = id.expect("an id").to_owned();
            self.calls.borrow_mut().push(id.clone());
            self.running.set(self.running.get() + 1);
            self.most_running.set(self.most_running.get().max(self.running.get()));
            let work = async {
                tokio::time::sleep(WORK).await;
                while self.hangs.get() {
                    tokio::time::sleep(WORK).await;
                }
            };
            // A call is abandoned when its connection is closed.
            let mut rest = [0];
            let abandoned = tokio::select! {
                () = work => false,
                _ = stream.read(&mut rest) => true,
            };
            self.running.set(self.running.get() - 1);
            if abandoned {
                return;
            }
            let head = format!("x-attempt-id: {id}\r\nx-response-stamp: s\r\ncontent-length: 0");
            let answer = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Creates the forwarder of a host with these endpoints, which knows the number of hosts.
fn forwarder(paced: bool, fakes: &[&Rc<FakeEndpoint>]) -> Rc<Forwarder> {
    let policy = Policy { paced_scorers: paced, ..Policy::default() };
    let addresses: Vec<SocketAddr> = fakes.iter().map(|fake| fake.address).collect();
    forwarder_with(policy, None, &addresses)
}

/// Creates the forwarder of a host with these settings.
fn forwarder_with(policy: Policy, share: Option<f64>, addresses: &[SocketAddr]) -> Rc<Forwarder> {
    let share = share.map(|share| AttemptShare::try_from(share).unwrap());
    let limits = SecondAttempts { share, ..SecondAttempts::default() };
    let forwarder = Forwarder::with_limits(policy, limits);
    for (number, address) in addresses.iter().enumerate() {
        let endpoint = endpoint("score", &format!("i{number}"), *address, SLOTS);
        forwarder.apply(&Update::Endpoint(endpoint));
    }
    let runner = Runner::new(Rc::new(View::default()), forwarder.clone());
    runner.handle_local(HostCommand::HostCount(HOSTS));
    forwarder
}

fn scoring(attempts: u32, timeout_ms: u64) -> Route {
    let timeout_ms = Some(timeout_ms);
    Route { timeout_ms, ..route("score", RouteKind::Idempotent, attempts) }
}

/// Calls a scorer that may run at the first `granted` endpoints.
async fn call(forwarder: &Forwarder, id: &str, rank: u32, granted: u32, limit_ms: u64) -> Outcome {
    let endpoints: BTreeSet<String> = (0..granted).map(|number| format!("i{number}")).collect();
    let grant = Grant { endpoints, ..Grant::default() };
    let budget = Budget::shared(clock::now() + limit_ms, CallCost::default(), grant, || true);
    let mut request = Request::new(Method::POST, "/score/x", "");
    request.headers.set("host", "h");
    request.headers.set("x-attempt-id", id);
    let requester = Requester { rank, ..Requester::default() };
    let route = scoring(granted, limit_ms);
    forwarder.forward(&route, &request, &budget, limit_ms.min(2_500), requester).await
}

fn is_success(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(reply) if reply.status.is_success())
}

/// Sends two bursts of calls. Returns the most calls that each endpoint had at once.
async fn two_bursts(paced: bool) -> Vec<u32> {
    const CALLS: u32 = 30;
    let fakes = [FakeEndpoint::start(false).await, FakeEndpoint::start(false).await];
    let forwarder = forwarder(paced, &[&fakes[0], &fakes[1]]);
    for _ in 0..2 {
        let calls = (0..CALLS).map(|_| call(&forwarder, "c", 1, 2, LONG_MS));
        let outcomes = join_all(calls).await;
        assert!(outcomes.iter().all(is_success), "{outcomes:?}");
    }
    fakes.iter().map(|fake| fake.most_running.get()).collect()
}

/// Guards against a host that uses more than its share of the slots when steps end, with first and
/// second attempts.
#[actix_rt::test]
async fn two_bursts_of_scorers_calls_never_exceed_the_window() {
    let most = two_bursts(true).await;
    assert!(most.iter().all(|most| *most <= WINDOW), "{most:?}");
    let most = two_bursts(false).await;
    assert!(most.iter().all(|most| *most > SLOTS), "the load does not need pacing: {most:?}");
}

/// Guards against requests of callers that wait for the windows of scorers' calls.
#[actix_rt::test]
async fn requests_of_callers_are_not_paced() {
    let fake = FakeEndpoint::start(true).await;
    let forwarder = forwarder(true, &[&fake]);
    let request = || async {
        let budget = Budget::new(clock::now() + LONG_MS);
        let mut request = Request::new(Method::POST, "/score/x", "");
        request.headers.set("x-attempt-id", "caller");
        let route = scoring(1, LONG_MS);
        forwarder.forward(&route, &request, &budget, 200, Requester::default()).await
    };
    join_all((0..2 * SLOTS).map(|_| request())).await;
    assert_eq!(fake.calls.borrow().len(), 2 * SLOTS as usize);
}

/// Guards against a call that is sent after its step was due: the work of the endpoint would be
/// wasted.
#[actix_rt::test]
async fn a_call_whose_time_is_up_is_not_sent() {
    let fake = FakeEndpoint::start(true).await;
    let forwarder = forwarder(true, &[&fake]);
    let first = call(&forwarder, "first", 1, 1, 400);
    let late = call(&forwarder, "late", 1, 1, 200);
    let open = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fake.hangs.set(false);
    };
    let (first, late, ()) = tokio::join!(first, late, open);
    assert!(is_success(&first), "{first:?}");
    assert!(matches!(late, Outcome::NotRun(..)), "{late:?}");
    let next = call(&forwarder, "next", 1, 1, LONG_MS).await;
    assert!(is_success(&next), "the window is free again: {next:?}");
    assert_eq!(*fake.calls.borrow(), ["first", "next"]);
}

/// Guards against a wait that takes the time of the attempt: the attempt would be cancelled
/// although the endpoint works on it.
#[actix_rt::test]
async fn a_call_that_has_waited_has_the_whole_time_of_a_pass() {
    let fake = FakeEndpoint::start(true).await;
    let forwarder = forwarder(true, &[&fake]);
    let first = call(&forwarder, "first", 1, 1, 3_500);
    let second = async {
        tokio::task::yield_now().await;
        call(&forwarder, "second", 1, 1, LONG_MS).await
    };
    // The first call is given up after a pass of 2.5 s, so the second one starts then.
    let open = async {
        tokio::time::sleep(Duration::from_millis(2_700)).await;
        fake.hangs.set(false);
    };
    let (first, second, ()) = tokio::join!(first, second, open);
    assert!(matches!(first, Outcome::Late), "{first:?}");
    assert!(is_success(&second), "{second:?}");
}

/// Guards against calls of a less important step that are sent first.
#[actix_rt::test]
async fn waiting_calls_are_sent_by_rank() {
    let fake = FakeEndpoint::start(true).await;
    let forwarder = forwarder(true, &[&fake]);
    let ids = ["first", "c2", "b1", "d2", "a0"];
    let ranks = [9, 2, 1, 2, 0];
    let calls = ids.iter().zip(ranks).map(|(id, rank)| call(&forwarder, id, rank, 1, LONG_MS));
    let open = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        fake.hangs.set(false);
    };
    let (outcomes, ()) = tokio::join!(join_all(calls), open);
    assert!(outcomes.iter().all(is_success), "{outcomes:?}");
    let mut arrived = fake.calls.borrow().clone();
    // The window grows to two calls, and two connections may be read in any order.
    arrived[3..].sort();
    assert_eq!(arrived, ["first", "a0", "b1", "c2", "d2"]);
}

/// Guards against calls that wait behind an endpoint that does not answer, or get no second attempt
/// because all windows were full when it was due.
#[actix_rt::test]
async fn an_endpoint_that_hangs_delays_only_the_calls_that_it_has() {
    let (hanging, good) = (FakeEndpoint::start(true).await, FakeEndpoint::start(false).await);
    let forwarder = forwarder(true, &[&hanging, &good]);
    let calls = (0..60).map(|_| call(&forwarder, "c", 1, 2, LONG_MS));
    let began = std::time::Instant::now();
    let outcomes = join_all(calls).await;
    assert!(outcomes.iter().all(is_success), "{outcomes:?}");
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    assert!(hanging.most_running.get() <= WINDOW && good.most_running.get() <= WINDOW);
}

/// Guards against a call that was dropped with its step and keeps its place in the queue, so that
/// nobody behind it is sent.
#[actix_rt::test]
async fn a_call_that_is_dropped_while_it_waits_delays_no_other() {
    let fake = FakeEndpoint::start(true).await;
    let forwarder = forwarder(true, &[&fake]);
    let first = call(&forwarder, "first", 1, 1, LONG_MS);
    let dropped = call(&forwarder, "dropped", 0, 1, LONG_MS);
    let dropped = tokio::time::timeout(Duration::from_millis(50), dropped);
    let last = call(&forwarder, "last", 1, 1, LONG_MS);
    let open = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        fake.hangs.set(false);
    };
    let (first, dropped, last, ()) = tokio::join!(first, dropped, last, open);
    assert!(is_success(&first) && dropped.is_err() && is_success(&last), "{first:?} {last:?}");
    assert_eq!(*fake.calls.borrow(), ["first", "last"]);
}

/// Guards against calls that are sent to an unreachable endpoint because the windows of all
/// reachable ones are full, and against calls that are not sent at all if no reachable endpoint is
/// left.
#[actix_rt::test]
async fn full_windows_send_no_call_to_an_unreachable_endpoint() {
    let (full, unreachable) = (FakeEndpoint::start(true).await, FakeEndpoint::start(false).await);
    // A second attempt has no reachable endpoint left.
    let policy = Policy {
        paced_scorers: true,
        shared_reachability: true,
        second_attempts: false,
        ..Policy::default()
    };
    let forwarder = forwarder_with(policy, None, &[full.address, unreachable.address]);
    // No probe is due during the test.
    let endpoints = BTreeMap::from([("i1".to_owned(), 0)]);
    let set = UnreachableSet { endpoints, probe_ms: 100_000_000 };
    forwarder.apply(&Update::Unreachable(set));
    let calls = join_all((0..6).map(|_| call(&forwarder, "c", 1, 2, LONG_MS)));
    let open = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        full.hangs.set(false);
    };
    let (outcomes, ()) = tokio::join!(calls, open);
    assert!(outcomes.iter().all(is_success), "{outcomes:?}");
    assert_eq!(unreachable.calls.borrow().len(), 0);
    forwarder.apply(&Update::Forgotten("i0".to_owned()));
    let last = call(&forwarder, "last", 1, 2, LONG_MS).await;
    assert!(is_success(&last), "{last:?}");
    assert_eq!(*unreachable.calls.borrow(), ["last"]);
}

/// Guards against a late call whose log line does not say that it waited at its host.
#[actix_rt::test]
async fn the_wait_for_a_window_is_logged() {
    let lines = LogLines::collect();
    let fake = FakeEndpoint::start(true).await;
    let forwarder = forwarder(true, &[&fake]);
    let open = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fake.hangs.set(false);
    };
    let first = call(&forwarder, "first", 1, 1, LONG_MS);
    let second = call(&forwarder, "second", 1, 1, LONG_MS);
    tokio::join!(first, second, open);
    let lines = lines.take();
    let paced_ms = |id: &str| {
        let line = lines.iter().find(|line| line.contains(&format!("request=\"{id}\"")));
        let rest = line.and_then(|line| line.split("paced_ms=").nth(1)).expect("a line");
        rest.split(' ').next().unwrap().parse::<u64>().unwrap()
    };
    assert_eq!(paced_ms("first"), 0, "{lines:?}");
    assert!((250..1_000).contains(&paced_ms("second")), "{lines:?}");
}

/// Both windows are full when a second attempt is due. Guards against one that would not be sent
/// and waits for a window all the same, and against a wait of second attempts that is reported as
/// the wait of their calls.
#[actix_rt::test]
async fn a_second_attempt_waits_only_if_it_would_be_sent_and_not_on_behalf_of_its_call() {
    let lines = LogLines::collect();
    let on = Policy { paced_scorers: true, ..Policy::default() };
    let off = Policy { second_attempts: false, ..on };
    let cases = [
        (on, Some(0.0), "hedge=\"off\""),
        (off, None, "hedge=\"off\""),
        (on, Some(0.1), "hedge=\"limit\""),
        (on, None, "ms="),
    ];
    for (policy, share, decision) in cases {
        let fakes = [FakeEndpoint::start(true).await, FakeEndpoint::start(true).await];
        let forwarder = forwarder_with(policy, share, &[fakes[0].address, fakes[1].address]);
        let calls = (0..2).map(|_| call(&forwarder, "c", 1, 2, 500));
        let waiting = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            metrics::SCORER_CALLS_WAITING.get()
        };
        let (outcomes, waiting) = tokio::join!(join_all(calls), waiting);
        assert!(outcomes.iter().all(|outcome| matches!(outcome, Outcome::Late)), "{outcomes:?}");
        assert_eq!(waiting, 0, "{decision}");
        assert_eq!(fakes.each_ref().map(|fake| fake.calls.borrow().len()), [1, 1], "{decision}");
        let lines = lines.take();
        let is_expected = |line: &String| line.contains(decision) && line.contains("paced_ms=0 ");
        assert!(lines.len() == 2 && lines.iter().all(is_expected), "{lines:?}");
    }
}

/// A call that cannot connect falls back while the window of its other endpoint is full. Guards
/// against fallbacks that are used up before the window has a free slot, so that the call waits for
/// the connection.
#[actix_rt::test]
async fn a_fallback_is_made_when_a_full_window_has_room_again() {
    let (busy, dark) = (FakeEndpoint::start(true).await, unreachable().await);
    let policy = Policy { paced_scorers: true, connect_fallback: true, ..Policy::default() };
    let forwarder = forwarder_with(policy, Some(0.0), &[busy.address, dark.address()]);
    let first = call(&forwarder, "first", 1, 1, LONG_MS);
    let second = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        call(&forwarder, "second", 1, 2, LONG_MS).await
    };
    let open = async {
        tokio::time::sleep(Duration::from_millis(80)).await;
        busy.hangs.set(false);
    };
    let (first, second, ()) = tokio::join!(first, second, open);
    assert!(is_success(&first) && is_success(&second), "{first:?} {second:?}");
    assert_eq!(*busy.calls.borrow(), ["first", "second"]);
    assert_eq!(metrics::ATTEMPTS.with_label_values(&["connect"]).get(), 1);
}

/// Calls are dropped while they wait, connect, and run. Guards against windows
/// that stay full, and against a queue that is never empty again.
#[actix_rt::test]
async fn windows_are_free_after_calls_were_dropped_in_each_phase() {
    let (busy, dark) = (FakeEndpoint::start(true).await, unreachable().await);
    let policy = Policy { paced_scorers: true, connect_fallback: true, ..Policy::default() };
    let forwarder = forwarder_with(policy, None, &[busy.address, dark.address()]);
    for dropped_after in [20, 50, 150] {
        let running = call(&forwarder, "running", 1, 1, LONG_MS);
        let waiting = call(&forwarder, "waiting", 1, 1, LONG_MS);
        let connecting = call(&forwarder, "connecting", 1, 2, LONG_MS);
        let all = async { tokio::join!(running, waiting, connecting) };
        let limit = Duration::from_millis(dropped_after);
        assert!(tokio::time::timeout(limit, all).await.is_err());
        assert_eq!(metrics::SCORER_CALLS_WAITING.get(), 0, "after {dropped_after} ms");
        busy.hangs.set(false);
        let next = call(&forwarder, "next", 1, 1, 1_000).await;
        assert!(is_success(&next), "after {dropped_after} ms: {next:?}");
        busy.hangs.set(true);
    }
}
