//! Learns the time to first token, to decide when an urgent request counts as silent.

use std::collections::BTreeMap;
use std::time::Duration;

use chicoryford_types::Model;

/// Number of answers after which the learned time is used.
const MIN_SAMPLES: u32 = 16;
/// Weight of a new time in the mean and in the mean deviation.
const SMOOTHING: f64 = 1.0 / 8.0;
/// Number of mean deviations above the mean after which a request counts as silent. Under load the
/// distribution has a long tail, so that a limit close to the mean would send many requests twice
/// without need.
const DEVIATIONS: f64 = 4.0;
/// Minimum time in milliseconds after which a request counts as silent.
const MIN_DELAY_MS: f64 = 100.0;

/// Learned time to first token of one model, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct ModelTime {
    count: u32,
    mean: f64,
    deviation: f64,
}

/// Learned time from the start of the first attempt of an urgent request to its first tokens, by
/// model.
#[derive(Clone, Debug)]
pub struct FirstTokenTimes {
    times: BTreeMap<Model, ModelTime>,
    default_ms: u64,
}

impl FirstTokenTimes {
    /// Creates an empty table. `default_ms` applies until enough answers of a model were recorded.
    pub fn new(default_ms: u64) -> Self {
        Self { times: BTreeMap::new(), default_ms }
    }

    /// Records a time. For a request with a second attempt it is measured from the start of the
    /// first one, so that the learned time rises when a model becomes slower.
    pub fn record(&mut self, model: &Model, ms: u64) {
        let time = self.times.entry(model.clone()).or_default();
        let ms = ms as f64;
        if time.count == 0 {
            *time = ModelTime { count: 1, mean: ms, deviation: ms / 2.0 };
            return;
        }
        time.count = time.count.saturating_add(1);
        time.deviation += SMOOTHING * ((ms - time.mean).abs() - time.deviation);
        time.mean += SMOOTHING * (ms - time.mean);
    }

    /// Returns the time without tokens after which a request with `left_ms` until its deadline
    /// counts as silent. It is at most half of `left_ms`, so that a second attempt still has time.
    pub fn rescue_delay(&self, model: &Model, left_ms: u64) -> Duration {
        let known = self.times.get(model).filter(|time| time.count >= MIN_SAMPLES);
        let learned = known.map(|time| (time.mean + DEVIATIONS * time.deviation).max(MIN_DELAY_MS));
        let ms = learned.map_or(self.default_ms, |ms| ms as u64);
        Duration::from_millis(ms.min(left_ms / 2))
    }
}
