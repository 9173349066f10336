//! Tracks whether the control processes have a majority, as observed by this process.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

/// How long no control process has to accept a command before proposals are refused at once. An
/// election takes one to two election timeouts, and a call during an election should be delayed
/// rather than refused. A longer interruption is an outage.
pub const QUORUM_LOSS_GRACE: Duration = Duration::from_secs(2);
/// How long the result of a probe of the control processes is valid.
const PROBE_VALIDITY: Duration = Duration::from_secs(3);

/// Whether the control processes have a majority, shared by all threads of a process.
///
/// Without this, every call that needs the majority would wait for its own timeout: callers would
/// be informed late that nothing was done, and their calls would use up the entry's capacity. With
/// it, the first calls detect the loss, and all others are refused at once.
#[derive(Debug, Default)]
pub struct QuorumStatus(Mutex<State>);

#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Since when no command has been accepted, while the control processes are probed.
    missing_since: Option<Instant>,
    /// When the control processes were last probed.
    last_probe: Option<Instant>,
}

impl QuorumStatus {
    /// Records that a control process accepted a command, or that the leader answered a probe.
    pub fn record_available(&self) {
        *self.state() = State::default();
    }

    /// Records that a control process did not accept a command. Returns whether the caller must
    /// start probing all of them, because one silent process says nothing about the majority.
    #[must_use]
    pub fn record_failure(&self, now: Instant) -> bool {
        let mut state = self.state();
        let is_probed = state.last_probe.is_some_and(|last| now - last < PROBE_VALIDITY);
        if is_probed {
            return false;
        }
        *state = State { missing_since: Some(now), last_probe: Some(now) };
        true
    }

    /// Records that a probe found no leader with a majority.
    pub fn record_failed_probe(&self, now: Instant) {
        self.state().last_probe = Some(now);
    }

    /// Returns the time until proposals are refused; `None` while the majority is available.
    ///
    /// The loss counts only while the control processes are being probed. If the probing thread has
    /// ended, the return of the majority would not be detected, and all proposals would be refused
    /// forever.
    pub fn remaining_grace(&self, now: Instant) -> Option<Duration> {
        let state = *self.state();
        let is_probed = state.last_probe.is_some_and(|last| now - last < PROBE_VALIDITY);
        let missing_since = state.missing_since.filter(|_| is_probed)?;
        Some(QUORUM_LOSS_GRACE.saturating_sub(now - missing_since))
    }

    /// Returns whether proposals are refused at once.
    pub fn is_missing(&self, now: Instant) -> bool {
        self.remaining_grace(now).is_some_and(|left| left.is_zero())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no thread panics while it holds this lock")
    }
}
