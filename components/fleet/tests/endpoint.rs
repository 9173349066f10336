//! Tests of the registry with late, duplicate and reordered announcements.

mod support;

use std::collections::BTreeMap;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Config;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Registry;
use chicoryford_fleet::Service;
use chicoryford_fleet::endpoint::Effect;
use chicoryford_types::Millis;

use support::announcement;

fn draining(id: &str, sequence: u64) -> Announcement {
    Announcement { draining: true, ..announcement(id, sequence) }
}

fn status(registry: &Registry, id: &str) -> Option<EndpointStatus> {
    registry.get(id).map(|endpoint| endpoint.status)
}

#[test]
fn a_repeated_announcement_is_no_change() {
    let mut registry = Registry::default();
    assert_eq!(registry.announce(announcement("i", 1), Millis(0)), Effect::Changed);
    assert_eq!(registry.announce(announcement("i", 2), Millis(1)), Effect::Refreshed);
    let newer =
        Announcement { models: BTreeMap::from([("m".to_owned(), 2)]), ..announcement("i", 3) };
    assert_eq!(registry.announce(newer, Millis(2)), Effect::Changed);
}

/// Guards against assigning work to a draining endpoint: an announcement from before it started
/// draining arrived after the draining one, and the last to arrive was considered the newest.
#[test]
fn a_late_announcement_does_not_override_a_newer_one() {
    let mut registry = Registry::default();
    registry.announce(announcement("i", 1), Millis(0));
    assert_eq!(registry.announce(draining("i", 3), Millis(1)), Effect::Changed);
    assert_eq!(registry.announce(announcement("i", 2), Millis(2)), Effect::Stale);
    assert_eq!(registry.announce(announcement("i", 3), Millis(2)), Effect::Stale);
    assert_eq!(status(&registry, "i"), Some(EndpointStatus::Draining));
    assert_eq!(registry.leave("i", Millis(3)), Effect::Changed);
    assert_eq!(registry.announce(announcement("i", 9), Millis(4)), Effect::Stale);
    assert_eq!(status(&registry, "i"), Some(EndpointStatus::Gone));
}

/// Guards against sending work to an endpoint of another service. An endpoint crashed and another
/// one got its address; then a late announcement of the first one arrived. Endpoints were
/// identified by address.
#[test]
fn an_address_may_be_reused_by_another_endpoint() {
    let mut registry = Registry::default();
    registry.announce(announcement("old", 7), Millis(0));
    let other = Announcement { service: "b".to_owned(), ..announcement("new", 1) };
    registry.announce(other, Millis(1));
    registry.announce(announcement("old", 8), Millis(2));
    assert_eq!(registry.get("new").unwrap().announcement.service, "b");
    assert_eq!(registry.get("old").unwrap().announcement.service, "a");
}

#[test]
fn a_silent_endpoint_gets_no_work_until_its_next_announcement() {
    let mut registry = Registry::default();
    registry.announce(announcement("i", 1), Millis(0));
    assert!(registry.tick(Millis(5_000)).0.is_empty());
    let (changed, _) = registry.tick(Millis(6_000));
    assert_eq!(changed[0].status, EndpointStatus::Silent);
    assert_eq!(registry.announce(announcement("i", 2), Millis(7_000)), Effect::Changed);
    assert_eq!(status(&registry, "i"), Some(EndpointStatus::Ready));
    let (_, forgotten) = registry.tick(Millis(70_000));
    assert_eq!(forgotten, ["i"]);
}

#[test]
fn endpoints_taken_over_by_a_new_leader_count_as_announced_now() {
    let mut registry = Registry::default();
    registry.announce(announcement("i", 5), Millis(0));
    let known: Vec<_> = registry.all().cloned().collect();
    let settings = chicoryford_fleet::endpoint::Settings::default();
    let mut taken_over = Registry::from_known(settings, known.into_iter(), Millis(100_000));
    assert!(taken_over.tick(Millis(103_000)).0.is_empty());
    assert_eq!(taken_over.announce(announcement("i", 5), Millis(103_000)), Effect::Stale);
    assert_eq!(taken_over.set_version("i", "m", 4), Effect::Changed);
    assert_eq!(taken_over.set_version("i", "m", 4), Effect::Refreshed);
}

fn restarted(id: &str, started_ms: u64, sequence: u64) -> Announcement {
    Announcement { started_ms, ..announcement(id, sequence) }
}

/// Guards against a healthy endpoint without work for minutes. It crashed and restarted under its
/// id with sequence numbers from one, so its announcements were considered stale.
#[test]
fn announcements_of_a_restarted_endpoint_are_accepted_at_once() {
    let mut registry = Registry::default();
    registry.announce(restarted("i", 100, 50), Millis(0));
    let again =
        Announcement { models: BTreeMap::from([("m".to_owned(), 2)]), ..restarted("i", 200, 1) };
    assert_eq!(registry.announce(again, Millis(1)), Effect::Changed);
    assert_eq!(registry.get("i").unwrap().announcement.models["m"], 2);
    assert_eq!(registry.announce(restarted("i", 200, 2), Millis(2)), Effect::Changed);
    assert_eq!(
        registry.announce(restarted("i", 100, 51), Millis(3)),
        Effect::Stale,
        "from before the restart"
    );
    assert_eq!(registry.get("i").unwrap().announcement.started_ms, 200);
}

/// A restart supersedes earlier announcements that the endpoint is draining or gone.
#[test]
fn an_endpoint_that_left_may_restart_under_its_id() {
    for leave in [true, false] {
        let mut registry = Registry::default();
        registry.announce(Announcement { draining: true, ..restarted("i", 100, 5) }, Millis(0));
        if leave {
            registry.leave("i", Millis(1));
        }
        assert_eq!(registry.announce(restarted("i", 100, 6), Millis(2)), Effect::Stale);
        assert_eq!(registry.announce(restarted("i", 200, 1), Millis(3)), Effect::Changed);
        assert_eq!(status(&registry, "i"), Some(EndpointStatus::Ready));
    }
}

/// Guards against a service that loses an endpoint although it announces itself: another sender
/// announced the same id for a service that is not configured, and the announcement was recorded
/// before its service was checked.
#[test]
fn an_announcement_for_an_unknown_service_is_foreign() {
    let service = |name: &str| Service { name: name.to_owned(), ..Service::default() };
    let config = Config { services: vec![service("a")], ..Config::default() };
    let mut registry = Registry::default();
    registry.announce(announcement("i", 1), Millis(0));
    let foreign = Announcement { service: "x".to_owned(), ..announcement("i", 2) };

    assert!(registry.is_foreign(&foreign, Some(&config)));
    assert!(!registry.is_foreign(&foreign, None), "nothing is configured yet");
    assert!(!registry.is_foreign(&announcement("j", 1), Some(&config)));
    let without = Config::default();
    assert!(!registry.is_foreign(&draining("i", 2), Some(&without)), "its service was removed");
    assert!(registry.is_foreign(&announcement("j", 1), Some(&without)));
}

/// One of 3,000 endpoints stops, and its announcement is acknowledged once the log no longer
/// contains it. What is written for it must not grow with the number of endpoints.
#[test]
fn only_changed_endpoints_are_recorded() {
    let mut registry = Registry::default();
    for number in 0..3_000 {
        registry.announce(announcement(&format!("i{number}"), 1), Millis(0));
    }
    let (live, gone) = registry.diff(&BTreeMap::new());
    assert_eq!((live.len(), gone.len()), (3_000, 0));
    let recorded: BTreeMap<_, _> =
        live.into_iter().map(|endpoint| (endpoint.announcement.id.clone(), endpoint)).collect();
    registry.announce(announcement("i7", 2), Millis(1));
    assert_eq!(
        registry.diff(&recorded),
        (Vec::new(), Vec::new()),
        "a new sequence number is no change"
    );
    let newer =
        Announcement { models: BTreeMap::from([("m".to_owned(), 2)]), ..announcement("i7", 3) };
    registry.announce(newer, Millis(2));
    registry.announce(draining("i8", 2), Millis(2));
    let (live, gone) = registry.diff(&recorded);
    assert_eq!(live.iter().map(|endpoint| &*endpoint.announcement.id).collect::<Vec<_>>(), ["i7"]);
    assert_eq!(gone, ["i8"]);
}

/// Guards against assigning work to an endpoint that is gone. It had started just before a change
/// of leader, and the next leader did not know it when it announced that it is gone. A late
/// announcement arrived afterwards, and nothing had been recorded for the unknown endpoint.
#[test]
fn late_announcements_of_an_unknown_endpoint_that_left_are_ignored() {
    let mut registry = Registry::default();
    assert_eq!(registry.leave("i", Millis(0)), Effect::Stale);
    assert_eq!(registry.announce(announcement("i", 4), Millis(3_000)), Effect::Stale);
    assert_eq!(status(&registry, "i"), None);
    registry.tick(Millis(20_000));
    assert_eq!(
        registry.announce(announcement("i", 1), Millis(20_000)),
        Effect::Changed,
        "it may have restarted"
    );
}
