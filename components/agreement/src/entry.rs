//! Entries of the log.

use bytes::Bytes;
use chicoryford_types::Epoch;
use serde::Deserialize;
use serde::Serialize;

use crate::identity::Membership;

/// The place of an entry: two logs that hold an entry with the same mark are equal up to it.
///
/// Marks are ordered by epoch first; the log with the greater last mark knows more.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct EntryId {
    /// The epoch whose leader made the entry.
    pub epoch: Epoch,
    /// The entry's number, counted from one without gaps.
    pub index: u64,
}

/// What an entry carries.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Payload {
    /// Nothing; a new leader commits it to learn what is committed.
    Empty,
    /// A command of the state machine.
    Data(Bytes),
    /// The members from this entry on, in force at each replica as soon as it is in its log.
    Members(Membership),
}

impl Payload {
    /// Gives the bytes of a command, none for the others.
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
    /// Its place.
    #[serde(rename = "mark")]
    pub id: EntryId,
    /// What it carries.
    pub payload: Payload,
}
