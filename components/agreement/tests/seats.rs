//! Tests of the rules of membership.

use chicoryford_agreement::Membership;
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
    assert_eq!(seats::drain_step(&status(4, Role::Leader)), DrainStep::RemoveSelf);
    assert_eq!(seats::drain_step(&status(3, Role::Leader)), DrainStep::HandOver);
}

/// Guards against configuration that is accepted by one control process alone: the other of two
/// voters gave up its seat.
#[test]
fn of_two_voters_none_gives_up_its_seat() {
    let both = status(2, Role::Leader);
    assert_eq!(seats::departure(&both, &id("b")), Departure::Keep);
    assert_eq!(seats::drain_step(&both), DrainStep::HandOver);
}
