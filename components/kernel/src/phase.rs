//! The phases of a process: running, draining, stopping.

use tokio::sync::watch;

/// The phase of a process.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// The process accepts work.
    #[default]
    Running,
    /// The process accepts no new work and finishes the work in progress.
    Draining,
    /// The process ends.
    Stopping,
}

/// Publishes the phase of the process to every duty. A process never returns to an earlier phase.
#[derive(Clone)]
pub struct Phases(std::sync::Arc<watch::Sender<Phase>>);

impl Default for Phases {
    fn default() -> Self {
        Self::new()
    }
}

impl Phases {
    /// Starts with [`Phase::Running`].
    pub fn new() -> Self {
        Self(std::sync::Arc::new(watch::Sender::new(Phase::Running)))
    }

    /// Returns the current phase.
    pub fn now(&self) -> Phase {
        *self.0.borrow()
    }

    /// Advances to `phase`, unless the process has already reached it.
    pub fn advance(&self, phase: Phase) {
        self.0.send_if_modified(|current| {
            let advances = phase > *current;
            if advances {
                *current = phase;
            }
            advances
        });
    }

    /// Waits until the process has reached `phase`.
    pub async fn reached(&self, phase: Phase) {
        let mut receiver = self.0.subscribe();
        // The sender exists as long as self, so waiting cannot fail.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }
}
