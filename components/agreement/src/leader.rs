//! The volatile state of a leader.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use chicoryford_types::Millis;

use crate::event::Token;
use crate::identity::ReplicaId;
use crate::progress::Progress;

/// The volatile state of a leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaderState {
    /// The replication progress of the other members.
    pub peers: BTreeMap<ReplicaId, Progress>,
    /// The index of the empty entry with which the epoch began.
    pub first_index: u64,
    /// The number of the last heartbeat round.
    pub round: u64,
    /// The rounds that no majority has answered yet with their send times, oldest first.
    pub pending_rounds: VecDeque<(u64, Millis)>,
    /// The last round that a majority answered.
    pub confirmed_round: u64,
    /// The end of the lease: until then no other replica can be elected.
    pub lease_until: Millis,
    /// The time at which the next heartbeat is due.
    pub next_heartbeat: Millis,
    /// The requests to answer when an entry is committed, by index.
    pub tokens: BTreeMap<u64, Token>,
    /// Reads that are not yet answered.
    pub pending_reads: Vec<PendingRead>,
    /// The hand-over of leadership in progress.
    pub hand_over: Option<HandOver>,
}

/// A read that waits until a majority has confirmed that this replica still leads.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    pub token: Token,
    /// The commit index when the read was received; `None` until the first entry of the epoch is
    /// committed.
    pub index: Option<u64>,
    /// The heartbeat round that was started after the read was received.
    pub round: Option<u64>,
}

/// A hand-over of leadership in progress.
#[derive(Clone, Debug)]
pub(crate) struct HandOver {
    pub to: ReplicaId,
    pub deadline: Millis,
    /// Whether the other replica was asked to start an election. From then on there is no lease.
    pub requested: bool,
}
