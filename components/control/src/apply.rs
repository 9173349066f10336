//! Applies committed entries to the state and pushes the configuration changes to this process's
//! feed.

use chicoryford_agreement::Entry;
use chicoryford_agreement::EntryId;
use chicoryford_agreement::Payload;
use chicoryford_agreement::Snapshot;
use chicoryford_config::Feed;
use chicoryford_state::Reply;
use chicoryford_state::State;
use chicoryford_types::Position;

use crate::body::Body;
use crate::error::DecodeError;

/// The state and the last entry that was applied to it.
pub struct Applied {
    /// The state.
    pub state: State,
    /// The last applied entry.
    pub last: EntryId,
    /// Bytes of commands applied since the last snapshot was started.
    pub bytes: usize,
    feed: Option<Feed>,
}

impl Applied {
    /// Creates an empty state. Changes of configuration are pushed to `feed`, if there is one.
    pub fn new(feed: Option<Feed>) -> Self {
        Self { state: State::default(), last: EntryId::default(), bytes: 0, feed }
    }

    /// Replaces the state with that of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if another release wrote it in a format that is not supported.
    pub fn reset(&mut self, snapshot: &Snapshot) -> Result<(), DecodeError> {
        let last = snapshot.meta.last;
        let state = rmp_serde::from_slice(&snapshot.data);
        self.state = state.map_err(|source| DecodeError { index: last.index, source })?;
        self.last = last;
        self.bytes = 0;
        if let Some(feed) = &self.feed {
            feed.reset(self.state.config.clone());
        }
        Ok(())
    }

    /// Applies an entry and returns the reply if it contains a command.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if another release wrote a command that this release does not
    /// support. Skipping it would make this replica's state differ from the others'.
    pub fn apply(&mut self, entry: Entry) -> Result<Option<Reply>, DecodeError> {
        let index = entry.id.index;
        let follows = index == self.last.index + 1;
        if !follows {
            tracing::error!(event = "promise_broken", promise = "applied_in_order", index);
        }
        let reply = match entry.payload {
            Payload::Data(data) => {
                self.bytes += data.len();
                let body = Body::decode(&data).map_err(|source| DecodeError { index, source })?;
                Some(self.apply_command(entry.id, body))
            }
            Payload::Empty | Payload::Members(_) => None,
        };
        self.last = entry.id;
        Ok(reply)
    }

    fn apply_command(&mut self, id: EntryId, body: Body) -> Reply {
        let before = self.state.config.at;
        let at = Position { epoch: id.epoch, revision: before.revision.next() };
        let reply = self.state.apply(at, body.stamp, body.command);
        if let Some(feed) = &self.feed {
            for (at, change) in self.state.changes_after(before) {
                feed.push(*at, change.clone());
            }
        }
        reply
    }
}
