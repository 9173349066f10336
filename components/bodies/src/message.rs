//! The messages about bodies between entries.

use bytes::Bytes;
use chicoryford_ledger::BodyName;
use chicoryford_ledger::Holder;
use chicoryford_ledger::StepKey;
use chicoryford_types::Group;
use serde::Deserialize;
use serde::Serialize;

/// Requests a process to store a body.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Put {
    /// The body.
    pub name: BodyName,
    /// Its bytes.
    pub bytes: Bytes,
}

/// The reply of a process that stored a body. It is valid for this incarnation of the process.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Stored {
    /// The process, as named in the ledger.
    pub holder: Holder,
}

/// Requests bodies.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Get {
    /// The bodies.
    pub names: Vec<BodyName>,
}

/// Bodies in the order of the request; none for a body that is not stored. The list may be shorter
/// than the request; the rest must be requested again.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Found {
    /// The bodies.
    pub bodies: Vec<Option<Bytes>>,
}

/// Reports bodies that are no longer needed.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Drop {
    /// The bodies.
    pub names: Vec<BodyName>,
    /// Groups of which no body is needed. A process of an earlier release does not send them.
    #[serde(default)]
    pub groups: Vec<(StepKey, Group)>,
}

/// The bodies were dropped, or were not stored.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Dropped {
    /// The number of bodies that were stored.
    pub count: u32,
}
