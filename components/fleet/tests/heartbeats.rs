//! Announcements that change nothing, answered by a control process that does not lead.

mod support;

use std::collections::BTreeMap;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Registry;
use chicoryford_fleet::endpoint::Settings;
use chicoryford_fleet::heartbeats::Heartbeat;
use chicoryford_fleet::heartbeats::HeartbeatBuffer;
use chicoryford_types::Millis;

/// An endpoint that says when it started.
fn announcement(id: &str, sequence: u64) -> Announcement {
    Announcement { started_ms: 7, ..support::announcement(id, sequence) }
}

fn known(standing: EndpointStatus) -> Endpoint {
    Endpoint { announcement: announcement("i", 3), status: standing }
}

/// The signs of one control process after a second of 3,000 endpoints that each say what is known:
/// the load of a fleet of 300 VMs, in which one leader heard 2,500 announcements a second.
#[test]
fn thousands_of_endpoints_that_say_nothing_new_are_one_word_to_the_leader() {
    let mut hearing = HeartbeatBuffer::default();
    for number in 0..3_000 {
        let id = format!("i-{number}");
        let known = Endpoint { announcement: announcement(&id, 3), status: EndpointStatus::Ready };
        assert!(hearing.record(Some(&known), &announcement(&id, 4), Millis(10)));
        assert!(hearing.record(Some(&known), &announcement(&id, 5), Millis(900)));
    }
    let signs = hearing.pending(Millis(1_000));
    assert_eq!(signs.len(), 3_000);
    assert!(signs.iter().all(|sign| sign.sequence == 5 && sign.age_ms == 100));
    hearing.clear();
    assert!(hearing.pending(Millis(1_000)).is_empty());
}

#[test]
fn what_changes_something_is_left_to_the_leader() {
    let mut hearing = HeartbeatBuffer::default();
    let ready = known(EndpointStatus::Ready);
    let other_version =
        Announcement { models: BTreeMap::from([("m".to_owned(), 2)]), ..announcement("i", 4) };
    let started_again = Announcement { started_ms: 8, ..announcement("i", 1) };
    let draining = Announcement { draining: true, ..announcement("i", 4) };
    for changed in [other_version, started_again, draining] {
        assert!(!hearing.record(Some(&ready), &changed, Millis(0)), "{changed:?}");
    }
    assert!(!hearing.record(None, &announcement("i", 4), Millis(0)));
    for standing in [EndpointStatus::Draining, EndpointStatus::Gone, EndpointStatus::Silent] {
        assert!(
            !hearing.record(Some(&known(standing)), &announcement("i", 4), Millis(0)),
            "{standing:?}"
        );
    }
    assert!(hearing.pending(Millis(0)).is_empty());
}

/// Symptom: an endpoint that crashed is given work for seconds more.
/// Sequence: its announcements lay on their way and arrive in another order, the oldest last.
/// Cause: each that came was taken for a sign of now.
#[test]
fn an_announcement_that_was_overtaken_is_no_fresh_sign() {
    let mut hearing = HeartbeatBuffer::default();
    hearing.record(Some(&known(EndpointStatus::Ready)), &announcement("i", 6), Millis(100));
    hearing.record(Some(&known(EndpointStatus::Ready)), &announcement("i", 5), Millis(4_000));
    let sign = Heartbeat { id: "i".to_owned(), started_ms: 7, sequence: 6, age_ms: 4_900 };
    assert_eq!(hearing.pending(Millis(5_000)), [sign]);
}

fn registry(now: Millis) -> Registry {
    let mut registry = Registry::default();
    registry.announce(announcement("i", 3), now);
    registry
}

fn sign(sequence: u64, age_ms: u64) -> Heartbeat {
    Heartbeat { id: "i".to_owned(), started_ms: 7, sequence, age_ms }
}

#[test]
fn an_endpoint_that_others_heard_is_not_silent() {
    let silent_ms = Settings::default().silent_ms;
    let mut registry = registry(Millis(0));
    assert!(registry.record_heartbeat(&sign(4, 500), Millis(silent_ms - 1)));
    assert!(registry.tick(Millis(silent_ms)).0.is_empty());
    assert_eq!(registry.tick(Millis(2 * silent_ms - 501)).0.len(), 1);
}

/// Symptom: endpoints that are gone look present, and get work that nobody does.
/// Sequence: a control process is cut off or frozen with what it has heard, and tells it when it is back.
/// Cause: what was told counted from when it was told. It counts from when it was heard.
#[test]
fn what_was_heard_long_ago_does_not_make_a_silent_endpoint_look_present() {
    let silent_ms = Settings::default().silent_ms;
    let mut registry = registry(Millis(0));
    assert!(registry.record_heartbeat(&sign(4, silent_ms), Millis(silent_ms)));
    assert_eq!(registry.tick(Millis(silent_ms)).0.len(), 1);
    assert!(!registry.record_heartbeat(&sign(5, 0), Millis(silent_ms)), "it was taken for silent");
    assert_eq!(registry.get("i").unwrap().status, EndpointStatus::Silent);
}

/// Symptom: an endpoint that has said that it leaves gets new work.
/// Sequence: a control process that does not know yet answers a late announcement and tells of it.
/// Cause: a sign counted as a word that the endpoint is ready.
#[test]
fn a_sign_does_not_bring_back_an_endpoint_that_leaves_or_started_again() {
    let mut registry = registry(Millis(0));
    assert!(!registry.record_heartbeat(&sign(3, 0), Millis(1)), "it was known");
    registry.announce(Announcement { draining: true, ..announcement("i", 4) }, Millis(2));
    assert!(!registry.record_heartbeat(&sign(5, 0), Millis(3)));
    assert_eq!(registry.get("i").unwrap().status, EndpointStatus::Draining);
    registry.leave("i", Millis(4));
    assert!(!registry.record_heartbeat(&sign(6, 0), Millis(5)));
    assert_eq!(registry.get("i").unwrap().status, EndpointStatus::Gone);
    registry.announce(Announcement { started_ms: 9, ..announcement("i", 1) }, Millis(6));
    assert!(!registry.record_heartbeat(&sign(7, 0), Millis(7)), "it is of the start before");
    assert_eq!(registry.get("i").unwrap().announcement.sequence, 1);
}
