//! What operators see of the control processes, and what they can order them.

use chicoryford_agreement::Role;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Node;
use chicoryford_types::Position;
use chicoryford_weights::Progress;
use serde::Deserialize;
use serde::Serialize;

/// What a control process knows of itself and the others.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Status {
    /// This process.
    pub node: Node,
    /// The identity of its data folder.
    pub identity: Incarnation,
    /// Whether this process leads, follows or seeks votes.
    pub role: Role,
    /// Whether its vote counts.
    pub voter: bool,
    /// The highest epoch that it knows.
    pub epoch: Epoch,
    /// Who leads, as far as it knows.
    pub leader: Option<Node>,
    /// The last entry known to be on a majority.
    pub committed: u64,
    /// The last entry applied to the state.
    pub applied: u64,
    /// The accepted configuration that it has applied.
    pub position: Position,
    /// The replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// The open sessions of entries.
    pub sessions: Vec<(u64, Node)>,
    /// Milliseconds for which the leader's lease still holds, if this process leads.
    pub lease_ms: u64,
    /// Bytes of the agreement's messages taken since the start.
    pub received: u64,
    /// Whoever waits for a command to be committed.
    pub waiting: usize,
    /// How far the newest weights have come; known to the leader only.
    #[serde(default)]
    pub weights: Vec<Progress>,
    /// Promises found broken by this process; zero unless there is a fault.
    pub broken: u64,
    /// The data folder.
    pub storage: StorageStatus,
}

/// A replica as another sees it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ReplicaStatus {
    /// The replica.
    pub node: Node,
    /// The identity of its data folder.
    pub identity: Incarnation,
    /// Where it answers HTTP.
    pub address: String,
    /// Whether its vote counts.
    pub voter: bool,
    /// By how many entries it trails the leader; known to the leader only.
    pub lag: Option<u64>,
    /// Milliseconds since the leader last heard of it; known to the leader only.
    pub silent_ms: Option<u64>,
}

/// The data folder of a control process.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct StorageStatus {
    /// Why nothing is written any more, if so.
    pub failure: Option<String>,
    /// Bytes of the log.
    pub bytes: u64,
    /// The last entry that the newest snapshot covers.
    pub snapshot: u64,
}

/// What an operator orders the control processes, by POST under
/// `chicoryford_wire::paths::CONTROL_STATUS`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Adds a replica that does not vote yet and catches up first.
    Add {
        /// The replica.
        node: Node,
        /// Where it answers HTTP.
        address: String,
    },
    /// Lets a replica vote that has caught up; the leader also does so by itself.
    Promote(Node),
    /// Removes a replica.
    Remove(Node),
    /// Replaces a lost replica: adds the new one, lets it catch up, removes the lost one, lets
    /// the new one vote. The leader, whichever it is, sees it through by itself.
    Replace {
        /// The replica that is lost.
        node: Node,
        /// The new one.
        by: Node,
        /// Where the new one answers HTTP.
        address: String,
    },
    /// Hands leadership to another voter; to the one that is furthest if none is named.
    HandOver(Option<Node>),
}

/// What an [`Action`] came to.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ActionResult {
    /// What was done, for people.
    pub done: String,
    /// How the leader stands after it.
    pub status: Status,
}
