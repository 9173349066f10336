//! Where the time of a step goes, told in one line of the log at its end.
//!
//! A trainer's idle time is the sum of many waits. Without their parts one sees that it is long,
//! but not whether engines, admission, the log or the trainer itself is the cause.

use std::cell::Cell;
use std::cell::RefCell;

use chicoryford_ledger::StepKey;
use chicoryford_types::Millis;

/// A mean and the greatest of some durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationStats {
    count: u64,
    sum: u64,
    most: u64,
}

impl DurationStats {
    /// Takes in a duration.
    pub fn add(&mut self, ms: u64) {
        self.count += 1;
        self.sum += ms;
        self.most = self.most.max(ms);
    }

    /// Gives the mean; zero without any.
    pub fn mean(&self) -> u64 {
        self.sum / self.count.max(1)
    }
}

/// The parts of the way of one sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct PhaseTimes {
    /// Waiting to be let in: for a id of its workspace and entry, and for admission.
    pub waited: DurationStats,
    /// Being generated.
    pub generated: DurationStats,
    /// Being scored.
    pub scored: DurationStats,
    /// Being recorded by the control processes.
    pub recorded: DurationStats,
}

/// The course of a step at this entry.
#[derive(Debug, Default)]
pub struct Timeline {
    taken: Millis,
    first: Cell<Option<Millis>>,
    last: Cell<Millis>,
    whole: Cell<Millis>,
    parts: RefCell<PhaseTimes>,
}

impl Timeline {
    /// Starts when the step was taken.
    pub fn new(taken: Millis) -> Self {
        Self { taken, ..Self::default() }
    }

    /// Changes the parts.
    pub fn add(&self, change: impl FnOnce(&mut PhaseTimes)) {
        change(&mut self.parts.borrow_mut());
    }

    /// Notes that a sample was let in.
    pub fn let_in(&self, now: Millis) {
        self.first.set(self.first.get().or(Some(now)));
        self.last.set(now);
    }

    /// Notes that a sample was recorded.
    pub fn recorded(&self, now: Millis) {
        self.whole.set(now);
    }

    /// Logs the course of the step: milliseconds from when it was taken, then the parts of its
    /// samples.
    pub fn log(&self, key: &StepKey, now: Millis) {
        let since = |then: Millis| then.since(self.taken);
        let PhaseTimes { waited, generated, scored, recorded } = *self.parts.borrow();
        tracing::info!(
            event = "step_ended",
            workspace = %key.workspace,
            step = %key.step,
            first_ms = self.first.get().map_or(0, since),
            last_ms = since(self.last.get()),
            whole_ms = since(self.whole.get()),
            ended_ms = since(now),
            samples = recorded.count,
            waited_ms = waited.mean(),
            waited_most = waited.most,
            generated_ms = generated.mean(),
            generated_most = generated.most,
            scored_ms = scored.mean(),
            recorded_ms = recorded.mean(),
            recorded_most = recorded.most,
        );
    }
}
