//! Endpoints that some processes cannot connect to, on real sockets.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Policy;
use chicoryford_fleet::RouteKind;
use chicoryford_node::Settings;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::forward::Outcome;
use chicoryford_node::frame::decode;
use chicoryford_node::frame::encode;
use chicoryford_node::link::Link;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Call;
use chicoryford_node::message::LeaderMessage;
use chicoryford_node::message::MemberMessage;
use chicoryford_node::message::Update;
use chicoryford_node::view::View;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::time::Instant;

use crate::answering::answer;
use crate::answering::listener;
use crate::endpoint::endpoint;
use crate::fleet::Fleet;
use crate::fleet::config_with_desk;
use crate::fleet::pause;
use crate::fleet::wait_until;
use crate::follower::follow;
use crate::member::Socket;
use crate::member::connect_member;
use crate::route::route;
use crate::send::send;
use crate::unreachable::unreachable;
use crate::updates::configure;
use crate::updates::engine;

/// Number of requests that a follower sends to show which endpoints it avoids. If it avoided none,
/// it would miss one of three endpoints by chance once in 10^7 times.
const REQUEST_COUNT: usize = 40;
/// Time after which a request at an endpoint that does not answer gets a second attempt.
const SECOND_ATTEMPT_AFTER: Duration = Duration::from_millis(60);
/// Time limit of a request in milliseconds.
const LIMIT_MS: u64 = 1_000;
/// Milliseconds after which a request is dropped, before its connection attempt fails or is
/// reported.
const DROP_AFTER_MS: u64 = 25;

/// Starts a fleet that shares reachability, with the service "desk".
async fn sharing_fleet() -> Fleet {
    let policy = Policy { shared_reachability: true, ..Policy::default() };
    let fleet = Fleet::start_with(|settings| Settings { policy, ..settings }).await;
    configure(&fleet, config_with_desk(2)).await;
    fleet
}

/// Starts a fleet that shares reachability, with an endpoint "d0" at this address and an endpoint
/// "d1" that answers.
async fn fleet_with_desks(address: SocketAddr) -> Fleet {
    let fleet = sharing_fleet().await;
    announce(&fleet, "d0", address).await;
    announce(&fleet, "d1", answering().await).await;
    fleet
}

async fn announce(fleet: &Fleet, id: &str, address: SocketAddr) {
    let announcement = endpoint("desk", id, address, 4).announcement;
    let answer = fleet.leader().answer(Call::Announce(announcement)).await;
    assert!(matches!(answer, Answer::Heard), "{answer:?}");
}

/// A follower with its forwarder.
struct Follower {
    forwarder: Rc<Forwarder>,
    link: Rc<Link>,
    /// The number of endpoints that it has to avoid.
    avoided: Rc<Cell<usize>>,
}

impl Follower {
    async fn start(fleet: &Fleet, node: &str) -> Self {
        Self::start_with(fleet, node, true).await
    }

    async fn start_with(fleet: &Fleet, node: &str, shared_reachability: bool) -> Self {
        // Equally loaded endpoints are chosen at random, however fast they are.
        let policy = Policy { shared_reachability, learned_times: false, ..Policy::default() };
        let forwarder = Forwarder::new(policy);
        let (view, applies) = (Rc::new(View::default()), forwarder.clone());
        let avoided = Rc::<Cell<usize>>::default();
        let count = avoided.clone();
        view.subscribe(move |update| {
            if let Update::Unreachable(set) = update {
                count.set(set.endpoints.len());
            }
            applies.apply(update);
        });
        let link = follow(fleet, node, view).await;
        let (reporting, reporter) = (link.clone(), forwarder.clone());
        actix_rt::spawn(async move { reporter.report_reachability(reporting).await });
        Self { forwarder, link, avoided }
    }

    async fn send(&self) -> Outcome {
        self.send_within(LIMIT_MS).await
    }

    /// Sends a request that is dropped if it is not answered within so many milliseconds.
    async fn send_within(&self, limit_ms: u64) -> Outcome {
        send(&self.forwarder, &route("desk", RouteKind::Idempotent, 3), limit_ms).await
    }

    /// Sends requests and returns how many of them needed a second attempt. All of them must be
    /// answered.
    async fn count_slow(&self) -> usize {
        let mut slow = 0;
        for _ in 0..REQUEST_COUNT {
            let began = Instant::now();
            let outcome = self.send().await;
            assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
            slow += usize::from(began.elapsed() >= SECOND_ATTEMPT_AFTER);
        }
        slow
    }
}

/// Starts an endpoint that answers each request. Returns its address.
async fn answering() -> SocketAddr {
    answer(listener().await, u32::MAX).0
}

/// Sends requests of these processes until an endpoint is marked as unreachable.
async fn send_until_marked(fleet: &Fleet, followers: &[Follower], limit_ms: u64) {
    let leader = fleet.leader();
    let marked = async {
        while leader.unreachable_count() == 0 {
            let sent = followers.iter().map(|follower| follower.send_within(limit_ms));
            futures_util::future::join_all(sent).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), marked).await.expect("the endpoint is marked");
}

/// Returns the newest set of unreachable endpoints that a member receives within a short time.
async fn received_set(socket: &mut Socket) -> Option<BTreeMap<String, u64>> {
    let mut newest = None;
    let next = async |socket: &mut Socket| {
        tokio::time::timeout(Duration::from_millis(300), socket.next()).await.ok()
    };
    let until = Instant::now() + Duration::from_secs(1);
    while let Some(frame) = next(socket).await
        && Instant::now() < until
    {
        let updates = match decode(&frame.unwrap().unwrap()).unwrap() {
            LeaderMessage::Everything(all) => all,
            LeaderMessage::News(update) => vec![update],
            _ => Vec::new(),
        };
        for update in updates {
            if let Update::Unreachable(set) = update {
                newest = Some(set.endpoints);
            }
        }
    }
    newest
}

async fn report(member: &mut Socket, endpoint: &str, started_ms: u64) {
    let endpoint = endpoint.to_owned();
    let message = MemberMessage::Unreachable { endpoint, started_ms };
    member.send(encode(&message)).await.unwrap();
}

/// Reports an endpoint in the name of two processes, which is enough for it to be marked.
async fn report_by_two(fleet: &Fleet, endpoint: &str) {
    for node in ["a", "b"] {
        report(&mut connect_member(fleet.links, node, false).await, endpoint, 0).await;
    }
}

/// Guards against each entry finding out for itself that an endpoint does not answer.
#[actix_rt::test]
async fn what_two_followers_find_unreachable_a_third_one_avoids() {
    let silent = unreachable().await;
    let fleet = fleet_with_desks(silent.address()).await;
    announce(&fleet, "d2", answering().await).await;
    let reporters = [Follower::start(&fleet, "a").await, Follower::start(&fleet, "b").await];
    let avoiding = Follower::start(&fleet, "c").await;
    pause(100).await;

    send_until_marked(&fleet, &reporters, LIMIT_MS).await;
    pause(50).await;

    let slow = avoiding.count_slow().await;
    assert!(slow <= 1, "more requests than a probe tried the endpoint: {slow}");
    answer(silent.listener, u32::MAX);
}

/// Guards against unreachable endpoints that nobody reports, because every attempt is dropped
/// before its connection fails: its caller leaves, or another attempt is answered first.
#[actix_rt::test]
async fn attempts_that_are_dropped_early_are_reported_too() {
    let silent = unreachable().await;
    let fleet = fleet_with_desks(silent.address()).await;
    let followers = [Follower::start(&fleet, "a").await, Follower::start(&fleet, "b").await];
    pause(100).await;
    send_until_marked(&fleet, &followers, DROP_AFTER_MS).await;
}

/// Guards against a process that is cut off and takes endpoints away from the others.
#[actix_rt::test]
async fn what_one_follower_reports_no_other_avoids() {
    let fleet = fleet_with_desks(answering().await).await;
    let mut cut_off = connect_member(fleet.links, "a", false).await;
    let mut again = connect_member(fleet.links, "a", false).await;
    for member in [&mut cut_off, &mut again] {
        report(member, "d0", 0).await;
    }
    pause(100).await;
    assert_eq!(fleet.leader().unreachable_count(), 0, "both connections are of one process");
    report(&mut connect_member(fleet.links, "b", false).await, "d0", 0).await;
    wait_until("another process reports it", || fleet.leader().unreachable_count() == 1).await;
}

/// Guards against followers that do not learn of the set because they connect after its broadcast,
/// and against a set that outlives the leader's knowledge.
#[actix_rt::test]
async fn a_new_follower_gets_the_set_and_a_new_leader_begins_without_one() {
    let fleet = fleet_with_desks("127.0.0.1:9".parse().unwrap()).await;
    report_by_two(&fleet, "d0").await;
    wait_until("the endpoint is marked", || fleet.leader().unreachable_count() == 1).await;
    pause(50).await;
    let mut late = connect_member(fleet.links, "c", false).await;
    assert_eq!(received_set(&mut late).await, Some(BTreeMap::from([("d0".to_owned(), 0)])));
    fleet.next_leader();
    let mut next = connect_member(fleet.links, "c", false).await;
    assert_eq!(received_set(&mut next).await, Some(BTreeMap::new()));
}

/// Guards against a new leader for which callers have to find out again what the followers know.
#[actix_rt::test]
async fn followers_report_to_a_new_leader_what_they_have_just_found() {
    let silent = unreachable().await;
    let fleet = fleet_with_desks(silent.address()).await;
    let followers = [Follower::start(&fleet, "a").await, Follower::start(&fleet, "b").await];
    pause(100).await;
    send_until_marked(&fleet, &followers, LIMIT_MS).await;

    let next = fleet.next_leader();
    announce(&fleet, "d0", silent.address()).await;
    announce(&fleet, "d1", "127.0.0.1:9".parse().unwrap()).await;
    let learned = || next.unreachable_count() == 1;
    let began = Instant::now();
    wait_until("the next leader knows it", learned).await;
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    assert!(followers.iter().all(|follower| follower.link.is_connected()));
}

/// Guards against an endpoint that is avoided after it can be reached again: one of the processes
/// probes it with a request, and that ends the state for all.
#[actix_rt::test]
async fn a_successful_probe_ends_the_state_for_all() {
    let fleet = fleet_with_desks(answering().await).await;
    let probing = Follower::start(&fleet, "c").await;
    let other = Follower::start(&fleet, "d").await;
    let mut cut_off = connect_member(fleet.links, "a", false).await;
    report(&mut connect_member(fleet.links, "b", false).await, "d0", 0).await;
    report(&mut cut_off, "d0", 0).await;
    wait_until("the endpoint is marked", || fleet.leader().unreachable_count() == 1).await;
    wait_until("the other process avoids it", || other.avoided.get() == 1).await;
    let (began, mut reported) = (Instant::now(), Instant::now());
    while fleet.leader().unreachable_count() == 1 {
        assert!(began.elapsed() < Duration::from_secs(10), "no process probes it");
        assert!(matches!(probing.send().await, Outcome::Answered(_)));
        // The mark does not expire.
        if reported.elapsed() > Duration::from_millis(500) {
            report(&mut cut_off, "d0", 0).await;
            reported = Instant::now();
        }
        pause(10).await;
    }
    wait_until("the other process uses it again", || other.avoided.get() == 0).await;
}

/// Guards against a set that is kept under a leader which sends none, because sharing was switched
/// off there: nobody would ever remove an endpoint from it.
#[actix_rt::test]
async fn a_leader_that_shares_nothing_ends_the_set_of_its_predecessor() {
    let fleet = fleet_with_desks("127.0.0.1:9".parse().unwrap()).await;
    let follower = Follower::start(&fleet, "c").await;
    report_by_two(&fleet, "d0").await;
    wait_until("the follower avoids it", || follower.avoided.get() == 1).await;
    let settings = Settings { policy: Policy::default(), ..Settings::clone(&fleet.settings) };
    fleet.next_leader_with(Rc::new(settings));
    wait_until("the follower uses it again", || follower.avoided.get() == 0).await;
}

/// Guards against marks on engines, at which the leader decides where samples run, on endpoints of
/// an earlier start, and on those that nobody knows.
#[actix_rt::test]
async fn reports_of_engines_and_of_earlier_starts_mark_nothing() {
    let fleet = sharing_fleet().await;
    for id in ["e0", "e1"] {
        fleet.leader().answer(Call::Announce(engine(id, 1))).await;
    }
    for id in ["d0", "d1"] {
        let mut announcement = endpoint("desk", id, answering().await, 4).announcement;
        announcement.started_ms = 5;
        fleet.leader().answer(Call::Announce(announcement)).await;
    }
    for node in ["a", "b"] {
        let mut member = connect_member(fleet.links, node, false).await;
        for (id, started_ms) in [("e0", 0), ("d0", 4), ("x", 0)] {
            report(&mut member, id, started_ms).await;
        }
    }
    pause(100).await;
    assert_eq!(fleet.leader().unreachable_count(), 0);
}

/// Guards against effects of the setting while it is off, at the leader or at a follower.
#[actix_rt::test]
async fn nothing_is_shared_when_it_is_off() {
    let fleet = Fleet::start().await;
    configure(&fleet, config_with_desk(2)).await;
    announce(&fleet, "d0", answering().await).await;
    announce(&fleet, "d1", answering().await).await;
    report_by_two(&fleet, "d0").await;
    pause(100).await;
    assert_eq!(fleet.leader().unreachable_count(), 0);
    let mut member = connect_member(fleet.links, "c", false).await;
    assert_eq!(received_set(&mut member).await, None);

    let fleet = fleet_with_desks("127.0.0.1:9".parse().unwrap()).await;
    for node in ["a", "b"] {
        Follower::start_with(&fleet, node, false).await.count_slow().await;
    }
    assert_eq!(fleet.leader().unreachable_count(), 0);
}
