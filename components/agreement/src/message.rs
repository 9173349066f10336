//! What replicas say to each other.
//!
//! Messages may be lost, doubled, delayed and reordered. Every one carries the sender's epoch and
//! both identities; one for another incarnation of the receiver's data folder is dropped.

use bytes::Bytes;
use chicoryford_types::Epoch;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::Entry;
use crate::entry::EntryId;
use crate::identity::ReplicaId;
use crate::saved::SnapshotMeta;

/// A message.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Message {
    /// Who sends it.
    pub from: ReplicaId,
    /// Who is to have it; incarnation zero while the founders do not know each other yet.
    pub to: ReplicaId,
    /// The sender's epoch.
    pub epoch: Epoch,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Body {
    /// Would you vote for me in the next epoch?
    PreVote {
        /// The epoch that the sender would start.
        next: Epoch,
        /// The last entry of its log.
        last: EntryId,
    },
    /// The answer to a `PreVote`.
    PreVoteReply {
        /// The epoch that was asked about.
        next: Epoch,
        /// Whether the sender would.
        granted: bool,
    },
    /// Vote for me in this epoch.
    Vote {
        /// The last entry of the sender's log.
        last: EntryId,
        /// Whether the present leader asked for this election, so that its being heard is no
        /// reason to refuse.
        handed: bool,
    },
    /// The answer to a `Vote`.
    VoteReply {
        /// Whether the sender voted for the receiver; if so, that is on its disk.
        granted: bool,
    },
    /// The leader's entries, or a heartbeat if there are none.
    Append {
        /// The entry before the first.
        prev: EntryId,
        /// The entries.
        entries: Vec<Entry>,
        /// The last entry that the leader knows to be committed.
        commit: u64,
        /// Counts the leader's rounds of heartbeats in this epoch.
        round: u64,
    },
    /// The answer to an `Append`, or word that more is on disk now.
    AppendReply {
        /// The round of the `Append`.
        round: u64,
        /// The log up to here is equal to the leader's, and on disk.
        matched: u64,
        /// Set if the entry before the first was missing or different: a place at or before
        /// which the logs may be equal.
        conflict: Option<EntryId>,
    },
    /// A piece of a snapshot, for a replica that needs entries that are no longer kept.
    #[serde(rename = "Piece")]
    SnapshotChunk {
        /// What the snapshot stands for.
        meta: SnapshotMeta,
        /// The bytes of the whole snapshot.
        total: u64,
        /// Where the piece begins.
        offset: u64,
        /// The piece.
        data: Bytes,
        /// The leader's round, as in `Append`.
        round: u64,
    },
    /// The answer to a `Piece`.
    #[serde(rename = "PieceReply")]
    SnapshotChunkReply {
        /// The last entry in the snapshot.
        #[serde(rename = "mark")]
        last: EntryId,
        /// The bytes that the sender holds of it.
        received: u64,
        /// The round of the `Piece`.
        round: u64,
    },
    /// Start an election at once: the leader hands over.
    #[serde(rename = "CampaignNow")]
    TimeoutNow,
    /// A founder with an empty disk asks who the others are.
    Hello,
    /// The answer to a `Hello`: the sender's identity is in the message.
    HelloReply {
        /// Whether the sender never voted, saw no epoch and holds no entry.
        empty: bool,
    },
    /// I have just started; have you?
    Restarted {
        /// Tells the sender's process from its earlier ones.
        number: u64,
    },
    /// The answer to a `Restarted`.
    RestartedReply {
        /// The number of the question.
        number: u64,
        /// Whether the sender has heard no leader since it started, and has not led.
        too: bool,
    },
}
