//! The follower's status: its parent and whether the process is isolated.

use std::time::Instant;

use chicoryford_types::Member;
use chicoryford_types::Millis;
use serde_json::Value;
use serde_json::json;

use crate::follower::LONG_POLL_MS;
use crate::follower::REPLY_MARGIN_MS;
use crate::quorum::QuorumStatus;
use crate::shared::SharedState;

/// Milliseconds without a reply from any parent after which a process counts as isolated.
pub const ISOLATION_TIMEOUT_MS: u64 = 2 * (LONG_POLL_MS + REPLY_MARGIN_MS);
/// The maximum number of lagging processes named in a dump.
const MAX_NAMED: usize = 20;

/// The status of the follower of a process.
#[derive(Clone, Debug, Default)]
pub struct FollowerStatus {
    /// The current parent; `None` in a control process and while there is no parent.
    pub parent: Option<Member>,
    /// When a parent last replied.
    pub last_reply: Option<Millis>,
    /// Whether the process was isolated at the last check, so that a change is logged once.
    pub was_isolated: bool,
    /// The error of the last save; `None` if it succeeded.
    pub save_error: Option<String>,
    /// Replies so far with changes.
    pub deltas: u64,
    /// Replies so far with a snapshot.
    pub snapshots: u64,
    /// Parents abandoned so far because they were silent, failed or were behind.
    pub parents_left: u64,
}

impl FollowerStatus {
    /// Returns whether no parent has replied for [`ISOLATION_TIMEOUT_MS`]. An isolated process
    /// keeps using the configuration it has.
    pub fn is_isolated(&self, now: Millis) -> bool {
        now.since(self.last_reply.unwrap_or_default()) > ISOLATION_TIMEOUT_MS
    }
}

/// Returns the configuration part of the state dump.
pub fn dump(shared: &SharedState, quorum: &QuorumStatus, is_control: bool, now: Millis) -> Value {
    let (config, digest) = {
        let mut store = shared.store();
        (store.config(), store.digest())
    };
    let below = shared.children().subtree(now);
    let lagging = below.reports.iter().filter(|report| report.at < config.at);
    let lagging: Vec<_> = lagging.map(|report| report.node.as_str()).take(MAX_NAMED).collect();
    let status = shared.status();
    json!({
        "at": config.at.to_string(),
        "digest": digest.to_string(),
        "templates": config.templates.len(),
        "stops": config.stops.len(),
        "convictions": config.convictions.len(),
        "parent": status.parent.as_ref().map(|parent| parent.node.as_str()),
        "heard_ms_ago": status.last_reply.map(|last| now.since(last)),
        "isolated": !is_control && status.is_isolated(now),
        "majority": !quorum.is_missing(Instant::now()),
        "unsaved": status.save_error,
        "deltas": status.deltas,
        "snapshots": status.snapshots,
        "parents_left": status.parents_left,
        "below": {
            "processes": below.processes,
            "lowest": below.lowest.map(|lowest| lowest.to_string()),
            "lagging": lagging,
        },
    })
}
