//! Checkpoints of long runs on the stores, which survive the loss of all processes.

use super::Planner;
use super::samples::Checkpoint;
use super::samples::Phase;
use super::samples::Progress;
use super::samples::SampleOutput;

/// Events after which a run is checkpointed. This takes about a second, which is how much work the
/// longest runs repeat after the loss of all processes. Most runs are shorter and are never
/// checkpointed.
const CHECKPOINT_EVENTS: usize = 24;

/// The result of restoring the checkpoints of a step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Restored {
    /// Samples with restored events.
    pub samples: usize,
    /// The restored events of all samples.
    pub events: usize,
    /// Checkpoints that were rejected because they do not continue the output restored before them.
    pub rejected: usize,
}

impl Planner {
    /// Restores the checkpoints of a step that was taken over from a previous leader.
    pub fn restore_checkpoints(&mut self, step: &str, checkpoints: Vec<Checkpoint>) -> Restored {
        let mut restored = Restored::default();
        let Some(planned) = self.steps.get_mut(step) else { return restored };
        for checkpoint in checkpoints {
            let Some(progress) = planned.progress.get_mut(checkpoint.index as usize) else {
                continue;
            };
            if progress.phase != Phase::Waiting {
                continue;
            }
            if !checkpoint.fits(&progress.output) {
                restored.rejected += 1;
                continue;
            }
            progress.output.events.truncate(checkpoint.from as usize);
            progress.output.events.extend(checkpoint.output.events);
            progress.output.last_id = checkpoint.output.last_id;
            progress.output.versions = checkpoint.output.versions;
            progress.checkpointed = progress.output.events.len();
            progress.attempted = progress.checkpointed;
        }
        let lengths = planned.progress.iter().map(|progress| progress.checkpointed);
        restored.samples = lengths.clone().filter(|events| *events > 0).count();
        restored.events = lengths.sum();
        restored
    }

    /// Returns, by step, checkpoints of the runs that have produced at least `CHECKPOINT_EVENTS`
    /// since their last one, and marks these events as checkpointed. What is not written must be
    /// reported by [`Self::record_unwritten`].
    pub fn take_checkpoints(&mut self) -> Vec<(String, Vec<Checkpoint>)> {
        let mut by_step = Vec::new();
        if !self.policy.run_notes {
            return by_step;
        }
        for (id, planned) in &mut self.steps {
            let mut checkpoints = Vec::new();
            for (index, progress) in planned.progress.iter_mut().enumerate() {
                let output = &progress.output;
                let new_events = output.events.len().saturating_sub(progress.attempted);
                if progress.phase != Phase::Running || new_events < CHECKPOINT_EVENTS {
                    continue;
                }
                let from = progress.checkpointed;
                progress.checkpointed = output.events.len();
                progress.attempted = progress.checkpointed;
                let events = output.events[from..].to_vec();
                let (last_id, versions) = (output.last_id.clone(), output.versions.clone());
                let continues = Some(output.digest(from));
                let output = SampleOutput { events, last_id, versions };
                let (index, from) = (index as u32, from as u32);
                checkpoints.push(Checkpoint { index, from, output, continues });
            }
            if !checkpoints.is_empty() {
                by_step.push((id.clone(), checkpoints));
            }
        }
        by_step
    }

    /// Records that checkpoints are not on the stores. The next ones of their runs, after further
    /// `CHECKPOINT_EVENTS`, contain their events.
    pub fn record_unwritten(&mut self, step: &str, checkpoints: &[Checkpoint]) {
        let Some(planned) = self.steps.get_mut(step) else { return };
        for checkpoint in checkpoints {
            if let Some(progress) = planned.progress.get_mut(checkpoint.index as usize) {
                progress.checkpointed = progress.checkpointed.min(checkpoint.from as usize);
            }
        }
    }
}

impl Progress {
    /// Records that only the first `count` events of the output are still the same ones.
    pub(super) fn keep_checkpointed(&mut self, count: usize) {
        self.checkpointed = self.checkpointed.min(count);
        self.attempted = self.attempted.min(count);
    }
}
