//! How the other services of a process see accepted configuration.

use std::sync::Arc;

use chicoryford_types::Config;
use tokio::sync::watch;

/// The name under which [`Handle`] is offered.
pub const SERVICE: &str = "config";

/// The configuration in force at this process.
#[derive(Clone)]
pub struct Handle {
    current: watch::Receiver<Arc<Config>>,
}

impl Handle {
    /// Reads what the follower duty writes.
    pub fn new(current: watch::Receiver<Arc<Config>>) -> Self {
        Self { current }
    }

    /// Gives the configuration in force.
    pub fn current(&self) -> Arc<Config> {
        self.current.borrow().clone()
    }

    /// Gives a receiver that tells when the configuration changes.
    pub fn watch(&self) -> watch::Receiver<Arc<Config>> {
        self.current.clone()
    }
}
