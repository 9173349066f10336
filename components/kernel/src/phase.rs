//! The phases of a process's life: it runs, it drains, it stops.

use tokio::sync::watch;

/// A phase of a process's life.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// The process takes work.
    #[default]
    Running,
    /// The process takes no new work and finishes what is in progress.
    Draining,
    /// The process ends.
    Stopping,
}

/// Tells every duty the process's phase; a process never goes back to an earlier phase.
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

    /// Gives the present phase.
    pub fn now(&self) -> Phase {
        *self.0.borrow()
    }

    /// Moves on to `phase`, unless the process is already there or further.
    pub fn advance(&self, phase: Phase) {
        self.0.send_if_modified(|now| {
            let moves = phase > *now;
            if moves {
                *now = phase;
            }
            moves
        });
    }

    /// Waits until the process has reached `phase`.
    pub async fn reached(&self, phase: Phase) {
        let mut receiver = self.0.subscribe();
        // The sender lives as long as self, so waiting cannot fail.
        let _ = receiver.wait_for(|now| *now >= phase).await;
    }
}
