//! Limits of a host's calls to a sample's scorer, on real sockets.

mod support {
    pub mod endpoint;
    pub mod job;
    pub mod route;
}

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Grant;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Route;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Scorer;
use chicoryford_fleet::Service;
use chicoryford_fleet::run::CallCost;
use chicoryford_fleet::run::Cost;
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
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use support::endpoint::endpoint;
use support::route::route;

/// Maximum number of endpoints that may run one call.
const ATTEMPTS: u32 = 4;
/// Number of scorer endpoints, which is more than one call may use.
const SCORERS: usize = 7;
/// Time limit of one pass over the endpoints, in milliseconds.
const PASS_MS: u64 = 500;
/// Time limit of the sample, in milliseconds.
const SAMPLE_LIMIT_MS: u64 = 6_000;

/// A call that reached an endpoint.
#[derive(Clone, Debug)]
struct ReceivedCall {
    endpoint: usize,
    at: Instant,
    left_ms: u64,
}

type Calls = Rc<RefCell<Vec<ReceivedCall>>>;

async fn listen(serve: impl Fn(TcpStream) + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        loop {
            serve(listener.accept().await.unwrap().0);
        }
    });
    address
}

/// Answers a run with one event.
async fn run(mut stream: TcpStream) {
    let mut bytes = vec![0; 4_096];
    while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
        let answer = "HTTP/1.1 200 OK\r\nx-attempt-id: s\r\nx-response-stamp: p\r\n\
                      transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n";
        stream.write_all(answer.as_bytes()).await.unwrap();
    }
}

/// Answers a call with a status after a delay, and records the call.
async fn answer(mut stream: TcpStream, endpoint: usize, behavior: (u16, Duration), calls: Calls) {
    let (status, delay) = behavior;
    let mut bytes = vec![0; 4_096];
    while let Ok(read) = stream.read(&mut bytes).await {
        if read == 0 {
            return;
        }
        let text = String::from_utf8_lossy(&bytes[..read]).to_lowercase();
        let left = text.split("x-deadline-ms: ").nth(1).and_then(|rest| rest.split("\r\n").next());
        let left_ms = left.and_then(|left| left.parse().ok()).expect("a time limit");
        calls.borrow_mut().push(ReceivedCall { endpoint, at: Instant::now(), left_ms });
        tokio::time::sleep(delay).await;
        let answer = format!(
            "HTTP/1.1 {status} x\r\nx-attempt-id: c\r\nx-response-stamp: p\r\n\
             content-length: 0\r\n\r\n"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn scoring() -> Route {
    Route { timeout_ms: Some(PASS_MS), ..route("score", RouteKind::Idempotent, ATTEMPTS) }
}

fn config() -> Config {
    let service = |name: &str| Service { name: name.to_owned(), ..Service::default() };
    Config {
        version: 1,
        routes: vec![scoring()],
        services: vec![service("score")],
        source: Bytes::from_static(b"{}"),
        ..Config::default()
    }
}

/// Starts scorers that fail after this time.
async fn scorers(delay: Duration) -> (Vec<Endpoint>, Calls) {
    scorers_with_status(500, delay).await
}

async fn scorers_with_status(status: u16, delay: Duration) -> (Vec<Endpoint>, Calls) {
    let (mut scorers, calls) = (Vec::new(), Calls::default());
    for number in 0..SCORERS {
        let recorded = calls.clone();
        let address = listen(move |stream| {
            actix_rt::spawn(answer(stream, number, (status, delay), recorded.clone()));
        });
        scorers.push(endpoint("score", &format!("i{number}"), address.await, 4));
    }
    (scorers, calls)
}

/// Creates a host with these scorers.
fn host(scorers: &[Endpoint]) -> Rc<Runner> {
    host_with_view(scorers).0
}

/// Creates a host with these scorers, and returns it with its view.
fn host_with_view(scorers: &[Endpoint]) -> (Rc<Runner>, Rc<View>) {
    let view = Rc::new(View::default());
    let forwarder = Forwarder::new(Policy::default());
    let learning = forwarder.clone();
    view.subscribe(move |update| learning.apply(update));
    view.apply(Update::Config(Arc::new(config())));
    scorers.iter().cloned().for_each(|endpoint| view.apply(Update::Endpoint(endpoint)));
    (Runner::new(view.clone(), forwarder), view)
}

/// Returns the endpoints that the call is granted.
fn granted() -> BTreeSet<String> {
    (0..ATTEMPTS).map(|number| format!("i{number}")).collect()
}

async fn job(cost: Cost) -> Job {
    let scorer = Scorer {
        id: "c".to_owned(),
        host: "h".to_owned(),
        path: "/score/x".to_owned(),
        endpoints: granted(),
        ..Scorer::default()
    };
    let sample = Sample {
        id: "s".to_owned(),
        path: "/x".to_owned(),
        scorer: Some(scorer),
        ..Sample::default()
    };
    let address = listen(|stream| {
        actix_rt::spawn(run(stream));
    });
    Job { sample, remaining_ms: SAMPLE_LIMIT_MS, cost, ..support::job::job(address.await) }
}

/// Returns the leader's answer to a report of failures.
fn recorded(failures: u32) -> HostCommand {
    let (step, grant) = ("step".to_owned(), Grant::default());
    HostCommand::Grant { step, index: 0, run: 1, grant, failures }
}

/// Makes a host execute a run until its scorer is given up. Returns the host's last report.
async fn run_until_given_up(runner: &Rc<Runner>, cost: Cost) -> RunReport {
    let reports: Rc<RefCell<Vec<RunReport>>> = Rc::default();
    let sink = reports.clone();
    runner.attach_local(move |report| sink.borrow_mut().push(report.clone()));
    runner.handle_local(HostCommand::Run(Box::new(job(cost).await)));
    let unscored = |report: &&RunReport| report.status == RunStatus::Unscored;
    for _ in 0..SAMPLE_LIMIT_MS / 20 {
        if let Some(last) = reports.borrow().last().filter(unscored) {
            return last.clone();
        }
        let failures = reports.borrow().last().map_or(0, |last| last.cost.scorer.failures);
        runner.handle_local(recorded(failures));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the scorer was not given up: {:?}", reports.borrow().last());
}

/// Guards against a scorer's call that uses other endpoints, and a new time limit, in each pass.
#[actix_rt::test]
async fn calls_to_a_slowly_failing_scorer_keep_endpoints_and_deadline() {
    let (scorers, calls) = scorers(Duration::from_millis(300)).await;
    run_until_given_up(&host(&scorers), Cost::default()).await;
    let calls = calls.borrow();
    let endpoints: BTreeSet<usize> = calls.iter().map(|call| call.endpoint).collect();
    assert!(endpoints.len() <= ATTEMPTS as usize, "{calls:?}");
    let end = |call: &ReceivedCall| call.at + Duration::from_millis(call.left_ms);
    let first = end(&calls[0]);
    let slack = Duration::from_millis(300);
    assert!(calls.iter().all(|call| end(call) <= first + slack), "{calls:?}");
}

/// Guards against two hosts that execute the same call concurrently and use different endpoints,
/// each as many as one call may.
#[actix_rt::test]
async fn hosts_that_execute_the_same_call_use_the_same_endpoints() {
    let (scorers, calls) = scorers(Duration::from_millis(100)).await;
    let (first, second) = (host(&scorers), host(&scorers));
    let both = [&first, &second].map(|host| run_until_given_up(host, Cost::default()));
    futures_util::future::join_all(both).await;
    let endpoints: BTreeSet<usize> = calls.borrow().iter().map(|call| call.endpoint).collect();
    assert!(endpoints.len() <= ATTEMPTS as usize, "{calls:?}");
}

/// Guards against a paused host that asks further endpoints when it resumes, before it reads that its
/// run was taken away, while the next host already calls endpoints that have started since.
#[actix_rt::test]
async fn hosts_that_know_different_endpoints_stay_within_the_same_limit() {
    let (scorers, calls) = scorers(Duration::from_millis(100)).await;
    let (first, second) = (host(&scorers[..ATTEMPTS as usize]), host(&scorers[2..]));
    let both = [&first, &second].map(|host| run_until_given_up(host, Cost::default()));
    futures_util::future::join_all(both).await;
    let endpoints: BTreeSet<usize> = calls.borrow().iter().map(|call| call.endpoint).collect();
    assert!(endpoints.len() <= ATTEMPTS as usize, "{calls:?}");
}

/// Guards against a hedge after a freeze in which the leader may have given the call to another host.
/// Its timer has run out, and an idle connection is available, so it would be sent at once.
#[actix_rt::test]
async fn a_call_that_is_no_longer_wanted_is_sent_to_no_other_endpoint() {
    let (scorers, calls) = scorers(Duration::from_millis(400)).await;
    let forwarder = Forwarder::new(Policy::default());
    scorers.into_iter().for_each(|endpoint| forwarder.apply(&Update::Endpoint(endpoint)));
    let wanted = Rc::new(Cell::new(true));
    let is_wanted = wanted.clone();
    let grant = Grant { endpoints: granted(), ..Grant::default() };
    let until = clock::now() + SAMPLE_LIMIT_MS;
    let budget = Budget::shared(until, CallCost::default(), grant, move || is_wanted.get());
    let request = Request::new(Method::POST, "/score/x", "");
    actix_rt::spawn(async move {
        tokio::time::sleep(Duration::from_millis(30)).await;
        wanted.set(false);
    });
    let route = scoring();
    forwarder.forward(&route, &request, &budget, PASS_MS, Requester::default()).await;
    assert_eq!(calls.borrow().len(), 1, "{calls:?}");
}

/// Guards against failures that are lost with their host because it reports them only at the end of
/// the call.
#[actix_rt::test]
async fn a_scorers_failures_are_reported_as_they_occur() {
    let (scorers, _calls) = scorers(Duration::from_millis(300)).await;
    let runner = host(&scorers);
    let reports: Rc<RefCell<Vec<RunReport>>> = Rc::default();
    let sink = reports.clone();
    runner.attach_local(move |report| sink.borrow_mut().push(report.clone()));
    actix_rt::spawn(runner.clone().run());
    runner.handle_local(HostCommand::Run(Box::new(job(Cost::default()).await)));
    tokio::time::sleep(Duration::from_millis(800)).await;
    let reports = reports.borrow();
    let last = reports.last().expect("a report");
    assert_eq!(last.status, RunStatus::Scoring);
    assert!(last.cost.scorer.failures > 0, "{last:?}");
}

/// Guards against two hosts of the same call that both have it fail as often as it may: a host
/// repeats it only when its failures are recorded, and then counts those of the other as well.
#[actix_rt::test]
async fn a_call_is_repeated_only_after_its_failures_are_recorded() {
    let (scorers, calls) = scorers(Duration::from_millis(10)).await;
    let runner = host(&scorers);
    let statuses: Rc<RefCell<Vec<RunStatus>>> = Rc::default();
    let sink = statuses.clone();
    runner.attach_local(move |report| sink.borrow_mut().push(report.status.clone()));
    runner.handle_local(HostCommand::Run(Box::new(job(Cost::default()).await)));
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(calls.borrow().len(), 1, "{calls:?}");
    // Another host has had it fail as well.
    runner.handle_local(recorded(ATTEMPTS - 1));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(calls.borrow().len(), 2, "{calls:?}");
    runner.handle_local(recorded(ATTEMPTS));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(calls.borrow().len(), 2, "{calls:?}");
    assert_eq!(statuses.borrow().last(), Some(&RunStatus::Unscored));
}

/// Guards against an endpoint that was used by a lost host and is not counted by the next one,
/// which prefers endpoints that have joined since.
#[actix_rt::test]
async fn each_endpoint_that_a_call_uses_is_reported_at_once() {
    let (scorers, _calls) = scorers(Duration::from_millis(2_000)).await;
    let runner = host(&scorers);
    let reports: Rc<RefCell<Vec<RunReport>>> = Rc::default();
    let sink = reports.clone();
    runner.attach_local(move |report| sink.borrow_mut().push(report.clone()));
    runner.handle_local(HostCommand::Run(Box::new(job(Cost::default()).await)));
    tokio::time::sleep(Duration::from_millis(200)).await;
    // The second endpoint was asked as a hedge, because the first is silent.
    let reports = reports.borrow();
    let counts: BTreeSet<usize> =
        reports.iter().map(|one| one.cost.scorer.endpoints.len()).collect();
    assert_eq!(counts, BTreeSet::from([0, 1, 2]), "{reports:?}");
}

/// Guards against a host that ignores what a scorer's call has cost at the previous host.
#[actix_rt::test]
async fn the_next_host_continues_with_the_cost_of_a_scorers_call() {
    let (scorers, calls) = scorers(Duration::from_millis(10)).await;
    let spent = |endpoints: &[&str]| CallCost {
        failures: ATTEMPTS - 1,
        endpoints: endpoints.iter().map(|id| (*id).to_owned()).collect(),
    };
    let scorer = spent(&["i0", "i1", "i2", "i3"]);
    let last = run_until_given_up(&host(&scorers), Cost { scorer, ..Cost::default() }).await;
    assert_eq!(last.cost.scorer.failures, ATTEMPTS);
    assert_eq!(calls.borrow().len(), 1, "{calls:?}");
    assert!(calls.borrow()[0].endpoint < ATTEMPTS as usize, "{calls:?}");
}

/// Guards against a call without any allowed endpoint left that makes other requests wait as if all
/// endpoints were full.
#[actix_rt::test]
async fn a_call_without_allowed_endpoints_delays_no_other_request() {
    let (scorers, _calls) = scorers(Duration::from_millis(1)).await;
    let forwarder = Forwarder::new(Policy::default());
    // The endpoints that the call may use accept no connections.
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    for (number, mut endpoint) in scorers.into_iter().enumerate() {
        if number < ATTEMPTS as usize {
            endpoint.announcement.address = closed;
        }
        forwarder.apply(&Update::Endpoint(endpoint));
    }
    let spent = CallCost { failures: 0, endpoints: granted() };
    let grant = Grant { endpoints: granted(), ..Grant::default() };
    let request = Request::new(Method::POST, "/score/x", "");
    let route = scoring();
    let until = clock::now() + SAMPLE_LIMIT_MS;
    let bound = Budget::shared(until, spent, grant, || true);
    let began = Instant::now();
    let outcome = forwarder.forward(&route, &request, &bound, PASS_MS, Requester::default()).await;
    assert!(matches!(outcome, Outcome::NotRun(..)), "{outcome:?}");
    assert!(began.elapsed() < Duration::from_millis(60), "{:?}", began.elapsed());
    assert_eq!(bound.spent().endpoints.len(), ATTEMPTS as usize);
}

/// Guards against a call that is repeated as fast as the scorer rejects it.
#[actix_rt::test]
async fn a_rejected_call_is_retried_with_backoff() {
    let (scorers, calls) = scorers_with_status(404, Duration::from_millis(1)).await;
    let runner = host(&scorers);
    runner.attach_local(|_| {});
    runner.handle_local(HostCommand::Run(Box::new(job(Cost::default()).await)));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!((3..=7).contains(&calls.borrow().len()), "{calls:?}");
}

/// Guards against a run that is stopped without a last report: the leader would have to assume that its
/// scorer's call was sent to endpoints that it does not know of.
#[actix_rt::test]
async fn a_run_that_is_stopped_reports_its_calls_for_the_last_time() {
    let (scorers, calls) = scorers(Duration::from_millis(400)).await;
    let runner = host(&scorers);
    let (sender, mut messages) = mpsc::channel(64);
    runner.attach(sender);
    runner.record_confirmation(clock::now());
    runner.handle_local(HostCommand::Run(Box::new(job(Cost::default()).await)));
    while calls.borrow().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    runner.handle_local(HostCommand::Stop { step: "step".to_owned(), index: 0, run: 1 });
    let mut last = None;
    while let Ok(message) = messages.try_recv() {
        if let MemberMessage::Report(report) = message {
            last = Some(report);
        }
    }
    let last = last.expect("a report");
    assert!(last.status.is_final(), "{:?}", last.status);
    let called: BTreeSet<String> =
        calls.borrow().iter().map(|call| format!("i{}", call.endpoint)).collect();
    assert!(last.cost.scorer.endpoints.is_superset(&called), "{called:?}");
}

/// Guards against a host that uses all granted endpoints one after the other while it is cut off from the
/// leader, which can count only so many unreported calls.
#[actix_rt::test]
async fn a_third_endpoint_is_called_only_after_the_first_two_are_recorded() {
    let (scorers, calls) = scorers_with_status(503, Duration::from_millis(5)).await;
    let runner = host(&scorers);
    let reports: Rc<RefCell<Vec<RunReport>>> = Rc::default();
    let sink = reports.clone();
    runner.attach_local(move |report| sink.borrow_mut().push(report.clone()));
    runner.handle_local(HostCommand::Run(Box::new(job(Cost::default()).await)));
    let called =
        || -> BTreeSet<usize> { calls.borrow().iter().map(|call| call.endpoint).collect() };
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(called().len(), 2, "{calls:?}");
    let endpoints = reports.borrow().last().unwrap().cost.scorer.endpoints.clone();
    let step = "step".to_owned();
    runner.handle_local(HostCommand::Recorded { step, index: 0, run: 1, endpoints });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(called().len(), 3, "{calls:?}");
}

/// Guards against a call that waits for ever because its host does not report that it may call none of
/// the ready endpoints: both that it has called are gone, and were not recorded.
#[actix_rt::test]
async fn a_host_that_may_call_no_ready_endpoint_reports_so() {
    let (scorers, calls) = scorers_with_status(503, Duration::from_millis(5)).await;
    let (runner, view) = host_with_view(&scorers);
    let reports: Rc<Cell<usize>> = Rc::default();
    let count = reports.clone();
    runner.attach_local(move |_| count.set(count.get() + 1));
    runner.handle_local(HostCommand::Run(Box::new(job(Cost::default()).await)));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let called: BTreeSet<usize> = calls.borrow().iter().map(|call| call.endpoint).collect();
    for number in called {
        let status = EndpointStatus::Gone;
        view.apply(Update::Endpoint(Endpoint { status, ..scorers[number].clone() }));
    }
    let before = reports.get();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(reports.get() > before, "{before} reports");
}

/// Guards against endpoints that the leader has withdrawn being reported as ended: the route of the call
/// was changed, and other calls may still need them.
#[test]
fn withdrawn_endpoints_are_not_reported_as_ended() {
    let ids = |ids: &[&str]| ids.iter().map(|id| (*id).to_owned()).collect::<BTreeSet<String>>();
    let grant = Grant { endpoints: ids(&["d1", "d2"]), ended: BTreeSet::new() };
    let budget = Budget::shared(clock::now() + 1_000, CallCost::default(), grant, || true);
    budget.extend(&Grant { endpoints: ids(&["o1"]), ended: ids(&["d1", "d2"]) }, 0);
    assert_eq!(budget.ended(), BTreeSet::new());
}
