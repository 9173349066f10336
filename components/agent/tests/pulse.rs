//! Telling a crash from a blip, a silent endpoint and a restart.

use chicoryford_agent::pulse::Look;
use chicoryford_agent::pulse::Pulse;

fn answered(instance: &str) -> Look {
    Look::Answered { instance: instance.to_owned(), healthy: true }
}

#[test]
fn a_crash_is_told_once_whether_seen_down_or_back() {
    let mut pulse = Pulse::default();
    assert!(pulse.take(answered("one")).alive);
    assert!(!pulse.take(Look::Refused).crashed);
    let down = pulse.take(Look::Refused);
    assert!(down.crashed && !down.healthy);
    assert!(!pulse.take(Look::Refused).crashed);
    let back = pulse.take(answered("two"));
    assert!(back.healthy && !back.crashed);
    assert!(pulse.take(answered("three")).crashed);
    assert_eq!(pulse.crashes(), 2);
}

/// Symptom: innocent requests are convicted although no endpoint crashed.
/// Sequence: a connection goes silent or breaks; the endpoint answers on a new one, as the same
/// instance.
/// Cause: the connection's fault was taken for the endpoint's.
#[test]
fn a_blip_or_silence_is_no_crash() {
    let mut pulse = Pulse::default();
    pulse.take(answered("one"));
    pulse.take(Look::Refused);
    assert!(pulse.take(answered("one")).alive);
    for _ in 0..5 {
        assert!(!pulse.take(Look::Silent).crashed);
    }
    let back = pulse.take(answered("one"));
    assert!(back.healthy && back.alive);
}
