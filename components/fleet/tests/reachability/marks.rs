//! Which endpoints the leader marks as unreachable, and for how long.

use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::reachability::LocalReachability;
use chicoryford_fleet::reachability::Reason;
use chicoryford_types::Millis;

use crate::fixture::Leader;
use crate::fixture::desk;
use crate::fixture::endpoint;
use crate::fixture::member;
use crate::fixture::picker;
use crate::fixture::registry;
use crate::simulation::TICK_MS;

/// Guards against a process without a network that takes all endpoints away from the others.
#[test]
fn an_entry_that_is_cut_off_alone_marks_nothing() {
    let mut leader = Leader::new(desk(10));
    for second in 0..20 {
        for id in 0..10 {
            leader.report("a", &format!("e{id}"), second * 1_000);
        }
        assert!(leader.marked(second * 1_000 + 1).is_empty());
    }
}

/// Guards against each process discovering an unreachable endpoint for itself.
#[test]
fn two_reporters_mark_an_endpoint_for_all() {
    let mut leader = Leader::new(desk(4));
    leader.report("a", "e1", 0);
    leader.report("b", "e1", 900);
    assert_eq!(leader.marked(900), ["e1"]);
    let mut picker = picker(4, 1);
    picker.reachability().replace_set(leader.tracker.published(), Millis(901));
    for _ in 0..40 {
        assert_ne!(picker.pick("desk", "route", |_| true, Millis(901)).unwrap().id, "e1");
    }
    let last = picker.pick("desk", "route", |id| id == "e1", Millis(901)).unwrap();
    assert_eq!(last.id, "e1", "it is used if no other one passes the filter");
}

/// Guards against marking an endpoint because of two unrelated failures, such as lost packets.
#[test]
fn two_reports_more_than_a_second_apart_mark_nothing() {
    let mut leader = Leader::new(desk(4));
    leader.report("a", "e1", 0);
    leader.report("b", "e1", 1_001);
    assert!(leader.marked(1_001).is_empty());
}

/// Guards against an endpoint that stays without work after it can be reached again, and against
/// one that is used again although probes still fail.
#[test]
fn a_mark_ends_two_seconds_after_the_last_report() {
    let mut leader = Leader::new(desk(4));
    leader.report_by_two("e1", 0);
    assert_eq!(leader.marked(0), ["e1"]);
    leader.report("a", "e1", 1_500);
    assert_eq!(leader.marked(3_499), ["e1"]);
    assert!(leader.marked(3_500).is_empty());
}

/// Guards against an endpoint that is avoided for seconds after somebody has reached it.
#[test]
fn a_mark_ends_at_once_when_a_process_reaches_the_endpoint() {
    let mut leader = Leader::new(desk(4));
    leader.report_by_two("e1", 0);
    assert_eq!(leader.marked(0), ["e1"]);
    let reached = leader.tracker.record_reachable("c", "e1", 1, Millis(150)).unwrap();
    assert_eq!((reached.reason, reached.reporters), (Reason::Reached, vec!["c".to_owned()]));
    assert!(leader.marked(150).is_empty());
}

/// Guards against avoiding a healthy endpoint for half of the time while some of the processes are
/// cut off from it.
#[test]
fn processes_that_are_cut_off_mark_nothing_that_others_reach() {
    let mut leader = Leader::new(desk(4));
    let mut marked_ms = 0;
    for now in (0..5_000).step_by(100) {
        if now % 1_000 == 0 {
            leader.report_by_two("e1", now);
        }
        if now % 1_000 == 500 {
            leader.tracker.record_reachable("c", "e1", 1, Millis(now));
        }
        marked_ms += if leader.marked(now).is_empty() { 0 } else { 100 };
    }
    assert!(marked_ms <= 500, "{marked_ms}");
}

/// Guards against taking most of a service away because of reporters that are cut off.
#[test]
fn never_more_than_half_of_a_service_is_marked() {
    let mut leader = Leader::new(desk(11));
    for id in 0..11 {
        leader.report_by_two(&format!("e{id}"), 0);
    }
    assert_eq!(leader.marked(0).len(), 5);
    // Four of the others stop, so that seven are ready.
    let mut endpoints = desk(11);
    endpoints[7..].iter_mut().for_each(|one| one.status = EndpointStatus::Gone);
    leader.registry = registry(&endpoints);
    assert_eq!(leader.marked(500).len(), 3);
}

/// Guards against a set that keeps the endpoint of another service unmarked or marked.
#[test]
fn the_limit_is_per_service() {
    let mut endpoints = desk(2);
    endpoints.extend([endpoint("x0", "label", 1), endpoint("x1", "label", 1)]);
    let mut leader = Leader::new(endpoints);
    for id in ["e0", "e1", "x0", "x1"] {
        leader.report_by_two(id, 0);
    }
    assert_eq!(leader.marked(0), ["e0", "x0"]);
}

/// Guards against avoiding an endpoint that has restarted under its id, and against marking it
/// because of reports about its previous start.
#[test]
fn a_newer_start_clears_the_state() {
    let mut leader = Leader::new(desk(4));
    leader.report_by_two("e1", 0);
    assert_eq!(leader.marked(0), ["e1"]);
    let mut picker = picker(4, 1);
    picker.reachability().replace_set(leader.tracker.published(), Millis(1));
    assert!(picker.reachability().is_unreachable("e1", 1, Millis(1)));
    assert!(!picker.reachability().is_unreachable("e1", 2, Millis(1)));

    let mut endpoints = desk(4);
    endpoints[1].announcement.started_ms = 2;
    leader.registry = registry(&endpoints);
    assert!(leader.marked(200).is_empty());
    // Both processes have not learned of the restart.
    leader.report_by_two("e1", 250);
    assert!(leader.marked(400).is_empty());
    // A connection that was established before the restart says nothing about the new start.
    let endpoint = leader.registry.get("e1").unwrap();
    leader.tracker.record_unreachable("a", endpoint, 2, Millis(500));
    leader.tracker.record_unreachable("b", endpoint, 2, Millis(500));
    assert_eq!(leader.marked(500), ["e1"]);
    assert!(leader.tracker.record_reachable("c", "e1", 1, Millis(510)).is_none());
    assert_eq!(leader.marked(700), ["e1"]);
}

/// Guards against processes whose reports do not count after they were cut off for a moment.
#[test]
fn reports_of_a_process_that_reaches_the_endpoint_again_count_again() {
    let mut leader = Leader::new(desk(4));
    leader.report("a", "e1", 0);
    leader.tracker.record_reachable("c", "e1", 1, Millis(100));
    leader.tracker.record_reachable("a", "e1", 1, Millis(200));
    leader.report_by_two("e1", 1_500);
    assert_eq!(leader.marked(1_500), ["e1"]);
}

/// Guards against a leader that counts all endpoints of the fleet 50 times a second while any of
/// them is reported.
#[test]
fn marks_are_limited_again_at_most_twice_a_second() {
    let mut leader = Leader::new(desk(11));
    for id in 0..5 {
        leader.report_by_two(&format!("e{id}"), 0);
    }
    assert_eq!(leader.marked(0).len(), 5);
    let mut endpoints = desk(11);
    endpoints[7..].iter_mut().for_each(|one| one.status = EndpointStatus::Gone);
    leader.registry = registry(&endpoints);
    assert_eq!(leader.marked(480).len(), 5);
    assert_eq!(leader.marked(500).len(), 3);
}

/// Guards against marks that lapse between two probes while few processes probe many endpoints, so
/// that requests find out again and again that they are unreachable.
#[test]
fn marks_of_many_endpoints_are_renewed_by_few_processes() {
    let (marked, until) = (20, 60_000);
    let mut leader = Leader::new(desk(2 * marked));
    let ids: Vec<String> = (0..marked).map(|number| format!("e{number}")).collect();
    let mut members: Vec<LocalReachability> = (0..4).map(member).collect();
    for id in &ids {
        leader.report("p0", id, 0);
        leader.report("p1", id, 0);
    }
    let mut lapsed = 0;
    for now in (0..until).step_by(TICK_MS as usize) {
        let transitions = leader.tracker.update(&leader.registry, members.len(), Millis(now));
        lapsed += transitions.iter().filter(|one| one.reason == Reason::Expired).count();
        if let Some(set) = leader.tracker.take_broadcast(members.len(), Millis(now)) {
            members.iter_mut().for_each(|member| member.replace_set(&set, Millis(now)));
        }
        for (number, member) in members.iter_mut().enumerate() {
            member.record_leader(Millis(now));
            if !member.is_probe_due(Millis(now)) {
                continue;
            }
            let known = ids.iter().filter(|id| member.is_unreachable(id, 1, Millis(now)));
            let known = known.map(String::as_str).collect();
            let Some(probed) = member.start_probe(known, Millis(now)) else { continue };
            if member.record_failure(&probed, 1, Millis(now)).is_some() {
                leader.report(&format!("p{number}"), &probed, now);
            }
        }
    }
    assert!(lapsed <= 2, "{lapsed} marks lapsed");
}
