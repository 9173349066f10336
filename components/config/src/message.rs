//! What followers and parents tell each other.

use chicoryford_types::Delta;
use chicoryford_types::Digest;
use chicoryford_types::Incarnation;
use chicoryford_types::Node;
use chicoryford_types::Position;
use serde::Deserialize;
use serde::Serialize;

/// Reports of a subtree that travel in one message at most; those furthest behind go first. It
/// leaves room for all processes of the target size, because one that is not named counts as
/// lagging.
pub const REPORTS: usize = 4_096;

/// A follower asks for configuration beyond what it has, and acknowledges that by asking.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Follow {
    /// The follower.
    pub node: Node,
    /// Its start: one that restarted without a disk stands lower than before.
    pub incarnation: Incarnation,
    /// What it has in force.
    pub at: Position,
    /// How long the parent may hold the answer back for news, in milliseconds; zero for a
    /// question that only carries the subtree.
    pub wait_ms: u64,
    /// The digest of its whole configuration, now and then, to notice a damaged copy.
    pub digest: Option<Digest>,
    /// What the processes below it have in force.
    pub subtree: Subtree,
}

/// What a parent answers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Followed {
    /// What the parent has in force.
    pub at: Position,
    /// What the follower lacks; none if nothing.
    pub delta: Option<Delta>,
    /// Whether `delta` is of the follower's own position and replaces a damaged copy.
    pub repair: bool,
}

/// What the processes below a follower have in force.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Subtree {
    /// How many there are.
    pub processes: u32,
    /// The lowest position of any; none if there are none.
    pub lowest: Option<Position>,
    /// Their reports, furthest behind first, at most [`REPORTS`].
    pub reports: Vec<Report>,
}

/// What one process has in force.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// The process.
    pub node: Node,
    /// Its start.
    pub incarnation: Incarnation,
    /// What it has in force.
    pub at: Position,
}
