//! The followers of a process, and what they and those below them have in force.

use std::collections::BTreeMap;

use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Position;

use crate::message::Follow;
use crate::message::REPORTS;
use crate::message::Report;
use crate::message::Subtree;

/// Followers that one parent serves at most; others are sent on to their next choice.
pub const CHILDREN: usize = 256;
/// Milliseconds after its last question when a follower counts as gone.
pub const GONE_MS: u64 = 20_000;

/// The followers of a process.
#[derive(Clone, Debug, Default)]
pub struct Children {
    known: BTreeMap<Node, Child>,
}

/// What a follower's question brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
    /// There is no room for the follower.
    Full,
    /// It, or a process below it, has something else in force than before.
    News,
    /// All is as it was.
    Nothing,
}

#[derive(Clone, Debug)]
struct Child {
    report: Report,
    subtree: Subtree,
    heard: Millis,
}

impl Children {
    /// Takes a follower's question in.
    pub fn hear(&mut self, follow: &Follow, now: Millis) -> Heard {
        self.known.retain(|_, child| now.since(child.heard) < GONE_MS);
        let known = self.known.get(&follow.node);
        if known.is_none() && self.known.len() >= CHILDREN {
            return Heard::Full;
        }
        let report =
            Report { node: follow.node.clone(), incarnation: follow.incarnation, at: follow.at };
        let subtree = follow.subtree.clone();
        let is_news = known.is_none_or(|k| k.report != report || k.subtree != subtree);
        self.known.insert(follow.node.clone(), Child { report, subtree, heard: now });
        if is_news { Heard::News } else { Heard::Nothing }
    }

    /// Counts the followers.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Tells whether there are no followers.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Sums up what the followers and those below them have in force.
    pub fn subtree(&self, now: Millis) -> Subtree {
        let heard = self.known.values().filter(|child| now.since(child.heard) < GONE_MS);
        let mut latest = BTreeMap::new();
        let (mut unnamed, mut lowest) = (0, None::<Position>);
        for child in heard {
            let below = &child.subtree;
            unnamed += below.processes.saturating_sub(below.reports.len() as u32);
            lowest = least(lowest, below.lowest);
            for report in below.reports.iter().chain([&child.report]) {
                keep_latest(&mut latest, report);
            }
        }
        let mut reports: Vec<_> = latest.into_values().cloned().collect();
        reports.sort_by_key(|report| report.at);
        lowest = least(lowest, reports.first().map(|report| report.at));
        let processes = reports.len() as u32 + unnamed;
        reports.truncate(REPORTS);
        Subtree { processes, lowest, reports }
    }
}

fn least(one: Option<Position>, other: Option<Position>) -> Option<Position> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}

/// Keeps the latest report of each process: one that went to another parent is known to both
/// for a while, and one that restarted without a disk stands lower than it did.
pub fn keep_latest<'a>(latest: &mut BTreeMap<&'a Node, &'a Report>, report: &'a Report) {
    let rank = |report: &Report| -> (Incarnation, Position) { (report.incarnation, report.at) };
    let known = latest.entry(&report.node).or_insert(report);
    if rank(report) > rank(known) {
        *known = report;
    }
}
