//! Pacing of scorers' calls by a forwarder, on real sockets.

mod support {
    pub mod endpoint;
    pub mod fake_endpoint;
    pub mod log_lines;
    pub mod marked;
    pub mod route;
    pub mod unreachable;
}

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
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
use chicoryford_node::link::Link;
use chicoryford_node::link::Member;
use chicoryford_node::message::Update;
use chicoryford_node::metrics;
use chicoryford_node::runner::Runner;
use chicoryford_node::view::View;
use futures_util::future::join_all;

use support::endpoint::endpoint;
use support::fake_endpoint::FakeEndpoint;
use support::log_lines::LogLines;
use support::marked::marked;
use support::route::route;
use support::unreachable::unreachable;

const SLOTS: u32 = 6;
const HOSTS: u32 = 3;
/// The upper bound of a window.
const WINDOW: u32 = SLOTS / HOSTS;
/// A time for which calls of these tests do not wait.
const LONG_MS: u64 = 10_000;

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
    let endpoints = (0..granted).map(|number| format!("i{number}")).collect();
    call_at(forwarder, id, rank, endpoints, limit_ms).await
}

/// Calls a scorer that may run at these endpoints.
async fn call_at(
    forwarder: &Forwarder,
    id: &str,
    rank: u32,
    endpoints: BTreeSet<String>,
    limit_ms: u64,
) -> Outcome {
    let attempts = endpoints.len() as u32;
    let grant = Grant { endpoints, ..Grant::default() };
    let budget = Budget::shared(clock::now() + limit_ms, CallCost::default(), grant, || true);
    call_within(forwarder, id, rank, attempts, &budget).await
}

/// Calls a scorer with this budget and at most this number of attempts.
async fn call_within(
    forwarder: &Forwarder,
    id: &str,
    rank: u32,
    attempts: u32,
    budget: &Budget,
) -> Outcome {
    let limit_ms = budget.left_ms();
    let route = scoring(attempts, limit_ms);
    let mut request = Request::new(Method::POST, "/score/x", "");
    request.headers.set("host", "h");
    request.headers.set("x-attempt-id", id);
    let requester = Requester { rank, ..Requester::default() };
    forwarder.forward(&route, &request, budget, limit_ms.min(2_500), requester).await
}

/// Creates the budget of a call that may run at these endpoints. It counts in `checks` how often
/// the call checks whether it may be sent.
fn counted_budget(endpoints: &[&str], checks: &Rc<Cell<u32>>) -> Budget {
    let grant = granted(endpoints);
    let checks = checks.clone();
    Budget::shared(clock::now() + LONG_MS, CallCost::default(), grant, move || {
        checks.set(checks.get() + 1);
        true
    })
}

fn granted(endpoints: &[&str]) -> Grant {
    let endpoints = endpoints.iter().map(|id| (*id).to_owned()).collect();
    Grant { endpoints, ..Grant::default() }
}

/// Time after which a second attempt is due, with a margin.
const HEDGE_DUE: Duration = Duration::from_millis(150);

/// Creates the forwarder of a host with two endpoints, with windows for one call each, whose
/// reachability is shared.
fn forwarder_of_two(fakes: &[Rc<FakeEndpoint>; 2], share: Option<f64>) -> Rc<Forwarder> {
    let policy = Policy { paced_scorers: true, shared_reachability: true, ..Policy::default() };
    let addresses = fakes.each_ref().map(|fake| fake.address);
    let forwarder = forwarder_with(policy, share, &addresses);
    for (id, address) in ["i0", "i1"].iter().zip(addresses) {
        forwarder.apply(&Update::Endpoint(endpoint("score", id, address, HOSTS)));
    }
    forwarder
}

fn is_success(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(reply) if reply.status.is_success())
}

/// Waits until a condition is fulfilled.
async fn wait_until(condition: impl Fn() -> bool) {
    let fulfilled = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), fulfilled).await.expect("the condition holds");
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
    forwarder.apply(&marked("i1", 100_000_000));
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

/// How a call with a second attempt ends.
#[derive(Clone, Copy, Debug)]
enum CallEnd {
    FirstAnswers,
    SecondAnswers,
    SecondIsRefused,
    Dropped,
}

/// Checks that a call at each endpoint is sent at once, which needs a free window.
async fn check_windows_are_free(forwarder: &Forwarder, fakes: &[Rc<FakeEndpoint>], end: CallEnd) {
    for (number, fake) in fakes.iter().enumerate() {
        fake.hangs.set(false);
        let endpoints = BTreeSet::from([format!("i{number}")]);
        let next = call_at(forwarder, "next", 9, endpoints, 1_000).await;
        assert!(is_success(&next), "{end:?}, endpoint {number}: {next:?}");
    }
}

/// Both attempts of a call are in flight. Guards against a window that stays full after the attempt
/// in it was answered, refused or dropped, and against an endpoint that continues to work on an
/// attempt whose call has ended.
#[actix_rt::test]
async fn both_windows_are_free_after_a_second_attempt_was_sent() {
    for end in
        [CallEnd::FirstAnswers, CallEnd::SecondAnswers, CallEnd::SecondIsRefused, CallEnd::Dropped]
    {
        let fakes = [FakeEndpoint::start(true).await, FakeEndpoint::start(true).await];
        let forwarder = forwarder(true, &[&fakes[0], &fakes[1]]);
        let called = call(&forwarder, "c", 1, 2, LONG_MS);
        let is_sent = |fake: &Rc<FakeEndpoint>| fake.running.get() == 1;
        let both_sent = async {
            wait_until(|| fakes.iter().any(is_sent)).await;
            let first = fakes.iter().position(is_sent).unwrap();
            wait_until(|| fakes.iter().all(is_sent)).await;
            let (first, second) = (&fakes[first], &fakes[1 - first]);
            match end {
                CallEnd::FirstAnswers => first.hangs.set(false),
                CallEnd::SecondAnswers => second.hangs.set(false),
                CallEnd::SecondIsRefused => {
                    second.refuses.set(true);
                    second.hangs.set(false);
                    wait_until(|| second.running.get() == 0).await;
                    assert!(is_sent(first), "the first attempt goes on");
                    second.refuses.set(false);
                    first.hangs.set(false);
                }
                CallEnd::Dropped => {}
            }
        };
        if matches!(end, CallEnd::Dropped) {
            let dropped = async {
                tokio::select! { _ = called => {}, () = both_sent => {} }
            };
            dropped.await;
        } else {
            let (outcome, ()) = tokio::join!(called, both_sent);
            assert!(is_success(&outcome), "{end:?}: {outcome:?}");
        }
        wait_until(|| fakes.iter().all(|fake| fake.running.get() == 0)).await;
        check_windows_are_free(&forwarder, &fakes, end).await;
    }
}

/// The first attempt of a call is in flight, and the second one waits for the window of the other
/// endpoint, which another call fills. Guards against a second attempt that is sent after its call
/// has ended, against one that keeps its place in the queue, so that no call behind it is sent, and
/// against the loss of credit by a second attempt that was never sent.
#[actix_rt::test]
async fn a_second_attempt_leaves_the_queue_when_its_call_ends() {
    for end in [CallEnd::FirstAnswers, CallEnd::Dropped] {
        let fakes = [FakeEndpoint::start(true).await, FakeEndpoint::start(true).await];
        let policy = Policy { paced_scorers: true, ..Policy::default() };
        // The first two calls together earn one second attempt.
        let addresses = [fakes[0].address, fakes[1].address];
        let forwarder = forwarder_with(policy, Some(0.5), &addresses);
        let filled = BTreeSet::from(["i1".to_owned()]);
        let filling = call_at(&forwarder, "filling", 1, filled, LONG_MS);
        let called = async {
            wait_until(|| fakes[1].running.get() == 1).await;
            let called = call(&forwarder, "c", 1, 2, LONG_MS);
            let waits = async {
                wait_until(|| fakes[0].running.get() == 1).await;
                // A second attempt is due after 60 ms.
                tokio::time::sleep(Duration::from_millis(150)).await;
                assert_eq!(fakes[1].calls.borrow().len(), 1, "the second attempt waits");
            };
            if matches!(end, CallEnd::Dropped) {
                tokio::select! { _ = called => {}, () = waits => {} }
            } else {
                let answer = async {
                    waits.await;
                    fakes[0].hangs.set(false);
                };
                let (outcome, ()) = tokio::join!(called, answer);
                assert!(is_success(&outcome), "{outcome:?}");
            }
            fakes[1].hangs.set(false);
        };
        let (filling, ()) = tokio::join!(filling, called);
        assert!(is_success(&filling), "{end:?}: {filling:?}");
        assert_eq!(*fakes[1].calls.borrow(), ["filling"], "{end:?}");
        fakes.iter().for_each(|fake| fake.hangs.set(true));
        let again = call(&forwarder, "again", 1, 2, LONG_MS);
        let both_sent = async {
            wait_until(|| fakes.iter().all(|fake| fake.running.get() == 1)).await;
            fakes[0].hangs.set(false);
        };
        let (again, ()) = tokio::join!(again, both_sent);
        assert!(is_success(&again), "{end:?}: {again:?}");
        check_windows_are_free(&forwarder, &fakes, end).await;
    }
}

/// The endpoint of a call becomes unreachable while the window of its other endpoint is full, and
/// later calls wait for it. Guards against a call that keeps waiting for the unreachable endpoint,
/// or that waits as a second attempt behind the first attempts of later calls, whether its second
/// attempt would be sent or is withheld.
#[actix_rt::test]
async fn a_call_whose_endpoint_becomes_unreachable_waits_ahead_of_later_calls() {
    for share in [None, Some(0.0), Some(0.1)] {
        let fakes = [FakeEndpoint::start(true).await, FakeEndpoint::start(true).await];
        let forwarder = forwarder_of_two(&fakes, share);
        let only = || BTreeSet::from(["i1".to_owned()]);
        let filling = call_at(&forwarder, "filling", 1, only(), LONG_MS);
        let lost = async {
            wait_until(|| fakes[1].running.get() == 1).await;
            call(&forwarder, "lost", 1, 2, LONG_MS).await
        };
        let later = async {
            wait_until(|| fakes[0].running.get() == 1).await;
            let ids = ["later", "latest"];
            join_all(ids.map(|id| call_at(&forwarder, id, 1, only(), LONG_MS))).await
        };
        let urgent = async {
            wait_until(|| fakes[0].running.get() == 1).await;
            tokio::time::sleep(HEDGE_DUE).await;
            call_at(&forwarder, "urgent", 0, only(), LONG_MS).await
        };
        let mark = async {
            wait_until(|| fakes[0].running.get() == 1).await;
            tokio::time::sleep(HEDGE_DUE).await;
            forwarder.apply(&marked("i0", 100_000_000));
            wait_until(|| fakes[0].running.get() == 0).await;
            assert_eq!(*fakes[1].calls.borrow(), ["filling"], "{share:?}");
            fakes[1].hangs.set(false);
        };
        let (filling, lost, later, urgent, ()) = tokio::join!(filling, lost, later, urgent, mark);
        let outcomes = [filling, lost, urgent].into_iter().chain(later).collect::<Vec<_>>();
        assert!(outcomes.iter().all(is_success), "{share:?}: {outcomes:?}");
        let expected = ["filling", "urgent", "lost", "later", "latest"];
        assert_eq!(*fakes[1].calls.borrow(), expected, "{share:?}");
    }
}

/// Both endpoints of a call are unreachable. Guards against a call that leaves its attempt although
/// no other endpoint can answer.
#[actix_rt::test]
async fn a_call_without_a_reachable_endpoint_keeps_its_attempt() {
    for share in [None, Some(0.0)] {
        let fakes = [FakeEndpoint::start(true).await, FakeEndpoint::start(true).await];
        let forwarder = forwarder_of_two(&fakes, share);
        let filled = BTreeSet::from(["i1".to_owned()]);
        let filling = call_at(&forwarder, "filling", 1, filled, 700);
        let called = async {
            wait_until(|| fakes[1].running.get() == 1).await;
            call(&forwarder, "c", 1, 2, 700).await
        };
        let mark = async {
            wait_until(|| fakes[0].running.get() == 1).await;
            tokio::time::sleep(HEDGE_DUE).await;
            let endpoints = BTreeMap::from([("i0".to_owned(), 0), ("i1".to_owned(), 0)]);
            let set = UnreachableSet { endpoints, probe_ms: 100_000_000 };
            forwarder.apply(&Update::Unreachable(set));
            tokio::time::sleep(HEDGE_DUE).await;
            assert_eq!(fakes[0].running.get(), 1, "{share:?}");
        };
        let (filling, called, ()) = tokio::join!(filling, called, mark);
        assert!(matches!(filling, Outcome::Late), "{share:?}: {filling:?}");
        assert!(matches!(called, Outcome::Late), "{share:?}: {called:?}");
    }
}

/// Guards against waiting calls that check again and again whether they may be sent: a thousand of
/// them keep the processor busy. One call waits with its first attempt, one with its second one,
/// and the second attempt of another one is withheld.
#[actix_rt::test]
async fn waiting_calls_check_nothing_without_a_cause() {
    for share in [None, Some(0.0)] {
        let fakes = [FakeEndpoint::start(true).await, FakeEndpoint::start(true).await];
        let forwarder = forwarder_of_two(&fakes, share);
        let checks = Rc::new(Cell::new(0));
        let budgets = [&["i0", "i1"][..], &["i0", "i1"], &["i1"]];
        let budgets = budgets.map(|endpoints| counted_budget(endpoints, &checks));
        let calls = budgets.iter().map(|budget| call_within(&forwarder, "c", 1, 2, budget));
        let watch = async {
            wait_until(|| fakes.iter().all(|fake| fake.running.get() == 1)).await;
            tokio::time::sleep(HEDGE_DUE).await;
            let before = checks.get();
            tokio::time::sleep(Duration::from_millis(500)).await;
            assert_eq!(checks.get(), before, "{share:?}");
            fakes.iter().for_each(|fake| fake.hangs.set(false));
        };
        let (outcomes, ()) = tokio::join!(join_all(calls), watch);
        assert!(outcomes.iter().all(is_success), "{share:?}: {outcomes:?}");
    }
}

/// Guards against a window that wakes all waiting calls when it opens, of which one can be sent.
#[actix_rt::test]
async fn a_window_that_opens_wakes_one_waiting_call() {
    const CALLS: usize = 50;
    let fakes = [FakeEndpoint::start(true).await, FakeEndpoint::start(true).await];
    let forwarder = forwarder_of_two(&fakes, None);
    let filled = BTreeSet::from(["i1".to_owned()]);
    let filling = call_at(&forwarder, "filling", 0, filled, 400);
    let checks: Vec<Rc<Cell<u32>>> = (0..CALLS).map(|_| Rc::default()).collect();
    let budgets: Vec<Budget> =
        checks.iter().map(|checks| counted_budget(&["i1"], checks)).collect();
    let waiting = async {
        wait_until(|| fakes[1].running.get() == 1).await;
        join_all(budgets.iter().map(|budget| call_within(&forwarder, "c", 1, 1, budget))).await
    };
    let check = async {
        wait_until(|| checks.iter().all(|checks| checks.get() > 0)).await;
        let before: Vec<u32> = checks.iter().map(|checks| checks.get()).collect();
        // The first call gives up, and its window opens.
        wait_until(|| fakes[1].calls.borrow().len() == 2).await;
        let checked = checks.iter().zip(before).filter(|(checks, before)| checks.get() > *before);
        // The next call in the queue may check once before the first one has taken the window.
        let checked = checked.count();
        assert!((1..=2).contains(&checked), "{checked} calls have checked");
    };
    let (filling, ()) = tokio::select! {
        joined = async { tokio::join!(filling, check) } => joined,
        outcomes = waiting => panic!("all calls have ended: {outcomes:?}"),
    };
    assert!(matches!(filling, Outcome::Late), "{filling:?}");
}

fn member() -> Member {
    Member {
        node: "f".to_owned(),
        data_centre: "z".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        replica: false,
        depot: None,
        runner: None,
    }
}

/// What makes another endpoint usable for a waiting call.
#[derive(Clone, Copy, Debug)]
enum Cause {
    GrantExtended,
    EndpointAdded,
    EndpointReady,
    EndpointRestarted,
    MarkRemoved,
    MarksLapsed,
    EndpointConnected,
    EndpointForgotten,
}

/// A call waits for the window of one endpoint when another one becomes usable for it. Guards
/// against a call that is not woken and waits on.
#[actix_rt::test]
async fn a_waiting_call_is_woken_when_another_endpoint_becomes_usable() {
    use Cause::*;
    let causes = [
        GrantExtended,
        EndpointAdded,
        EndpointReady,
        EndpointRestarted,
        MarkRemoved,
        MarksLapsed,
        EndpointConnected,
        EndpointForgotten,
    ];
    for cause in causes {
        let (full, free) = (FakeEndpoint::start(true).await, FakeEndpoint::start(false).await);
        let forwarder = forwarder_of_two(&[full.clone(), free.clone()], Some(0.0));
        let filled = BTreeSet::from(["i0".to_owned()]);
        let filling = call_at(&forwarder, "filling", 1, filled, LONG_MS);
        let mut other = endpoint("score", "i1", free.address, HOSTS);
        match cause {
            EndpointAdded => forwarder.apply(&Update::Forgotten("i1".to_owned())),
            EndpointReady => {
                other.status = EndpointStatus::Silent;
                forwarder.apply(&Update::Endpoint(other.clone()));
                other.status = EndpointStatus::Ready;
            }
            EndpointRestarted | MarkRemoved | EndpointConnected | EndpointForgotten => {
                forwarder.apply(&marked("i1", 100_000_000));
            }
            MarksLapsed => {
                // No leader is heard, so the marks lapse after 3 s. The call that fills the window is
                // given up after 2.5 s, so it starts later.
                forwarder.apply(&marked("i1", 100_000_000));
                let reporter = forwarder.clone();
                let link = Link::new(member(), Rc::new(View::default()), Vec::new());
                actix_rt::spawn(async move { reporter.report_reachability(link).await });
                tokio::time::sleep(Duration::from_millis(1_500)).await;
            }
            GrantExtended => {}
        }
        let first = if matches!(cause, GrantExtended) { &["i0"][..] } else { &["i0", "i1"] };
        let budget = counted_budget(first, &Rc::default());
        let waiting = async {
            wait_until(|| full.running.get() == 1).await;
            call_within(&forwarder, "c", 1, 4, &budget).await
        };
        let act = async {
            wait_until(|| full.running.get() == 1).await;
            tokio::time::sleep(HEDGE_DUE).await;
            assert_eq!(free.calls.borrow().len(), 0, "{cause:?}");
            match cause {
                GrantExtended => budget.extend(&granted(&["i1"]), 0),
                EndpointAdded | EndpointReady => forwarder.apply(&Update::Endpoint(other)),
                EndpointRestarted => {
                    other.announcement.started_ms = 1;
                    forwarder.apply(&Update::Endpoint(other));
                }
                MarkRemoved => forwarder.apply(&Update::Unreachable(UnreachableSet::default())),
                MarksLapsed => {}
                EndpointConnected => {
                    let only = BTreeSet::from(["i1".to_owned()]);
                    let connected = call_at(&forwarder, "connected", 1, only, LONG_MS).await;
                    assert!(is_success(&connected), "{connected:?}");
                }
                EndpointForgotten => forwarder.apply(&Update::Forgotten("i0".to_owned())),
            }
            wait_until(|| free.calls.borrow().iter().any(|id| id == "c")).await;
            full.hangs.set(false);
        };
        let (filling, waiting, ()) = tokio::join!(filling, waiting, act);
        assert!(is_success(&filling) && is_success(&waiting), "{cause:?}: {filling:?} {waiting:?}");
    }
}

/// Both endpoints of a call have become unreachable, and it may be sent to a third one when the log
/// contains the first two. Guards against a call that is not woken then.
#[actix_rt::test]
async fn a_call_that_is_cut_off_is_sent_when_its_endpoints_are_recorded() {
    let (first, second) = (FakeEndpoint::start(true).await, FakeEndpoint::start(true).await);
    let third = FakeEndpoint::start(false).await;
    let forwarder = forwarder_of_two(&[first.clone(), second.clone()], None);
    let budget = counted_budget(&["i0", "i1", "i2"], &Rc::default());
    let act = async {
        wait_until(|| first.running.get() == 1 && second.running.get() == 1).await;
        forwarder.apply(&Update::Endpoint(endpoint("score", "i2", third.address, HOSTS)));
        let endpoints = BTreeMap::from([("i0".to_owned(), 0), ("i1".to_owned(), 0)]);
        let set = UnreachableSet { endpoints, probe_ms: 100_000_000 };
        forwarder.apply(&Update::Unreachable(set));
        tokio::time::sleep(HEDGE_DUE).await;
        assert_eq!(third.calls.borrow().len(), 0, "its calls are not recorded");
        budget.record_calls(&BTreeSet::from(["i0".to_owned(), "i1".to_owned()]));
    };
    let (outcome, ()) = tokio::join!(call_within(&forwarder, "c", 1, 3, &budget), act);
    assert!(is_success(&outcome), "{outcome:?}");
    assert_eq!(third.calls.borrow().len(), 1);
}

/// The endpoint of a call becomes unreachable while its second attempt waits for a window. Guards
/// against a call that gets no second attempt beside the first one that it is sent again, although
/// none was made before.
#[actix_rt::test]
async fn a_call_that_was_cut_off_still_gets_a_second_attempt() {
    let fakes = [FakeEndpoint::start(true).await, FakeEndpoint::start(true).await];
    let third = FakeEndpoint::start(false).await;
    let forwarder = forwarder_of_two(&fakes, None);
    let filled = BTreeSet::from(["i1".to_owned()]);
    // It is given up, which opens the window; the endpoint still answers nothing.
    let filling = call_at(&forwarder, "filling", 1, filled, 500);
    let budget = counted_budget(&["i0", "i1", "i2"], &Rc::default());
    let called = async {
        wait_until(|| fakes[1].running.get() == 1).await;
        call_within(&forwarder, "c", 1, 3, &budget).await
    };
    let act = async {
        wait_until(|| fakes[0].running.get() == 1).await;
        tokio::time::sleep(HEDGE_DUE).await;
        forwarder.apply(&marked("i0", 100_000_000));
        wait_until(|| fakes[1].calls.borrow().len() == 2).await;
        budget.record_calls(&BTreeSet::from(["i0".to_owned(), "i1".to_owned()]));
        forwarder.apply(&Update::Endpoint(endpoint("score", "i2", third.address, HOSTS)));
    };
    let (filling, called, ()) = tokio::join!(filling, called, act);
    assert!(matches!(filling, Outcome::Late), "{filling:?}");
    assert!(is_success(&called), "{called:?}");
    assert_eq!(*third.calls.borrow(), ["c"]);
}

/// The endpoint of a call is marked as unreachable while the host's leader is not confirmed, or its
/// second attempt is due then. Guards against a call that is not woken when the leader is confirmed
/// again, and keeps its attempt until its pass ends although another endpoint is free.
#[actix_rt::test]
async fn a_call_that_is_cut_off_without_a_confirmed_leader_is_sent_elsewhere() {
    for (marked_early, share) in [(false, Some(0.0)), (true, Some(0.0)), (true, None)] {
        let case = format!("marked early: {marked_early}, share: {share:?}");
        let (hanging, free) = (FakeEndpoint::start(true).await, FakeEndpoint::start(false).await);
        let forwarder = forwarder_of_two(&[hanging.clone(), free.clone()], share);
        let other = endpoint("score", "i1", free.address, HOSTS);
        let silent = Endpoint { status: EndpointStatus::Silent, ..other.clone() };
        forwarder.apply(&Update::Endpoint(silent));
        let confirmed = Rc::new(Cell::new(true));
        let (deadline, is_confirmed) = (clock::now() + LONG_MS, confirmed.clone());
        let grant = granted(&["i0", "i1"]);
        let budget =
            Budget::shared(deadline, CallCost::default(), grant, move || is_confirmed.get());
        // The host of a call forwards it again after a pass that was not answered.
        let called = async {
            loop {
                wait_until(|| confirmed.get()).await;
                let outcome = call_within(&forwarder, "c", 1, 2, &budget).await;
                assert!(!matches!(outcome, Outcome::Late), "{case}: {outcome:?}");
                if is_success(&outcome) {
                    return;
                }
            }
        };
        let act = async {
            wait_until(|| hanging.running.get() == 1).await;
            forwarder.apply(&Update::Endpoint(other));
            if marked_early {
                forwarder.apply(&marked("i0", 100_000_000));
                confirmed.set(false);
                tokio::time::sleep(HEDGE_DUE).await;
            } else {
                tokio::time::sleep(HEDGE_DUE).await;
                confirmed.set(false);
                forwarder.apply(&marked("i0", 100_000_000));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            confirmed.set(true);
        };
        tokio::join!(called, act);
        assert_eq!((hanging.calls.borrow().len(), free.calls.borrow().len()), (1, 1), "{case}");
    }
}

/// How an endpoint that was marked as unreachable becomes reachable again.
#[derive(Clone, Copy, Debug)]
enum Return {
    MarkRemoved,
    Restarted,
}

/// A call has abandoned its attempt at an unreachable endpoint and waits for the full window of
/// another one. Guards against a call that is not sent to the first endpoint when that is reachable
/// again, that is sent there before, or that is sent more often than its route allows.
#[actix_rt::test]
async fn an_abandoned_endpoint_is_tried_again_once_it_is_reachable() {
    for back in [Return::MarkRemoved, Return::Restarted] {
        let fakes = [FakeEndpoint::start(true).await, FakeEndpoint::start(true).await];
        let forwarder = forwarder_of_two(&fakes, None);
        let filled = BTreeSet::from(["i1".to_owned()]);
        let filling = call_at(&forwarder, "filling", 1, filled, LONG_MS);
        let called = async {
            wait_until(|| fakes[1].running.get() == 1).await;
            call(&forwarder, "c", 1, 2, LONG_MS).await
        };
        let act = async {
            wait_until(|| fakes[0].running.get() == 1).await;
            tokio::time::sleep(HEDGE_DUE).await;
            forwarder.apply(&marked("i0", 100_000_000));
            wait_until(|| fakes[0].running.get() == 0).await;
            tokio::time::sleep(HEDGE_DUE).await;
            assert_eq!(*fakes[0].calls.borrow(), ["c"], "{back:?}: it is unreachable");
            let mut other = endpoint("score", "i0", fakes[0].address, HOSTS);
            match back {
                Return::MarkRemoved => {
                    forwarder.apply(&Update::Unreachable(UnreachableSet::default()));
                }
                Return::Restarted => {
                    other.announcement.started_ms = 1;
                    forwarder.apply(&Update::Endpoint(other.clone()));
                }
            }
            wait_until(|| fakes[0].calls.borrow().len() == 2).await;
            let endpoints = BTreeMap::from([("i0".to_owned(), other.announcement.started_ms)]);
            let set = UnreachableSet { endpoints, probe_ms: 100_000_000 };
            forwarder.apply(&Update::Unreachable(set));
            tokio::time::sleep(HEDGE_DUE).await;
            assert_eq!(fakes[0].running.get(), 1, "{back:?}: no attempt is left");
            fakes[0].hangs.set(false);
        };
        let (called, ()) = tokio::select! {
            joined = async { tokio::join!(called, act) } => joined,
            filling = filling => panic!("{back:?}: the call waited until {filling:?}"),
        };
        assert!(is_success(&called), "{back:?}: {called:?}");
        assert_eq!(*fakes[0].calls.borrow(), ["c", "c"], "{back:?}");
        assert_eq!(*fakes[1].calls.borrow(), ["filling"], "{back:?}");
    }
}

/// A call has abandoned an attempt that its endpoint may still run, and a later attempt there is
/// refused. Guards against an endpoint that is no longer counted then, so that more endpoints than
/// allowed may run the call.
#[actix_rt::test]
async fn an_endpoint_that_may_run_an_abandoned_attempt_stays_counted() {
    let fakes = [FakeEndpoint::start(true).await, FakeEndpoint::start(true).await];
    let forwarder = forwarder_of_two(&fakes, None);
    let filled = BTreeSet::from(["i1".to_owned()]);
    let filling = call_at(&forwarder, "filling", 1, filled, LONG_MS);
    let budget = counted_budget(&["i0", "i1"], &Rc::default());
    let called = async {
        wait_until(|| fakes[1].running.get() == 1).await;
        call_within(&forwarder, "c", 1, 2, &budget).await
    };
    let act = async {
        wait_until(|| fakes[0].running.get() == 1).await;
        tokio::time::sleep(HEDGE_DUE).await;
        forwarder.apply(&marked("i0", 100_000_000));
        wait_until(|| fakes[0].running.get() == 0).await;
        fakes[0].refuses.set(true);
        fakes[0].hangs.set(false);
        forwarder.apply(&Update::Unreachable(UnreachableSet::default()));
        wait_until(|| fakes[0].calls.borrow().len() == 2 && fakes[0].running.get() == 0).await;
        fakes[1].hangs.set(false);
    };
    let (filling, called, ()) = tokio::join!(filling, called, act);
    assert!(is_success(&filling) && is_success(&called), "{filling:?} {called:?}");
    assert_eq!(*fakes[0].calls.borrow(), ["c", "c"]);
    assert_eq!(budget.spent().endpoints, BTreeSet::from(["i0".to_owned(), "i1".to_owned()]));
}
