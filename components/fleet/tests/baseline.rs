//! Tests of the baseline of a measurement.

use chicoryford_fleet::baseline::Baseline;
use chicoryford_types::Millis;

/// Guards against a baseline that rises with the load which it is compared with.
#[test]
fn some_slow_seconds_do_not_raise_it() {
    let mut baseline = Baseline::default();
    baseline.record(25.0, Millis(1_000));
    for second in 2..30 {
        baseline.record(200.0, Millis(second * 1_000));
    }
    assert_eq!(baseline.value(), Some(25.0));
}

/// Guards against a baseline that stays low for ever after the work has become longer.
#[test]
fn it_follows_a_change_that_lasts() {
    let mut baseline = Baseline::default();
    baseline.record(25.0, Millis(1_000));
    for second in 2..90 {
        baseline.record(200.0, Millis(second * 1_000));
    }
    assert_eq!(baseline.value(), Some(200.0));
}

/// Guards against a baseline from before an idle time, which makes all later answers look slow if
/// the work has become longer meanwhile.
#[test]
fn values_from_before_an_idle_time_end_with_the_next_measurement() {
    let mut baseline = Baseline::default();
    baseline.record(25.0, Millis(1_000));
    assert_eq!(baseline.value(), Some(25.0));
    baseline.record(80.0, Millis(3_600_000));
    assert_eq!(baseline.value(), Some(80.0));
    baseline.record(90.0, Millis(3_650_000));
    assert_eq!(baseline.value(), Some(80.0), "less than a minute old");
}

#[test]
fn nothing_is_known_before_the_first_measurement() {
    assert_eq!(Baseline::default().value(), None);
}
