//! The content of a log entry.

use bytes::Bytes;
use chicoryford_state::Command;
use chicoryford_types::Unix;
use serde::Deserialize;
use serde::Serialize;

/// A command as it is stored in the log.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Body {
    /// The wall-clock time of the leader that appended it. Each replica applies the command with
    /// this time instead of its own, so that all of them compute the same state.
    pub stamp: Unix,
    /// The command.
    pub command: Command,
}

impl Body {
    /// Encodes the body for the log.
    pub fn encode(&self) -> Bytes {
        rmp_serde::to_vec_named(self).expect("commands are plain data").into()
    }

    /// Decodes the output of [`Body::encode`].
    ///
    /// # Errors
    ///
    /// Returns the decoder's error, for instance if a later release wrote a command that this
    /// release does not support.
    pub fn decode(body: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(body)
    }
}
