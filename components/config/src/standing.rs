//! What a process knows of its own place: its parent, and whether it is isolated.

use std::time::Instant;

use chicoryford_types::Member;
use chicoryford_types::Millis;
use serde_json::Value;
use serde_json::json;

use crate::follower::MARGIN_MS;
use crate::follower::WAIT_MS;
use crate::quorum::Quorum;
use crate::shared::Shared;

/// Milliseconds without an answer from any parent after which a process calls itself isolated.
pub const ISOLATED_MS: u64 = 2 * (WAIT_MS + MARGIN_MS);
/// Lagging processes named in a dump at most.
const NAMED: usize = 20;

/// What a process knows of its own place.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    /// The parent that is followed; none for a control process, or while there is none.
    pub parent: Option<Member>,
    /// When a parent last answered.
    pub heard: Option<Millis>,
    /// Whether the last look found this process isolated, to log a change of it once.
    pub was_isolated: bool,
    /// Why the last save failed, until one works again.
    pub unsaved: Option<String>,
    /// Answers taken so far that moved the configuration on by changes.
    pub deltas: u64,
    /// Answers taken so far that replaced the configuration.
    pub snapshots: u64,
    /// Parents left so far because they were silent, failed, or lay behind.
    pub left: u64,
}

impl Standing {
    /// Tells whether no parent has answered for long. The process goes on with what it has.
    pub fn is_isolated(&self, now: Millis) -> bool {
        now.since(self.heard.unwrap_or_default()) > ISOLATED_MS
    }
}

/// Gives the part of the state dump that tells of configuration.
pub fn dump(shared: &Shared, quorum: &Quorum, is_control: bool, now: Millis) -> Value {
    let (config, digest) = {
        let mut store = shared.store();
        (store.config(), store.digest())
    };
    let below = shared.children().subtree(now);
    let lagging = below.reports.iter().filter(|report| report.at < config.at);
    let lagging: Vec<_> = lagging.map(|report| report.node.as_str()).take(NAMED).collect();
    let standing = shared.standing();
    json!({
        "at": config.at.to_string(),
        "digest": digest.to_string(),
        "templates": config.templates.len(),
        "stops": config.stops.len(),
        "convictions": config.convictions.len(),
        "parent": standing.parent.as_ref().map(|parent| parent.node.as_str()),
        "heard_ms_ago": standing.heard.map(|heard| now.since(heard)),
        "isolated": !is_control && standing.is_isolated(now),
        "majority": !quorum.is_missing(Instant::now()),
        "unsaved": standing.unsaved,
        "deltas": standing.deltas,
        "snapshots": standing.snapshots,
        "parents_left": standing.left,
        "below": {
            "processes": below.processes,
            "lowest": below.lowest.map(|lowest| lowest.to_string()),
            "lagging": lagging,
        },
    })
}
