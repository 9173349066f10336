//! Learned times until the first tokens, by which a request counts as silent.

use std::collections::BTreeMap;
use std::time::Duration;

use chicoryford_types::Model;

/// Answers after which a learned time is used.
const ENOUGH: u32 = 16;
/// The weight of a new time in the mean, and in the mean deviation.
const LEARN: f64 = 1.0 / 8.0;
/// Mean deviations above the mean at which a request counts as silent. Times to the first tokens
/// have a tail under load; a bound close to the mean would send many requests twice for nothing.
const DEVIATIONS: f64 = 4.0;
/// The shortest time after which a request counts as silent, in milliseconds.
const LEAST: f64 = 100.0;

/// What is learned of one model.
#[derive(Clone, Copy, Debug, Default)]
struct Time {
    seen: u32,
    mean: f64,
    deviation: f64,
}

/// Learned times from the start of an urgent request's first attempt to its first tokens.
#[derive(Clone, Debug)]
pub struct FirstTokenTimes {
    times: BTreeMap<Model, Time>,
    unknown_ms: u64,
}

impl FirstTokenTimes {
    /// Starts with a time that holds until enough answers were seen.
    pub fn new(unknown_ms: u64) -> Self {
        Self { times: BTreeMap::new(), unknown_ms }
    }

    /// Takes in a time. That of a request which was given a second attempt counts from the start
    /// of its first, so that a model which has become slower is learned as such.
    pub fn record(&mut self, model: &Model, ms: u64) {
        let time = self.times.entry(model.clone()).or_default();
        let ms = ms as f64;
        if time.seen == 0 {
            *time = Time { seen: 1, mean: ms, deviation: ms / 2.0 };
            return;
        }
        time.seen = time.seen.saturating_add(1);
        time.deviation += LEARN * ((ms - time.mean).abs() - time.deviation);
        time.mean += LEARN * (ms - time.mean);
    }

    /// Gives the time without tokens after which a request with `left_ms` until its deadline
    /// counts as silent: half of what is left at most, so that a second attempt still has time.
    pub fn rescue_delay(&self, model: &Model, left_ms: u64) -> Duration {
        let known = self.times.get(model).filter(|time| time.seen >= ENOUGH);
        let learned = known.map(|time| (time.mean + DEVIATIONS * time.deviation).max(LEAST));
        let ms = learned.map_or(self.unknown_ms, |ms| ms as u64);
        Duration::from_millis(ms.min(left_ms / 2))
    }
}
