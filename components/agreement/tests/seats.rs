//! Tests of the rules of membership.

use chicoryford_agreement::Membership;
use chicoryford_agreement::PeerStatus;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::ReplicaInfo;
use chicoryford_agreement::Role;
use chicoryford_agreement::Status;
use chicoryford_agreement::seats;
use chicoryford_agreement::seats::Departure;
use chicoryford_agreement::seats::DrainStep;
use chicoryford_types::Incarnation;

fn id(name: &str) -> ReplicaId {
    ReplicaId::new(name, Incarnation(1))
}

/// Returns the status of voter `a` of several.
fn status(voters: usize, role: Role) -> Status {
    let info = ReplicaInfo { voter: true, ..ReplicaInfo::default() };
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    let replicas = names[..voters].iter().map(|name| (id(name), info.clone())).collect();
    let leader = Some(id(if role == Role::Leader { "a" } else { "b" }));
    Status { id: id("a"), role, leader, members: Membership { replicas }, ..Status::default() }
}

/// Guards against a stopping process that leads, refuses its own request to resign until its time is
/// up, and leaves its seat behind.
#[test]
fn a_leader_that_stops_removes_itself_if_its_seat_is_surplus() {
    assert_eq!(seats::drain_step(&status(4, Role::Leader), 1), DrainStep::RemoveSelf);
    assert_eq!(seats::drain_step(&status(3, Role::Leader), 1), DrainStep::HandOver);
}

/// Guards against a seat that is left behind beside another one: after two of five voters were
/// replaced, the loss of one more left two of five.
#[test]
fn more_voters_than_the_losses_need_are_surplus() {
    let departure =
        |voters, tolerated| seats::departure(&status(voters, Role::Leader), &id("b"), tolerated);
    let removed: Vec<usize> = (1..=7).filter(|n| departure(*n, 1) == Departure::Remove).collect();
    assert_eq!(removed, [4, 5, 6, 7]);
    let removed: Vec<usize> = (1..=7).filter(|n| departure(*n, 2) == Departure::Remove).collect();
    assert_eq!(removed, [4, 6, 7]);
    assert_eq!(departure(3, 0), Departure::Keep);
}

/// Guards against the seat of a process that was killed, not stopped, beside another one.
#[test]
fn a_silent_voter_is_removed_if_more_are_left_than_the_losses_need() {
    let silent = |voters| Status {
        peers: vec![PeerStatus { id: id("b"), silent_ms: 2_000, ..PeerStatus::default() }],
        ..status(voters, Role::Leader)
    };
    assert_eq!(seats::member_to_remove(&silent(5), 1), Some(id("b")));
    assert_eq!(seats::member_to_remove(&silent(5), 2), None);
    assert_eq!(seats::member_to_remove(&silent(3), 1), None);
}

/// Guards against a process that ends when its removal is on its way, and may still be undone: the
/// next leader, without that entry, would count its seat.
#[test]
fn a_removed_replica_stops_once_its_removal_is_committed() {
    let mut status = status(4, Role::Leader);
    status.members.replicas.remove(&id("b"));
    status.changing = true;
    assert_eq!(seats::departure(&status, &id("b"), 1), Departure::Wait);
    status.changing = false;
    assert_eq!(seats::departure(&status, &id("b"), 1), Departure::Gone);
}

/// Guards against a process that ends just before its successor becomes a voter, and leaves four
/// voters of which one is gone.
#[test]
fn a_replica_whose_successor_is_joining_waits_for_it() {
    let mut status = status(3, Role::Leader);
    status.members.replicas.insert(id("d"), ReplicaInfo::default());
    status.peers = vec![PeerStatus { id: id("d"), ..PeerStatus::default() }];
    assert_eq!(seats::departure(&status, &id("b"), 1), Departure::Wait);
    assert_eq!(seats::drain_step(&status, 1), DrainStep::AwaitChange);
    status.peers[0].silent_ms = 2_000;
    assert_eq!(seats::departure(&status, &id("b"), 1), Departure::Keep);
    status.peers[0].silent_ms = 0;
    let replaces = Some(id("c"));
    status.members.replicas.insert(id("d"), ReplicaInfo { replaces, ..ReplicaInfo::default() });
    assert_eq!(seats::departure(&status, &id("b"), 1), Departure::Keep);
}

/// Guards against a process whose log is out of date, and which ends with a seat that it takes for
/// needed.
#[test]
fn a_follower_that_stops_asks_the_leader_in_any_case() {
    let surplus = |voters| seats::drain_step(&status(voters, Role::Follower), 1);
    assert_eq!(surplus(3), DrainStep::AskLeader { surplus: false });
    assert_eq!(surplus(4), DrainStep::AskLeader { surplus: true });
    let removed = Status { id: id("x"), changing: true, ..status(3, Role::Follower) };
    assert_eq!(seats::drain_step(&removed, 1), DrainStep::AskLeader { surplus: true });
}

/// Guards against configuration that is accepted by one control process alone: the other of two
/// voters gave up its seat.
#[test]
fn of_two_voters_none_gives_up_its_seat() {
    let both = status(2, Role::Leader);
    assert_eq!(seats::departure(&both, &id("b"), 1), Departure::Keep);
    assert_eq!(seats::drain_step(&both, 1), DrainStep::HandOver);
}
