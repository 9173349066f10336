//! Contents that crash endpoints: who is refused, and who is not.

use std::collections::BTreeSet;

use chicoryford_fleet::crashes::Crash;
use chicoryford_fleet::crashes::CrashState;
use chicoryford_fleet::crashes::LocalCrashes;
use chicoryford_types::Fingerprint;

const BAD: Fingerprint = Fingerprint(1);
const GOOD: Fingerprint = Fingerprint(2);
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

fn crash(content: Fingerprint, endpoint: &str) -> Crash {
    Crash { content, endpoint: endpoint.to_owned() }
}

/// Guards against a content that crashes endpoint after endpoint, each time it comes again.
#[test]
fn a_content_is_refused_after_it_has_crashed_three_endpoints() {
    let mut book = CrashState::default();
    for endpoint in ["a", "b"] {
        assert!(book.record_crash(crash(BAD, endpoint), 1));
        assert!(!book.refuses(BAD));
    }
    book.record_crash(crash(BAD, "c"), 1);
    assert_eq!(book.refused(), BTreeSet::from([BAD]));
}

/// Guards against one crash that counts as often as it is told.
#[test]
fn a_crash_that_is_told_again_counts_once() {
    let mut book = CrashState::default();
    assert!(book.record_crash(crash(BAD, "a"), 1));
    assert!((0..5).all(|_| !book.record_crash(crash(BAD, "a"), 1)));
    assert!(book.refused().is_empty());
}

#[test]
fn a_content_that_runs_to_its_end_is_not_suspected_any_more() {
    let mut book = CrashState::default();
    for endpoint in ["a", "b", "c", "d"] {
        book.record_crash(crash(GOOD, endpoint), 1);
        assert!(book.clear_suspect(GOOD));
    }
    assert!(!book.refuses(GOOD));
}

#[test]
fn a_refusal_ends_after_a_day() {
    let mut book = CrashState::default();
    for endpoint in ["a", "b", "c"] {
        book.record_crash(crash(BAD, endpoint), 1);
    }
    book.record_crash(crash(GOOD, "d"), DAY_MS + 2);
    assert!(!book.refuses(BAD));
}

/// Guards against a process without a leader that has a content crash one endpoint after the other.
#[test]
fn a_process_refuses_by_itself_what_it_saw_crash_three_endpoints() {
    let mut watch = LocalCrashes::default();
    for endpoint in ["a", "a", "b"] {
        watch.record_crash(&crash(BAD, endpoint));
        assert!(!watch.refuses(BAD));
    }
    watch.record_crash(&crash(BAD, "c"));
    assert!(watch.refuses(BAD) && !watch.refuses(GOOD));
    assert!(watch.clear_suspect(BAD));
    assert!(!watch.refuses(BAD));
}
