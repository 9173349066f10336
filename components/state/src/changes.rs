//! Deduplication of operators' changes by id within a window.
//!
//! An operator who loses the reply to a change sends it again, possibly hundreds of changes later
//! and to another leader. If it were applied again, it would undo the changes of others in between.
//! The window stores the first reply of each id and refuses ids that are older than the window: an
//! id contains its time of issue (docs/CONFIGURATION.md), so an old one is never mistaken for a new
//! one.

use std::collections::BTreeMap;

use chicoryford_types::ChangeId;
use chicoryford_types::Digest;
use chicoryford_types::Unix;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Command;
use crate::command::Refusal;
use crate::command::Reply;
use crate::key::issue_time;

/// Maximum number of stored replies: a day of 4,400 changes by operators and of 21 models published
/// every two minutes.
pub const MAX_CHANGES: usize = 32_768;
/// Milliseconds for which replies are stored.
pub const CHANGE_WINDOW_MS: u64 = 24 * 60 * 60 * 1_000;
/// Maximum bytes of stored replies. Replies to conflicts contain a template and a diff.
pub const MAX_REPLY_BYTES: usize = 16 << 20;
/// Maximum milliseconds by which an id's time of issue may be ahead of the leader's clock.
pub const MAX_CLOCK_SKEW_MS: u64 = 5 * 60 * 1_000;

/// Creates a change id that is issued `now`; `random` distinguishes ids of the same millisecond.
pub fn change_id(now: Unix, random: u64) -> ChangeId {
    ChangeId(format!("{}.{random:016x}", now.0))
}

/// The first replies of recent changes.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ChangeWindow {
    /// An unknown id issued at or before this time may have been recorded and evicted.
    floor: Option<Unix>,
    bytes: usize,
    #[serde(rename = "kept")]
    replies: BTreeMap<(Unix, ChangeId), StoredReply>,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
struct StoredReply {
    digest: Digest,
    #[serde(with = "serde_bytes")]
    reply: Vec<u8>,
}

impl ChangeWindow {
    /// Returns the digest that distinguishes a resent change from another change under the same id.
    pub fn digest(command: &Command) -> Digest {
        Digest::of(&rmp_serde::to_vec(command).expect("commands are plain data"))
    }

    /// Returns the first reply of a change, if it is stored.
    ///
    /// # Errors
    ///
    /// [`Refusal::IdReused`] if the id was used with other content, [`Refusal::IdExpired`] if it is
    /// malformed, older than the window, or too far ahead of the clock.
    pub fn find(
        &self,
        change: &ChangeId,
        digest: Digest,
        now: Unix,
    ) -> Result<Option<Reply>, Refusal> {
        let issued = issue_time(change.as_str()).ok_or(Refusal::IdExpired)?;
        let is_old = issued.0.saturating_add(CHANGE_WINDOW_MS) <= now.0;
        let is_ahead = issued.0 > now.0.saturating_add(MAX_CLOCK_SKEW_MS);
        if is_old || is_ahead {
            return Err(Refusal::IdExpired);
        }
        if let Some(stored) = self.replies.get(&(issued, change.clone())) {
            return stored.first_reply(digest).map(Some);
        }
        if self.floor.is_some_and(|floor| issued <= floor) {
            return Err(Refusal::IdExpired);
        }
        Ok(None)
    }

    /// Records the first reply of a change. Returns whether none was recorded before.
    pub fn record(&mut self, change: ChangeId, digest: Digest, reply: &Reply, now: Unix) -> bool {
        let Some(issued) = issue_time(change.as_str()) else { return false };
        let reply = rmp_serde::to_vec(reply).expect("replies are plain data");
        self.bytes += reply.len();
        let earlier = self.replies.insert((issued, change), StoredReply { digest, reply });
        self.evict_expired(now);
        earlier.is_none()
    }

    /// Returns the number of stored replies.
    pub fn len(&self) -> usize {
        self.replies.len()
    }

    /// Returns whether no reply is stored.
    pub fn is_empty(&self) -> bool {
        self.replies.is_empty()
    }

    fn evict_expired(&mut self, now: Unix) {
        while self.is_over_limit(now)
            && let Some(((issued, _), stored)) = self.replies.pop_first()
        {
            self.bytes -= stored.reply.len();
            self.floor = self.floor.max(Some(issued));
        }
    }

    fn is_over_limit(&self, now: Unix) -> bool {
        let first = self.replies.first_key_value();
        let has_old = first.is_some_and(|((first, _), _)| first.0 + CHANGE_WINDOW_MS <= now.0);
        has_old || self.replies.len() > MAX_CHANGES || self.bytes > MAX_REPLY_BYTES
    }
}

impl StoredReply {
    fn first_reply(&self, digest: Digest) -> Result<Reply, Refusal> {
        if self.digest != digest {
            return Err(Refusal::IdReused);
        }
        Ok(rmp_serde::from_slice(&self.reply).expect("stored replies were encoded here"))
    }
}
