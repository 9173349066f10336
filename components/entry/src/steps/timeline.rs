//! Measures where the time of a step is spent and logs it in one line when the step ends.
//!
//! The idle time of a trainer is the sum of many waits. The total alone does not show whether it is
//! caused by engines, admission, the replicated log or the trainer itself.

use std::cell::Cell;
use std::cell::RefCell;

use chicoryford_ledger::StepKey;
use chicoryford_types::Millis;

/// Mean and maximum of a set of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationStats {
    count: u64,
    sum: u64,
    max: u64,
}

impl DurationStats {
    /// Adds a duration.
    pub fn add(&mut self, ms: u64) {
        self.count += 1;
        self.sum += ms;
        self.max = self.max.max(ms);
    }

    /// Returns the mean, or zero if there are no durations.
    pub fn mean(&self) -> u64 {
        self.sum / self.count.max(1)
    }
}

/// Time that samples spent in each phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct PhaseTimes {
    /// Waiting for the sample limits of the workspace and the entry, and for admission.
    pub waited: DurationStats,
    /// Generating.
    pub generated: DurationStats,
    /// Scoring.
    pub scored: DurationStats,
    /// Storing the bytes and recording the sample at the control processes.
    pub recorded: DurationStats,
}

/// Timeline of a step at this entry.
#[derive(Debug, Default)]
pub struct Timeline {
    taken: Millis,
    first_admitted: Cell<Option<Millis>>,
    last_admitted: Cell<Millis>,
    last_recorded: Cell<Millis>,
    phases: RefCell<PhaseTimes>,
}

impl Timeline {
    /// Creates the timeline of a step that was taken at `taken`.
    pub fn new(taken: Millis) -> Self {
        Self { taken, ..Self::default() }
    }

    /// Updates the times of the phases.
    pub fn add(&self, change: impl FnOnce(&mut PhaseTimes)) {
        change(&mut self.phases.borrow_mut());
    }

    /// Records that a sample was admitted.
    pub fn sample_admitted(&self, now: Millis) {
        self.first_admitted.set(self.first_admitted.get().or(Some(now)));
        self.last_admitted.set(now);
    }

    /// Records that the ledger recorded a sample.
    pub fn sample_recorded(&self, now: Millis) {
        self.last_recorded.set(now);
    }

    /// Logs the timeline: points in time in milliseconds since the step was taken, then the times
    /// that its samples spent in each phase.
    pub fn log(&self, key: &StepKey, now: Millis) {
        let since = |then: Millis| then.since(self.taken);
        let PhaseTimes { waited, generated, scored, recorded } = *self.phases.borrow();
        tracing::info!(
            event = "step_ended",
            workspace = %key.workspace,
            step = %key.step,
            first_ms = self.first_admitted.get().map_or(0, since),
            last_ms = since(self.last_admitted.get()),
            whole_ms = since(self.last_recorded.get()),
            ended_ms = since(now),
            samples = recorded.count,
            waited_ms = waited.mean(),
            waited_most = waited.max,
            generated_ms = generated.mean(),
            generated_most = generated.max,
            scored_ms = scored.mean(),
            recorded_ms = recorded.mean(),
            recorded_most = recorded.max,
        );
    }
}
