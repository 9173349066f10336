//! Which members are told of which endpoints, and whom control processes have heard.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::crashes::Crash;
use chicoryford_fleet::hearing::Sign;
use chicoryford_node::clock;
use chicoryford_node::control::Control;
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
use chicoryford_platform::control::Call as Asked;
use chicoryford_types::Fingerprint;
use futures_util::SinkExt;
use futures_util::StreamExt;

use crate::fleet::Fleet;
use crate::fleet::pause;
use crate::fleet::until;
use crate::fleet::with_desk;
use crate::member::Socket;
use crate::member::greet_as;

fn engine(id: &str, sequence: u64) -> Announcement {
    Announcement {
        id: id.to_owned(),
        born: 0,
        service: "engines".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "here".to_owned(),
        slots: 6,
        draining: false,
        models: BTreeMap::from([("m".to_owned(), 1)]),
        sequence,
    }
}

fn desk(id: &str) -> Announcement {
    Announcement { service: "desk".to_owned(), models: BTreeMap::new(), ..engine(id, 1) }
}

/// The same services, and nothing but steps yet.
fn steps_only(version: u64) -> Config {
    let both = with_desk(version);
    Config { routes: both.routes[..1].to_vec(), ..both }
}

async fn configure(fleet: &Fleet, config: Config) {
    let configured = fleet.leader().commit(Command::Configure(Arc::new(config))).await;
    assert!(matches!(configured, Answer::Done), "{configured:?}");
}

/// Gives the endpoints of which a member is told within a moment.
async fn told(socket: &mut Socket) -> Vec<String> {
    let mut told = Vec::new();
    while let Ok(frame) = tokio::time::timeout(Duration::from_millis(150), next(socket)).await {
        let news = match frame {
            LeaderMessage::Everything(all) => all,
            LeaderMessage::News(news) => vec![news],
            _ => Vec::new(),
        };
        told.extend(news.into_iter().filter_map(|news| match news {
            Update::Endpoint(endpoint) => Some(endpoint.said.id),
            _ => None,
        }));
    }
    told
}

/// Gives the next word other than that the leader lives, which comes all the time.
async fn next(socket: &mut Socket) -> LeaderMessage {
    loop {
        let down = decode(&socket.next().await.unwrap().unwrap()).unwrap();
        if !matches!(down, LeaderMessage::Alive { .. }) {
            return down;
        }
    }
}

async fn announce(fleet: &Fleet, said: Announcement) {
    let answer = fleet.leader().answer(Call::Announce(said)).await;
    assert!(matches!(answer, Answer::Heard), "{answer:?}");
}

/// Load: 3,000 engines that change with each version of the weights, before 300 entries; an engine is
/// called by nobody but the hosts that the leader names.
#[actix_rt::test]
async fn entries_are_told_of_endpoints_that_they_may_call_and_replicas_of_all() {
    let fleet = Fleet::start().await;
    configure(&fleet, with_desk(2)).await;
    announce(&fleet, engine("e1", 1)).await;
    announce(&fleet, desk("d1")).await;
    let mut entry = greet_as(fleet.links, "f", false).await;
    let mut replica = greet_as(fleet.links, "c2", true).await;
    assert_eq!(told(&mut entry).await, ["d1"]);
    assert_eq!(told(&mut replica).await, ["d1", "e1"]);
    announce(&fleet, engine("e2", 1)).await;
    announce(&fleet, desk("d2")).await;
    assert_eq!(told(&mut entry).await, ["d2"]);
    assert_eq!(told(&mut replica).await, ["e2", "d2"]);
}

/// Symptom: requests of a new route are answered that no endpoint is ready.
/// Sequence: an entry was told of the endpoints that it could call; a configuration then leads a route
/// to another service, whose endpoints are all known to the leader.
/// Cause: only changes of endpoints are told, and these have not changed.
#[actix_rt::test]
async fn entries_are_told_of_the_endpoints_of_a_service_that_a_new_route_leads_to() {
    let fleet = Fleet::start().await;
    configure(&fleet, steps_only(2)).await;
    announce(&fleet, desk("d1")).await;
    announce(&fleet, engine("e1", 1)).await;
    let mut entry = greet_as(fleet.links, "f", false).await;
    assert!(told(&mut entry).await.is_empty());
    configure(&fleet, with_desk(3)).await;
    assert_eq!(told(&mut entry).await, ["d1"]);
}

/// Gives a control process that follows the leader.
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
    let following = link.clone();
    actix_rt::spawn(async move { following.run().await });
    assert!(link.wait_connected(Duration::from_secs(5)).await);
    let own = "10.0.0.7:80".parse().unwrap();
    let hearing = RefCell::default();
    (Rc::new(Control { link: link.clone(), view, own, hearing }), link)
}

/// The load: 3,000 endpoints that say every 1.2 s what is known. Each was a call of the leader.
#[actix_rt::test]
async fn a_control_process_answers_what_changes_nothing_and_leaves_the_rest_to_the_leader() {
    let fleet = Fleet::start().await;
    configure(&fleet, with_desk(2)).await;
    let (control, link) = control(&fleet).await;
    let heard = async |said| {
        let reply = control.handle(Asked::Announce(said)).await;
        (reply.status.as_u16(), String::from_utf8_lossy(&reply.body).contains("10.0.0.7:80"))
    };
    let here = || metrics::ANNOUNCEMENTS.with_label_values(&["here"]).get();
    assert_eq!(heard(engine("e", 1)).await, (200, true), "the leader answers for a new one");
    pause(100).await;
    assert_eq!((heard(engine("e", 2)).await, here()), ((200, true), 1));
    let newer = |sequence| {
        let models = BTreeMap::from([("m".to_owned(), 2)]);
        Announcement { models, ..engine("e", sequence) }
    };
    assert_eq!((heard(newer(3)).await, here()), ((200, true), 1), "what changes is the leader's");
    pause(100).await;
    assert_eq!((heard(newer(4)).await, here()), ((200, true), 2));
    fleet.leader().stop();
    fleet.slot.borrow_mut().take();
    until("the leader is lost", || !link.is_connected()).await;
    assert_eq!((heard(newer(5)).await, here()), ((200, true), 3), "an election takes a while");
    let leaves = Announcement { draining: true, ..newer(6) };
    assert_eq!((heard(leaves).await.0, here()), (503, 3), "only a leader has it known");
    assert_eq!(heard(engine("new", 1)).await.0, 503, "nobody here knows it");
    pause(3_000).await;
    assert_eq!((heard(newer(7)).await.0, here()), (503, 3), "what is known may be old");
}

/// Symptom: a fleet of 3,000 endpoints that has lost its leader does not come back: announcements are
/// refused, connections come by the hundred each second, and elections follow each other.
/// Sequence: the leader is killed; until the next one has told all followers what it knows, each of
/// them refuses all announcements; each endpoint turns to the next process on a new connection.
/// Cause: the refusals make the load that keeps the next leader from getting through.
/// Proof: while a leader is missing for as long as an election takes, no endpoint of which nothing is
/// new is refused, and the next leader is told of each that was heard.
#[actix_rt::test]
async fn endpoints_are_not_turned_away_while_a_leader_is_elected() {
    const ENDPOINTS: usize = 3_000;
    let fleet = Fleet::start().await;
    configure(&fleet, with_desk(2)).await;
    for number in 0..ENDPOINTS {
        let answer = fleet.leader().answer(Call::Announce(engine(&number.to_string(), 1))).await;
        assert!(matches!(answer, Answer::Heard), "{answer:?}");
    }
    let (control, link) = control(&fleet).await;
    fleet.leader().stop();
    fleet.slot.borrow_mut().take();
    until("the leader is lost", || !link.is_connected()).await;
    for number in 0..ENDPOINTS {
        let reply = control.handle(Asked::Announce(engine(&number.to_string(), 2))).await;
        assert_eq!(reply.status.as_u16(), 200, "endpoint {number}");
    }
    fleet.next_leader();
    until("the next leader is found", || link.is_connected()).await;
    actix_rt::spawn(control.clone().report_periodically());
    until("it is told", || control.hearing.borrow().signs(clock::now()).is_empty()).await;
}

/// Symptom: engines that were heard all the time are taken for silent, and their runs taken away.
/// Sequence: they announce themselves to a control process that answers by itself.
/// Cause: the leader judges who is silent by what reaches it, so it is told whom others heard.
#[actix_rt::test]
async fn the_leader_counts_what_other_control_processes_heard() {
    let fleet = Fleet::start().await;
    configure(&fleet, with_desk(2)).await;
    announce(&fleet, engine("e", 1)).await;
    let mut replica = greet_as(fleet.links, "c2", true).await;
    let sign = |sequence| Sign { id: "e".to_owned(), born: 0, sequence, age_ms: 0 };
    for sequence in 2..9 {
        pause(1_000).await;
        replica.send(encode(&MemberMessage::Heard(vec![sign(sequence)]))).await.unwrap();
    }
    pause(100).await;
    let counts = fleet.leader().endpoint_counts();
    assert_eq!(counts.get("ready"), Some(&1), "{counts:?}");
}

/// Guards against a content that crashes endpoints through each entry in turn, and again after a change of
/// leader.
#[actix_rt::test]
async fn a_content_that_crashed_endpoints_at_several_entries_is_refused_at_all() {
    let fleet = Fleet::start().await;
    let mut entries = Vec::new();
    for name in ["a", "b", "c"] {
        entries.push(greet_as(fleet.links, name, false).await);
    }
    let content = Fingerprint(7);
    for (entry, endpoint) in entries.iter_mut().zip(["d1", "d2", "d3"]) {
        let crash = Crash { content, endpoint: endpoint.to_owned() };
        entry.send(encode(&MemberMessage::Crashed(crash))).await.unwrap();
    }
    until("it is refused", || fleet.replica.state().crashes.refuses(content)).await;
    assert!(refused(&mut entries[0]).await.contains(&content));
    fleet.next_leader();
    let mut entry = greet_as(fleet.links, "d", false).await;
    assert!(refused(&mut entry).await.contains(&content));
}

/// Gives the contents that a member is told to refuse within a moment.
async fn refused(socket: &mut Socket) -> BTreeSet<Fingerprint> {
    let mut refused = BTreeSet::new();
    while let Ok(down) = tokio::time::timeout(Duration::from_millis(150), next(socket)).await {
        let news = match down {
            LeaderMessage::Everything(all) => all,
            LeaderMessage::News(news) => vec![news],
            _ => Vec::new(),
        };
        for news in news {
            if let Update::Refused(contents) = news {
                refused.extend(contents);
            }
        }
    }
    refused
}
