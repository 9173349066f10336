//! Tests of which contents are rejected because they crash endpoints.

use std::collections::BTreeSet;

use chicoryford_fleet::crashes::Crash;
use chicoryford_fleet::crashes::CrashState;
use chicoryford_fleet::crashes::LocalCrashes;
use chicoryford_types::Fingerprint;
use chicoryford_types::Millis;

const BAD: Fingerprint = Fingerprint(1);
const GOOD: Fingerprint = Fingerprint(2);
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

fn crash(content: Fingerprint, endpoint: &str) -> Crash {
    Crash { content, endpoint: endpoint.to_owned() }
}

/// Guards against a content that crashes one endpoint after another because it is retried.
#[test]
fn a_content_is_rejected_after_it_crashed_three_endpoints() {
    let mut state = CrashState::default();
    for endpoint in ["a", "b"] {
        assert!(state.record_crash(crash(BAD, endpoint), 1));
        assert!(!state.refuses(BAD));
    }
    state.record_crash(crash(BAD, "c"), 1);
    assert_eq!(state.refused(), BTreeSet::from([BAD]));
}

/// Guards against counting one crash as often as it is reported.
#[test]
fn a_repeated_crash_report_counts_once() {
    let mut state = CrashState::default();
    assert!(state.record_crash(crash(BAD, "a"), 1));
    assert!((0..5).all(|_| !state.record_crash(crash(BAD, "a"), 1)));
    assert!(state.refused().is_empty());
}

#[test]
fn a_content_that_completes_is_no_longer_suspected() {
    let mut state = CrashState::default();
    for endpoint in ["a", "b", "c", "d"] {
        state.record_crash(crash(GOOD, endpoint), 1);
        assert!(state.clear_suspect(GOOD));
    }
    assert!(!state.refuses(GOOD));
}

#[test]
fn a_rejection_ends_after_a_day() {
    let mut state = CrashState::default();
    for endpoint in ["a", "b", "c"] {
        state.record_crash(crash(BAD, endpoint), 1);
    }
    state.record_crash(crash(GOOD, "d"), DAY_MS + 2);
    assert!(!state.refuses(BAD));
}

/// Guards against a process without a leader that lets a content crash one endpoint after another.
#[test]
fn a_process_rejects_a_content_that_it_saw_crash_three_endpoints() {
    let mut local = LocalCrashes::default();
    for endpoint in ["a", "a", "b"] {
        local.record_crash(&crash(BAD, endpoint));
        assert!(!local.refuses(BAD));
    }
    local.record_crash(&crash(BAD, "c"));
    assert!(local.refuses(BAD) && !local.refuses(GOOD));
    assert!(local.clear_suspect(BAD));
    assert!(!local.refuses(BAD));
}

/// Guards against a content that crashes endpoints which fall silent instead of refusing
/// connections: it went on to the next one for ever.
#[test]
fn a_content_whose_endpoints_fall_silent_one_after_another_is_rejected() {
    let mut local = LocalCrashes::default();
    for (number, endpoint) in ["a", "b", "c"].into_iter().enumerate() {
        let at = Millis(10_000 * number as u64);
        local.record_unanswered(crash(BAD, endpoint), at);
        local.record_unanswered(crash(GOOD, endpoint), at);
        local.clear_suspect(GOOD);
        assert_eq!(local.record_silence(endpoint, at + 6_000), [crash(BAD, endpoint)]);
    }
    assert!(local.refuses(BAD) && !local.refuses(GOOD));
}

/// Guards against rejecting a content because a cut silenced the endpoints that were running it.
#[test]
fn endpoints_that_fall_silent_together_count_as_one_crash() {
    let mut local = LocalCrashes::default();
    for endpoint in ["a", "b", "c", "d"] {
        local.record_unanswered(crash(BAD, endpoint), Millis(0));
    }
    for (number, endpoint) in ["a", "b", "c", "d"].into_iter().enumerate() {
        local.record_silence(endpoint, Millis(6_000 + 300 * number as u64));
    }
    assert!(!local.refuses(BAD));
}

#[test]
fn an_endpoint_that_falls_silent_long_after_an_attempt_was_not_crashed_by_it() {
    let mut local = LocalCrashes::default();
    local.record_unanswered(crash(BAD, "a"), Millis(0));
    assert!(local.record_silence("a", Millis(12_000)).is_empty());
}

/// Endpoints are restarted faster than requests complete, while all requests have the same content.
/// Guards against refusing a content that has run on other endpoints all the time: nothing with it
/// is executed any more then.
#[test]
fn a_content_that_has_completed_is_not_blamed_for_endpoints_that_end() {
    let mut local = LocalCrashes::default();
    local.record_completion(GOOD, Millis(0));
    for (number, endpoint) in ["a", "b", "c", "d", "e"].into_iter().enumerate() {
        let now = Millis(500 * number as u64);
        assert!(local.has_completed(GOOD, now));
        local.record_unanswered(crash(GOOD, endpoint), now);
        assert!(local.record_silence(endpoint, now + 3_000).is_empty());
    }
    assert!(!local.refuses(GOOD));
    assert!(!local.has_completed(BAD, Millis(0)));
}

/// Guards against protecting a content for ever, and against keeping all contents.
#[test]
fn a_completion_is_forgotten() {
    let mut local = LocalCrashes::default();
    for content in 0..5_000 {
        local.record_completion(Fingerprint(content), Millis(1));
    }
    let is_kept = |content: &u64| local.has_completed(Fingerprint(*content), Millis(1));
    assert!((0..5_000).filter(is_kept).count() <= 1_024);
    local.record_completion(GOOD, Millis(1));
    assert!(local.has_completed(GOOD, Millis(30_000)));
    assert!(!local.has_completed(GOOD, Millis(30_001)));
}
