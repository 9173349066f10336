//! An open step.

use chicoryford_types::Digest;
use chicoryford_types::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Progress;
use crate::command::StepSpec;
use crate::group::Group;

/// An open step.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Step {
    /// The trainer's request.
    pub spec: StepSpec,
    /// The staleness bound in force when it was opened, in versions.
    pub bound: u64,
    /// The digest of the request, to recognise a resend.
    pub digest: Digest,
    /// The number of the step in the order of opening.
    pub order: u64,
    /// The session that owns it.
    pub owner: Option<u64>,
    /// Its groups.
    pub groups: Vec<Group>,
    /// The number of acknowledged groups.
    pub acked: usize,
    /// The number of samples dropped as stale so far.
    pub stale: u64,
}

impl Step {
    /// Opens a step. A trainer may tighten the workspace's bound, but not loosen it.
    pub fn new(spec: StepSpec, bound: u64, digest: Digest, order: u64) -> Self {
        let bound = spec.freshness.map_or(bound, |own| own.min(bound));
        let groups = vec![Group::default(); spec.groups.len()];
        Self { spec, bound, digest, order, groups, ..Self::default() }
    }

    /// Drops the stale samples. Returns their number and their bytes.
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

    /// Returns whether all groups were delivered and acknowledged.
    pub fn is_finished(&self) -> bool {
        self.acked == self.groups.len()
    }

    /// Returns the bytes of the samples that are not delivered yet.
    pub fn bytes(&self) -> usize {
        self.groups.iter().map(Group::bytes).sum()
    }

    /// Returns the progress of the step.
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
