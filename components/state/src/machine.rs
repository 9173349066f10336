//! The state machine.

use chicoryford_types::Config;
use chicoryford_types::Position;
use chicoryford_types::Unix;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Command;
use crate::command::Reply;

/// The replicated state.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct State {
    /// What is pushed to every process.
    pub config: Config,
}

impl State {
    /// Applies a committed command.
    ///
    /// `at` is the epoch in which it was committed and the revision it would get if it changes
    /// configuration; `stamp` is the wall clock that the leader wrote into the log entry, the
    /// same on every replica.
    pub fn apply(&mut self, at: Position, stamp: Unix, command: Command) -> Reply {
        let _ = (at, stamp, command);
        Reply::Done
    }
}
