//! The lowest recent value of a measurement: what it is without load.
//!
//! A moving average follows the load, so it cannot show that everything is slower than usual at the
//! same time. The lowest value of the minute up to the latest measurement can.

use std::collections::VecDeque;

use chicoryford_types::Millis;

/// Length in milliseconds of a bucket of measurements.
const BUCKET_MS: u64 = 10_000;
/// Number of buckets, which together cover a minute.
const BUCKET_COUNT: u64 = 6;

/// Lowest baseline in milliseconds that durations are compared with. Durations are whole
/// milliseconds, so an answer of 1 ms would otherwise be infinitely many times as slow as one of
/// 0 ms.
pub const MIN_BASELINE_MS: f64 = 5.0;

/// The lowest value per bucket, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Baseline(VecDeque<(u64, f64)>);

impl Baseline {
    /// Records a measurement, and drops those from more than a minute before it.
    pub fn record(&mut self, value: f64, now: Millis) {
        let number = now.0 / BUCKET_MS;
        match self.0.back_mut() {
            Some((last, lowest)) if *last == number => *lowest = lowest.min(value),
            _ => self.0.push_back((number, value)),
        }
        self.0.retain(|(bucket, _)| bucket + BUCKET_COUNT > number);
    }

    /// Returns the lowest value of the minute that ends with the latest measurement, or `None`
    /// before the first one. An idle time shows nothing, so it does not remove the value by itself.
    pub fn value(&self) -> Option<f64> {
        self.0.iter().map(|(_, lowest)| *lowest).min_by(f64::total_cmp)
    }
}
