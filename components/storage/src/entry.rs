//! The data that the storage keeps.

use bytes::Bytes;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Node;
use serde::Deserialize;
use serde::Serialize;

/// One entry of the log.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// The number of the entry in the log, starting from one.
    pub index: u64,
    /// The epoch of the leader that appended it.
    pub epoch: Epoch,
    /// Its content, which the storage does not interpret.
    pub body: Bytes,
}

/// The election state that a replica must persist. Without it, the replica could vote twice in one
/// epoch after a restart, and two leaders could be elected.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct HardState {
    /// The highest epoch seen.
    pub epoch: Epoch,
    /// The replica for which it voted in that epoch.
    pub vote: Option<Vote>,
}

/// A vote for a replica.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Vote {
    /// The replica's node.
    pub node: Node,
    /// The identity of its data folder.
    pub identity: Incarnation,
}

/// The state after an entry, in place of all entries up to it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Snapshot {
    /// The index of the last entry that it covers.
    pub index: u64,
    /// The epoch of that entry.
    pub epoch: Epoch,
    /// Its content, which the storage does not interpret.
    pub body: Bytes,
}
