//! The status of control processes and the actions that operators can request.

use chicoryford_agreement::Role;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Node;
use chicoryford_types::Position;
use chicoryford_weights::Progress;
use serde::Deserialize;
use serde::Serialize;

/// The status of a control process and its view of the other replicas.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Status {
    /// This process.
    pub node: Node,
    /// The identity of its data folder.
    pub identity: Incarnation,
    /// Whether this process is the leader, a follower or a candidate.
    pub role: Role,
    /// Whether its vote counts.
    pub voter: bool,
    /// The highest epoch that this process has seen.
    pub epoch: Epoch,
    /// The current leader, if this process has one.
    pub leader: Option<Node>,
    /// The last entry that this process has recorded as committed.
    pub committed: u64,
    /// The last entry applied to the state.
    pub applied: u64,
    /// The position of the accepted configuration that this process has applied.
    pub position: Position,
    /// The replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// The open sessions of entries.
    pub sessions: Vec<(u64, Node)>,
    /// Milliseconds until the leader's lease expires, if this process leads.
    pub lease_ms: u64,
    /// Bytes of the agreement's messages received since the start.
    pub received: u64,
    /// Number of callers that wait for an entry or a read.
    pub waiting: usize,
    /// Progress of the distribution of the newest weights. Only the leader has it.
    #[serde(default)]
    pub weights: Vec<Progress>,
    /// Number of invariant violations that this process detected. Zero unless there is a fault.
    pub broken: u64,
    /// The data folder.
    pub storage: StorageStatus,
}

/// The status of a replica in the view of another.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ReplicaStatus {
    /// The replica.
    pub node: Node,
    /// The identity of its data folder.
    pub identity: Incarnation,
    /// Its HTTP address.
    pub address: String,
    /// Whether its vote counts.
    pub voter: bool,
    /// Number of entries by which it lags behind the leader. Only the leader has it.
    pub lag: Option<u64>,
    /// Milliseconds since the leader last received a message from it. Only the leader has it.
    pub silent_ms: Option<u64>,
}

/// The data folder of a control process.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct StorageStatus {
    /// The failure after which nothing is written, if there was one.
    pub failure: Option<String>,
    /// Size of the log in bytes.
    pub bytes: u64,
    /// The last entry that the newest snapshot covers.
    pub snapshot: u64,
}

/// An action that an operator requests of the control processes, by POST to
/// `chicoryford_wire::paths::CONTROL_STATUS`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Adds a replica, which becomes a voter only after it has caught up.
    Add {
        /// The replica.
        node: Node,
        /// Its HTTP address.
        address: String,
    },
    /// Makes a replica that has caught up a voter. The leader also does this automatically.
    Promote(Node),
    /// Removes a replica.
    Remove(Node),
    /// Replaces a lost replica: adds the new one, waits until it has caught up, removes the lost
    /// one, and makes the new one a voter. The leader completes this automatically, also after a
    /// change of leaders.
    Replace {
        /// The replica that is lost.
        node: Node,
        /// The new one.
        by: Node,
        /// The HTTP address of the new one.
        address: String,
    },
    /// Hands leadership over to another voter, to the most up-to-date one if none is named.
    HandOver(Option<Node>),
}

/// The result of an [`Action`].
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ActionResult {
    /// The action, as text for operators.
    pub done: String,
    /// The leader's status after the action.
    pub status: Status,
}
