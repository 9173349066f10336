//! Decides when finished results of a step are listed in the log, in batches with other results of
//! the step.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use super::Planner;
use super::engine::EngineState;
use super::samples::Phase;
use super::samples::StepPlan;
use crate::step::Sample;

/// Milliseconds for which every result waits for others, so that they share a part, a log entry and
/// a sync. This is short compared to the half second between two reads by a trainer.
pub const LIST_DELAY_MS: u64 = 25;
/// Milliseconds for which the last results of a step wait for each other while no read is pending:
/// the time between two reads by a trainer.
pub const FINAL_LIST_DELAY_MS: u64 = 500;
/// Maximum wait in milliseconds of a result before it is listed: as long as a read by a trainer
/// waits.
pub const MAX_LIST_DELAY_MS: u64 = 1_000;
/// Milliseconds before the end of a pending read at which the results that it waits for are listed.
/// Writing a part to the stores and committing takes 10 to 20 ms.
const LIST_BEFORE_READ_END_MS: u64 = 50;
/// Minimum milliseconds between the starts of two reads by a trainer.
const READ_GAP_MS: u64 = 500;
/// Milliseconds before the expected last results of a step at which its trainer should start a
/// read. This is more than [`READ_GAP_MS`], so that the trainer continues as soon as they arrive,
/// and enough less than the duration of a read that the results may be some tenths of a second
/// late.
const READ_AHEAD_MS: u64 = 700;
/// Milliseconds by which the last results may be later than expected.
const LATE_RESULT_MARGIN_MS: u64 = 100;
/// Milliseconds from a sample's last event until it is listed: scorer call, store writes and log
/// commit.
const SCORE_AND_LIST_MS: u64 = 80;
/// The delay for last results applies once at most one in this many samples of a step is left.
const LAST_RESULTS_DIVISOR: usize = 10;

impl Planner {
    /// Returns when the pending results of a step are to be listed. `since` is when the first of
    /// them became pending, `read` the end of the waiting read that ends first.
    ///
    /// A trainer starts a read every half second, or as soon as the previous read is answered if
    /// that took longer. After a read that was answered at once, it does not read for half a
    /// second. If the last results arrive in that time, the whole step of the trainer ends that
    /// much later. Trainers ended their steps 0.46 s after the last result on average (14 steps of
    /// two trainers), but 0.03 s after it where nothing had been listed shortly before. Therefore
    /// the last tenth of a step is listed when a pending read would end anyway. Results are listed
    /// without this delay once the trainer has as many complete groups as it waits for, or once no
    /// samples are left.
    ///
    /// A read that would end less than half a second before the expected last results is answered
    /// early, so that the next read has started by then and lasts until they arrive.
    pub fn list_at(&self, step: &str, since: Millis, read: Option<Millis>) -> Millis {
        let earliest = since + LIST_DELAY_MS;
        let planned = self.steps.get(step).filter(|_| self.policy.last_together);
        if !planned.is_some_and(StepPlan::is_near_end) {
            return earliest;
        }
        let Some(read) = read else { return since + FINAL_LIST_DELAY_MS };
        let mut at = read.0.saturating_sub(LIST_BEFORE_READ_END_MS);
        if let Some(Millis(end)) = planned.and_then(|planned| self.expected_end(planned))
            && self.policy.timed_reads
            && read.0 < end + LATE_RESULT_MARGIN_MS
            && read.0 + READ_GAP_MS > end
            && earliest.0 + READ_GAP_MS <= end
        {
            at = at.min(end.saturating_sub(READ_AHEAD_MS));
        }
        Millis(at).clamp(earliest, since + MAX_LIST_DELAY_MS)
    }

    /// Returns when the last results of a step are expected, assuming that all its runs become as
    /// long as the longest recent sample of the model. Shorter runs end earlier. Returns `None` if
    /// a sample has not started.
    fn expected_end(&self, planned: &StepPlan) -> Option<Millis> {
        let model = &planned.step.model;
        let mut longest = self.longest_outputs.get(model)?.max_events();
        if let Some(lengths) = self.lengths.get(model) {
            longest = longest.max(lengths.longest());
        }
        let mut end = Millis::default();
        for progress in &planned.progress {
            match progress.phase {
                Phase::Settled | Phase::Scoring => continue,
                Phase::Waiting => return None,
                Phase::Running => {}
            }
            let engine = self.engines.get(progress.engine.as_ref()?)?;
            let pace = self.expected_pace(engine, progress.last_event);
            let remaining = longest.saturating_sub(progress.output.events.len());
            end =
                end.max(progress.last_event + (remaining as f64 * pace) as u64 + SCORE_AND_LIST_MS);
        }
        Some(end)
    }

    /// Returns the milliseconds between events that are expected of an engine. The recent pace of
    /// an engine that got no runs since a slowdown is out of date, and an engine of another speed
    /// that has not been measured by this leader is not like the median.
    fn expected_pace(&self, engine: &EngineState, now: Millis) -> f64 {
        let speed = &engine.speed;
        match speed.usual_ms() {
            Some(usual_ms) => usual_ms * speed.slowdown(now),
            None if engine.pace_ms > 0.0 => engine.pace_ms,
            None => self.median_pace_ms,
        }
    }

    /// Records the length in events of a finished sample.
    pub(super) fn record_length(&mut self, model: &str, events: usize) {
        let longest = self.longest_outputs.entry(model.to_owned()).or_default();
        longest.current = longest.current.max(events);
    }

    /// Starts a new measurement of the longest sample of a model because one of its steps was
    /// opened.
    pub(super) fn record_step_opened(&mut self, model: &str) {
        let longest = self.longest_outputs.entry(model.to_owned()).or_default();
        longest.previous = std::mem::take(&mut longest.current);
    }
}

/// The most events in a sample of a model since its newest step was opened (`current`), and between
/// the opening of the step before and then (`previous`).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LongestOutput {
    current: usize,
    previous: usize,
}

impl LongestOutput {
    fn max_events(self) -> usize {
        self.current.max(self.previous)
    }
}

impl StepPlan {
    /// Returns whether only a few samples are left and the trainer still needs some of them.
    fn is_near_end(&self) -> bool {
        let left = self.progress.iter().filter(|progress| progress.phase != Phase::Settled).count();
        left > 0 && left * LAST_RESULTS_DIVISOR <= self.progress.len() && !self.has_wanted_groups()
    }

    /// Returns whether as many groups are complete as the trainer waits for.
    fn has_wanted_groups(&self) -> bool {
        let complete = self.complete_groups();
        complete.values().filter(|complete| **complete).count() as u64 >= self.step.wanted_groups
    }

    /// Returns for each group whether all of its samples have results.
    pub(super) fn complete_groups(&self) -> BTreeMap<&str, bool> {
        let mut complete: BTreeMap<&str, bool> = BTreeMap::new();
        for (sample, progress) in self.step.samples.iter().zip(&self.progress) {
            *complete.entry(group_of(sample)).or_insert(true) &= progress.phase == Phase::Settled;
        }
        complete
    }
}

/// Returns the group of a sample. A sample without a group is a group of its own.
pub(super) fn group_of(sample: &Sample) -> &str {
    if sample.group.is_empty() { &sample.id } else { &sample.group }
}
