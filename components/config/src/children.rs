//! Tracks the followers of a process, and what they and the processes below them have in force.

use std::collections::BTreeMap;

use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Position;

use crate::message::FollowRequest;
use crate::message::MAX_SUBTREE_REPORTS;
use crate::message::Report;
use crate::message::Subtree;

/// The maximum number of followers of one parent; further followers are refused and choose another
/// parent.
pub const MAX_CHILDREN: usize = 256;
/// Milliseconds after its last request when a follower is removed.
pub const CHILD_TIMEOUT_MS: u64 = 20_000;

/// The followers of a process.
#[derive(Clone, Debug, Default)]
pub struct Children {
    known: BTreeMap<Node, Child>,
}

/// The result of recording a follower's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowOutcome {
    /// The parent has no room for the follower.
    Full,
    /// What the follower or a process below it has in force changed.
    Changed,
    /// Nothing changed.
    Unchanged,
}

#[derive(Clone, Debug)]
struct Child {
    report: Report,
    subtree: Subtree,
    last_request: Millis,
}

impl Children {
    /// Records a follower's request and removes followers that timed out.
    pub fn record(&mut self, request: &FollowRequest, now: Millis) -> FollowOutcome {
        self.known.retain(|_, child| now.since(child.last_request) < CHILD_TIMEOUT_MS);
        let known = self.known.get(&request.node);
        if known.is_none() && self.known.len() >= MAX_CHILDREN {
            return FollowOutcome::Full;
        }
        let report =
            Report { node: request.node.clone(), incarnation: request.incarnation, at: request.at };
        let subtree = request.subtree.clone();
        let is_changed = known.is_none_or(|k| k.report != report || k.subtree != subtree);
        self.known.insert(request.node.clone(), Child { report, subtree, last_request: now });
        if is_changed { FollowOutcome::Changed } else { FollowOutcome::Unchanged }
    }

    /// Returns the number of followers.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether there are no followers.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Summarises what the followers and the processes below them have in force.
    pub fn subtree(&self, now: Millis) -> Subtree {
        let present =
            self.known.values().filter(|child| now.since(child.last_request) < CHILD_TIMEOUT_MS);
        let mut latest = BTreeMap::new();
        let (mut unnamed, mut lowest) = (0, None::<Position>);
        for child in present {
            let below = &child.subtree;
            unnamed += below.processes.saturating_sub(below.reports.len() as u32);
            lowest = min_position(lowest, below.lowest);
            for report in below.reports.iter().chain([&child.report]) {
                keep_latest(&mut latest, report);
            }
        }
        let mut reports: Vec<_> = latest.into_values().cloned().collect();
        reports.sort_by_key(|report| report.at);
        lowest = min_position(lowest, reports.first().map(|report| report.at));
        let processes = reports.len() as u32 + unnamed;
        reports.truncate(MAX_SUBTREE_REPORTS);
        Subtree { processes, lowest, reports }
    }
}

fn min_position(one: Option<Position>, other: Option<Position>) -> Option<Position> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}

/// Keeps the latest report of each process. A process that changed its parent is temporarily
/// reported by both parents, and a process that restarted without a disk has a lower position than
/// before.
pub fn keep_latest<'a>(latest: &mut BTreeMap<&'a Node, &'a Report>, report: &'a Report) {
    let rank = |report: &Report| -> (Incarnation, Position) { (report.incarnation, report.at) };
    let known = latest.entry(&report.node).or_insert(report);
    if rank(report) > rank(known) {
        *known = report;
    }
}
