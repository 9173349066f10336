//! The window in which a resent change is recognised by its id.
//!
//! An operator who loses the answer to a change sends it again, perhaps hundreds of changes
//! later and to another leader. Were it applied anew, it would undo what others did since. The
//! window keeps the first answer of each id, and refuses an id that is older than it reaches:
//! an id carries its time of issue (docs/CONFIGURATION.md), so none is ever mistaken for new.

use std::collections::BTreeMap;

use chicoryford_types::ChangeId;
use chicoryford_types::Digest;
use chicoryford_types::Unix;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Command;
use crate::command::Refusal;
use crate::command::Reply;
use crate::key::issued;

/// Changes whose answers are kept at most: a day of 4,400 changes by operators and of 21 models
/// published every two minutes.
pub const WINDOW: usize = 32_768;
/// Milliseconds for which answers are kept at most.
pub const WINDOW_MS: u64 = 24 * 60 * 60 * 1_000;
/// Bytes of answers kept at most; those of conflicts hold a template and a difference.
pub const WINDOW_BYTES: usize = 16 << 20;
/// Milliseconds by which an id's time of issue may lie ahead of the leader's clock.
pub const AHEAD_MS: u64 = 5 * 60 * 1_000;

/// Makes a change id that was issued `now`; `random` tells apart those of one millisecond.
pub fn change_id(now: Unix, random: u64) -> ChangeId {
    ChangeId(format!("{}.{random:016x}", now.0))
}

/// The first answers of recent changes.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ChangeWindow {
    /// An unknown id issued at or before this moment may have been seen and forgotten.
    floor: Option<Unix>,
    bytes: usize,
    kept: BTreeMap<(Unix, ChangeId), Kept>,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
struct Kept {
    digest: Digest,
    #[serde(with = "serde_bytes")]
    reply: Vec<u8>,
}

impl ChangeWindow {
    /// Takes the digest by which a resend is told from another change under the same id.
    pub fn digest(command: &Command) -> Digest {
        Digest::of(&rmp_serde::to_vec(command).expect("commands are plain data"))
    }

    /// Finds the first answer of a change, if it is known.
    ///
    /// # Errors
    ///
    /// [`Refusal::IdReused`] if the id came with other content, [`Refusal::IdExpired`] if it is
    /// malformed, older than the window, or from too far ahead.
    pub fn find(
        &self,
        change: &ChangeId,
        digest: Digest,
        now: Unix,
    ) -> Result<Option<Reply>, Refusal> {
        let issued = issued(change.as_str()).ok_or(Refusal::IdExpired)?;
        let is_old = issued.0.saturating_add(WINDOW_MS) <= now.0;
        let is_ahead = issued.0 > now.0.saturating_add(AHEAD_MS);
        if is_old || is_ahead {
            return Err(Refusal::IdExpired);
        }
        if let Some(kept) = self.kept.get(&(issued, change.clone())) {
            return kept.first_answer(digest).map(Some);
        }
        if self.floor.is_some_and(|floor| issued <= floor) {
            return Err(Refusal::IdExpired);
        }
        Ok(None)
    }

    /// Keeps the first answer of a change; returns whether it was indeed the first.
    pub fn keep(&mut self, change: ChangeId, digest: Digest, reply: &Reply, now: Unix) -> bool {
        let Some(issued) = issued(change.as_str()) else { return false };
        let reply = rmp_serde::to_vec(reply).expect("replies are plain data");
        self.bytes += reply.len();
        let earlier = self.kept.insert((issued, change), Kept { digest, reply });
        self.trim(now);
        earlier.is_none()
    }

    /// Counts the answers kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Tells whether no answer is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    fn trim(&mut self, now: Unix) {
        while self.is_over(now)
            && let Some(((issued, _), kept)) = self.kept.pop_first()
        {
            self.bytes -= kept.reply.len();
            self.floor = self.floor.max(Some(issued));
        }
    }

    fn is_over(&self, now: Unix) -> bool {
        let first = self.kept.first_key_value();
        let has_old = first.is_some_and(|((first, _), _)| first.0 + WINDOW_MS <= now.0);
        has_old || self.kept.len() > WINDOW || self.bytes > WINDOW_BYTES
    }
}

impl Kept {
    fn first_answer(&self, digest: Digest) -> Result<Reply, Refusal> {
        if self.digest != digest {
            return Err(Refusal::IdReused);
        }
        Ok(rmp_serde::from_slice(&self.reply).expect("kept replies were encoded here"))
    }
}
