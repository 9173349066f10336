//! Usage is counted once, and a window that is closed says the same for ever.

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

fn life(node: &str, number: u64) -> EntryProcess {
    EntryProcess { node: node.to_owned(), number }
}

/// A book whose first window is the tenth.
fn book() -> UsageState {
    let mut book = UsageState::default();
    assert!(book.close(9, None));
    book
}

fn counts(pairs: &[(&str, u64)]) -> Counts {
    pairs.iter().map(|(workspace, count)| ((*workspace).to_owned(), *count)).collect()
}

/// Counts a request that came and began in a window.
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

/// Symptom: a workspace is reported with twice its requests.
/// Sequence: an entry tells the leader what it counted; the connection breaks, and it tells the next
/// leader all of it again, while words of before are still on their way.
/// Cause: what was told were numbers to be added.
/// Proof: totals that are told twice, late or in another order count once.
#[test]
fn totals_that_are_told_again_count_once() {
    let (mut meter, mut book) = (Meter::new(life("f", 1)), book());
    request(&mut meter, 10, "w");
    let first = meter.next_report(10).unwrap();
    request(&mut meter, 10, "w");
    let second = meter.next_report(10).unwrap();
    meter.resend_all();
    let again = meter.next_report(11).unwrap();
    for told in [&second, &first, &again, &first] {
        assert_eq!(book.merge(told.totals.clone()), 0);
    }
    assert!(book.close(10, None));
    assert_eq!(book.unreported(None), Some((10, &counts(&[("w", 2)]))));
}

#[test]
fn a_process_that_starts_again_counts_beside_its_life_before() {
    let mut book = book();
    for number in [1, 2] {
        let mut meter = Meter::new(life("f", number));
        request(&mut meter, 10, "w");
        book.merge(meter.next_report(10).unwrap().totals);
    }
    book.close(10, None);
    assert_eq!(book.unreported(None), Some((10, &counts(&[("w", 2)]))));
}

/// Symptom: the platform gets two reports of one window that differ.
/// Sequence: a window is closed and reported, the answer is lost; an entry that was cut off tells what
/// it counted then; the next leader reports the window again.
/// Cause: what was told late changed a window that had been reported.
#[test]
fn what_is_told_after_the_end_changes_nothing() {
    let mut book = book();
    book.close(10, None);
    let late = Totals { process: life("f", 1), window: 10, counts: counts(&[("w", 3)]) };
    assert_eq!(book.merge(vec![late]), 3, "it is said how much was left out");
    book.close(11, None);
    assert_eq!(book.unreported(None), Some((10, &Counts::new())));
}

#[test]
fn windows_without_requests_are_reported_too_and_forgotten_once_accepted() {
    let mut book = book();
    assert!(book.close(12, None), "it closes those before as well");
    assert!(!book.close(11, None));
    assert_eq!(book.unreported(None).unwrap().0, 10);
    assert_eq!(book.unreported(Some(10)).unwrap().0, 11);
    book.close(13, Some(12));
    assert_eq!(book.unreported(None).unwrap().0, 13);
    assert_eq!(book.next(), Some(14));
}

/// Symptom: a request that came at the end of a window is in no report.
/// Sequence: it began to run before the end; the entry said that it had told all; the window was closed
/// while the request still ran.
/// Cause: whether and when a request began to run is known only when it has ended.
#[test]
fn a_window_is_not_complete_while_requests_that_came_in_it_run() {
    let mut meter = Meter::new(life("f", 1));
    meter.begin_request(10);
    assert_eq!(meter.next_report(11).map(|told| told.complete_before), Some(10));
    assert_eq!(meter.next_report(11), None, "nothing new is to be told");
    meter.end_request(10, "w", Some(10));
    let told = meter.next_report(11).unwrap();
    assert_eq!((told.complete_before, told.totals[0].window), (11, 10));
    // One that did not begin to run is counted for nobody.
    meter.begin_request(11);
    meter.end_request(11, "w", None);
    assert!(meter.next_report(12).unwrap().totals.is_empty());
}

fn told(node: &str, number: u64, before: u64) -> UsageReport {
    UsageReport { process: life(node, number), complete_before: before, totals: Vec::new() }
}

#[test]
fn a_window_is_closed_once_all_entries_have_told_of_it() {
    let mut lives = ReportTracker::new(Millis(0), [life("g", 1)].into_iter());
    let now = Millis(60_000);
    lives.record(&told("f", 1, 11));
    assert!(!lives.may_close(10, 2_000, now), "one that the log knows has not told");
    lives.record(&told("g", 1, 11));
    assert!(!lives.may_close(10, 300, now), "words may be on their way");
    assert!(lives.may_close(10, 600, now));
    lives.record(&told("f", 2, 11));
    lives.record(&told("g", 1, 12));
    assert!(!lives.may_close(11, 2_000, now), "the new life of one has not told");
}

/// Symptom: reports of all windows come seconds later once an entry is lost for good.
/// Cause: each window waited for it.
#[test]
fn an_entry_that_is_lost_is_waited_for_once() {
    let mut lives = ReportTracker::new(Millis(0), [life("gone", 1)].into_iter());
    let now = Millis(60_000);
    lives.record(&told("f", 1, 11));
    assert!(!lives.may_close(10, 5_999, now));
    assert!(lives.may_close(10, 6_000, now));
    lives.record(&told("f", 1, 12));
    assert!(lives.may_close(11, 600, now));
}

#[test]
fn a_new_leader_waits_until_entries_have_found_it() {
    let mut lives = ReportTracker::new(Millis(60_000), std::iter::empty());
    assert!(!lives.may_close(10, 600, Millis(61_999)));
    assert!(!lives.may_close(10, 9_000, Millis(61_999)));
    assert!(lives.may_close(10, 600, Millis(62_000)));
}

/// The load: 88 workspaces at 27 entries, which are killed, lose their leader and tell again in any
/// order. Each window that is closed holds what entries had told of it before, each request once, and
/// the closing never changes.
#[test]
fn whatever_is_lost_and_repeated_no_request_counts_twice() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut book = book();
        let mut meters: Vec<Meter> = (0..27).map(|n| Meter::new(life(&n.to_string(), 0))).collect();
        let mut counted: BTreeMap<u64, Counts> = BTreeMap::new();
        let mut under_way: Vec<UsageReport> = Vec::new();
        for window in 10..16 {
            for _ in 0..200 {
                let entry = rng.random_range(0..meters.len());
                let workspace = format!("w{}", rng.random_range(0..88));
                request(&mut meters[entry], window, &workspace);
                *counted.entry(window).or_default().entry(workspace).or_default() += 1;
                match rng.random_range(0..40) {
                    0 => under_way.extend(meters[entry].next_report(window)),
                    1 => meters.iter_mut().for_each(Meter::resend_all),
                    2 if !under_way.is_empty() => {
                        let late = under_way.swap_remove(rng.random_range(0..under_way.len()));
                        book.merge(late.totals);
                    }
                    _ => {}
                }
            }
            for meter in &mut meters {
                under_way.extend(meter.next_report(window + 1));
            }
            for told in under_way.iter().rev() {
                book.merge(told.totals.clone());
            }
            book.close(window, None);
            let closed = book.unreported(Some(window - 1)).map(|(_, counts)| counts.clone());
            assert_eq!(closed.as_ref(), counted.get(&window), "seed {seed}, window {window}");
        }
    }
}
