//! The events that a caller passes to a replica.

use bytes::Bytes;
use chicoryford_types::Node;

use crate::identity::ReplicaId;
use crate::message::Message;
use crate::saved::Snapshot;

/// Identifies a proposal, membership change or read in its answer. The requester draws it, unique
/// during the lifetime of the replica. It never leaves the process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token(pub u64);

/// A command to be committed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Identifies the answer.
    pub token: Token,
    /// The command.
    pub data: Bytes,
}

/// A membership change. Only one can be in progress at a time (docs/AGREEMENT.md).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// Adds a replica as a non-voter. The leader promotes it once it has caught up.
    Add {
        /// The replica.
        id: ReplicaId,
        /// The HTTP address of its node.
        address: String,
        /// The lost replica that it replaces, which is removed just before the promotion.
        replaces: Option<ReplicaId>,
    },
    /// Promotes a non-voter that has caught up to a voter.
    Promote(ReplicaId),
    /// Removes a replica.
    Remove(ReplicaId),
}

/// An event for a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Expected about every 20 ms, whatever other events occur.
    Tick,
    /// A message was received.
    Message(Message),
    /// Commands to commit. Each is answered by [`crate::Action::Commit`] or
    /// [`crate::Action::Refuse`].
    Propose(Vec<Proposal>),
    /// All writes up to the [`crate::Write`] of this number are synced.
    Synced {
        /// The number of the write.
        write: u64,
    },
    /// The state machine took a snapshot at an entry that was committed to it, and the snapshot is
    /// synced. Entries up to it may then be deleted from the disk.
    SnapshotTaken(Snapshot),
    /// Requests a linearizable read, answered by [`crate::Action::ReadReady`] or
    /// [`crate::Action::Refuse`].
    Read {
        /// Identifies the answer.
        token: Token,
    },
    /// Requests a membership change, answered like a proposal.
    ChangeMembers {
        /// Identifies the answer.
        token: Token,
        /// The change.
        change: MembershipChange,
    },
    /// Requests a hand-over of leadership.
    HandOver {
        /// The new leader. `None` selects the voter with the most complete log.
        to: Option<ReplicaId>,
    },
    /// Control processes other than the founders, known from gossip or otherwise. They are asked
    /// before a deployment is bootstrapped.
    KnownNodes(Vec<Node>),
    /// A write or sync failed. The content of the disk cannot be trusted until it is read again, so
    /// the replica stays inactive until its process restarts.
    StorageFailed,
}
