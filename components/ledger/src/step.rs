//! One open step.

use chicoryford_types::Digest;
use chicoryford_types::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Progress;
use crate::command::StepSpec;
use crate::group::Group;

/// One open step.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Step {
    /// What was asked for.
    pub spec: StepSpec,
    /// The staleness bound in force when it was opened, in versions.
    pub bound: u64,
    /// The digest of the request, by which a resend is recognised.
    pub digest: Digest,
    /// Counts the steps opened, to tell which was first.
    pub order: u64,
    /// The session that owns it.
    pub owner: Option<u64>,
    /// Its groups.
    pub groups: Vec<Group>,
    /// How many groups were handed out and acknowledged.
    pub acked: usize,
    /// Samples dropped as stale so far.
    pub stale: u64,
}

impl Step {
    /// Opens a step. A trainer may tighten the workspace's bound, never loosen it.
    pub fn new(spec: StepSpec, bound: u64, digest: Digest, order: u64) -> Self {
        let bound = spec.freshness.map_or(bound, |own| own.min(bound));
        let groups = vec![Group::default(); spec.groups.len()];
        Self { spec, bound, digest, order, groups, ..Self::default() }
    }

    /// Drops the samples that are too old; returns how many there were and their bytes.
    pub fn drop_stale(&mut self, newest: Version) -> (u32, usize) {
        let mut dropped = (0, 0);
        for group in &mut self.groups {
            let (count, bytes) = group.drop_stale(newest, self.bound);
            dropped.0 += count;
            dropped.1 += bytes;
        }
        self.stale += u64::from(dropped.0);
        dropped
    }

    /// Tells whether all groups were handed out and acknowledged.
    pub fn is_finished(&self) -> bool {
        self.acked == self.groups.len()
    }

    /// Counts the bytes of samples that wait to be handed out.
    pub fn bytes(&self) -> usize {
        self.groups.iter().map(Group::bytes).sum()
    }

    /// Tells how the step goes.
    pub fn progress(&self) -> Progress {
        let numbered = || (0..).map(chicoryford_types::Group).zip(&self.groups);
        let done = numbered()
            .flat_map(|(number, group)| group.done.keys().map(move |sample| (number, *sample)));
        let delivered = numbered().filter(|(_, group)| group.batch.is_some());
        Progress {
            spec: self.spec.clone(),
            bound: self.bound,
            owner: self.owner,
            done: done.collect(),
            delivered: delivered.map(|(number, _)| number).collect(),
        }
    }
}
