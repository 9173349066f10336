//! Positions in the history of accepted configuration.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Epoch;
use crate::ids::Revision;

/// An epoch and a revision, ordered by epoch first. The position of a process never decreases.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Position {
    /// The epoch in which the revision was accepted.
    pub epoch: Epoch,
    /// The number of the accepted change.
    pub revision: Revision,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.revision)
    }
}
