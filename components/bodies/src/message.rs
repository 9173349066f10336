//! What entries send each other about bodies.

use bytes::Bytes;
use chicoryford_ledger::BodyName;
use chicoryford_ledger::Holder;
use serde::Deserialize;
use serde::Serialize;

/// Asks a process to hold a body.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Put {
    /// The body.
    pub name: BodyName,
    /// Its bytes.
    pub bytes: Bytes,
}

/// The process holds the body, in this start of it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Stored {
    /// The process as the ledger names it.
    pub holder: Holder,
}

/// Asks for bodies.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Get {
    /// The bodies.
    pub names: Vec<BodyName>,
}

/// Bodies in the order in which they were asked for; none for one that is not held. The list may
/// be shorter than the question, in which case the rest is asked for again.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Found {
    /// The bodies.
    pub bodies: Vec<Option<Bytes>>,
}

/// Tells that bodies are of no use any more.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Drop {
    /// The bodies.
    pub names: Vec<BodyName>,
}

/// The bodies were dropped, or were not held.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Dropped {
    /// How many were held.
    pub count: u32,
}
