//! What a replica keeps on its disk.

use bytes::Bytes;
use chicoryford_types::Epoch;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::Entry;
use crate::entry::EntryId;
use crate::identity::Membership;
use crate::identity::ReplicaId;

/// What a replica must remember of elections.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct HardState {
    /// The highest epoch that it has seen.
    pub epoch: Epoch,
    /// For whom it voted in that epoch.
    pub vote: Option<ReplicaId>,
}

/// What a snapshot stands for.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct SnapshotMeta {
    /// The last entry that is in it.
    #[serde(rename = "mark")]
    pub last: EntryId,
    /// The members at that entry.
    pub members: Membership,
}

/// A snapshot of the state machine.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Snapshot {
    /// What it stands for.
    pub meta: SnapshotMeta,
    /// The encoded state.
    pub data: Bytes,
}

/// What was found on disk at the start. The default is an empty data folder.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Saved {
    /// What it remembers of elections.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps; entries that are in it may come before.
    pub entries: Vec<Entry>,
}

/// Something to write to disk. The parts are carried out in the order of the fields.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Write {
    /// Counts the writes from one.
    pub number: u64,
    /// What to remember of elections, if it changed.
    pub hard: Option<HardState>,
    /// A snapshot that takes the place of all entries.
    pub snapshot: Option<Snapshot>,
    /// Removes the entries from this index on.
    pub truncate: Option<u64>,
    /// Entries to add at the end.
    pub entries: Vec<Entry>,
}
