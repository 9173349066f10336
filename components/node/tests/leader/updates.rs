//! Which members get which updates, and how received announcements reach the leader.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Policy;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::crashes::Crash;
use chicoryford_fleet::heartbeats::Heartbeat;
use chicoryford_fleet::plan::EngineState;
use chicoryford_fleet::ranges::RangeContent;
use chicoryford_http::Request;
use chicoryford_http::message::Method;
use chicoryford_node::clock;
use chicoryford_node::control::Control;
use chicoryford_node::crashes::content_fingerprint;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::forward::Outcome;
use chicoryford_node::frame::decode;
use chicoryford_node::frame::encode;
use chicoryford_node::link::Link;
use chicoryford_node::link::Member;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Call;
use chicoryford_node::message::LeaderMessage;
use chicoryford_node::message::MemberMessage;
use chicoryford_node::message::Update;
use chicoryford_node::metrics;
use chicoryford_node::view::View;
use chicoryford_platform::control::Call as ControlCall;
use chicoryford_types::Fingerprint;
use futures_util::SinkExt;
use futures_util::StreamExt;

use crate::answering::answer;
use crate::answering::listener;
use crate::endpoint::endpoint;
use crate::fleet::Fleet;
use crate::fleet::config_with_desk;
use crate::fleet::pause;
use crate::fleet::wait_until;
use crate::follower::follow;
use crate::member::Socket;
use crate::member::connect_knowing;
use crate::member::connect_member;
use crate::route::route;
use crate::send::send;

pub fn engine(id: &str, sequence: u64) -> Announcement {
    Announcement {
        id: id.to_owned(),
        started_ms: 0,
        service: "engines".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "here".to_owned(),
        slots: 6,
        draining: false,
        models: BTreeMap::from([("m".to_owned(), 1)]),
        sequence,
    }
}

pub fn desk(id: &str) -> Announcement {
    Announcement { service: "desk".to_owned(), models: BTreeMap::new(), ..engine(id, 1) }
}

/// The same services, with only the route for steps.
fn config_with_steps_only(version: u64) -> Config {
    let both = config_with_desk(version);
    Config { routes: both.routes[..1].to_vec(), ..both }
}

pub async fn configure(fleet: &Fleet, config: Config) {
    let configured = fleet.leader().commit(Command::Configure(Arc::new(config))).await;
    assert!(matches!(configured, Answer::Done), "{configured:?}");
}

/// Returns the endpoints that a member receives within a short time.
async fn received_endpoints(socket: &mut Socket) -> Vec<String> {
    let mut received = Vec::new();
    while let Ok(frame) = tokio::time::timeout(Duration::from_millis(150), next(socket)).await {
        let updates = match frame {
            LeaderMessage::Ranges(ranges) => endpoint_updates(&ranges),
            LeaderMessage::Everything(all) => all,
            LeaderMessage::News(update) => vec![update],
            _ => Vec::new(),
        };
        received.extend(updates.into_iter().filter_map(|update| match update {
            Update::Endpoint(endpoint) => Some(endpoint.announcement.id),
            _ => None,
        }));
    }
    received
}

fn endpoint_updates(ranges: &[RangeContent]) -> Vec<Update> {
    let endpoints = ranges.iter().flat_map(|range| {
        let endpoints: Vec<Endpoint> = decode(&range.endpoints).unwrap();
        endpoints
    });
    endpoints.map(Update::Endpoint).collect()
}

/// Returns the next message that is not a heartbeat.
async fn next(socket: &mut Socket) -> LeaderMessage {
    loop {
        let message = decode(&socket.next().await.unwrap().unwrap()).unwrap();
        if !matches!(message, LeaderMessage::Alive { .. }) {
            return message;
        }
    }
}

pub async fn announce(fleet: &Fleet, announcement: Announcement) {
    let answer = fleet.leader().answer(Call::Announce(announcement)).await;
    assert!(matches!(answer, Answer::Heard), "{answer:?}");
}

/// Guards against sending 3,000 engines, which change with each version of the weights, to 300
/// entries. Only the hosts that the leader names call an engine.
#[actix_rt::test]
async fn entries_receive_the_endpoints_that_they_may_call_and_replicas_all() {
    let fleet = Fleet::start().await;
    configure(&fleet, config_with_desk(2)).await;
    announce(&fleet, engine("e1", 1)).await;
    announce(&fleet, desk("d1")).await;
    let mut entry = connect_member(fleet.links, "f", false).await;
    let mut replica = connect_member(fleet.links, "c2", true).await;
    assert_eq!(received_endpoints(&mut entry).await, ["d1"]);
    assert_eq!(received_endpoints(&mut replica).await, ["d1", "e1"]);
    announce(&fleet, engine("e2", 1)).await;
    announce(&fleet, desk("d2")).await;
    assert_eq!(received_endpoints(&mut entry).await, ["d2"]);
    assert_eq!(received_endpoints(&mut replica).await, ["e2", "d2"]);
}

/// Guards against a leader that tells its followers all endpoints when it begins, although they know
/// them from the previous leader.
#[actix_rt::test]
async fn a_follower_is_not_told_the_endpoints_that_it_knows() {
    let fleet = Fleet::start().await;
    configure(&fleet, config_with_desk(2)).await;
    announce(&fleet, desk("d1")).await;
    let known = View::default();
    let endpoint = Endpoint { announcement: desk("d1"), status: EndpointStatus::Ready };
    known.apply(Update::Endpoint(endpoint));
    let mut entry = connect_knowing(fleet.links, "f", known.digests()).await;
    assert!(received_endpoints(&mut entry).await.is_empty());
    announce(&fleet, desk("d2")).await;
    assert_eq!(received_endpoints(&mut entry).await, ["d2"]);
}

/// Guards against endpoints that a follower keeps although they ended while it had no leader.
#[test]
fn a_range_replaces_the_endpoints_that_a_follower_knows() {
    let view = View::default();
    let endpoint = |id: &str| Endpoint { announcement: desk(id), status: EndpointStatus::Ready };
    view.apply(Update::Endpoint(endpoint("d1")));
    let endpoints = encode(&vec![endpoint("d2")]);
    view.replace_range(&RangeContent { range: 0, count: 1, endpoints }).unwrap();
    assert!(view.endpoint("d1").is_none());
    assert!(view.endpoint("d2").is_some());
}

/// A new configuration adds a route to another service, whose endpoints are all known to the
/// leader. Guards against sending only changed endpoints: the entry lacked the endpoints of the new
/// route, and its requests failed because no endpoint was ready.
#[actix_rt::test]
async fn entries_receive_the_endpoints_of_a_service_with_a_new_route() {
    let fleet = Fleet::start().await;
    configure(&fleet, config_with_steps_only(2)).await;
    announce(&fleet, desk("d1")).await;
    announce(&fleet, engine("e1", 1)).await;
    let mut entry = connect_member(fleet.links, "f", false).await;
    assert!(received_endpoints(&mut entry).await.is_empty());
    configure(&fleet, config_with_desk(3)).await;
    assert_eq!(received_endpoints(&mut entry).await, ["d1"]);
}

/// Creates a control process that follows the leader.
async fn control(fleet: &Fleet) -> (Rc<Control>, Rc<Link>) {
    let view = Rc::new(View::default());
    let member = Member {
        node: "c2".to_owned(),
        data_centre: "here".to_owned(),
        address: fleet.links,
        replica: true,
        depot: None,
        runner: None,
    };
    let link = Link::new(member, view.clone(), vec![fleet.links]);
    let running = link.clone();
    actix_rt::spawn(async move { running.run().await });
    assert!(link.wait_connected(Duration::from_secs(5)).await);
    let own = "10.0.0.7:80".parse().unwrap();
    let heartbeats = RefCell::default();
    (Rc::new(Control { link: link.clone(), view, own, heartbeats }), link)
}

/// Guards against a call to the leader for each announcement of 3,000 endpoints that repeat
/// unchanged data every 1.2 s.
#[actix_rt::test]
async fn a_control_process_answers_what_changes_nothing_and_leaves_the_rest_to_the_leader() {
    let fleet = Fleet::start().await;
    configure(&fleet, config_with_desk(2)).await;
    let (control, link) = control(&fleet).await;
    let announce_here = async |announcement| {
        let reply = control.handle(ControlCall::Announce(announcement)).await;
        (reply.status.as_u16(), String::from_utf8_lossy(&reply.body).contains("10.0.0.7:80"))
    };
    let answered_here = || metrics::ANNOUNCEMENTS.with_label_values(&["here"]).get();
    assert_eq!(
        announce_here(engine("e", 1)).await,
        (200, true),
        "the leader answers for a new endpoint"
    );
    pause(100).await;
    assert_eq!((announce_here(engine("e", 2)).await, answered_here()), ((200, true), 1));
    let newer = |sequence| {
        let models = BTreeMap::from([("m".to_owned(), 2)]);
        Announcement { models, ..engine("e", sequence) }
    };
    assert_eq!(
        (announce_here(newer(3)).await, answered_here()),
        ((200, true), 1),
        "the leader answers a change"
    );
    pause(100).await;
    assert_eq!((announce_here(newer(4)).await, answered_here()), ((200, true), 2));
    fleet.leader().stop();
    fleet.current_leader.borrow_mut().take();
    wait_until("the leader is lost", || !link.is_connected()).await;
    assert_eq!(
        (announce_here(newer(5)).await, answered_here()),
        ((200, true), 3),
        "acknowledged during an election"
    );
    let leaves = Announcement { draining: true, ..newer(6) };
    assert_eq!(
        (announce_here(leaves).await.0, answered_here()),
        (503, 3),
        "a departure needs a leader"
    );
    assert_eq!(announce_here(engine("new", 1)).await.0, 503, "the endpoint is unknown here");
    pause(3_000).await;
    assert_eq!(
        (announce_here(newer(7)).await.0, answered_here()),
        (503, 3),
        "the known state may be out of date"
    );
}

/// The leader of a fleet of 3,000 endpoints is killed. Guards against refusing announcements until
/// the next leader has sent its state: each endpoint then tried the next process on a new
/// connection, hundreds of connections a second, and this load kept the next leader from
/// recovering, so that elections followed one another. During the time of an election, no unchanged
/// endpoint is refused, and the next leader gets a heartbeat of each endpoint that announced
/// itself.
#[actix_rt::test]
async fn endpoints_are_not_turned_away_while_a_leader_is_elected() {
    const ENDPOINTS: usize = 3_000;
    let fleet = Fleet::start().await;
    configure(&fleet, config_with_desk(2)).await;
    for number in 0..ENDPOINTS {
        let answer = fleet.leader().answer(Call::Announce(engine(&number.to_string(), 1))).await;
        assert!(matches!(answer, Answer::Heard), "{answer:?}");
        if number % 100 == 0 {
            // The replica needs the thread to renew its lease.
            pause(1).await;
        }
    }
    let (control, link) = control(&fleet).await;
    fleet.leader().stop();
    fleet.current_leader.borrow_mut().take();
    wait_until("the leader is lost", || !link.is_connected()).await;
    for number in 0..ENDPOINTS {
        let reply = control.handle(ControlCall::Announce(engine(&number.to_string(), 2))).await;
        assert_eq!(reply.status.as_u16(), 200, "endpoint {number}");
    }
    fleet.next_leader();
    wait_until("the next leader is found", || link.is_connected()).await;
    actix_rt::spawn(control.clone().report_periodically());
    wait_until("the heartbeats are reported", || {
        control.heartbeats.borrow().pending(clock::now()).is_empty()
    })
    .await;
}

/// Engines announce themselves to a control process that answers by itself. Guards against a leader
/// that considers such engines silent and takes their runs away, because only some announcements
/// reach it directly.
#[actix_rt::test]
async fn the_leader_counts_announcements_to_other_control_processes() {
    let fleet = Fleet::start().await;
    configure(&fleet, config_with_desk(2)).await;
    announce(&fleet, engine("e", 1)).await;
    let mut replica = connect_member(fleet.links, "c2", true).await;
    let heartbeat = |sequence| Heartbeat { id: "e".to_owned(), started_ms: 0, sequence, age_ms: 0 };
    for sequence in 2..9 {
        pause(1_000).await;
        replica.send(encode(&MemberMessage::Heard(vec![heartbeat(sequence)]))).await.unwrap();
    }
    pause(100).await;
    let counts = fleet.leader().endpoint_counts();
    assert_eq!(counts.get("ready"), Some(&1), "{counts:?}");
}

/// Guards against a content that crashes endpoints through each entry in turn, and again after a
/// change of leader.
#[actix_rt::test]
async fn a_content_that_crashed_endpoints_at_several_entries_is_refused_at_all() {
    let fleet = Fleet::start().await;
    let mut entries = Vec::new();
    for name in ["a", "b", "c"] {
        entries.push(connect_member(fleet.links, name, false).await);
    }
    let content = Fingerprint(7);
    for (entry, endpoint) in entries.iter_mut().zip(["d1", "d2", "d3"]) {
        let crash = Crash { content, endpoint: endpoint.to_owned() };
        entry.send(encode(&MemberMessage::Crashed(crash))).await.unwrap();
    }
    wait_until("the content is refused", || fleet.replica.state().crashes.refuses(content)).await;
    assert!(refused(&mut entries[0]).await.contains(&content));
    fleet.next_leader();
    let mut entry = connect_member(fleet.links, "d", false).await;
    assert!(refused(&mut entry).await.contains(&content));
}

/// Returns the contents that a member has to refuse, as received within a short time.
async fn refused(socket: &mut Socket) -> BTreeSet<Fingerprint> {
    let mut refused = BTreeSet::new();
    while let Ok(message) = tokio::time::timeout(Duration::from_millis(150), next(socket)).await {
        let updates = match message {
            LeaderMessage::Everything(all) => all,
            LeaderMessage::News(update) => vec![update],
            _ => Vec::new(),
        };
        for update in updates {
            if let Update::Refused(contents) = update {
                refused.extend(contents);
            }
        }
    }
    refused
}

/// Endpoints crash for another reason while they run requests with the same common content, which
/// completes elsewhere all the time. Guards against refusing this content for a day because the
/// processes at which it completes are not those that have seen the crashes.
#[actix_rt::test]
async fn a_content_that_completes_at_another_process_is_no_longer_suspected() {
    let fleet = Fleet::start().await;
    let forwarder = Forwarder::new(Policy::default());
    let (view, learning) = (Rc::new(View::default()), forwarder.clone());
    view.subscribe(move |update| learning.apply(update));
    let link = follow(&fleet, "b", view).await;
    let reporter = forwarder.clone();
    actix_rt::spawn(async move { reporter.report_crashes(link).await });
    let (address, _) = answer(listener().await, u32::MAX);
    forwarder.apply(&Update::Endpoint(endpoint("desk", "d9", address, 4)));

    let mut request = Request::new(Method::POST, "/desk/x", "");
    request.headers.set("x-attempt-id", "id");
    let content = content_fingerprint(&request, "");
    let mut entry = connect_member(fleet.links, "a", false).await;
    for crashed in ["d1", "d2", "d3", "d4"] {
        let crash = Crash { content, endpoint: crashed.to_owned() };
        entry.send(encode(&MemberMessage::Crashed(crash))).await.unwrap();
        pause(50).await;
        let outcome = send(&forwarder, &route("desk", RouteKind::Idempotent, 2), 1_000).await;
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
        pause(400).await;
    }
    assert!(!fleet.replica.state().crashes.refuses(content));
}

/// All control processes are killed after an endpoint's departure was acknowledged, and an announcement
/// that it had sent before arrives at the next leader, which knows the endpoint from nowhere else.
/// Guards against sending work to the endpoint again.
#[actix_rt::test]
async fn a_late_announcement_does_not_bring_back_an_endpoint_that_left_under_an_earlier_leader() {
    let fleet = Fleet::start().await;
    let call = async |call| fleet.leader().answer(call).await;
    assert!(matches!(call(Call::Configure(Arc::new(config_with_desk(2)))).await, Answer::Done));
    let announce = async |announcement| {
        let answer = call(Call::Announce(announcement)).await;
        assert!(matches!(answer, Answer::Heard), "{answer:?}");
    };
    let is_ready = |engine: &&EngineState| engine.endpoint.status == EndpointStatus::Ready;
    announce(engine("left", 1)).await;
    announce(engine("drains", 1)).await;
    announce(engine("stays", 1)).await;
    assert!(matches!(call(Call::Leave("left".to_owned())).await, Answer::Done));
    announce(Announcement { draining: true, ..engine("drains", 3) }).await;
    fleet.next_leader();
    for id in ["left", "drains", "stays"] {
        announce(engine(id, 2)).await;
    }
    let ready: Vec<String> = {
        let leader = fleet.leader();
        let plan = leader.plan.borrow();
        let ready = plan.engines().filter(is_ready);
        ready.map(|engine| engine.endpoint.announcement.id.clone()).collect()
    };
    assert_eq!(ready, ["stays"]);
    // One that starts again under its id has not left.
    let started_ms = engine("left", 1).started_ms + 1;
    announce(Announcement { started_ms, ..engine("left", 1) }).await;
    assert_eq!(fleet.leader().plan.borrow().engines().filter(is_ready).count(), 2);
}
