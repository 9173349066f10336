//! The fleet's time of day beside clocks that are wrong.

use chicoryford_fleet::walltime::Offset;
use chicoryford_fleet::walltime::WallTime;
use chicoryford_fleet::walltime::error_ms;
use chicoryford_fleet::walltime::median;
use chicoryford_types::Millis;
use chicoryford_types::Unix;

const NOW: Millis = Millis(50_000);
/// The true time of day when the steady clock reads [`NOW`].
const TRUE: u64 = 1_700_000_000_000;

fn read(ahead_ms: i64) -> Offset {
    Offset::of(Unix(TRUE.saturating_add_signed(ahead_ms)), NOW)
}

/// Symptom: the usage of a window is off by all requests of some seconds.
/// Sequence: the time of day of the leader's VM, and of a third of all VMs, is set back by four
/// seconds, or forward, and back again later.
/// Cause: windows were told by the leader's own time of day.
/// Proof: the median stays within what the right clocks read.
#[test]
fn a_minority_of_wrong_clocks_does_not_move_the_time() {
    for wrong in [-4_000, 4_000] {
        let clocks = [read(3), read(wrong), read(-2), read(wrong), read(0), read(1), read(wrong)];
        let time = median(clocks).unwrap().at(NOW);
        assert!(time.0.abs_diff(TRUE) <= 3, "{time:?}");
        assert!(error_ms(clocks, median(clocks).unwrap()) <= 5);
    }
    assert_eq!(median([]), None);
}

#[test]
fn half_of_the_clocks_apart_show_as_error() {
    let clocks = [read(0), read(0), read(4_000), read(4_000)];
    assert!(error_ms(clocks, median(clocks).unwrap()) >= 4_000);
}

#[test]
fn a_member_goes_on_by_its_steady_clock_when_no_leader_is_heard() {
    let mut time = WallTime::new(Unix(TRUE + 4_000), NOW);
    assert_eq!(time.at(NOW), Unix(TRUE + 4_000), "its own clock is all that it has");
    time.record(Unix(TRUE), NOW);
    assert_eq!(time.at(NOW + 60_000), Unix(TRUE + 60_000));
}

/// Symptom: the entries of a fleet take part of a window's requests for the next one's.
/// Sequence: a leader is elected and the first member that it hears has a wrong clock.
/// Cause: members believed the newest word alone.
#[test]
fn the_first_words_of_a_new_leader_do_not_move_the_time() {
    let mut time = WallTime::new(Unix(TRUE), NOW);
    for word in 0..15 {
        time.record(Unix(TRUE + word * 200), NOW + word * 200);
    }
    let at = NOW + 3_000;
    for _ in 0..3 {
        time.record(Unix(TRUE + 7_000), at);
    }
    assert_eq!(time.at(at), Unix(TRUE + 3_000));
}
