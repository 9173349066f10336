//! What is believed of endpoints whose announcements come late, doubled and out of order.

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

fn standing(registry: &Registry, id: &str) -> Option<EndpointStatus> {
    registry.get(id).map(|endpoint| endpoint.status)
}

#[test]
fn an_announcement_is_spread_once() {
    let mut registry = Registry::default();
    assert_eq!(registry.announce(announcement("i", 1), Millis(0)), Effect::Changed);
    assert_eq!(registry.announce(announcement("i", 2), Millis(1)), Effect::Refreshed);
    let newer =
        Announcement { models: BTreeMap::from([("m".to_owned(), 2)]), ..announcement("i", 3) };
    assert_eq!(registry.announce(newer, Millis(2)), Effect::Changed);
}

/// Symptom: an endpoint that leaves gets new work.
/// Sequence: it says that it drains; an announcement that it sent before arrives after that one.
/// Cause: the last word that came was taken for the last that was said.
#[test]
fn a_late_word_does_not_undo_a_newer_one() {
    let mut registry = Registry::default();
    registry.announce(announcement("i", 1), Millis(0));
    assert_eq!(registry.announce(draining("i", 3), Millis(1)), Effect::Changed);
    assert_eq!(registry.announce(announcement("i", 2), Millis(2)), Effect::Stale);
    assert_eq!(registry.announce(announcement("i", 3), Millis(2)), Effect::Stale);
    assert_eq!(standing(&registry, "i"), Some(EndpointStatus::Draining));
    assert_eq!(registry.leave("i", Millis(3)), Effect::Changed);
    assert_eq!(registry.announce(announcement("i", 9), Millis(4)), Effect::Stale);
    assert_eq!(standing(&registry, "i"), Some(EndpointStatus::Gone));
}

/// Symptom: work goes to an endpoint of another service.
/// Sequence: an endpoint crashes, another takes over its address; a word of the first arrives.
/// Cause: endpoints were told apart by address; each start is an endpoint of its own.
#[test]
fn an_address_may_belong_to_another_endpoint() {
    let mut registry = Registry::default();
    registry.announce(announcement("old", 7), Millis(0));
    let other = Announcement { service: "b".to_owned(), ..announcement("new", 1) };
    registry.announce(other, Millis(1));
    registry.announce(announcement("old", 8), Millis(2));
    assert_eq!(registry.get("new").unwrap().announcement.service, "b");
    assert_eq!(registry.get("old").unwrap().announcement.service, "a");
}

#[test]
fn a_silent_endpoint_gets_no_work_until_it_is_heard_again() {
    let mut registry = Registry::default();
    registry.announce(announcement("i", 1), Millis(0));
    assert!(registry.tick(Millis(5_000)).0.is_empty());
    let (changed, _) = registry.tick(Millis(6_000));
    assert_eq!(changed[0].status, EndpointStatus::Silent);
    assert_eq!(registry.announce(announcement("i", 2), Millis(7_000)), Effect::Changed);
    assert_eq!(standing(&registry, "i"), Some(EndpointStatus::Ready));
    let (_, forgotten) = registry.tick(Millis(70_000));
    assert_eq!(forgotten, ["i"]);
}

#[test]
fn a_new_leader_counts_what_it_adopts_as_heard_now() {
    let mut registry = Registry::default();
    registry.announce(announcement("i", 5), Millis(0));
    let known: Vec<_> = registry.all().cloned().collect();
    let settings = chicoryford_fleet::endpoint::Settings::default();
    let mut adopted = Registry::from_known(settings, known.into_iter(), Millis(100_000));
    assert!(adopted.tick(Millis(103_000)).0.is_empty());
    assert_eq!(adopted.announce(announcement("i", 5), Millis(103_000)), Effect::Stale);
    assert_eq!(adopted.set_version("i", "m", 4), Effect::Changed);
    assert_eq!(adopted.set_version("i", "m", 4), Effect::Refreshed);
}

fn reborn(id: &str, born: u64, sequence: u64) -> Announcement {
    Announcement { started_ms: born, ..announcement(id, sequence) }
}

/// Symptom: an endpoint that is well gets no work for minutes.
/// Sequence: it crashes and starts again under its identity, and counts its words from one.
/// Cause: its words were taken for late ones of before, since their numbers were lower.
#[test]
fn an_endpoint_that_started_again_is_believed_from_its_first_word() {
    let mut registry = Registry::default();
    registry.announce(reborn("i", 100, 50), Millis(0));
    let again =
        Announcement { models: BTreeMap::from([("m".to_owned(), 2)]), ..reborn("i", 200, 1) };
    assert_eq!(registry.announce(again, Millis(1)), Effect::Changed);
    assert_eq!(registry.get("i").unwrap().announcement.models["m"], 2);
    assert_eq!(registry.announce(reborn("i", 200, 2), Millis(2)), Effect::Changed);
    assert_eq!(registry.announce(reborn("i", 100, 51), Millis(3)), Effect::Stale, "of before");
    assert_eq!(registry.get("i").unwrap().announcement.started_ms, 200);
}

/// A start ends what the endpoint said before: that it leaves, and that it is gone.
#[test]
fn an_endpoint_that_left_may_start_again_under_its_identity() {
    for leave in [true, false] {
        let mut registry = Registry::default();
        registry.announce(Announcement { draining: true, ..reborn("i", 100, 5) }, Millis(0));
        if leave {
            registry.leave("i", Millis(1));
        }
        assert_eq!(registry.announce(reborn("i", 100, 6), Millis(2)), Effect::Stale);
        assert_eq!(registry.announce(reborn("i", 200, 1), Millis(3)), Effect::Changed);
        assert_eq!(standing(&registry, "i"), Some(EndpointStatus::Ready));
    }
}

/// Symptom: an endpoint of a service is lost to it although it announces itself.
/// Sequence: somebody else announces the same identity for a service that nobody has configured.
/// Cause: the word was taken in before it was asked whether it names anything.
#[test]
fn a_word_for_an_unknown_service_changes_nothing() {
    let service = |name: &str| Service { name: name.to_owned(), ..Service::default() };
    let config = Config { services: vec![service("a")], ..Config::default() };
    let mut registry = Registry::default();
    registry.announce(announcement("i", 1), Millis(0));
    let foreign = Announcement { service: "x".to_owned(), ..announcement("i", 2) };

    assert!(registry.is_foreign(&foreign, Some(&config)));
    assert!(!registry.is_foreign(&foreign, None), "nothing is configured yet");
    assert!(!registry.is_foreign(&announcement("j", 1), Some(&config)));
    let without = Config::default();
    assert!(!registry.is_foreign(&draining("i", 2), Some(&without)), "its service was taken away");
    assert!(registry.is_foreign(&announcement("j", 1), Some(&without)));
}

/// The load: one of 3,000 endpoints leaves, and its word is acknowledged when the log has forgotten it.
/// What is written for it must not grow with the others.
#[test]
fn only_what_changed_of_the_endpoints_is_noted() {
    let mut registry = Registry::default();
    for number in 0..3_000 {
        registry.announce(announcement(&format!("i{number}"), 1), Millis(0));
    }
    let (live, gone) = registry.diff(&BTreeMap::new());
    assert_eq!((live.len(), gone.len()), (3_000, 0));
    let noted: BTreeMap<_, _> =
        live.into_iter().map(|endpoint| (endpoint.announcement.id.clone(), endpoint)).collect();
    registry.announce(announcement("i7", 2), Millis(1));
    assert_eq!(registry.diff(&noted), (Vec::new(), Vec::new()), "a number is no change");
    let newer =
        Announcement { models: BTreeMap::from([("m".to_owned(), 2)]), ..announcement("i7", 3) };
    registry.announce(newer, Millis(2));
    registry.announce(draining("i8", 2), Millis(2));
    let (live, gone) = registry.diff(&noted);
    assert_eq!(live.iter().map(|endpoint| &*endpoint.announcement.id).collect::<Vec<_>>(), ["i7"]);
    assert_eq!(gone, ["i8"]);
}

/// Symptom: an endpoint that has said that it is gone gets new work.
/// Sequence: it had just come when the leader changed, and the next one does not know it when it says
/// that it is gone; an announcement that it sent before arrives after that.
/// Cause: of an endpoint that was not known nothing was kept.
#[test]
fn an_endpoint_that_left_before_it_was_known_is_not_believed_to_be_there() {
    let mut registry = Registry::default();
    assert_eq!(registry.leave("i", Millis(0)), Effect::Stale);
    assert_eq!(registry.announce(announcement("i", 4), Millis(3_000)), Effect::Stale);
    assert_eq!(standing(&registry, "i"), None);
    registry.tick(Millis(20_000));
    assert_eq!(
        registry.announce(announcement("i", 1), Millis(20_000)),
        Effect::Changed,
        "a new start"
    );
}
