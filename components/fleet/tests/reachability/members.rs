//! What members avoid, report and probe.

use chicoryford_fleet::pick::AttemptOutcome;
use chicoryford_fleet::pick::Picker;
use chicoryford_fleet::reachability::LocalReachability;
use chicoryford_fleet::reachability::Report;
use chicoryford_fleet::reachability::UnreachableSet;
use chicoryford_types::Millis;

use crate::fixture::desk;
use crate::fixture::member;
use crate::fixture::picker;
use crate::fixture::set;

/// Guards against a member that still avoids an endpoint which it has just reached itself.
#[test]
fn a_successful_probe_ends_the_state_at_the_member_and_is_reported() {
    let mut picker = picker(4, 1);
    picker.reachability().replace_set(&set(&["e1"]), Millis(0));
    let probe = picker.pick_probe("desk", "route", |_| true, Millis(1_000)).unwrap();
    assert_eq!(probe.id, "e1");
    let report = picker.reachability().record_success("e1", 1).unwrap();
    assert!(report.reached);
    assert!(!picker.reachability().is_unreachable("e1", 1, Millis(1_000)));
    assert!(picker.reachability().record_success("e1", 1).is_none(), "it is reported once");
}

/// Guards against processes that are not informed when the marks lapse, or when they reach a marked
/// endpoint themselves.
#[test]
fn marks_end_with_the_leader_or_a_connection() {
    let mut member = member(1);
    member.replace_set(&set(&["e1", "e2"]), Millis(10_000));
    member.record_success("e1", 1);
    assert!(member.marked(Millis(13_000)).unwrap().keys().eq(["e2"]));
    assert_eq!(member.marked(Millis(13_001)), None);
    member.record_leader(Millis(13_001));
    assert!(member.marked(Millis(16_001)).unwrap().keys().eq(["e2"]));
}

/// Guards against many broadcasts that make each process probe early, because each of them
/// draws a new time.
#[test]
fn broadcasts_do_not_hasten_probes() {
    let mut members: Vec<LocalReachability> = (0..400).map(member).collect();
    let set = UnreachableSet { probe_ms: 80_000, ..set(&["e1"]) };
    for now in (0..10_000).step_by(100) {
        members.iter_mut().for_each(|member| member.replace_set(&set, Millis(now)));
    }
    let due = members.iter().filter(|member| member.is_probe_due(Millis(9_999))).count();
    // 400 processes with an interval of 80 s make five probes per second.
    assert!((25..=100).contains(&due), "{due}");
    let set = UnreachableSet { probe_ms: 1_000, ..set };
    members.iter_mut().for_each(|member| member.replace_set(&set, Millis(10_000)));
    let due = members.iter().filter(|member| member.is_probe_due(Millis(11_000))).count();
    assert_eq!(due, 400, "a shorter interval applies at once");
}

/// Guards against failures that a new leader counts as if they had just happened.
#[test]
fn failures_of_more_than_a_second_ago_are_not_repeated_to_a_new_leader() {
    let mut member = member(1);
    member.record_failure("e0", 1, Millis(0));
    assert!(member.reports_for_new_leader(Millis(1_001)).is_empty());
}

/// Guards against a process that probes more often than once a second, in a fleet of any size.
#[test]
fn a_process_probes_at_most_once_a_second() {
    let mut picker = picker(4, 1);
    let mut probes = Vec::new();
    for now in 0..10_000 {
        if now % 100 == 0 {
            // The set changes all the time.
            let ids: &[&str] = if now % 200 == 0 { &["e1", "e2"] } else { &["e1"] };
            picker.reachability().replace_set(&set(ids), Millis(now));
        }
        if let Some(target) = picker.pick_probe("desk", "route", |_| true, Millis(now)) {
            picker.record_outcome(&target.id, "route", AttemptOutcome::Failed, Millis(now));
            probes.push(now);
        }
    }
    assert!(probes.len() >= 5, "{probes:?}");
    assert!(probes.windows(2).all(|two| two[1] - two[0] >= 1_000), "{probes:?}");
}

/// Guards against a new leader that must wait until callers find out again, and against reports of
/// endpoints that have been reached or were last tried long ago.
#[test]
fn a_member_repeats_its_recent_reports_to_a_new_leader() {
    let mut member = member(1);
    member.record_failure("e0", 1, Millis(0));
    member.record_failure("e1", 1, Millis(1_500));
    member.record_failure("e2", 1, Millis(1_500));
    assert!(member.record_success("e2", 1).is_some(), "it is reported, as the failure was");
    let repeated = member.reports_for_new_leader(Millis(2_500));
    assert_eq!(repeated, [Report { endpoint: "e1".to_owned(), started_ms: 1, reached: false }]);
}

/// Guards against a member that is cut off from the leader and avoids endpoints which have been
/// reachable for a long time.
#[test]
fn a_member_drops_the_set_three_seconds_after_the_leaders_last_message() {
    let mut picker = picker(4, 1);
    picker.reachability().replace_set(&set(&["e1"]), Millis(0));
    picker.reachability().record_leader(Millis(2_000));
    assert!(picker.reachability().is_unreachable("e1", 1, Millis(5_000)));
    assert!(!picker.reachability().is_unreachable("e1", 1, Millis(5_001)));
    assert!(picker.pick_probe("desk", "route", |_| true, Millis(5_001)).is_none());
    let report = picker.reachability().record_failure("e1", 1, Millis(5_001));
    assert!(report.is_some(), "it reports what it finds out again");
}

/// Guards against effects of the setting while it is off.
#[test]
fn nothing_is_avoided_reported_or_probed_when_it_is_off() {
    let mut picker = Picker::new(1);
    desk(4).iter().for_each(|endpoint| picker.observe(endpoint));
    picker.reachability().replace_set(&set(&["e1"]), Millis(0));
    assert!(!picker.reachability().is_unreachable("e1", 1, Millis(0)));
    assert!(picker.pick_probe("desk", "route", |_| true, Millis(2_000)).is_none());
    assert!(picker.reachability().record_failure("e1", 1, Millis(0)).is_none());
}
