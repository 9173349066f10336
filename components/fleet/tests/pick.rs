//! Which endpoint gets the next attempt of a plain request.

use std::collections::BTreeMap;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::Standing;
use chicoryford_fleet::pick::Ending;
use chicoryford_fleet::pick::Nowhere;
use chicoryford_fleet::pick::Picker;
use chicoryford_types::Millis;

fn endpoint(id: &str, sequence: u64) -> Endpoint {
    let said = Announcement {
        id: id.to_owned(),
        born: 0,
        service: "desk".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "z".to_owned(),
        slots: 4,
        draining: false,
        models: BTreeMap::new(),
        sequence,
    };
    Endpoint { said, standing: Standing::Ready }
}

fn picker(ids: &[&str]) -> Picker {
    let mut picker = Picker::new(7);
    ids.iter().for_each(|id| picker.observe(&endpoint(id, 1)));
    picker
}

fn pick(picker: &mut Picker, now: u64) -> String {
    picker.pick("desk", &[], Millis(now)).unwrap().id
}

#[test]
fn attempts_are_spread_over_endpoints() {
    let mut picker = picker(&["a", "b", "c"]);
    let mut chosen: Vec<String> = (0..3).map(|_| pick(&mut picker, 0)).collect();
    chosen.sort();
    assert_eq!(chosen, ["a", "b", "c"]);
}

/// The load: one endpoint of three turns four times slower for some seconds, while requests are
/// due within a few times the usual work.
#[test]
fn a_slow_endpoint_gets_little_work_until_it_is_forgotten() {
    let mut picker = picker(&["a", "b", "c"]);
    let mut now = 0;
    let mut slow = 0;
    for _ in 0..300 {
        now += 10;
        let id = pick(&mut picker, now);
        slow += u32::from(id == "a");
        picker.ended(&id, Ending::Answered(if id == "a" { 100 } else { 25 }), Millis(now));
    }
    assert!(slow < 30, "{slow}");
    let later: Vec<String> = (0..30)
        .map(|n| {
            let at = now + 20_000 + n;
            let id = pick(&mut picker, at);
            picker.ended(&id, Ending::Answered(25), Millis(at));
            id
        })
        .collect();
    assert!(later.contains(&"a".to_owned()), "it is tried again");
}

/// Symptom: one broken endpoint draws most of the requests and fails them.
/// Sequence: it fails each attempt at once, so it is always the least loaded.
/// Cause: failures were not held against it.
#[test]
fn an_endpoint_that_fails_is_left_alone_for_a_while() {
    let mut picker = picker(&["a", "b"]);
    let mut failed = 0;
    for n in 0..100 {
        let id = pick(&mut picker, n * 10);
        let ending = if id == "a" { Ending::Failed } else { Ending::Answered(25) };
        failed += u32::from(id == "a");
        picker.ended(&id, ending, Millis(n * 10));
    }
    assert!(failed <= 5, "{failed}");
}

#[test]
fn a_failing_endpoint_is_better_than_none() {
    let mut picker = picker(&["a"]);
    let id = pick(&mut picker, 0);
    picker.ended(&id, Ending::Failed, Millis(0));
    assert_eq!(pick(&mut picker, 1), "a");
    assert_eq!(picker.pick("desk", &["a".to_owned()], Millis(1)), Err(Nowhere::AllTried));
    assert_eq!(picker.pick("none", &[], Millis(1)), Err(Nowhere::NoneReady));
}

#[test]
fn an_endpoint_that_moved_is_not_used_until_it_is_heard_again() {
    let mut picker = picker(&["a"]);
    let id = pick(&mut picker, 0);
    picker.ended(&id, Ending::Moved, Millis(0));
    assert_eq!(picker.pick("desk", &[], Millis(1)), Err(Nowhere::NoneReady));
    picker.observe(&endpoint("a", 2));
    assert_eq!(pick(&mut picker, 2), "a");
}

#[test]
fn a_leaving_endpoint_gets_no_work() {
    let mut picker = picker(&["a"]);
    picker.observe(&Endpoint { standing: Standing::Draining, ..endpoint("a", 2) });
    assert_eq!(picker.pick("desk", &[], Millis(1)), Err(Nowhere::NoneReady));
    assert!(!picker.is_ready("a"));
}

/// Symptom: an endpoint that started again stays idle. Sequence: it fails a few times as it crashes, or
/// another endpoint answers at its address; it starts again under its identity. Cause: what was
/// measured of the start before was held against the next one.
#[test]
fn a_new_start_under_the_same_identity_is_a_new_endpoint() {
    let mut picker = picker(&["a"]);
    assert_eq!(pick(&mut picker, 0), "a");
    picker.ended("a", Ending::Moved, Millis(1));
    assert_eq!(picker.pick("desk", &[], Millis(2)), Err(Nowhere::NoneReady));
    let mut again = endpoint("a", 1);
    again.said.born = 10;
    picker.observe(&again);
    assert_eq!(pick(&mut picker, 3), "a");
}
