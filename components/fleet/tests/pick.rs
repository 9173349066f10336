//! Tests of the choice of an endpoint for an attempt.

use std::collections::BTreeMap;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::pick::AttemptOutcome;
use chicoryford_fleet::pick::PickError;
use chicoryford_fleet::pick::Picker;
use chicoryford_types::Millis;

fn endpoint(id: &str, sequence: u64) -> Endpoint {
    let announcement = Announcement {
        id: id.to_owned(),
        started_ms: 0,
        service: "desk".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "z".to_owned(),
        slots: 4,
        draining: false,
        models: BTreeMap::new(),
        sequence,
    };
    Endpoint { announcement, status: EndpointStatus::Ready }
}

fn picker(ids: &[&str]) -> Picker {
    let mut picker = Picker::new(7);
    ids.iter().for_each(|id| picker.observe(&endpoint(id, 1)));
    picker
}

fn pick(picker: &mut Picker, now: u64) -> String {
    picker.pick("desk", "route", |_| true, Millis(now)).unwrap().id
}

#[test]
fn attempts_are_spread_over_endpoints() {
    let mut picker = picker(&["a", "b", "c"]);
    let mut chosen: Vec<String> = (0..3).map(|_| pick(&mut picker, 0)).collect();
    chosen.sort();
    assert_eq!(chosen, ["a", "b", "c"]);
}

/// One of three endpoints becomes four times slower for some seconds, while the deadline of a
/// request is only a few times its usual duration.
#[test]
fn a_slow_endpoint_gets_few_attempts_until_its_slowness_decays() {
    let mut picker = picker(&["a", "b", "c"]);
    let mut now = 0;
    let mut slow = 0;
    for _ in 0..300 {
        now += 10;
        let id = pick(&mut picker, now);
        slow += u32::from(id == "a");
        picker.record_outcome(
            &id,
            "route",
            AttemptOutcome::Answered(if id == "a" { 100 } else { 25 }),
            Millis(now),
        );
    }
    assert!(slow < 30, "{slow}");
    let later: Vec<String> = (0..30)
        .map(|n| {
            let at = now + 20_000 + n;
            let id = pick(&mut picker, at);
            picker.record_outcome(&id, "route", AttemptOutcome::Answered(25), Millis(at));
            id
        })
        .collect();
    assert!(later.contains(&"a".to_owned()), "it is tried again");
}

/// Guards against a broken endpoint that gets most requests and fails them: as it fails every
/// attempt immediately, it always has the lowest load.
#[test]
fn a_failing_endpoint_is_avoided_for_a_while() {
    let mut picker = picker(&["a", "b"]);
    let mut failed = 0;
    for n in 0..100 {
        let id = pick(&mut picker, n * 10);
        let outcome = if id == "a" { AttemptOutcome::Failed } else { AttemptOutcome::Answered(25) };
        failed += u32::from(id == "a");
        picker.record_outcome(&id, "route", outcome, Millis(n * 10));
    }
    assert!(failed <= 5, "{failed}");
}

#[test]
fn a_failing_endpoint_is_better_than_none() {
    let mut picker = picker(&["a"]);
    let id = pick(&mut picker, 0);
    picker.record_outcome(&id, "route", AttemptOutcome::Failed, Millis(0));
    assert_eq!(pick(&mut picker, 1), "a");
    assert_eq!(picker.pick("desk", "route", |id| id != "a", Millis(1)), Err(PickError::AllTried));
    assert_eq!(picker.pick("none", "route", |_| true, Millis(1)), Err(PickError::NoneReady));
}

#[test]
fn a_moved_endpoint_is_not_used_until_its_next_announcement() {
    let mut picker = picker(&["a"]);
    let id = pick(&mut picker, 0);
    picker.record_outcome(&id, "route", AttemptOutcome::Moved, Millis(0));
    assert_eq!(picker.pick("desk", "route", |_| true, Millis(1)), Err(PickError::NoneReady));
    picker.observe(&endpoint("a", 2));
    assert_eq!(pick(&mut picker, 2), "a");
}

#[test]
fn a_draining_endpoint_gets_no_attempts() {
    let mut picker = picker(&["a"]);
    picker.observe(&Endpoint { status: EndpointStatus::Draining, ..endpoint("a", 2) });
    assert_eq!(picker.pick("desk", "route", |_| true, Millis(1)), Err(PickError::NoneReady));
    assert!(!picker.is_ready("a"));
}

/// Guards against a restarted endpoint that stays idle: it fails some attempts while it crashes, or
/// another endpoint answers at its address, and measurements from before the restart were applied
/// to the restarted endpoint with the same id.
#[test]
fn a_restart_under_the_same_id_resets_the_measurements() {
    let mut picker = picker(&["a"]);
    assert_eq!(pick(&mut picker, 0), "a");
    picker.record_outcome("a", "route", AttemptOutcome::Moved, Millis(1));
    assert_eq!(picker.pick("desk", "route", |_| true, Millis(2)), Err(PickError::NoneReady));
    let mut again = endpoint("a", 1);
    again.announcement.started_ms = 10;
    picker.observe(&again);
    assert_eq!(pick(&mut picker, 3), "a");
}

/// Guards against measuring usual durations by service. One service has two routes whose answers
/// take 25 ms and 200 ms, and all its endpoints are equally fast. Second attempts of short requests
/// started too late, and endpoints were avoided because of the long requests that they had run.
#[test]
fn routes_of_one_service_have_separate_usual_durations() {
    let mut picker = picker(&["a", "b", "c"]);
    let mut counts = BTreeMap::new();
    for n in 0..300 {
        let (route, ms) = if n % 4 == 0 { ("long", 200) } else { ("quick", 25) };
        let id = picker.pick("desk", route, |_| true, Millis(n * 10)).unwrap().id;
        picker.record_outcome(&id, route, AttemptOutcome::Answered(ms), Millis(n * 10));
        *counts.entry(id).or_insert(0) += 1;
    }
    assert_eq!(picker.median_ms("quick"), Some(25.0));
    assert_eq!(picker.median_ms("long"), Some(200.0));
    assert_eq!(picker.median_ms("other"), None);
    assert!(counts.values().all(|count| (80..=120).contains(count)), "{counts:?}");
}

/// An endpoint that is slow on one route is slow on the others too.
#[test]
fn slowness_of_an_endpoint_applies_to_all_routes() {
    let mut picker = picker(&["a", "b"]);
    for n in 0..40 {
        let id = picker.pick("desk", "quick", |_| true, Millis(n * 10)).unwrap().id;
        picker.record_outcome(
            &id,
            "quick",
            AttemptOutcome::Answered(if id == "a" { 150 } else { 25 }),
            Millis(n),
        );
    }
    assert_eq!(picker.pick("desk", "long", |_| true, Millis(410)).unwrap().id, "b");
}

#[test]
fn measurements_of_a_removed_route_are_dropped() {
    let mut picker = picker(&["a"]);
    picker.record_outcome("a", "route", AttemptOutcome::Answered(25), Millis(1));
    picker.retain_routes(|route| route != "route");
    assert_eq!(picker.median_ms("route"), None);
}

/// Guards against processes that handle the same request and send it to different endpoints.
#[test]
fn all_processes_prefer_the_same_endpoints_and_keep_them_when_one_is_removed() {
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    let (one, mut other) = (picker(&names), picker(&names));
    for request in 0..50 {
        let request = format!("r{request}");
        let preferred = one.preferred("desk", &request, 3, |_| true);
        assert_eq!(preferred.len(), 3);
        assert_eq!(other.preferred("desk", &request, 3, |_| true), preferred);
        let removed = preferred.first().unwrap();
        let remaining = one.preferred("desk", &request, 3, |id| id != removed);
        assert_eq!(remaining.intersection(&preferred).count(), 2, "{preferred:?} {remaining:?}");
    }
    other.forget("a");
    let without = other.preferred("desk", "r0", 7, |_| true);
    assert!(without.len() == 6 && !without.contains("a"));
}
