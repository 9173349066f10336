//! The messages between followers and parents.

use chicoryford_types::Delta;
use chicoryford_types::Digest;
use chicoryford_types::Incarnation;
use chicoryford_types::Node;
use chicoryford_types::Position;
use serde::Deserialize;
use serde::Serialize;

/// The maximum number of reports of a subtree in one message; the reports furthest behind are sent.
/// The limit covers all processes of a cluster of the target size, because a process that is not
/// named counts as lagging.
pub const MAX_SUBTREE_REPORTS: usize = 4_096;

/// A follower's request for the configuration beyond its position. The request also acknowledges
/// that position.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct FollowRequest {
    /// The follower.
    pub node: Node,
    /// The start of the process. After a restart without a disk its position is lower than before.
    pub incarnation: Incarnation,
    /// The position it has in force.
    pub at: Position,
    /// How long the parent may wait for a change before it replies, in milliseconds; zero for a
    /// request that only transmits the subtree.
    pub wait_ms: u64,
    /// The digest of its whole configuration, sent occasionally to detect a damaged copy.
    pub digest: Option<Digest>,
    /// What the processes below the follower have in force.
    pub subtree: Subtree,
}

/// A parent's reply to [`FollowRequest`].
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct FollowReply {
    /// The position that the parent has in force.
    pub at: Position,
    /// The changes that the follower is missing; `None` if there are none.
    pub delta: Option<Delta>,
    /// Whether `delta` is a snapshot at the follower's own position that replaces a damaged copy.
    pub repair: bool,
}

/// What the processes below a follower have in force.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Subtree {
    /// The number of these processes.
    pub processes: u32,
    /// The lowest position of any of them; `None` if there are none.
    pub lowest: Option<Position>,
    /// Their reports, furthest behind first, at most [`MAX_SUBTREE_REPORTS`].
    pub reports: Vec<Report>,
}

/// What one process has in force.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// The process.
    pub node: Node,
    /// The start of the process.
    pub incarnation: Incarnation,
    /// The position it has in force.
    pub at: Position,
}
