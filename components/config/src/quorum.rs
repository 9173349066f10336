//! Whether the control processes have a majority, as far as this process can tell.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

/// How long no control process may take commands before proposals are refused at once. An
/// election takes one to two election timeouts, and a call that meets one is better late than
/// refused; what lasts longer is an outage.
pub const GIVE_UP: Duration = Duration::from_secs(2);
/// How long a look at the control processes is believed.
const BELIEVED: Duration = Duration::from_secs(3);

/// Whether the control processes have a majority, shared by all threads of a process.
///
/// Without it every call that needs the majority finds out for itself, for as long as its own
/// timeout: callers hear late that nothing was done, and meanwhile their calls fill the entry's
/// places. With it the first ones find out, and all others are refused at once.
#[derive(Debug, Default)]
pub struct Quorum(Mutex<State>);

#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Since when no command was taken, while this is looked into.
    missing: Option<Instant>,
    /// When the control processes were last looked at.
    looked: Option<Instant>,
}

impl Quorum {
    /// Notes that a control process took a command, or that its leader answered a look.
    pub fn found(&self) {
        *self.state() = State::default();
    }

    /// Notes that a control process did not take a command. Returns whether the caller must look
    /// at all of them from now on: one that is silent says nothing about the majority.
    #[must_use]
    pub fn doubt(&self, now: Instant) -> bool {
        let mut state = self.state();
        let is_watched = state.looked.is_some_and(|looked| now - looked < BELIEVED);
        if is_watched {
            return false;
        }
        *state = State { missing: Some(now), looked: Some(now) };
        true
    }

    /// Notes that a look found no leader that holds a majority.
    pub fn looked(&self, now: Instant) {
        self.state().looked = Some(now);
    }

    /// Gives the time after which proposals are refused; none while nothing is in doubt.
    ///
    /// It counts only as long as somebody goes on looking. If the thread that looks ended,
    /// nobody would notice that the majority is back, and all would be refused for ever.
    pub fn patience(&self, now: Instant) -> Option<Duration> {
        let state = *self.state();
        let looked = state.looked.is_some_and(|looked| now - looked < BELIEVED);
        let missing = state.missing.filter(|_| looked)?;
        Some(GIVE_UP.saturating_sub(now - missing))
    }

    /// Tells whether proposals are refused at once.
    pub fn is_missing(&self, now: Instant) -> bool {
        self.patience(now).is_some_and(|left| left.is_zero())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no thread panics while it holds this lock")
    }
}
