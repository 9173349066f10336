//! Passes the changes that a control process's replica applies to the other parts of the process.

use std::sync::Arc;

use chicoryford_types::Change;
use chicoryford_types::Config;
use chicoryford_types::Position;

use crate::shared::SharedState;

/// The name under which [`Feed`] is registered.
pub const FEED: &str = "feed";

/// Accepts the changes that a replica of the log applies. Changes up to the position in force are
/// ignored, so a replica that replays its log after a restart may push the whole log.
#[derive(Clone)]
pub struct Feed(Arc<SharedState>);

impl Feed {
    /// Creates a feed into the state shared by the threads of the process.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self(shared)
    }

    /// Puts a change in force in this process and notifies the followers.
    pub fn push(&self, at: Position, change: Change) {
        self.0.update(|store| store.apply(at, change));
    }

    /// Puts a whole configuration in force after the replica installed a snapshot.
    pub fn reset(&self, config: Config) {
        self.0.update(|store| store.replace(config));
    }
}
