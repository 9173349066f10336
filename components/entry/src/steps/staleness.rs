//! How often weights are published and how long samples take, by which staleness is predicted.

use std::collections::BTreeMap;

use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Version;

/// The weight of a new observation in a mean.
const LEARN: f64 = 0.2;

/// What is learned of one model.
#[derive(Clone, Debug, Default)]
struct ModelStats {
    newest: Version,
    since: Millis,
    /// The mean time between two versions, in milliseconds; none until two were seen.
    interval: Option<f64>,
    /// The mean time of a sample, in milliseconds; none until one was seen.
    duration: Option<f64>,
}

/// Learned intervals between versions and durations of samples, by model.
#[derive(Clone, Debug, Default)]
pub struct StalenessPredictor {
    models: BTreeMap<Model, ModelStats>,
}

impl StalenessPredictor {
    /// Takes in the newest published version; the same one again changes nothing.
    pub fn record_version(&mut self, model: &Model, version: Version, now: Millis) {
        let stats = self.models.entry(model.clone()).or_default();
        if version <= stats.newest {
            return;
        }
        if stats.newest > Version(0) {
            // Versions that came between two looks share the time between them.
            let versions = (version.0 - stats.newest.0) as f64;
            update_mean(&mut stats.interval, now.since(stats.since) as f64 / versions);
        }
        stats.newest = version;
        stats.since = now;
    }

    /// Takes in how long a sample took, from when it was let in to its end.
    pub fn record_sample(&mut self, model: &Model, ms: u64) {
        let stats = self.models.entry(model.clone()).or_default();
        update_mean(&mut stats.duration, ms as f64);
    }

    /// Gives the versions that are expected to be published while a sample runs.
    pub fn expected_versions(&self, model: &Model) -> u64 {
        let Some(stats) = self.models.get(model) else { return 0 };
        match (stats.interval, stats.duration) {
            (Some(interval), Some(duration)) if interval >= 1.0 => (duration / interval) as u64,
            _ => 0,
        }
    }

    /// Gives the oldest version that may begin a sample of a step with this bound.
    ///
    /// A sample begun at the edge of the bound is out of it when it ends, if versions were
    /// published meanwhile; its tokens would be wasted and its trainer wait for another. So the
    /// versions that are expected meanwhile are taken from the bound beforehand.
    pub fn floor(&self, model: &Model, newest: Version, bound: u64) -> Version {
        let slack = bound.saturating_sub(self.expected_versions(model));
        Version(newest.0.saturating_sub(slack))
    }
}

fn update_mean(mean: &mut Option<f64>, value: f64) {
    *mean = Some(mean.map_or(value, |mean| mean + LEARN * (value - mean)));
}
