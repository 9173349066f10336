//! Distinguishing a crash from a transient failure, an endpoint that does not respond, and a
//! restart.

use chicoryford_agent::health::CheckResult;
use chicoryford_agent::health::HealthTracker;

fn answered(instance: &str) -> CheckResult {
    CheckResult::Answered { instance: instance.to_owned(), healthy: true }
}

#[test]
fn each_crash_is_reported_once_whether_detected_while_down_or_after_the_restart() {
    let mut tracker = HealthTracker::default();
    assert!(tracker.record(answered("one")).alive);
    assert!(!tracker.record(CheckResult::Refused).crashed);
    let down = tracker.record(CheckResult::Refused);
    assert!(down.crashed && !down.healthy);
    assert!(!tracker.record(CheckResult::Refused).crashed);
    let back = tracker.record(answered("two"));
    assert!(back.healthy && !back.crashed);
    assert!(tracker.record(answered("three")).crashed);
    assert_eq!(tracker.crashes(), 2);
}

/// Guards against convicting requests although no endpoint crashed. A connection breaks or stops
/// responding, and the endpoint answers on a new connection as the same instance: the fault was the
/// connection's, not the endpoint's.
#[test]
fn a_transient_failure_or_missing_response_is_not_a_crash() {
    let mut tracker = HealthTracker::default();
    tracker.record(answered("one"));
    tracker.record(CheckResult::Refused);
    assert!(tracker.record(answered("one")).alive);
    for _ in 0..5 {
        assert!(!tracker.record(CheckResult::NoResponse).crashed);
    }
    let back = tracker.record(answered("one"));
    assert!(back.healthy && back.alive);
}
