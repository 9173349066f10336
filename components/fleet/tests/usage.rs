//! Tests that usage is counted once and that a closed window never changes.

use std::collections::BTreeMap;

use chicoryford_fleet::usage::Counts;
use chicoryford_fleet::usage::EntryProcess;
use chicoryford_fleet::usage::Meter;
use chicoryford_fleet::usage::ReportTracker;
use chicoryford_fleet::usage::Totals;
use chicoryford_fleet::usage::UsageReport;
use chicoryford_fleet::usage::UsageState;
use chicoryford_fleet::usage::Windows;
use chicoryford_types::Millis;
use chicoryford_types::Unix;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn process(node: &str, number: u64) -> EntryProcess {
    EntryProcess { node: node.to_owned(), number }
}

/// Returns a state whose first window is the tenth.
fn usage_state() -> UsageState {
    let mut usage_state = UsageState::default();
    assert!(usage_state.close(9, None));
    usage_state
}

fn counts(pairs: &[(&str, u64)]) -> Counts {
    pairs.iter().map(|(workspace, count)| ((*workspace).to_owned(), *count)).collect()
}

/// Counts a request that arrived and started in a window.
fn request(meter: &mut Meter, window: u64, workspace: &str) {
    meter.begin_request(window);
    meter.end_request(window, workspace, Some(window));
}

#[test]
fn windows_are_numbered_since_1970() {
    let windows = Windows { length_ms: 5_000 };
    assert_eq!(windows.at(Unix(1_767_225_600_000)), 353_445_120);
    assert_eq!(windows.since_end(0, Unix(4_999)), None);
    assert_eq!(windows.since_end(0, Unix(5_600)), Some(600));
}

/// Guards against reporting a workspace with twice its requests. An entry reported its counts, lost
/// its connection, and reported all of them again to the next leader while earlier reports were
/// still in transit. The reports contained increments, which were added up. Totals count once even
/// if they are reported twice, late or out of order.
#[test]
fn repeated_reports_count_once() {
    let (mut meter, mut usage_state) = (Meter::new(process("f", 1)), usage_state());
    request(&mut meter, 10, "w");
    let first = meter.next_report(10).unwrap();
    request(&mut meter, 10, "w");
    let second = meter.next_report(10).unwrap();
    meter.resend_all();
    let again = meter.next_report(11).unwrap();
    for report in [&second, &first, &again, &first] {
        assert_eq!(usage_state.merge(report.totals.clone()), 0);
    }
    assert!(usage_state.close(10, None));
    assert_eq!(usage_state.unreported(None), Some((10, &counts(&[("w", 2)]))));
}

#[test]
fn a_restarted_process_counts_in_addition_to_the_previous_one() {
    let mut usage_state = usage_state();
    for number in [1, 2] {
        let mut meter = Meter::new(process("f", number));
        request(&mut meter, 10, "w");
        usage_state.merge(meter.next_report(10).unwrap().totals);
    }
    usage_state.close(10, None);
    assert_eq!(usage_state.unreported(None), Some((10, &counts(&[("w", 2)]))));
}

/// Guards against two different reports of a window to the platform. A window was closed and
/// reported, but the answer was lost; an entry that had been disconnected then reported its counts
/// for the window, and the next leader reported the window again with them.
#[test]
fn reports_for_a_closed_window_are_dropped() {
    let mut usage_state = usage_state();
    usage_state.close(10, None);
    let late = Totals { process: process("f", 1), window: 10, counts: counts(&[("w", 3)]) };
    assert_eq!(usage_state.merge(vec![late]), 3, "the number of dropped requests is returned");
    usage_state.close(11, None);
    assert_eq!(usage_state.unreported(None), Some((10, &Counts::new())));
}

#[test]
fn windows_without_requests_are_reported_and_removed_once_accepted() {
    let mut usage_state = usage_state();
    assert!(usage_state.close(12, None), "windows before it are closed as well");
    assert!(!usage_state.close(11, None));
    assert_eq!(usage_state.unreported(None).unwrap().0, 10);
    assert_eq!(usage_state.unreported(Some(10)).unwrap().0, 11);
    usage_state.close(13, Some(12));
    assert_eq!(usage_state.unreported(None).unwrap().0, 13);
    assert_eq!(usage_state.next(), Some(14));
}

/// Guards against a request missing from all reports. It started to run before the end of a window,
/// the entry declared the window complete, and the window was closed while the request was still
/// running. Whether and when a request started to run is known only when it has ended.
#[test]
fn a_window_is_not_complete_while_requests_that_arrived_in_it_run() {
    let mut meter = Meter::new(process("f", 1));
    meter.begin_request(10);
    assert_eq!(meter.next_report(11).map(|report| report.complete_before), Some(10));
    assert_eq!(meter.next_report(11), None, "there is nothing new to report");
    meter.end_request(10, "w", Some(10));
    let report = meter.next_report(11).unwrap();
    assert_eq!((report.complete_before, report.totals[0].window), (11, 10));
    // A request that did not start to run is not counted.
    meter.begin_request(11);
    meter.end_request(11, "w", None);
    assert!(meter.next_report(12).unwrap().totals.is_empty());
}

fn report(node: &str, number: u64, complete_before: u64) -> UsageReport {
    UsageReport { process: process(node, number), complete_before, totals: Vec::new() }
}

#[test]
fn a_window_is_closed_once_all_entries_have_reported_it() {
    let mut tracker = ReportTracker::new(Millis(0), [process("g", 1)].into_iter());
    let now = Millis(60_000);
    tracker.record(&report("f", 1, 11));
    assert!(!tracker.may_close(10, 2_000, now), "a process in the log has not reported");
    tracker.record(&report("g", 1, 11));
    assert!(!tracker.may_close(10, 300, now), "reports may be in transit");
    assert!(tracker.may_close(10, 600, now));
    tracker.record(&report("f", 2, 11));
    tracker.record(&report("g", 1, 12));
    assert!(!tracker.may_close(11, 2_000, now), "a new process has not reported");
}

/// Guards against reports of all windows being seconds late after an entry is lost permanently,
/// because every window waited for it.
#[test]
fn a_lost_entry_delays_only_one_window() {
    let mut tracker = ReportTracker::new(Millis(0), [process("gone", 1)].into_iter());
    let now = Millis(60_000);
    tracker.record(&report("f", 1, 11));
    assert!(!tracker.may_close(10, 5_999, now));
    assert!(tracker.may_close(10, 6_000, now));
    tracker.record(&report("f", 1, 12));
    assert!(tracker.may_close(11, 600, now));
}

#[test]
fn a_new_leader_waits_until_entries_have_connected() {
    let mut tracker = ReportTracker::new(Millis(60_000), std::iter::empty());
    assert!(!tracker.may_close(10, 600, Millis(61_999)));
    assert!(!tracker.may_close(10, 9_000, Millis(61_999)));
    assert!(tracker.may_close(10, 600, Millis(62_000)));
}

/// 88 workspaces send requests to 27 entries, which are killed, lose their leader and report again
/// in any order. Each closed window contains everything that entries had reported for it, each
/// request once, and never changes.
#[test]
fn no_request_counts_twice_despite_losses_and_repeats() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut usage_state = usage_state();
        let mut meters: Vec<Meter> =
            (0..27).map(|n| Meter::new(process(&n.to_string(), 0))).collect();
        let mut counted: BTreeMap<u64, Counts> = BTreeMap::new();
        let mut in_transit: Vec<UsageReport> = Vec::new();
        for window in 10..16 {
            for _ in 0..200 {
                let entry = rng.random_range(0..meters.len());
                let workspace = format!("w{}", rng.random_range(0..88));
                request(&mut meters[entry], window, &workspace);
                *counted.entry(window).or_default().entry(workspace).or_default() += 1;
                match rng.random_range(0..40) {
                    0 => in_transit.extend(meters[entry].next_report(window)),
                    1 => meters.iter_mut().for_each(Meter::resend_all),
                    2 if !in_transit.is_empty() => {
                        let late = in_transit.swap_remove(rng.random_range(0..in_transit.len()));
                        usage_state.merge(late.totals);
                    }
                    _ => {}
                }
            }
            for meter in &mut meters {
                in_transit.extend(meter.next_report(window + 1));
            }
            for report in in_transit.iter().rev() {
                usage_state.merge(report.totals.clone());
            }
            usage_state.close(window, None);
            let closed = usage_state.unreported(Some(window - 1)).map(|(_, counts)| counts.clone());
            assert_eq!(closed.as_ref(), counted.get(&window), "seed {seed}, window {window}");
        }
    }
}
