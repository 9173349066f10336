//! The progress of rollouts, for operators.

use chicoryford_types::Endpoint;
use chicoryford_types::Model;
use chicoryford_types::Version;
use serde::Deserialize;
use serde::Serialize;

use super::Planner;
use super::is_given_up;

/// The progress of a model's newest version.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Progress {
    /// The model.
    pub model: Model,
    /// The newest version.
    pub version: Version,
    /// Samplers that announce the model.
    pub samplers: usize,
    /// Samplers that run the version.
    pub holders: usize,
    /// Samplers that have an order in progress for this version or an older one.
    pub loading: usize,
    /// Samplers that the planner gave up on.
    pub missing: usize,
    /// Milliseconds from the publication, as this leader observed it, until all reachable samplers
    /// ran it; none before.
    pub took_ms: Option<u64>,
    /// Samplers that failed to load the version.
    pub troubles: Vec<SamplerFailure>,
}

/// A sampler that failed to load a version.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct SamplerFailure {
    /// The sampler.
    pub endpoint: Endpoint,
    /// Consecutive failures.
    pub failures: u32,
    /// Whether the planner gave up on it.
    pub missing: bool,
    /// The reason of the last failure.
    pub reason: String,
}

impl Planner {
    /// Returns the progress of each model's newest version.
    pub fn progress(&self) -> Vec<Progress> {
        self.targets.keys().map(|model| self.progress_of(model)).collect()
    }

    pub(super) fn progress_of(&self, model: &Model) -> Progress {
        let mut progress = Progress { model: model.clone(), ..Progress::default() };
        let Some(target) = self.targets.get(model) else { return progress };
        progress.version = target.version;
        progress.took_ms = target.took_ms;
        for (endpoint, sampler) in &self.samplers {
            if !sampler.versions.contains_key(model) {
                continue;
            }
            let missing = is_given_up(sampler, model, target);
            progress.samplers += 1;
            progress.holders += usize::from(sampler.version_of(model) >= target.version);
            progress.loading += usize::from(sampler.order.is_some());
            progress.missing += usize::from(missing);
            if sampler.failures > 0 && sampler.version_of(model) < target.version {
                let (failures, reason) = (sampler.failures, sampler.reason.clone());
                let endpoint = endpoint.clone();
                progress.troubles.push(SamplerFailure { endpoint, failures, missing, reason });
            }
        }
        progress
    }
}
