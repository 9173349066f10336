//! Predicts how many versions are published while a sample runs, from the learned publication
//! interval and the learned duration of samples.

use std::collections::BTreeMap;

use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Version;

/// Weight of a new observation in an exponentially weighted mean.
const SMOOTHING: f64 = 0.2;

/// Learned statistics of one model.
#[derive(Clone, Debug, Default)]
struct ModelStats {
    newest: Version,
    published_at: Millis,
    /// Mean time between two versions in milliseconds; `None` until two versions were seen.
    interval_ms: Option<f64>,
    /// Mean duration of a sample in milliseconds; `None` until one has finished.
    duration_ms: Option<f64>,
}

/// Learned publication intervals and sample durations by model.
#[derive(Clone, Debug, Default)]
pub struct StalenessPredictor {
    models: BTreeMap<Model, ModelStats>,
}

impl StalenessPredictor {
    /// Records the newest published version. A version that is not newer changes nothing.
    pub fn record_version(&mut self, model: &Model, version: Version, now: Millis) {
        let stats = self.models.entry(model.clone()).or_default();
        if version <= stats.newest {
            return;
        }
        if stats.newest > Version(0) {
            // Several versions may have been published since the previous call.
            let versions = (version.0 - stats.newest.0) as f64;
            update_mean(&mut stats.interval_ms, now.since(stats.published_at) as f64 / versions);
        }
        stats.newest = version;
        stats.published_at = now;
    }

    /// Records the duration of a sample, from its admission to its last token.
    pub fn record_sample(&mut self, model: &Model, ms: u64) {
        let stats = self.models.entry(model.clone()).or_default();
        update_mean(&mut stats.duration_ms, ms as f64);
    }

    /// Returns the number of versions expected to be published while a sample runs.
    pub fn expected_versions(&self, model: &Model) -> u64 {
        let Some(stats) = self.models.get(model) else { return 0 };
        match (stats.interval_ms, stats.duration_ms) {
            (Some(interval), Some(duration)) if interval >= 1.0 => (duration / interval) as u64,
            _ => 0,
        }
    }

    /// Returns the oldest version that may start a sample of a step with this freshness bound.
    ///
    /// A sample that starts at the limit of the bound exceeds it if a version is published while
    /// it runs; its tokens are wasted and the trainer waits for a replacement. The number of
    /// versions expected during the sample is therefore subtracted from the bound.
    pub fn floor(&self, model: &Model, newest: Version, bound: u64) -> Version {
        let slack = bound.saturating_sub(self.expected_versions(model));
        Version(newest.0.saturating_sub(slack))
    }
}

fn update_mean(mean: &mut Option<f64>, value: f64) {
    *mean = Some(mean.map_or(value, |mean| mean + SMOOTHING * (value - mean)));
}
