//! Messages between replicas.
//!
//! Messages may be lost, duplicated, delayed and reordered. Each message contains the sender's
//! epoch and the identities of sender and receiver. A message to another incarnation of the
//! receiver's data folder is dropped.

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
    /// The sender.
    pub from: ReplicaId,
    /// The receiver. Its incarnation is zero while the founders do not know each other's.
    pub to: ReplicaId,
    /// The sender's epoch.
    pub epoch: Epoch,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in the next epoch.
    PreVote {
        /// The epoch that the sender would start.
        next: Epoch,
        /// The last entry of the sender's log.
        last: EntryId,
    },
    /// The reply to a `PreVote`.
    PreVoteReply {
        /// The epoch that was asked about.
        next: Epoch,
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Requests a vote in the sender's epoch.
    Vote {
        /// The last entry of the sender's log.
        last: EntryId,
        /// Whether the current leader requested this election. If so, recent contact with that
        /// leader is no reason to refuse.
        #[serde(rename = "handed")]
        hand_over: bool,
    },
    /// The reply to a `Vote`.
    VoteReply {
        /// Whether the sender voted for the receiver. A granted vote is on the sender's disk.
        granted: bool,
    },
    /// Entries from the leader, or a heartbeat if there are none.
    Append {
        /// The entry that precedes the first one.
        prev: EntryId,
        /// The entries.
        entries: Vec<Entry>,
        /// The index of the last entry that the leader has committed.
        commit: u64,
        /// The number of the leader's heartbeat round in this epoch.
        round: u64,
    },
    /// The reply to an `Append`, also sent when more entries are synced.
    AppendReply {
        /// The round of the `Append`.
        round: u64,
        /// The index up to which the log equals the leader's and is on disk.
        matched: u64,
        /// Set if the preceding entry was missing or different: an entry at or before which the
        /// logs may be equal.
        conflict: Option<EntryId>,
    },
    /// A chunk of a snapshot, for a replica that needs entries that are no longer in the leader's
    /// log.
    #[serde(rename = "Piece")]
    SnapshotChunk {
        /// The log position and the members of the snapshot.
        meta: SnapshotMeta,
        /// The size of the whole snapshot in bytes.
        total: u64,
        /// The offset of the chunk in bytes.
        offset: u64,
        /// The bytes of the chunk.
        data: Bytes,
        /// The leader's heartbeat round, as in `Append`.
        round: u64,
    },
    /// The reply to a `SnapshotChunk`.
    #[serde(rename = "PieceReply")]
    SnapshotChunkReply {
        /// The last entry that the snapshot covers.
        #[serde(rename = "mark")]
        last: EntryId,
        /// The number of bytes of the snapshot that the sender has received.
        received: u64,
        /// The round of the `SnapshotChunk`.
        round: u64,
    },
    /// Requests that the receiver starts an election at once, because the leader hands over.
    #[serde(rename = "CampaignNow")]
    TimeoutNow,
    /// A founder with an empty disk asks for the identities of the other founders.
    Hello,
    /// The reply to a `Hello`. The sender's identity is in the message header.
    HelloReply {
        /// Whether the sender never voted, saw no epoch and has no entries.
        empty: bool,
    },
    /// The sender has just started and asks whether the receiver has, too.
    Restarted {
        /// A random number that distinguishes the sender's process from its earlier ones.
        number: u64,
    },
    /// The reply to a `Restarted`.
    RestartedReply {
        /// The number from the `Restarted` message.
        number: u64,
        /// Whether the sender has had no contact with a leader since it started, and has not led
        /// itself.
        too: bool,
    },
}
