//! Entries of the log.

use bytes::Bytes;
use chicoryford_types::Epoch;
use serde::Deserialize;
use serde::Serialize;

use crate::identity::Membership;

/// Identifies an entry by epoch and index. Two logs that contain an entry with the same identifier
/// are equal up to that entry.
///
/// Identifiers are ordered by epoch first. Of two logs, the one with the greater last identifier is
/// more up to date.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct EntryId {
    /// The epoch of the leader that created the entry.
    pub epoch: Epoch,
    /// The index of the entry, starting at one, without gaps.
    pub index: u64,
}

/// The content of an entry.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Payload {
    /// No content. A new leader commits such an entry to find out which earlier entries are
    /// committed.
    Empty,
    /// A command for the state machine.
    Data(Bytes),
    /// The members from this entry on. Each replica uses them as soon as the entry is in its log,
    /// committed or not.
    Members(Membership),
}

impl Payload {
    /// Returns the size of a command in bytes, zero for other payloads.
    pub fn size(&self) -> usize {
        match self {
            Self::Data(data) => data.len(),
            Self::Empty | Self::Members(_) => 0,
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// The identifier of the entry.
    #[serde(rename = "mark")]
    pub id: EntryId,
    /// The content of the entry.
    pub payload: Payload,
}
