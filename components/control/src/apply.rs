//! Applies committed entries to the state and feeds its changes to this process.

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

/// The state and how far it has come.
pub struct Applied {
    /// The state.
    pub state: State,
    /// The last entry in it.
    pub mark: EntryId,
    /// Bytes of commands applied since the last snapshot was begun.
    pub bytes: usize,
    feed: Option<Feed>,
}

impl Applied {
    /// Starts from nothing; `feed` takes the changes of configuration, if there is one.
    pub fn new(feed: Option<Feed>) -> Self {
        Self { state: State::default(), mark: EntryId::default(), bytes: 0, feed }
    }

    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if another release wrote it.
    pub fn reset(&mut self, snapshot: &Snapshot) -> Result<(), DecodeError> {
        let mark = snapshot.meta.last;
        let state = rmp_serde::from_slice(&snapshot.data);
        self.state = state.map_err(|source| DecodeError { index: mark.index, source })?;
        self.mark = mark;
        self.bytes = 0;
        if let Some(feed) = &self.feed {
            feed.reset(self.state.config.clone());
        }
        Ok(())
    }

    /// Applies an entry; gives the reply if it carries a command.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if another release wrote a command that this one does not know. To go on
    /// without it would make this replica's state differ from the others'.
    pub fn apply(&mut self, entry: Entry) -> Result<Option<Reply>, DecodeError> {
        let index = entry.id.index;
        let follows = index == self.mark.index + 1;
        if !follows {
            tracing::error!(event = "promise_broken", promise = "applied_in_order", index);
        }
        let reply = match entry.payload {
            Payload::Data(data) => {
                self.bytes += data.len();
                let body = Body::decode(&data).map_err(|source| DecodeError { index, source })?;
                Some(self.command(entry.id, body))
            }
            Payload::Empty | Payload::Members(_) => None,
        };
        self.mark = entry.id;
        Ok(reply)
    }

    fn command(&mut self, mark: EntryId, body: Body) -> Reply {
        let before = self.state.config.at;
        let at = Position { epoch: mark.epoch, revision: before.revision.next() };
        let reply = self.state.apply(at, body.stamp, body.command);
        if let Some(feed) = &self.feed {
            for (at, change) in self.state.changes_after(before) {
                feed.push(*at, change.clone());
            }
        }
        reply
    }
}
