//! What a replica is told.

use bytes::Bytes;
use chicoryford_types::Node;

use crate::identity::ReplicaId;
use crate::message::Message;
use crate::saved::Snapshot;

/// Recognises a proposal, change or read in its answer. Its asker draws it, unique while the
/// replica lives; it never leaves the process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token(pub u64);

/// A command that somebody wants committed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Comes back in the answer.
    pub token: Token,
    /// The command.
    pub data: Bytes,
}

/// A change of the members; one at a time is in progress (docs/AGREEMENT.md).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// Adds a replica as a non-voter. The leader promotes it by itself once it has caught up.
    Add {
        /// The replica.
        id: ReplicaId,
        /// Where its node answers HTTP.
        address: String,
        /// A lost replica whose place it takes: removed just before the promotion.
        replaces: Option<ReplicaId>,
    },
    /// Makes a voter of a non-voter that has caught up.
    Promote(ReplicaId),
    /// Removes a replica.
    Remove(ReplicaId),
}

/// What a replica is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Tell it about every 20 ms, whatever else happens.
    Tick,
    /// A message came.
    Message(Message),
    /// Commands to be committed. Each is answered by [`crate::Action::Commit`] or
    /// [`crate::Action::Refuse`].
    Propose(Vec<Proposal>),
    /// Everything up to the [`crate::Write`] of this number is on disk and synced.
    Synced {
        /// The number.
        write: u64,
    },
    /// The state machine took a snapshot at an entry that was committed to it, and the snapshot
    /// is on disk and synced. Entries up to it may then be dropped from the disk.
    SnapshotTaken(Snapshot),
    /// A linearizable read is wanted; answered by [`crate::Action::ReadReady`] or
    /// [`crate::Action::Refuse`].
    Read {
        /// Comes back in the answer.
        token: Token,
    },
    /// A change of the members is wanted; answered as a proposal is.
    ChangeMembers {
        /// Comes back in the answer.
        token: Token,
        /// The change.
        change: MembershipChange,
    },
    /// Leadership is to be handed over, to this replica or to the one that is closest behind.
    HandOver {
        /// The replica.
        to: Option<ReplicaId>,
    },
    /// Other control processes that are known, by gossip or otherwise, besides the founders. They
    /// are asked before a deployment is founded.
    KnownNodes(Vec<Node>),
    /// A write or sync failed. After that nothing on the disk can be trusted until it is read
    /// anew, so the replica takes no part until its process restarts.
    StorageFailed,
}
