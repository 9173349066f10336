//! The signals that ask a process to stop.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The signals that ask for a graceful shutdown.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers. They replace the operating system's default action, which ends the
    /// process at once.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if a handler cannot be installed.
    pub fn new() -> std::io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { terminate, interrupt })
    }

    /// Waits for the next stop signal and returns its name.
    pub async fn next(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
}
