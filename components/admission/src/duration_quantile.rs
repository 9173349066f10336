//! Whether a request can still meet its deadline, estimated from the durations of finished
//! requests.

/// The smallest step of the running quantile.
const MIN_STEP: f32 = 0.02;

/// A low quantile of actual over expected durations, below which only few attempts finish.
///
/// The router's expectation is a mean: refusing every request that would miss its deadline at the
/// mean would refuse many that would meet it. The running quantile estimates the shortest time in
/// which a request may still finish, without storing durations (stochastic approximation).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DurationQuantile {
    ratio: f32,
    count: u32,
}

impl Default for DurationQuantile {
    fn default() -> Self {
        Self { ratio: 0.5, count: 0 }
    }
}

impl DurationQuantile {
    /// Records a successful attempt. `share` is the fraction of attempts that should lie below the
    /// quantile.
    pub fn record(&mut self, expected_ms: u64, ms: u64, share: f32) {
        let actual = ms as f32 / expected_ms.max(1) as f32;
        self.count = self.count.saturating_add(1);
        let step = MIN_STEP.max(0.2 / self.count as f32);
        let below = if actual < self.ratio { 1.0 } else { 0.0 };
        self.ratio = (self.ratio + step * (share - below)).clamp(0.01, 2.0);
    }

    /// Returns the shortest time in which an attempt may finish, in milliseconds.
    pub fn min_ms(&self, expected_ms: u64) -> u64 {
        (expected_ms as f32 * self.ratio) as u64
    }
}
