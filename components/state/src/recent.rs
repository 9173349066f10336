//! The last accepted changes, from which deltas for followers are computed.

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

/// Maximum number of stored changes. A follower that missed more gets a snapshot.
pub const MAX_RECENT_CHANGES: usize = 4_096;

/// The last accepted changes, up to [`MAX_RECENT_CHANGES`].
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct RecentChanges {
    /// A follower at or after this position can be sent a delta.
    floor: Position,
    changes: VecDeque<(Position, Change)>,
}

impl RecentChanges {
    /// Creates an empty list after a snapshot at `at`; earlier changes are not available.
    pub fn starting_at(at: Position) -> Self {
        Self { floor: at, changes: VecDeque::new() }
    }

    /// Stores a change that was just applied.
    pub fn push(&mut self, at: Position, change: Change) {
        self.changes.push_back((at, change));
        if self.changes.len() > MAX_RECENT_CHANGES
            && let Some((dropped, _)) = self.changes.pop_front()
        {
            self.floor = dropped;
        }
    }

    /// Returns the changes after a position, oldest first.
    pub fn after(&self, from: Position) -> impl Iterator<Item = &(Position, Change)> {
        let start = self.changes.partition_point(|(at, _)| *at <= from);
        self.changes.range(start..)
    }

    /// Returns the changes that a follower at `from` needs to reach `config`, which must include
    /// these changes.
    ///
    /// Of several changes to one template, stop or model only the last is sent: a follower that
    /// missed a thousand changes to ten templates gets ten. A follower that is ahead gets nothing,
    /// because its revision must never decrease.
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

/// Returns the item that a change replaces as a whole, `None` for changes of suspects and
/// convictions. Those depend on earlier changes and are all sent.
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
