//! What a replica keeps only while it leads.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use chicoryford_types::Millis;

use crate::event::Token;
use crate::identity::ReplicaId;
use crate::progress::Progress;

/// What a replica keeps only while it leads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leader {
    /// The other members.
    pub peers: BTreeMap<ReplicaId, Progress>,
    /// The empty entry with which the epoch began.
    pub first: u64,
    /// The last round of heartbeats.
    pub round: u64,
    /// When the rounds were sent that no majority has answered, oldest first.
    pub rounds: VecDeque<(u64, Millis)>,
    /// The last round that a majority answered.
    pub confirmed: u64,
    /// Until when no other replica can be elected.
    pub lease: Millis,
    /// When the next heartbeat is due.
    pub beat: Millis,
    /// Who is to be answered when an entry is committed.
    pub tokens: BTreeMap<u64, Token>,
    /// Reads that wait.
    pub reads: Vec<Read>,
    /// The hand-over in progress.
    pub handing: Option<Handing>,
}

/// A read that waits until a majority has confirmed that this replica still leads.
#[derive(Clone, Debug)]
pub(crate) struct Read {
    pub token: Token,
    /// What was committed when the read came; none while the epoch's first entry is not.
    pub index: Option<u64>,
    /// The round that was sent after the read came.
    pub round: Option<u64>,
}

/// A hand-over in progress.
#[derive(Clone, Debug)]
pub(crate) struct Handing {
    pub to: ReplicaId,
    pub until: Millis,
    /// Whether the other was told to start an election; from then on there is no lease.
    pub told: bool,
}
