//! The actions that a replica requests from its caller.

use chicoryford_types::Epoch;
use thiserror::Error;

use crate::entry::Entry;
use crate::event::Token;
use crate::identity::ReplicaId;
use crate::message::Message;
use crate::saved::Snapshot;
use crate::saved::Write;

/// Why a proposal, membership change or read was refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Refusal {
    /// This replica is not the leader. Nothing was done.
    #[error("this replica is not the leader")]
    NotLeader {
        /// The leader, if this replica knows one.
        leader: Option<ReplicaId>,
    },
    /// This replica lost its leadership before the entry was committed; the entry may still be
    /// committed or be lost. For a read, nothing was done.
    #[error("leadership was lost; the entry may still be committed")]
    Unknown {
        /// The leader, if this replica knows one.
        leader: Option<ReplicaId>,
    },
    /// Too many entries are uncommitted. Nothing was done.
    #[error("too many entries are uncommitted")]
    Full,
    /// Leadership is being handed over. Nothing was done.
    #[error("leadership is being handed over")]
    HandingOver,
    /// The disk of this replica failed. Nothing was done.
    #[error("the disk of this replica failed")]
    StorageFailed,
    /// Another membership change is not yet committed. Nothing was done.
    #[error("another membership change is in progress")]
    ChangePending,
    /// The replica to promote has not caught up with the log. Nothing was done.
    #[error("the replica has not caught up")]
    NotCaughtUp,
    /// Too few of the voters that would remain after the change are alive. Nothing was done.
    #[error("too few of the voters that would remain are alive")]
    WouldLoseQuorum,
    /// The change does not apply to the current members. Nothing was done.
    #[error("the change does not apply to the current members")]
    InvalidChange,
}

impl Refusal {
    /// Returns whether the refused request is certain not to take effect.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Unknown { .. })
    }
}

/// A committed entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Committed {
    /// The entry.
    pub entry: Entry,
    /// The token of the proposal, if the entry was proposed at this replica and must be answered.
    pub token: Option<Token>,
}

/// An action that a replica requests. Actions are carried out in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Writes to disk. Writes are carried out in order. One sync may cover several writes;
    /// [`crate::Event::Synced`] then reports the last of them.
    Persist(Write),
    /// Sends a message. Delivery is not guaranteed and nothing waits for it.
    Send(Message),
    /// Applies committed entries to the state machine, in order and without gaps.
    Commit(Vec<Committed>),
    /// Replaces the state of the state machine. The preceding [`Write`] contains the same snapshot.
    ApplySnapshot(Snapshot),
    /// Answers a request with a refusal.
    Refuse {
        /// The refused request.
        token: Token,
        /// The reason.
        reason: Refusal,
    },
    /// Answers a read. A state machine that has applied everything committed before this action
    /// gives a linearizable answer.
    ReadReady {
        /// The read.
        token: Token,
        /// The index up to which the state machine must have applied entries.
        index: u64,
    },
    /// This replica is the leader. Everything committed in earlier epochs was passed to the state
    /// machine before this action.
    BecameLeader {
        /// The epoch.
        epoch: Epoch,
    },
    /// This replica is not the leader, or not yet ready to act as one.
    BecameFollower {
        /// The epoch.
        epoch: Epoch,
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
}
