//! Tests of announcements that change nothing, which a control process answers without the leader.

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

/// Returns an announcement with a start time.
fn announcement(id: &str, sequence: u64) -> Announcement {
    Announcement { started_ms: 7, ..support::announcement(id, sequence) }
}

fn known(status: EndpointStatus) -> Endpoint {
    Endpoint { announcement: announcement("i", 3), status }
}

/// The heartbeats that a control process collects in a second from 3,000 endpoints with unchanged
/// announcements. A fleet of 300 VMs had this load, in which a single leader received 2,500
/// announcements a second.
#[test]
fn unchanged_announcements_of_thousands_of_endpoints_are_one_list_of_heartbeats() {
    let mut buffer = HeartbeatBuffer::default();
    for number in 0..3_000 {
        let id = format!("i-{number}");
        let known = Endpoint { announcement: announcement(&id, 3), status: EndpointStatus::Ready };
        assert!(buffer.record(Some(&known), &announcement(&id, 4), Millis(10)));
        assert!(buffer.record(Some(&known), &announcement(&id, 5), Millis(900)));
    }
    let heartbeats = buffer.pending(Millis(1_000));
    assert_eq!(heartbeats.len(), 3_000);
    assert!(heartbeats.iter().all(|heartbeat| heartbeat.sequence == 5 && heartbeat.age_ms == 100));
    buffer.clear();
    assert!(buffer.pending(Millis(1_000)).is_empty());
}

#[test]
fn announcements_with_changes_are_left_to_the_leader() {
    let mut buffer = HeartbeatBuffer::default();
    let ready = known(EndpointStatus::Ready);
    let other_version =
        Announcement { models: BTreeMap::from([("m".to_owned(), 2)]), ..announcement("i", 4) };
    let started_again = Announcement { started_ms: 8, ..announcement("i", 1) };
    let draining = Announcement { draining: true, ..announcement("i", 4) };
    for changed in [other_version, started_again, draining] {
        assert!(!buffer.record(Some(&ready), &changed, Millis(0)), "{changed:?}");
    }
    assert!(!buffer.record(None, &announcement("i", 4), Millis(0)));
    for status in [EndpointStatus::Draining, EndpointStatus::Gone, EndpointStatus::Silent] {
        assert!(
            !buffer.record(Some(&known(status)), &announcement("i", 4), Millis(0)),
            "{status:?}"
        );
    }
    assert!(buffer.pending(Millis(0)).is_empty());
}

/// Guards against assigning work to a crashed endpoint for some more seconds: its delayed
/// announcements arrived in another order, the oldest one last, and each was considered recent.
#[test]
fn an_announcement_that_arrives_after_a_newer_one_is_no_heartbeat() {
    let mut buffer = HeartbeatBuffer::default();
    buffer.record(Some(&known(EndpointStatus::Ready)), &announcement("i", 6), Millis(100));
    buffer.record(Some(&known(EndpointStatus::Ready)), &announcement("i", 5), Millis(4_000));
    let heartbeat = Heartbeat { id: "i".to_owned(), started_ms: 7, sequence: 6, age_ms: 4_900 };
    assert_eq!(buffer.pending(Millis(5_000)), [heartbeat]);
}

fn registry(now: Millis) -> Registry {
    let mut registry = Registry::default();
    registry.announce(announcement("i", 3), now);
    registry
}

fn heartbeat(sequence: u64, age_ms: u64) -> Heartbeat {
    Heartbeat { id: "i".to_owned(), started_ms: 7, sequence, age_ms }
}

#[test]
fn an_endpoint_with_heartbeats_is_not_silent() {
    let silent_ms = Settings::default().silent_ms;
    let mut registry = registry(Millis(0));
    assert!(registry.record_heartbeat(&heartbeat(4, 500), Millis(silent_ms - 1)));
    assert!(registry.tick(Millis(silent_ms)).0.is_empty());
    assert_eq!(registry.tick(Millis(2 * silent_ms - 501)).0.len(), 1);
}

/// Guards against endpoints that are gone but still count as ready. A disconnected or paused
/// control process sent its collected heartbeats when it was back, and they counted from when they
/// were sent instead of when the announcements had arrived.
#[test]
fn an_old_heartbeat_does_not_make_a_silent_endpoint_ready() {
    let silent_ms = Settings::default().silent_ms;
    let mut registry = registry(Millis(0));
    assert!(registry.record_heartbeat(&heartbeat(4, silent_ms), Millis(silent_ms)));
    assert_eq!(registry.tick(Millis(silent_ms)).0.len(), 1);
    assert!(!registry.record_heartbeat(&heartbeat(5, 0), Millis(silent_ms)), "it is silent");
    assert_eq!(registry.get("i").unwrap().status, EndpointStatus::Silent);
}

/// Guards against assigning work to a draining endpoint: a control process that did not know that
/// it was draining answered a late announcement and sent a heartbeat, which marked it as ready.
#[test]
fn a_heartbeat_does_not_change_the_status_of_an_endpoint() {
    let mut registry = registry(Millis(0));
    assert!(!registry.record_heartbeat(&heartbeat(3, 0), Millis(1)), "the announcement is known");
    registry.announce(Announcement { draining: true, ..announcement("i", 4) }, Millis(2));
    assert!(!registry.record_heartbeat(&heartbeat(5, 0), Millis(3)));
    assert_eq!(registry.get("i").unwrap().status, EndpointStatus::Draining);
    registry.leave("i", Millis(4));
    assert!(!registry.record_heartbeat(&heartbeat(6, 0), Millis(5)));
    assert_eq!(registry.get("i").unwrap().status, EndpointStatus::Gone);
    registry.announce(Announcement { started_ms: 9, ..announcement("i", 1) }, Millis(6));
    assert!(
        !registry.record_heartbeat(&heartbeat(7, 0), Millis(7)),
        "it is from before the restart"
    );
    assert_eq!(registry.get("i").unwrap().announcement.sequence, 1);
}
