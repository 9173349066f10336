//! What long runs have made, for the case that all processes are lost.

use super::Planner;
use super::samples::Checkpoint;
use super::samples::Phase;
use super::samples::SampleOutput;

/// Events of a run after which it is noted on the stores. That is about a second, which is what
/// the loss of all processes at once costs the longest runs; most runs are over before.
const NOTED: usize = 24;

impl Planner {
    /// Adds what was noted of samples of a step that was taken over.
    pub fn restore_checkpoints(&mut self, step: &str, notes: Vec<Checkpoint>) {
        let Some(work) = self.steps.get_mut(step) else { return };
        for note in notes {
            let Some(progress) = work.progress.get_mut(note.index as usize) else { continue };
            let from = note.from as usize;
            if progress.phase == Phase::Waiting && from <= progress.output.events.len() {
                progress.output.events.truncate(from);
                progress.output.events.extend(note.output.events);
                progress.output.last_id = note.output.last_id;
                progress.output.versions = note.output.versions;
                progress.checkpointed = progress.output.events.len();
            }
        }
    }

    /// Gives what is to be noted: runs that have made much since they were noted last.
    pub fn take_checkpoints(&mut self) -> Vec<(String, Vec<Checkpoint>)> {
        let mut all = Vec::new();
        if !self.policy.run_notes {
            return all;
        }
        for (id, work) in &mut self.steps {
            let mut notes = Vec::new();
            for (index, progress) in work.progress.iter_mut().enumerate() {
                let made = &progress.output;
                let more = made.events.len().saturating_sub(progress.checkpointed);
                if progress.phase != Phase::Running || more < NOTED {
                    continue;
                }
                let from = progress.checkpointed;
                progress.checkpointed = made.events.len();
                let events = made.events[from..].to_vec();
                let (last, versions) = (made.last_id.clone(), made.versions.clone());
                let made = SampleOutput { events, last_id: last, versions };
                notes.push(Checkpoint { index: index as u32, from: from as u32, output: made });
            }
            if !notes.is_empty() {
                all.push((id.clone(), notes));
            }
        }
        all
    }
}
