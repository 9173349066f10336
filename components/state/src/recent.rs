//! The last accepted changes, from which followers are given deltas.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use chicoryford_types::Change;
use chicoryford_types::Config;
use chicoryford_types::Delta;
use chicoryford_types::Position;
use chicoryford_types::StopId;
use chicoryford_types::Workspace;
use chicoryford_types::ids::Model;
use serde::Deserialize;
use serde::Serialize;

/// Changes kept for deltas; a follower that missed more is given a snapshot.
pub const MAX_RECENT_CHANGES: usize = 4_096;

/// The last accepted changes, bounded by [`MAX_RECENT_CHANGES`].
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct RecentChanges {
    /// A follower at or beyond this position can be given a delta.
    floor: Position,
    changes: VecDeque<(Position, Change)>,
}

impl RecentChanges {
    /// Starts anew from a snapshot at `at`, before which no change is known.
    pub fn at(at: Position) -> Self {
        Self { floor: at, changes: VecDeque::new() }
    }

    /// Keeps a change that was just applied.
    pub fn push(&mut self, at: Position, change: Change) {
        self.changes.push_back((at, change));
        if self.changes.len() > MAX_RECENT_CHANGES
            && let Some((dropped, _)) = self.changes.pop_front()
        {
            self.floor = dropped;
        }
    }

    /// Lists the changes beyond a position, oldest first.
    pub fn after(&self, from: Position) -> impl Iterator<Item = &(Position, Change)> {
        let start = self.changes.partition_point(|(at, _)| *at <= from);
        self.changes.range(start..)
    }

    /// Gives what a follower at `from` needs to reach `config`, whose last changes these are.
    ///
    /// Of several changes of one template, stop or model only the last travels: a follower that
    /// missed a thousand changes of ten templates is given ten. A follower that is ahead is
    /// given nothing, because it must never go back.
    pub fn delta(&self, config: &Config, from: Position) -> Delta {
        if from >= config.at {
            return Delta::Changes { from, to: from, changes: Vec::new() };
        }
        if from < self.floor {
            return Delta::Snapshot(Box::new(config.clone()));
        }
        let missed: Vec<_> = self.after(from).collect();
        let changes = last_of_each(&missed);
        Delta::Changes { from, to: config.at, changes }
    }
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Subject<'a> {
    Template(&'a Workspace),
    Stop(&'a StopId),
    Weights(&'a Model),
}

/// Names what a later change of the same thing replaces whole. Changes of suspects and
/// convictions depend on those before them, so they all travel.
fn subject(change: &Change) -> Option<Subject<'_>> {
    match change {
        Change::Template(versioned) => Some(Subject::Template(&versioned.template.workspace)),
        Change::TemplateRemoved(workspace) => Some(Subject::Template(workspace)),
        Change::Stop(id, _) | Change::StopRemoved(id) => Some(Subject::Stop(id)),
        Change::Weights(model, _) => Some(Subject::Weights(model)),
        Change::Suspected(..)
        | Change::Cleared(_)
        | Change::Convicted(..)
        | Change::Pardoned(_) => None,
    }
}

fn last_of_each(missed: &[&(Position, Change)]) -> Vec<(Position, Change)> {
    let mut seen = BTreeSet::new();
    let mut kept = Vec::new();
    for entry in missed.iter().rev() {
        let is_last = subject(&entry.1).is_none_or(|subject| seen.insert(subject));
        if is_last {
            kept.push((*entry).clone());
        }
    }
    kept.reverse();
    kept
}
