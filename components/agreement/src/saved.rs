//! The persistent state of a replica.

use bytes::Bytes;
use chicoryford_types::Epoch;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::Entry;
use crate::entry::EntryId;
use crate::identity::Membership;
use crate::identity::ReplicaId;

/// The persistent election state of a replica.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct HardState {
    /// The highest epoch that it has seen.
    pub epoch: Epoch,
    /// The candidate that it voted for in that epoch.
    pub vote: Option<ReplicaId>,
}

/// The log position and members of a snapshot.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct SnapshotMeta {
    /// The last entry that the snapshot covers.
    #[serde(rename = "mark")]
    pub last: EntryId,
    /// The members as of that entry.
    pub members: Membership,
}

/// A snapshot of the state machine.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Snapshot {
    /// The log position and members.
    pub meta: SnapshotMeta,
    /// The encoded state of the state machine.
    pub data: Bytes,
}

/// The state read from disk at startup. The default is an empty data folder.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Saved {
    /// The election state.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps. They may be preceded by entries that the
    /// snapshot covers.
    pub entries: Vec<Entry>,
}

/// A write to disk. Its parts are carried out in the order of the fields.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Write {
    /// The sequence number of the write, starting at one.
    pub number: u64,
    /// The election state, if it changed.
    pub hard: Option<HardState>,
    /// A snapshot that replaces all entries.
    pub snapshot: Option<Snapshot>,
    /// The index from which entries are removed.
    pub truncate: Option<u64>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}
