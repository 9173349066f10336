//! How a control process puts changes into its own process as its replica applies them.

use std::sync::Arc;

use chicoryford_types::Change;
use chicoryford_types::Config;
use chicoryford_types::Position;

use crate::shared::Shared;

/// The name under which [`Feed`] is offered.
pub const FEED: &str = "feed";

/// Takes the changes that a replica of the log applies. What lies behind the configuration in
/// force is ignored, so a replica that replays its log after a restart may feed all of it.
#[derive(Clone)]
pub struct Feed(Arc<Shared>);

impl Feed {
    /// Feeds what the other threads of the process share.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self(shared)
    }

    /// Puts a change in force in this process and tells the followers.
    pub fn push(&self, at: Position, change: Change) {
        self.0.change(|store| store.push(at, change));
    }

    /// Puts a whole configuration in force, after a snapshot was installed.
    pub fn reset(&self, config: Config) {
        self.0.change(|store| store.reset(config));
    }
}
