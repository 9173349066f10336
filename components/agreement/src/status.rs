//! How a replica stands, for the state dump and for operators.

use chicoryford_types::Epoch;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::EntryId;
use crate::identity::Membership;
use crate::identity::ReplicaId;
use crate::invariant::Invariant;

/// What a replica does at present.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It has an empty disk and looks for the other founders, or waits to be added.
    #[default]
    #[serde(rename = "unborn")]
    Uninitialized,
    /// It follows, or waits for a leader.
    Follower,
    /// It asks whether it could win an election.
    PreCandidate,
    /// It stands for election.
    Candidate,
    /// It leads.
    Leader,
    /// Its disk failed; it takes no part.
    Failed,
}

/// How far another replica is, as the leader knows it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct PeerStatus {
    /// The replica.
    pub id: ReplicaId,
    /// The entry up to which it holds the log on disk.
    pub matched: u64,
    /// Milliseconds since it was last heard.
    pub silent_ms: u64,
    /// Whether it is being sent a snapshot.
    pub snapshot: bool,
}

/// How a replica stands.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Status {
    /// The replica.
    pub id: ReplicaId,
    /// What it does.
    pub role: Role,
    /// Its epoch.
    pub epoch: Epoch,
    /// Who leads, as far as it knows.
    pub leader: Option<ReplicaId>,
    /// The members as its log has them.
    pub members: Membership,
    /// The last entry of its log.
    pub last: EntryId,
    /// The last entry known to be committed.
    pub commit: u64,
    /// The last entry that is on its disk.
    pub durable: u64,
    /// The last entry in its snapshot.
    pub snapshot: EntryId,
    /// Milliseconds for which its lease still holds, if it leads.
    pub lease_ms: u64,
    /// The other replicas, if it leads.
    pub peers: Vec<PeerStatus>,
    /// How many promises were broken here.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// The last of them.
    #[serde(rename = "last_broken")]
    pub last_violation: Option<Invariant>,
}
