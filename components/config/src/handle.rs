//! Access to the accepted configuration for the other services of a process.

use std::sync::Arc;

use chicoryford_types::Config;
use tokio::sync::watch;

/// The name under which [`Handle`] is registered.
pub const SERVICE: &str = "config";

/// The configuration in force at this process.
#[derive(Clone)]
pub struct Handle {
    current: watch::Receiver<Arc<Config>>,
}

impl Handle {
    /// Creates a handle that reads the configuration published by the follower duty.
    pub fn new(current: watch::Receiver<Arc<Config>>) -> Self {
        Self { current }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Config> {
        self.current.borrow().clone()
    }

    /// Returns a receiver that is notified when the configuration changes.
    pub fn watch(&self) -> watch::Receiver<Arc<Config>> {
        self.current.clone()
    }
}
