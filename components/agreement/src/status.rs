//! The status of a replica, for the state dump and for operators.

use chicoryford_types::Epoch;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::EntryId;
use crate::identity::Membership;
use crate::identity::ReplicaId;
use crate::invariant::Invariant;

/// The current role of a replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Has an empty disk and contacts the other founders, or waits to be added.
    #[default]
    #[serde(rename = "unborn")]
    Uninitialized,
    /// Follows a leader, or waits for one.
    Follower,
    /// Runs a pre-vote.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads.
    Leader,
    /// Inactive because its disk failed.
    Failed,
}

/// The replication progress of another replica, as recorded by the leader.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct PeerStatus {
    /// The replica.
    pub id: ReplicaId,
    /// The index up to which its log is on disk.
    pub matched: u64,
    /// Milliseconds since the last contact.
    pub silent_ms: u64,
    /// Whether a snapshot transfer to it is in progress.
    pub snapshot: bool,
}

/// The status of a replica.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Status {
    /// The replica.
    pub id: ReplicaId,
    /// Its role.
    pub role: Role,
    /// Its epoch.
    pub epoch: Epoch,
    /// The leader, if the replica knows one.
    pub leader: Option<ReplicaId>,
    /// The members according to its log.
    pub members: Membership,
    /// Whether the last change of the members may still be undone, as far as this replica knows.
    #[serde(default)]
    pub changing: bool,
    /// The last entry of its log.
    pub last: EntryId,
    /// The index of the last entry known to be committed.
    pub commit: u64,
    /// The index of the last entry that is on its disk.
    pub durable: u64,
    /// The last entry covered by its snapshot.
    pub snapshot: EntryId,
    /// Remaining milliseconds of its lease, if it leads.
    pub lease_ms: u64,
    /// The other replicas, if it leads.
    pub peers: Vec<PeerStatus>,
    /// The number of invariant violations in this process.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// The last violation.
    #[serde(rename = "last_broken")]
    pub last_violation: Option<Invariant>,
}
