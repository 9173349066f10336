//! What a host spends on the call of a sample's scorer, on real sockets.

mod support {
    pub mod endpoint;
    pub mod job;
    pub mod route;
}

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
use chicoryford_fleet::Kind;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Route;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Scorer;
use chicoryford_fleet::Service;
use chicoryford_fleet::run::Cost;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::Report;
use chicoryford_fleet::run::Spent;
use chicoryford_fleet::run::Standing;
use chicoryford_fleet::run::Work;
use chicoryford_http::Request;
use chicoryford_http::message::Method;
use chicoryford_node::clock;
use chicoryford_node::forward::Budget;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::forward::Outcome;
use chicoryford_node::forward::Requester;
use chicoryford_node::message::Update;
use chicoryford_node::runner::Runner;
use chicoryford_node::view::View;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use support::endpoint::endpoint;
use support::route::route;

/// Endpoints at which one call may run.
const ATTEMPTS: u32 = 4;
/// Endpoints that score: more than one call may run at.
const SCORERS: usize = 7;
/// Milliseconds that one pass over the endpoints may take.
const PASS_MS: u64 = 500;
/// Milliseconds for which the sample is wanted.
const WANTED_MS: u64 = 6_000;

/// A call that reached an endpoint.
#[derive(Clone, Debug)]
struct Asked {
    endpoint: usize,
    at: Instant,
    left_ms: u64,
}

type Calls = Rc<RefCell<Vec<Asked>>>;

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

/// Answers a call with this status after a while.
async fn answer(mut stream: TcpStream, endpoint: usize, does: (u16, Duration), calls: Calls) {
    let (status, time) = does;
    let mut bytes = vec![0; 4_096];
    while let Ok(read) = stream.read(&mut bytes).await {
        if read == 0 {
            return;
        }
        let text = String::from_utf8_lossy(&bytes[..read]).to_lowercase();
        let left = text.split("x-deadline-ms: ").nth(1).and_then(|rest| rest.split("\r\n").next());
        let left_ms = left.and_then(|left| left.parse().ok()).expect("a time limit");
        calls.borrow_mut().push(Asked { endpoint, at: Instant::now(), left_ms });
        tokio::time::sleep(time).await;
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
    Route { timeout_ms: Some(PASS_MS), ..route("score", Kind::Idempotent, ATTEMPTS) }
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

/// Starts scorers that fail after so long.
async fn scorers(time: Duration) -> (Vec<Endpoint>, Calls) {
    scorers_that_answer(500, time).await
}

async fn scorers_that_answer(status: u16, time: Duration) -> (Vec<Endpoint>, Calls) {
    let (mut scorers, calls) = (Vec::new(), Calls::default());
    for number in 0..SCORERS {
        let noted = calls.clone();
        let address = listen(move |stream| {
            actix_rt::spawn(answer(stream, number, (status, time), noted.clone()));
        });
        scorers.push(endpoint("score", &format!("i{number}"), address.await, 4));
    }
    (scorers, calls)
}

/// Starts a host that knows these scorers.
fn host(scorers: &[Endpoint]) -> Rc<Runner> {
    let view = Rc::new(View::default());
    let forwarder = Forwarder::new(Policy::default());
    let learning = forwarder.clone();
    view.subscribe(move |news| learning.apply(news));
    view.apply(Update::Config(Arc::new(config())));
    scorers.iter().cloned().for_each(|endpoint| view.apply(Update::Endpoint(endpoint)));
    Runner::new(view, forwarder)
}

async fn job(cost: Cost) -> Job {
    let scorer = Scorer {
        id: "c".to_owned(),
        host: "h".to_owned(),
        path: "/score/x".to_owned(),
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
    Job { sample, left_ms: WANTED_MS, cost, ..support::job::job(address.await) }
}

/// Has a host carry out a run until its scorer is given up; gives what it told last.
async fn carry_out(runner: &Rc<Runner>, cost: Cost) -> Report {
    let told: Rc<RefCell<Vec<Report>>> = Rc::default();
    let telling = told.clone();
    runner.attach_local(move |report| telling.borrow_mut().push(report.clone()));
    runner.handle_local(Work::Run(Box::new(job(cost).await)));
    let unscored = |report: &&Report| report.standing == Standing::Unscored;
    for _ in 0..WANTED_MS / 20 {
        if let Some(last) = told.borrow().last().filter(unscored) {
            return last.clone();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the scorer was not given up: {:?}", told.borrow().last());
}

/// Guards against a scorer's call that each pass sends to other endpoints, and with a new time limit.
#[actix_rt::test]
async fn a_scorer_that_fails_slowly_keeps_to_its_endpoints_and_its_time() {
    let (scorers, calls) = scorers(Duration::from_millis(300)).await;
    carry_out(&host(&scorers), Cost::default()).await;
    let calls = calls.borrow();
    let endpoints: BTreeSet<usize> = calls.iter().map(|call| call.endpoint).collect();
    assert!(endpoints.len() <= ATTEMPTS as usize, "{calls:?}");
    let end = |call: &Asked| call.at + Duration::from_millis(call.left_ms);
    let first = end(&calls[0]);
    let slack = Duration::from_millis(300);
    assert!(calls.iter().all(|call| end(call) <= first + slack), "{calls:?}");
}

/// Guards against hosts that ask different endpoints, each as many as one call may, while both carry it.
#[actix_rt::test]
async fn hosts_that_carry_the_same_call_ask_the_same_endpoints() {
    let (scorers, calls) = scorers(Duration::from_millis(100)).await;
    let (first, second) = (host(&scorers), host(&scorers));
    let both = [&first, &second].map(|host| carry_out(host, Cost::default()));
    futures_util::future::join_all(both).await;
    let endpoints: BTreeSet<usize> = calls.borrow().iter().map(|call| call.endpoint).collect();
    assert!(endpoints.len() <= ATTEMPTS as usize, "{calls:?}");
}

/// Guards against failures that are lost with their host, because it tells them only when the call is over.
#[actix_rt::test]
async fn the_leader_is_told_of_a_scorers_failures_as_they_come() {
    let (scorers, _calls) = scorers(Duration::from_millis(300)).await;
    let runner = host(&scorers);
    let told: Rc<RefCell<Vec<Report>>> = Rc::default();
    let telling = told.clone();
    runner.attach_local(move |report| telling.borrow_mut().push(report.clone()));
    actix_rt::spawn(runner.clone().run());
    runner.handle_local(Work::Run(Box::new(job(Cost::default()).await)));
    tokio::time::sleep(Duration::from_millis(800)).await;
    let told = told.borrow();
    let last = told.last().expect("a report");
    assert_eq!(last.standing, Standing::Scoring);
    assert!(last.cost.scorer.failures > 0, "{last:?}");
}

/// Guards against an endpoint that a lost host has asked, and that the next one does not count because it
/// prefers endpoints that have come since.
#[actix_rt::test]
async fn the_leader_is_told_at_once_of_each_endpoint_that_a_call_asks() {
    let (scorers, _calls) = scorers(Duration::from_millis(2_000)).await;
    let runner = host(&scorers);
    let told: Rc<RefCell<Vec<Report>>> = Rc::default();
    let telling = told.clone();
    runner.attach_local(move |report| telling.borrow_mut().push(report.clone()));
    runner.handle_local(Work::Run(Box::new(job(Cost::default()).await)));
    tokio::time::sleep(Duration::from_millis(200)).await;
    // The second was asked beside the first, which is silent.
    let told = told.borrow();
    let counts: BTreeSet<usize> = told.iter().map(|one| one.cost.scorer.endpoints.len()).collect();
    assert_eq!(counts, BTreeSet::from([0, 1, 2]), "{told:?}");
}

/// Guards against a host that begins to count anew what a scorer's call has cost at the host before.
#[actix_rt::test]
async fn the_next_host_goes_on_with_what_a_scorers_call_has_cost() {
    let (scorers, calls) = scorers(Duration::from_millis(10)).await;
    let spent = |endpoints: &[&str]| Spent {
        failures: ATTEMPTS - 1,
        endpoints: endpoints.iter().map(|id| (*id).to_owned()).collect(),
    };
    let scorer = spent(&["i0", "i1", "i2", "i3"]);
    let last = carry_out(&host(&scorers), Cost { scorer, ..Cost::default() }).await;
    assert_eq!(last.cost.scorer.failures, ATTEMPTS);
    assert_eq!(calls.borrow().len(), 1, "{calls:?}");
    assert!(calls.borrow()[0].endpoint < ATTEMPTS as usize, "{calls:?}");
}

/// Guards against a call that has no endpoint left to ask and has other requests wait as if all were full.
#[actix_rt::test]
async fn a_call_that_may_ask_no_other_endpoint_holds_up_no_other_request() {
    let (scorers, _calls) = scorers(Duration::from_millis(1)).await;
    let forwarder = Forwarder::new(Policy::default());
    // Those that the call may ask take no connections.
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    for (number, mut endpoint) in scorers.into_iter().enumerate() {
        if number < ATTEMPTS as usize {
            endpoint.said.address = closed;
        }
        forwarder.apply(&Update::Endpoint(endpoint));
    }
    let spent = Spent {
        failures: 0,
        endpoints: (0..ATTEMPTS).map(|number| format!("i{number}")).collect(),
    };
    let request = Request::new(Method::POST, "/score/x", "");
    let route = scoring();
    let until = clock::now() + WANTED_MS;
    let bound = Budget::shared("c", until, spent);
    let began = Instant::now();
    let outcome = forwarder.forward(&route, &request, &bound, PASS_MS, Requester::default()).await;
    assert!(matches!(outcome, Outcome::NotRun(..)), "{outcome:?}");
    assert!(began.elapsed() < Duration::from_millis(60), "{:?}", began.elapsed());
    assert_eq!(bound.spent().endpoints.len(), ATTEMPTS as usize);
}

/// Guards against a call that is repeated as fast as a scorer answers that it will not do it.
#[actix_rt::test]
async fn a_call_that_is_turned_down_is_repeated_less_and_less() {
    let (scorers, calls) = scorers_that_answer(404, Duration::from_millis(1)).await;
    let runner = host(&scorers);
    runner.attach_local(|_| {});
    runner.handle_local(Work::Run(Box::new(job(Cost::default()).await)));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!((3..=7).contains(&calls.borrow().len()), "{calls:?}");
}
