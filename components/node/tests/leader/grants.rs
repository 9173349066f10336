//! Endpoints that the leader grants to scorers' calls.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Grant;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Route;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Scorer;
use chicoryford_fleet::Service;
use chicoryford_fleet::Share;
use chicoryford_fleet::Step;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::run::CallCost;
use chicoryford_fleet::run::Cost;
use chicoryford_fleet::run::HostCommand;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::run::RunStatus;
use chicoryford_node::Settings;
use chicoryford_node::clock;
use chicoryford_node::frame::decode;
use chicoryford_node::frame::encode;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Call;
use chicoryford_node::message::LeaderMessage;
use chicoryford_node::message::MemberMessage;
use futures_util::SinkExt;
use futures_util::StreamExt;

use crate::fleet::Fleet;
use crate::fleet::config_with_desk;
use crate::fleet::pause;
use crate::fleet::scoring_report;
use crate::fleet::step;
use crate::fleet::wait_until;
use crate::member::Member;
use crate::member::Socket;
use crate::member::StoredParts;
use crate::member::connect_store;
use crate::updates::announce;
use crate::updates::configure;
use crate::updates::desk;
use crate::updates::engine;

/// The maximum number of endpoints of a call, as in the configuration.
const ATTEMPTS: usize = 3;
/// The endpoints of the service to which the scorers' calls are routed at first.
const DESKS: [&str; 5] = ["d1", "d2", "d3", "d4", "d5"];
/// The endpoints of the service to which their route is changed.
const OTHERS: [&str; 3] = ["o1", "o2", "o3"];
/// Milliseconds within which a grant is in the log after a report, many times as long as a commit.
const GRANT_MS: u64 = 400;

/// Returns a step whose sample has a scorer at the desk.
fn scored_step(id: &str) -> Arc<Step> {
    let scorer = Scorer {
        id: "c".to_owned(),
        host: "h".to_owned(),
        path: "/d/1".to_owned(),
        ..Scorer::default()
    };
    let plain = step(id);
    let sample = Sample { id: "s".to_owned(), scorer: Some(scorer), ..plain.samples[0].clone() };
    Arc::new(Step { samples: vec![sample], ..(*plain).clone() })
}

pub async fn submit(fleet: &Fleet, id: &str) {
    let answer = fleet.leader().answer(Call::Submit(scored_step(id))).await;
    assert!(matches!(answer, Answer::Done), "{answer:?}");
}

async fn announce_desks(fleet: &Fleet, desks: &[&str]) {
    for id in desks {
        announce(fleet, desk(id)).await;
    }
}

/// Starts a fleet with five desks and an engine.
pub async fn fleet() -> Fleet {
    let fleet = Fleet::start().await;
    configure(&fleet, config_with_desk(2)).await;
    announce_desks(&fleet, &DESKS).await;
    announce_engine(&fleet).await;
    fleet
}

/// Announces the engine to the current leader.
pub async fn announce_engine(fleet: &Fleet) {
    announce(fleet, engine("e", 1)).await;
}

/// Connects a host that may be given work.
pub async fn connect_host(fleet: &Fleet, node: &str) -> Socket {
    let mut socket = connect_store(fleet.links, node).await;
    send_heartbeat(&mut socket).await;
    socket.send(encode(&MemberMessage::Reported)).await.unwrap();
    socket
}

pub async fn send_heartbeat(socket: &mut Socket) {
    let beat = MemberMessage::Beat { clock: clock::now(), wall: clock::wall() };
    socket.send(encode(&beat)).await.unwrap();
}

/// Returns the next order of a kind that a host receives.
async fn receive<T>(socket: &mut Socket, kind: impl Fn(HostCommand) -> Option<T>) -> T {
    let received = async {
        loop {
            // The leader sends heartbeats as well, so this is not delayed for long.
            let frame = socket.next().await.unwrap().unwrap();
            send_heartbeat(socket).await;
            if let LeaderMessage::Work { work, .. } = decode(&frame).unwrap()
                && let Some(found) = kind(work)
            {
                return found;
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(5), received).await.expect("an order")
}

/// Waits until a host is ordered to stop a run.
async fn receive_stop(socket: &mut Socket, stopped: u64) {
    receive(socket, |work| match work {
        HostCommand::Stop { run, .. } => (run == stopped).then_some(()),
        _ => None,
    })
    .await;
}

pub async fn receive_job(socket: &mut Socket) -> Job {
    receive(socket, |work| match work {
        HostCommand::Run(job) => Some(*job),
        _ => None,
    })
    .await
}

/// Replaces the leader by one that has only the state in the log and reads step "a" from the store,
/// and announces these desks to it. Returns its order to run the sample of the step.
pub async fn next_leaders_job(fleet: &Fleet, parts: &StoredParts, desks: &[&str]) -> Job {
    let leader = fleet.next_leader();
    announce_desks(fleet, desks).await;
    announce_engine(fleet).await;
    let _store = fleet.store(parts).await;
    wait_until("the step is read", || leader.plan.borrow().has_step("a")).await;
    receive_job(&mut connect_host(fleet, "h2").await).await
}

/// Returns the endpoints that a host may call for a run.
fn granted(job: &Job) -> BTreeSet<String> {
    let scorer = job.sample.scorer.as_ref().expect("a scorer");
    Grant::of(scorer, &job.cost.grant).endpoints
}

pub fn scoring(job: &Job) -> RunReport {
    RunReport { run: job.run, endpoint: "e".to_owned(), ..scoring_report(&job.step) }
}

/// The leader and the host of a call are lost at the same time, and endpoints start. Guards against
/// the next leader granting other endpoints than those that the lost host may still call.
#[actix_rt::test]
async fn the_next_leader_grants_the_same_endpoints() {
    let (fleet, parts) = (fleet().await, StoredParts::default());
    let store = fleet.store(&parts).await;
    submit(&fleet, "a").await;
    let before = granted(&receive_job(&mut connect_host(&fleet, "h1").await).await);
    assert_eq!(before.len(), ATTEMPTS, "{before:?}");
    drop(store);
    let job = next_leaders_job(&fleet, &parts, &["d6", "d7", "d8", "d9"]).await;
    assert_eq!(granted(&job), before);
}

/// Guards against a replacement of ended endpoints that the next leader does not know of.
#[actix_rt::test]
async fn an_extension_is_in_the_log_before_a_host_receives_it() {
    let (fleet, parts) = (fleet().await, StoredParts::default());
    let _store = fleet.store(&parts).await;
    submit(&fleet, "a").await;
    let mut host = connect_host(&fleet, "h").await;
    let job = receive_job(&mut host).await;
    let before: Vec<String> = granted(&job).into_iter().collect();
    for id in &before[..2] {
        assert!(matches!(fleet.leader().answer(Call::Leave(id.clone())).await, Answer::Done));
    }
    host.send(encode(&MemberMessage::Report(scoring(&job)))).await.unwrap();
    let grant = receive(&mut host, |work| match work {
        HostCommand::Grant { grant, .. } => Some(grant),
        _ => None,
    })
    .await;
    assert_eq!(fleet.replica.state().costs["s"].cost.grant, grant);
    assert_eq!(grant.ended, before[..2].iter().cloned().collect());
    assert_eq!(grant.endpoints.len(), 2, "{grant:?}");
    assert!(grant.endpoints.is_disjoint(&before.into_iter().collect()), "{grant:?}");
}

/// A step ends while a scorer is called, its sample is submitted again, and the leader changes in
/// between. Guards against a call that gets other endpoints in each step.
#[actix_rt::test]
async fn a_sample_that_is_submitted_again_keeps_its_endpoints() {
    let (fleet, parts) = (fleet().await, StoredParts::default());
    let _store = fleet.store(&parts).await;
    submit(&fleet, "a").await;
    let mut host = connect_host(&fleet, "h").await;
    let before = granted(&receive_job(&mut host).await);
    fleet.end("a").await;
    drop(host);
    fleet.next_leader();
    let _store = fleet.store(&parts).await;
    announce_desks(&fleet, &["d6", "d7", "d8", "d9"]).await;
    announce_engine(&fleet).await;
    submit(&fleet, "b").await;
    let after = granted(&receive_job(&mut connect_host(&fleet, "h2").await).await);
    assert_eq!(after, before);
}

/// All endpoints of a call have ended, and the leader that granted others is lost before its host
/// hears of it. Guards against a host that waits for ever for endpoints that the next leader
/// considers granted.
#[actix_rt::test]
async fn the_next_leader_sends_a_grant_that_a_host_did_not_receive() {
    let (fleet, parts) = (fleet().await, StoredParts::default());
    let store = fleet.store(&parts).await;
    submit(&fleet, "a").await;
    let mut host = connect_host(&fleet, "h").await;
    let job = receive_job(&mut host).await;
    drop((store, host));
    let before = granted(&job);
    let added = BTreeSet::from(["d6".to_owned(), "d7".to_owned(), "d8".to_owned()]);
    let grant = Grant { endpoints: added.clone(), ended: before };
    let cost = Cost { grant, ..job.cost.clone() };
    let extended = Command::Spend(vec![("s".to_owned(), cost)]);
    assert!(matches!(fleet.leader().commit(extended).await, Answer::Done));
    let leader = fleet.next_leader();
    announce_desks(&fleet, &["d6", "d7", "d8"]).await;
    announce_engine(&fleet).await;
    let mut host = connect_store(fleet.links, "h").await;
    send_heartbeat(&mut host).await;
    let _store = fleet.store(&parts).await;
    wait_until("the step is read", || leader.plan.borrow().has_step("a")).await;
    host.send(encode(&MemberMessage::Report(scoring(&job)))).await.unwrap();
    host.send(encode(&MemberMessage::Reported)).await.unwrap();
    let grant = receive(&mut host, |work| match work {
        HostCommand::Grant { grant, .. } => Some(grant),
        _ => None,
    })
    .await;
    assert_eq!(grant.endpoints, added);
}

/// The host of a call is lost before it reports which endpoint it called, and the route of the call
/// is changed to another service. Guards against a call that runs at more endpoints than its route
/// allows: the lost host may have called endpoints of the former service, which still execute it.
#[actix_rt::test]
async fn endpoints_of_a_former_service_that_a_lost_host_may_have_called_count() {
    let (fleet, parts) = (fleet().await, StoredParts::default());
    let _store = fleet.store(&parts).await;
    submit(&fleet, "a").await;
    receive_job(&mut connect_host(&fleet, "h1").await).await;
    let mut host = connect_host(&fleet, "h2").await;
    let others = config_with_desk(3);
    let shares = vec![Share { service: "other".to_owned(), weight: 1 }];
    let mut routes = others.routes.clone();
    routes[1] = Route { shares, ..routes[1].clone() };
    let mut services = others.services.clone();
    services.push(Service { name: "other".to_owned(), ..Service::default() });
    configure(&fleet, Config { routes, services, ..others }).await;
    for id in ["o1", "o2", "o3"] {
        announce(&fleet, Announcement { service: "other".to_owned(), ..desk(id) }).await;
    }
    let job = receive_job(&mut host).await;
    host.send(encode(&MemberMessage::Report(scoring(&job)))).await.unwrap();
    let grant = receive(&mut host, |work| match work {
        HostCommand::Grant { grant, .. } => Some(grant),
        _ => None,
    })
    .await;
    let added = grant.endpoints.iter().filter(|id| id.starts_with('o')).count();
    // One call and its hedge may be on their way at the lost host.
    assert!(added + 2 <= ATTEMPTS, "{added} endpoints were granted beside those of the lost host");
}

/// Changes the route of the scorers' calls to another service, whose endpoints are `ids`.
async fn change_route(fleet: &Fleet, ids: &[&str]) {
    let before = config_with_desk(3);
    let shares = vec![Share { service: "other".to_owned(), weight: 1 }];
    let routes = vec![before.routes[0].clone(), Route { shares, ..before.routes[1].clone() }];
    let mut services = before.services.clone();
    services.push(Service { name: "other".to_owned(), ..Service::default() });
    configure(fleet, Config { routes, services, ..before }).await;
    for id in ids {
        announce(fleet, Announcement { service: "other".to_owned(), ..desk(id) }).await;
    }
}

/// Returns the report of a host that is calling these endpoints.
fn calling(job: &Job, endpoints: &[&str]) -> RunReport {
    let endpoints = endpoints.iter().map(|id| (*id).to_owned()).collect();
    let scorer = CallCost { endpoints, ..job.cost.scorer.clone() };
    RunReport { cost: Cost { scorer, ..job.cost.clone() }, ..scoring(job) }
}

async fn send_report(host: &mut Socket, report: RunReport) {
    host.send(encode(&MemberMessage::Report(report))).await.unwrap();
}

/// Returns how many endpoints of the other service the sample is granted once its host has reported
/// that it calls the scorer.
async fn granted_others(fleet: &Fleet, host: &mut Socket, job: &Job) -> usize {
    send_report(host, scoring(job)).await;
    let leader = fleet.leader();
    wait_until("the scorer is called", || leader.plan.borrow().is_scoring(&job.step, 0)).await;
    // A grant is in the log before a host receives it.
    pause(GRANT_MS).await;
    others_in_log(fleet)
}

fn others_in_log(fleet: &Fleet) -> usize {
    let state = fleet.replica.state();
    let known = state.costs.get("s").map(|known| &known.cost.grant);
    known.map_or(0, |grant| grant.endpoints.iter().filter(|id| id.starts_with('o')).count())
}

/// Starts a fleet to which step "a" is submitted, and returns it with the parts of its store and the
/// store.
async fn submitted() -> (Fleet, StoredParts, Member) {
    let (fleet, parts) = (fleet().await, StoredParts::default());
    let store = fleet.store(&parts).await;
    submit(&fleet, "a").await;
    (fleet, parts, store)
}

/// Submits the sample of step "a" again in step "b", and returns a host with its order to run it.
async fn job_of_next_step(fleet: &Fleet) -> (Socket, Job) {
    submit(fleet, "b").await;
    let mut host = connect_host(fleet, "h2").await;
    let job = receive_job(&mut host).await;
    (host, job)
}

/// Replaces the leader by one that knows all endpoints and has a store, and returns the store.
async fn change_leader(fleet: &Fleet, parts: &StoredParts) -> Member {
    fleet.next_leader();
    connect_all(fleet, parts).await
}

/// Announces all endpoints to the leader, connects its store, and returns the store.
async fn connect_all(fleet: &Fleet, parts: &StoredParts) -> Member {
    announce_desks(fleet, &DESKS).await;
    announce_engine(fleet).await;
    fleet.store(parts).await
}

/// Does the same with a store from which the leader reads step "a".
async fn read_step(fleet: &Fleet, parts: &StoredParts) -> Member {
    let store = connect_all(fleet, parts).await;
    let leader = fleet.leader();
    wait_until("the step is read", || leader.plan.borrow().has_step("a")).await;
    store
}

/// A step is ended as soon as a leader has taken over, before it has read the step from the stores.
/// Guards against an end that hides the endpoints which were granted, and the host that may call them.
#[actix_rt::test]
async fn a_step_that_ends_before_it_is_read_keeps_its_calls() {
    let (fleet, parts, store) = submitted().await;
    let mut unreported = connect_host(&fleet, "h1").await;
    let before = granted(&receive_job(&mut unreported).await);
    drop((unreported, store));
    fleet.next_leader();
    let connected = async {
        pause(50).await;
        fleet.store(&parts).await
    };
    let (_, _store) = futures_util::future::join(fleet.end("a"), connected).await;
    announce_desks(&fleet, &DESKS).await;
    announce_engine(&fleet).await;
    // The store may host runs as well, and is not preferred.
    let mut host = connect_host(&fleet, "h2").await;
    submit(&fleet, "b").await;
    let job = receive_job(&mut host).await;
    assert_eq!(granted(&job), before);
    change_route(&fleet, &OTHERS).await;
    assert_eq!(granted_others(&fleet, &mut host, &job).await, ATTEMPTS - 2);
}

/// Guards against the loss of a host being forgotten with the step in which it was noticed, also by
/// the next leader.
#[actix_rt::test]
async fn a_host_that_was_lost_before_its_step_ended_counts_for_the_next_leader() {
    let (fleet, parts, store) = submitted().await;
    receive_job(&mut connect_host(&fleet, "h1").await).await;
    let leader = fleet.leader();
    wait_until("the loss is noticed", || leader.plan.borrow().host("a", 0).is_none()).await;
    fleet.end("a").await;
    drop(store);
    let _store = change_leader(&fleet, &parts).await;
    change_route(&fleet, &OTHERS).await;
    let (mut host, job) = job_of_next_step(&fleet).await;
    assert_eq!(granted_others(&fleet, &mut host, &job).await, ATTEMPTS - 2);
}

/// A host loses its connection for a moment, and its sample is ordered elsewhere. Guards against a
/// call that is made nowhere although the host has reported which endpoint it called.
#[actix_rt::test]
async fn a_host_that_reports_after_its_run_was_moved_holds_no_call_up() {
    let (fleet, _parts, _store) = submitted().await;
    let first = receive_job(&mut connect_host(&fleet, "h1").await).await;
    let mut host = connect_host(&fleet, "h2").await;
    let job = receive_job(&mut host).await;
    let mut returned = connect_store(fleet.links, "h1").await;
    let called = granted(&first).into_iter().next().unwrap();
    send_report(&mut returned, calling(&first, &[&called])).await;
    receive_stop(&mut returned, first.run).await;
    change_route(&fleet, &OTHERS).await;
    // The endpoint that it reported, and one that it may have called before it was stopped.
    assert_eq!(granted_others(&fleet, &mut host, &job).await, ATTEMPTS - 2);
}

/// Guards against a call that is not made at further endpoints once the host whose run was moved has
/// reported for the last time, and against a report that names an endpoint which was taken to be
/// uncalled.
#[actix_rt::test]
async fn a_last_report_about_a_moved_run_extends_the_grant() {
    for position in 0..ATTEMPTS {
        let (fleet, _parts, _store) = submitted().await;
        let first = receive_job(&mut connect_host(&fleet, "h1").await).await;
        let mut host = connect_host(&fleet, "h2").await;
        let job = receive_job(&mut host).await;
        change_route(&fleet, &OTHERS).await;
        assert_eq!(granted_others(&fleet, &mut host, &job).await, ATTEMPTS - 2);
        let mut returned = connect_store(fleet.links, "h1").await;
        let called = granted(&first).into_iter().nth(position).unwrap();
        let status = RunStatus::Ended(RunEnd::Taken);
        send_report(&mut returned, RunReport { status, ..calling(&first, &[&called]) }).await;
        wait_until("the grant is extended", || others_in_log(&fleet) > ATTEMPTS - 2).await;
        assert_eq!(others_in_log(&fleet), ATTEMPTS - 1, "{called}");
    }
}

/// One of the granted endpoints has ended before the route is changed. Guards against a lost host that
/// is taken to have called it, and not the others.
#[actix_rt::test]
async fn an_endpoint_that_has_ended_is_not_one_that_a_lost_host_calls() {
    for position in 0..ATTEMPTS {
        let (fleet, _parts, _store) = submitted().await;
        let first = receive_job(&mut connect_host(&fleet, "h1").await).await;
        let mut host = connect_host(&fleet, "h2").await;
        let job = receive_job(&mut host).await;
        let ended = granted(&first).into_iter().nth(position).unwrap();
        assert!(matches!(fleet.leader().answer(Call::Leave(ended)).await, Answer::Done));
        change_route(&fleet, &OTHERS).await;
        assert_eq!(granted_others(&fleet, &mut host, &job).await, ATTEMPTS - 2);
    }
}

/// An endpoint of the other service ends after the route was changed. Guards against a replacement that
/// is granted in addition to the endpoints of the former service that a lost host may have called.
#[actix_rt::test]
async fn a_lost_host_counts_each_time_an_endpoint_is_replaced() {
    let (fleet, _parts, _store) = submitted().await;
    receive_job(&mut connect_host(&fleet, "h1").await).await;
    let mut host = connect_host(&fleet, "h2").await;
    let job = receive_job(&mut host).await;
    change_route(&fleet, &OTHERS).await;
    assert_eq!(granted_others(&fleet, &mut host, &job).await, ATTEMPTS - 2);
    let grant = fleet.replica.state().costs["s"].cost.grant.clone();
    let other = grant.endpoints.iter().find(|id| id.starts_with('o')).unwrap().clone();
    assert!(matches!(fleet.leader().answer(Call::Leave(other.clone())).await, Answer::Done));
    // As a host that was given the whole grant reports it.
    let cost = Cost { grant: Grant { endpoints: BTreeSet::new(), ..grant }, ..job.cost.clone() };
    send_report(&mut host, RunReport { cost, ..scoring(&job) }).await;
    wait_until("the endpoint is replaced", || others_in_log(&fleet) > ATTEMPTS - 2).await;
    pause(GRANT_MS).await;
    let grant = fleet.replica.state().costs["s"].cost.grant.clone();
    let live = grant.endpoints.iter().filter(|id| id.starts_with('o') && **id != other).count();
    assert_eq!(live, ATTEMPTS - 2);
}

/// Guards against a host that is counted as lost by each leader although it reports to all of them.
#[actix_rt::test]
async fn a_host_that_reports_to_each_leader_is_not_counted_as_lost() {
    let (fleet, parts, mut store) = submitted().await;
    let mut host = connect_host(&fleet, "h1").await;
    let job = receive_job(&mut host).await;
    for _ in 0..3 {
        drop((host, store));
        fleet.next_leader();
        host = connect_store(fleet.links, "h1").await;
        send_heartbeat(&mut host).await;
        store = read_step(&fleet, &parts).await;
        send_report(&mut host, scoring(&job)).await;
        host.send(encode(&MemberMessage::Reported)).await.unwrap();
        let leader = fleet.leader();
        wait_until("the run is known", || leader.plan.borrow().is_scoring("a", 0)).await;
    }
    change_route(&fleet, &OTHERS).await;
    assert_eq!(granted_others(&fleet, &mut host, &job).await, ATTEMPTS);
}

/// A host is lost before it reports, and the next one together with the leader. Guards against a
/// leader that knows of only one of the two.
#[actix_rt::test]
async fn a_host_that_was_lost_before_the_leader_counts_for_the_next_one() {
    let (fleet, parts, store) = submitted().await;
    receive_job(&mut connect_host(&fleet, "h1").await).await;
    receive_job(&mut connect_host(&fleet, "h2").await).await;
    drop(store);
    fleet.next_leader();
    let mut host = connect_host(&fleet, "h3").await;
    let _store = read_step(&fleet, &parts).await;
    let job = receive_job(&mut host).await;
    change_route(&fleet, &OTHERS).await;
    // Each lost host may have called two of the three endpoints of the former service.
    assert_eq!(granted_others(&fleet, &mut host, &job).await, 0);
}

/// A host reports a call with the end of its run, and the next host is lost together with the leader.
/// Guards against a leader that does not know of the reported call.
#[actix_rt::test]
async fn a_call_that_was_reported_to_the_previous_leader_counts() {
    let (fleet, parts, store) = submitted().await;
    let mut first = connect_host(&fleet, "h1").await;
    let job = receive_job(&mut first).await;
    let called = granted(&job).into_iter().next().unwrap();
    let status = RunStatus::Ended(RunEnd::Broken);
    send_report(&mut first, RunReport { status, ..calling(&job, &[&called]) }).await;
    drop(first);
    receive_job(&mut connect_host(&fleet, "h2").await).await;
    drop(store);
    fleet.next_leader();
    let mut host = connect_host(&fleet, "h3").await;
    let _store = read_step(&fleet, &parts).await;
    let job = receive_job(&mut host).await;
    assert!(job.cost.scorer.endpoints.contains(&called), "{:?}", job.cost);
    change_route(&fleet, &OTHERS).await;
    assert_eq!(granted_others(&fleet, &mut host, &job).await, 0);
}

/// Guards against a host that may call none of the endpoints which replace those that it has called: they
/// have ended, so the call does not execute there any more.
#[actix_rt::test]
async fn a_run_whose_endpoints_have_ended_may_call_others() {
    let (fleet, _parts, _store) = submitted().await;
    let mut host = connect_host(&fleet, "h").await;
    let job = receive_job(&mut host).await;
    let ids: Vec<String> = granted(&job).into_iter().collect();
    let called: Vec<&str> = ids.iter().map(String::as_str).collect();
    send_report(&mut host, calling(&job, &called)).await;
    for id in &ids {
        assert!(matches!(fleet.leader().answer(Call::Leave(id.clone())).await, Answer::Done));
    }
    send_report(&mut host, calling(&job, &called)).await;
    let recorded = receive(&mut host, |work| match work {
        HostCommand::Recorded { endpoints, .. } => Some(endpoints),
        _ => None,
    })
    .await;
    assert_eq!(recorded, ids.into_iter().collect());
}

/// Guards against a step's end that hides a host which may have called endpoints: the sample is
/// submitted again in the next step.
#[actix_rt::test]
async fn a_host_that_did_not_report_before_its_step_ended_counts() {
    let (fleet, _parts, _store) = submitted().await;
    let mut unreported = connect_host(&fleet, "h1").await;
    receive_job(&mut unreported).await;
    fleet.end("a").await;
    drop(unreported);
    change_route(&fleet, &OTHERS).await;
    let (mut host, job) = job_of_next_step(&fleet).await;
    assert_eq!(granted_others(&fleet, &mut host, &job).await, ATTEMPTS - 2);
}

/// Guards against a leader that does not know what a host may have called in a step that ended under
/// the previous leader.
#[actix_rt::test]
async fn a_host_that_did_not_report_before_its_step_ended_counts_for_the_next_leader() {
    let (fleet, parts, store) = submitted().await;
    let mut unreported = connect_host(&fleet, "h1").await;
    receive_job(&mut unreported).await;
    fleet.end("a").await;
    drop((unreported, store));
    let _store = change_leader(&fleet, &parts).await;
    change_route(&fleet, &OTHERS).await;
    let (mut host, job) = job_of_next_step(&fleet).await;
    assert_eq!(granted_others(&fleet, &mut host, &job).await, ATTEMPTS - 2);
}

/// Guards against a host that uses all granted endpoints one after the other while it is cut off: those
/// that it has called are recorded before it may call another one.
#[actix_rt::test]
async fn the_calls_of_a_run_are_recorded_before_it_may_make_more() {
    let (fleet, _parts, _store) = submitted().await;
    let mut host = connect_host(&fleet, "h").await;
    let job = receive_job(&mut host).await;
    let ids: Vec<String> = granted(&job).into_iter().collect();
    send_report(&mut host, calling(&job, &[&ids[0], &ids[1]])).await;
    let recorded = receive(&mut host, |work| match work {
        HostCommand::Recorded { run, endpoints, .. } => (run == job.run).then_some(endpoints),
        _ => None,
    })
    .await;
    assert_eq!(recorded, ids[..2].iter().cloned().collect());
    assert_eq!(fleet.replica.state().costs["s"].cost.scorer.endpoints, recorded);
}

/// Returns the numbers of hosts that a host is sent before the run of a step.
async fn counts_before_run(socket: &mut Socket, step: &str) -> Vec<u32> {
    let counts: RefCell<Vec<u32>> = RefCell::default();
    receive(socket, |work| match work {
        HostCommand::HostCount(count) => {
            counts.borrow_mut().push(count);
            None
        }
        HostCommand::Run(job) => (job.step == step).then_some(()),
        _ => None,
    })
    .await;
    counts.into_inner()
}

async fn fleet_with_pacing(paced_scorers: bool) -> Fleet {
    let policy = Policy { paced_scorers, ..Policy::default() };
    let fleet = Fleet::start_with(|settings| Settings { policy, ..settings }).await;
    configure(&fleet, config_with_desk(2)).await;
    announce_desks(&fleet, &DESKS).await;
    announce_engine(&fleet).await;
    fleet
}

/// Keeps hosts connected until the leader no longer waits for reports of others.
async fn outlast_reports(hosts: &mut [&mut Socket]) {
    for _ in 0..12 {
        pause(50).await;
        for host in &mut *hosts {
            send_heartbeat(host).await;
        }
    }
}

/// Guards against hosts that do not know how many others share the endpoints of their scorers, and
/// against a message with each run.
#[actix_rt::test]
async fn hosts_are_told_their_number_before_a_run_if_it_has_changed() {
    let (fleet, parts) = (fleet_with_pacing(true).await, StoredParts::default());
    let _store = fleet.store(&parts).await;
    let mut first = connect_host(&fleet, "h1").await;
    outlast_reports(&mut [&mut first]).await;
    submit(&fleet, "a").await;
    assert_eq!(counts_before_run(&mut first, "a").await, [1]);
    submit(&fleet, "b").await;
    assert_eq!(counts_before_run(&mut first, "b").await, [0; 0], "it knows the number");
    let mut second = connect_host(&fleet, "h2").await;
    outlast_reports(&mut [&mut first, &mut second]).await;
    submit(&fleet, "c").await;
    let counts = tokio::select! {
        counts = counts_before_run(&mut first, "c") => counts,
        counts = counts_before_run(&mut second, "c") => counts,
    };
    assert_eq!(counts, [2]);
}

/// Guards against a command that hosts of an earlier version cannot read, although nothing needs
/// it.
#[actix_rt::test]
async fn without_pacing_hosts_are_not_told_their_number() {
    let (fleet, parts) = (fleet_with_pacing(false).await, StoredParts::default());
    let _store = fleet.store(&parts).await;
    let mut host = connect_host(&fleet, "h1").await;
    outlast_reports(&mut [&mut host]).await;
    submit(&fleet, "a").await;
    assert_eq!(counts_before_run(&mut host, "a").await, [0; 0]);
}

/// Guards against a new leader that counts only the hosts which have reported so far: the first
/// ones would use the slots of the others as well.
#[actix_rt::test]
async fn a_new_leader_tells_no_number_before_the_hosts_have_reported() {
    let (fleet, parts) = (fleet_with_pacing(true).await, StoredParts::default());
    let _store = fleet.store(&parts).await;
    fleet.next_leader();
    announce_desks(&fleet, &DESKS).await;
    announce_engine(&fleet).await;
    let _store = fleet.store(&parts).await;
    let _silent = connect_store(fleet.links, "h2").await;
    let mut host = connect_host(&fleet, "h1").await;
    submit(&fleet, "a").await;
    assert_eq!(counts_before_run(&mut host, "a").await, [0; 0]);
    outlast_reports(&mut [&mut host]).await;
    submit(&fleet, "b").await;
    assert_eq!(counts_before_run(&mut host, "b").await, [1], "the other one is lost");
}
