//! Who has which configuration in force.

use std::collections::BTreeMap;

use chicoryford_types::Members;
use chicoryford_types::Node;
use chicoryford_types::Position;
use serde::Deserialize;
use serde::Serialize;

use crate::children::keep_latest;
use crate::message::Report;

/// Laggards named at most.
const NAMED: usize = 100;

/// Whether configuration up to a position is in force everywhere.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct InForce {
    /// The position in question.
    pub at: Position,
    /// Whether every process that is alive has reached it.
    pub everywhere: bool,
    /// Processes that have not, or of which nothing is known.
    pub lagging: Vec<Node>,
    /// How many have not; `lagging` may name fewer.
    pub behind: usize,
    /// How many processes are alive.
    pub processes: usize,
}

/// Judges whether `at` is in force at all members that are alive, by what they reported.
///
/// A report of an earlier start of a process does not count: without a disk it begins anew.
pub fn judge(at: Position, members: &Members, reports: &[Report]) -> InForce {
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
        lagging: behind.iter().map(|member| member.node.clone()).take(NAMED).collect(),
        behind: behind.len(),
        processes: reached.len() + behind.len(),
    }
}
