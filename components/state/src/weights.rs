//! Published weights.

use chicoryford_types::Change;
use chicoryford_types::Model;
use chicoryford_types::Version;
use chicoryford_types::config::Published;

use crate::command::Refusal;
use crate::command::Reply;
use crate::machine::State;

/// Maximum number of models with published weights.
pub const MAX_MODELS: usize = 4_096;

impl State {
    /// Puts a version of a model's weights in force, and discards the samples of open steps that it
    /// makes too old, so that their owners run them again at once instead of after the trainer's
    /// next pull.
    pub(crate) fn publish(&mut self, model: Model, version: Version, source: String) -> Reply {
        match self.config.weights.get(&model) {
            Some(newest) if version <= newest.version => {
                return Refusal::NotNewer(newest.version).into();
            }
            None if self.config.weights.len() >= MAX_MODELS => return Refusal::Full.into(),
            _ => {}
        }
        let published = Published { version, source, accepted: self.now };
        let at = self.accept(Change::Weights(model.clone(), published));
        self.ledger.drop_stale_samples(&model, version);
        Reply::Accepted { at, version: version.0 }
    }
}
