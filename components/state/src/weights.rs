//! Published weights.

use chicoryford_types::Change;
use chicoryford_types::Model;
use chicoryford_types::Version;
use chicoryford_types::config::Published;

use crate::command::Refusal;
use crate::command::Reply;
use crate::machine::State;

/// Models that may have published weights.
pub const MODELS: usize = 4_096;

impl State {
    /// Puts a version of a model's weights in force, and takes back the samples of open steps
    /// that it makes too old, so that their owners run them again at once and not only when the
    /// trainer next pulls.
    pub(crate) fn publish(&mut self, model: Model, version: Version, source: String) -> Reply {
        match self.config.weights.get(&model) {
            Some(newest) if version <= newest.version => {
                return Refusal::NotNewer(newest.version).into();
            }
            None if self.config.weights.len() >= MODELS => return Refusal::Full.into(),
            _ => {}
        }
        let published = Published { version, source, accepted: self.now };
        let at = self.accept(Change::Weights(model.clone(), published));
        self.ledger.sweep(&model, version);
        Reply::Accepted { at, version: version.0 }
    }
}
