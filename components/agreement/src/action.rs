//! What a replica wants done.

use chicoryford_types::Epoch;
use thiserror::Error;

use crate::entry::Entry;
use crate::event::Token;
use crate::identity::ReplicaId;
use crate::message::Message;
use crate::saved::Snapshot;
use crate::saved::Write;

/// Why a proposal, change or read was refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Refusal {
    /// This replica does not lead. Nothing was done.
    #[error("this replica does not lead")]
    NotLeader {
        /// Who leads, as far as this replica knows.
        leader: Option<ReplicaId>,
    },
    /// This replica lost its leadership before the entry was committed: it may yet be committed
    /// or be lost. For a read, nothing was done.
    #[error("leadership was lost; the entry may yet be committed")]
    Unknown {
        /// Who leads, as far as this replica knows.
        leader: Option<ReplicaId>,
    },
    /// Too much is uncommitted already. Nothing was done.
    #[error("too much is uncommitted")]
    Full,
    /// Leadership is being handed over. Nothing was done.
    #[error("leadership is being handed over")]
    HandingOver,
    /// This replica's disk failed. Nothing was done.
    #[error("the disk of this replica failed")]
    StorageFailed,
    /// Another change of the members is not yet committed. Nothing was done.
    #[error("another change of the members is in progress")]
    ChangePending,
    /// The replica to promote does not yet hold enough of the log. Nothing was done.
    #[error("the replica has not caught up")]
    NotCaughtUp,
    /// Too few of the voters that the change would leave are alive. Nothing was done.
    #[error("too few of the voters that would remain are alive")]
    WouldLoseQuorum,
    /// The change makes no sense for the present members. Nothing was done.
    #[error("the change does not fit the members")]
    InvalidChange,
}

impl Refusal {
    /// Tells whether what was refused certainly does not happen.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Unknown { .. })
    }
}

/// A committed entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Committed {
    /// The entry.
    pub entry: Entry,
    /// The token, if the entry was proposed here and is now to be answered.
    pub token: Option<Token>,
}

/// What a replica wants done, in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Writes something to disk. Writes are carried out in order; one sync may serve several,
    /// after which [`crate::Event::Synced`] names the last of them.
    Persist(Write),
    /// Sends a message. It may be lost; nothing waits for it.
    Send(Message),
    /// Applies entries to the state machine, in order and without gaps.
    Commit(Vec<Committed>),
    /// Replaces the state machine's state. The snapshot is also in the [`Write`] before it.
    ApplySnapshot(Snapshot),
    /// Answers that something is refused.
    Refuse {
        /// What.
        token: Token,
        /// Why.
        why: Refusal,
    },
    /// Answers a read: a state machine that has applied what was committed before this action
    /// gives a linearizable answer.
    ReadReady {
        /// Which read.
        token: Token,
        /// The entry up to which the state machine must have applied.
        index: u64,
    },
    /// This replica leads, and everything committed in earlier epochs was handed to the state
    /// machine before this action.
    BecameLeader {
        /// The epoch.
        epoch: Epoch,
    },
    /// This replica does not lead, or not yet.
    BecameFollower {
        /// The epoch.
        epoch: Epoch,
        /// Who leads, if that is known.
        leader: Option<ReplicaId>,
    },
}
