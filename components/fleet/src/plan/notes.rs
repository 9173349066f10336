//! What long runs have made, for the case that all processes are lost.

use super::Plan;
use super::work::Made;
use super::work::Note;
use super::work::Phase;

/// Events of a run after which it is noted on the stores. That is about a second, which is what
/// the loss of all processes at once costs the longest runs; most runs are over before.
const NOTED: usize = 24;

impl Plan {
    /// Adds what was noted of samples of a step that was taken over.
    pub fn recall(&mut self, step: &str, notes: Vec<Note>) {
        let Some(work) = self.works.get_mut(step) else { return };
        for note in notes {
            let Some(progress) = work.progress.get_mut(note.index as usize) else { continue };
            let from = note.from as usize;
            if progress.phase == Phase::Waiting && from <= progress.made.events.len() {
                progress.made.events.truncate(from);
                progress.made.events.extend(note.made.events);
                progress.made.last = note.made.last;
                progress.made.versions = note.made.versions;
                progress.noted = progress.made.events.len();
            }
        }
    }

    /// Gives what is to be noted: runs that have made much since they were noted last.
    pub fn to_note(&mut self) -> Vec<(String, Vec<Note>)> {
        let mut all = Vec::new();
        if !self.policy.run_notes {
            return all;
        }
        for (id, work) in &mut self.works {
            let mut notes = Vec::new();
            for (index, progress) in work.progress.iter_mut().enumerate() {
                let made = &progress.made;
                let more = made.events.len().saturating_sub(progress.noted);
                if progress.phase != Phase::Running || more < NOTED {
                    continue;
                }
                let from = progress.noted;
                progress.noted = made.events.len();
                let events = made.events[from..].to_vec();
                let (last, versions) = (made.last.clone(), made.versions.clone());
                let made = Made { events, last, versions };
                notes.push(Note { index: index as u32, from: from as u32, made });
            }
            if !notes.is_empty() {
                all.push((id.clone(), notes));
            }
        }
        all
    }
}
