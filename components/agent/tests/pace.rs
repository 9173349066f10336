//! When a reader of load reports gets the next one.

use chicoryford_agent::pace::APART_MS;
use chicoryford_agent::pace::AT_LEAST_MS;
use chicoryford_agent::pace::Pace;
use chicoryford_types::LoadReport;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Version;

fn report(running: u32, version: u64) -> LoadReport {
    let versions = [(Model::from("route-model"), Version(version))].into_iter().collect();
    LoadReport { running, versions, ..LoadReport::default() }
}

fn begun() -> Pace {
    let mut pace = Pace::default();
    pace.gather(Millis(0), &report(1, 1));
    pace.give(Millis(0), &report(1, 1));
    pace
}

#[test]
fn can_start_at_once_and_then_keep_apart() {
    let mut pace = Pace::default();
    assert_eq!(pace.due(), Millis(0));
    pace.give(Millis(10), &report(1, 1));
    assert_eq!(pace.due(), Millis(10 + AT_LEAST_MS));
    pace.gather(Millis(20), &report(1, 1));
    assert_eq!(pace.due(), Millis(10 + AT_LEAST_MS));
    pace.gather(Millis(30), &report(2, 1));
    assert_eq!(pace.due(), Millis(10 + APART_MS));
}

#[test]
fn a_change_of_versions_goes_out_at_once() {
    // Symptom: after a swap an entry sends samples to a sampler that serves an older version
    // than the entry believes, or spares one that has the new one already.
    // Sequence: the version changes just after a report was sent.
    // Cause: the report that tells it waits for its turn.
    let mut pace = begun();
    pace.gather(Millis(500), &report(1, 2));
    assert_eq!(pace.due(), Millis(500));
}

#[test]
fn cache_events_between_two_reports_are_not_lost() {
    // Symptom: an entry never learns of most prefixes that an engine holds.
    // Sequence: the watch sees events at each look; a reader gets only some of the reports.
    // Cause: the events of the reports in between are dropped with them.
    let mut pace = begun();
    for (now, cached, evicted) in [(500, vec![1, 2], vec![]), (1_000, vec![3], vec![2, 9])] {
        pace.gather(Millis(now), &LoadReport { cached, evicted, ..report(1, 1) });
    }
    let given = pace.give(Millis(APART_MS), &report(1, 1));
    assert_eq!(given.cached, [1, 3]);
    assert_eq!(given.evicted, [2, 9]);
    assert!(pace.give(Millis(2 * APART_MS), &report(1, 1)).cached.is_empty());
}
