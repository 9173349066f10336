//! Tests of the time of day of the fleet with wrong clocks.

use chicoryford_fleet::walltime::Offset;
use chicoryford_fleet::walltime::WallTime;
use chicoryford_fleet::walltime::error_ms;
use chicoryford_fleet::walltime::median;
use chicoryford_types::Millis;
use chicoryford_types::Unix;

const NOW: Millis = Millis(50_000);
/// The true time of day when the monotonic clock reads [`NOW`].
const TRUE: u64 = 1_700_000_000_000;

fn read(ahead_ms: i64) -> Offset {
    Offset::of(Unix(TRUE.saturating_add_signed(ahead_ms)), NOW)
}

/// Guards against usage of a window that is wrong by all requests of several seconds. The time of
/// day of the VM of the leader and of a third of all VMs is set four seconds back or forward and
/// later corrected; windows must not follow the time of day of the leader. The median stays within
/// the range of the correct clocks.
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
fn the_error_is_large_when_half_of_the_clocks_differ() {
    let clocks = [read(0), read(0), read(4_000), read(4_000)];
    assert!(error_ms(clocks, median(clocks).unwrap()) >= 4_000);
}

#[test]
fn a_member_continues_with_its_monotonic_clock_without_a_leader() {
    let mut time = WallTime::new(Unix(TRUE + 4_000), NOW);
    assert_eq!(time.at(NOW), Unix(TRUE + 4_000), "only its own clock is available");
    time.record(Unix(TRUE), NOW);
    assert_eq!(time.at(NOW + 60_000), Unix(TRUE + 60_000));
}

/// Guards against attributing requests to the next window. A new leader got its first reading from
/// a member with a wrong clock, and members used only the newest time that they received.
#[test]
fn the_first_times_of_a_new_leader_have_no_effect() {
    let mut time = WallTime::new(Unix(TRUE), NOW);
    for count in 0..15 {
        time.record(Unix(TRUE + count * 200), NOW + count * 200);
    }
    let at = NOW + 3_000;
    for _ in 0..3 {
        time.record(Unix(TRUE + 7_000), at);
    }
    assert_eq!(time.at(at), Unix(TRUE + 3_000));
}
