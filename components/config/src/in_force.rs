//! Determines at which processes a configuration is in force.

use std::collections::BTreeMap;

use chicoryford_types::Members;
use chicoryford_types::Node;
use chicoryford_types::Position;
use serde::Deserialize;
use serde::Serialize;

use crate::children::keep_latest;
use crate::message::Report;

/// The maximum number of lagging processes that are named.
const MAX_NAMED: usize = 100;

/// Whether the configuration up to a position is in force everywhere.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct InForce {
    /// The position in question.
    pub at: Position,
    /// Whether every present process has reached it.
    pub everywhere: bool,
    /// Processes that have not reached it or have not reported.
    pub lagging: Vec<Node>,
    /// The number of such processes; `lagging` may name fewer.
    pub behind: usize,
    /// The number of present processes.
    pub processes: usize,
}

/// Determines from the reports whether `at` is in force at all present members.
///
/// A report from an earlier start of a process is ignored, because a process without a disk
/// restarts with an empty configuration.
pub fn evaluate(at: Position, members: &Members, reports: &[Report]) -> InForce {
    let mut latest = BTreeMap::new();
    for report in reports {
        keep_latest(&mut latest, report);
    }
    let has_reached = |member: &&chicoryford_types::Member| {
        let report = latest.get(&member.node);
        report.is_some_and(|r| r.incarnation >= member.incarnation && r.at >= at)
    };
    let (reached, behind): (Vec<_>, Vec<_>) = members.present().partition(has_reached);
    InForce {
        at,
        everywhere: behind.is_empty(),
        lagging: behind.iter().map(|member| member.node.clone()).take(MAX_NAMED).collect(),
        behind: behind.len(),
        processes: reached.len() + behind.len(),
    }
}
