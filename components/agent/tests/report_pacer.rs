//! When the next load report is sent to a reader.

use chicoryford_agent::report_pacer::MAX_REPORT_INTERVAL_MS;
use chicoryford_agent::report_pacer::MIN_REPORT_INTERVAL_MS;
use chicoryford_agent::report_pacer::ReportPacer;
use chicoryford_types::LoadReport;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Version;

fn report(running: u32, version: u64) -> LoadReport {
    let versions = [(Model::from("route-model"), Version(version))].into_iter().collect();
    LoadReport { running, versions, ..LoadReport::default() }
}

fn pacer_after_first_report() -> ReportPacer {
    let mut pacer = ReportPacer::default();
    pacer.record(Millis(0), &report(1, 1));
    pacer.take_report(Millis(0), &report(1, 1));
    pacer
}

#[test]
fn the_first_report_is_due_at_once_and_later_ones_at_intervals() {
    let mut pacer = ReportPacer::default();
    assert_eq!(pacer.next_due(), Millis(0));
    pacer.take_report(Millis(10), &report(1, 1));
    assert_eq!(pacer.next_due(), Millis(10 + MAX_REPORT_INTERVAL_MS));
    pacer.record(Millis(20), &report(1, 1));
    assert_eq!(pacer.next_due(), Millis(10 + MAX_REPORT_INTERVAL_MS));
    pacer.record(Millis(30), &report(2, 1));
    assert_eq!(pacer.next_due(), Millis(10 + MIN_REPORT_INTERVAL_MS));
}

#[test]
fn a_change_of_versions_is_sent_at_once() {
    // Guards against an entry that, after a swap, sends samples to a sampler with an older version
    // than the entry assumes, or avoids one that already has the new version. This happens if the
    // version changes just after a report was sent and the next report waits for its interval.
    let mut pacer = pacer_after_first_report();
    pacer.record(Millis(500), &report(1, 2));
    assert_eq!(pacer.next_due(), Millis(500));
}

#[test]
fn cache_events_between_two_reports_are_not_lost() {
    // Guards against an entry that never learns of most of an engine's cached prefixes. The monitor
    // sees cache events at each check, but a reader is sent only some of the reports; the events of
    // the reports in between must not be dropped with them.
    let mut pacer = pacer_after_first_report();
    for (now, cached, evicted) in [(500, vec![1, 2], vec![]), (1_000, vec![3], vec![2, 9])] {
        pacer.record(Millis(now), &LoadReport { cached, evicted, ..report(1, 1) });
    }
    let sent = pacer.take_report(Millis(MIN_REPORT_INTERVAL_MS), &report(1, 1));
    assert_eq!(sent.cached, [1, 3]);
    assert_eq!(sent.evicted, [2, 9]);
    assert!(pacer.take_report(Millis(2 * MIN_REPORT_INTERVAL_MS), &report(1, 1)).cached.is_empty());
}
