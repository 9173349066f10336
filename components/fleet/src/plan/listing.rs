//! When verdicts on samples are listed: together with others of their step.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use super::Planner;
use super::samples::Phase;
use super::samples::Work;

/// Milliseconds for which verdicts wait for others in any case, so that they share a part, an entry of
/// the log and a sync. It is short beside the half second between two reads of a trainer.
pub const LIST_DELAY_MS: u64 = 25;
/// Milliseconds for which the last verdicts of a step wait for each other while nobody waits for them:
/// the time between two reads of a trainer.
pub const FINAL_LIST_DELAY_MS: u64 = 500;
/// Milliseconds for which they wait at most: as long as a read of a trainer waits.
pub const MAX_LIST_DELAY_MS: u64 = 1_000;
/// Milliseconds before a read is over at which what it waits for is listed. To write a part to the
/// stores and to commit takes 10 to 20 ms.
const LISTING_MS: u64 = 50;
/// Milliseconds between the beginnings of two reads of a trainer at least.
const READ_GAP_MS: u64 = 500;
/// Milliseconds before a step's last results are expected at which its trainer had best begin to read:
/// more than [`READ_GAP_MS`], so that it goes on at once when they come, and so much less than a read
/// waits that they may come some tenths of a second later.
const READ_AHEAD_MS: u64 = 700;
/// Milliseconds by which the last results may come later than expected.
const READ_SPARE_MS: u64 = 100;
/// Milliseconds from a sample's last event to its listing: its scorer's call, the stores, the log.
const SCORING_MS: u64 = 80;
/// The share of a step's samples that are its last: one of ten.
const FEW: usize = 10;

impl Planner {
    /// Tells when verdicts of a step are to be listed. The first has waited since `since`; the read
    /// that waits for results and ends first does so at `read`.
    ///
    /// A trainer begins a read each half second, or as soon as the one before is answered if that
    /// took longer. After a read that is answered at once it reads nothing for half a second; if the
    /// last results come in that time, it has its whole step that much later. Trainers ended their
    /// steps 0.46 s after the last result on average (14 steps of two trainers), 0.03 s where
    /// nothing was listed just before it. So the last tenth of a step is listed when a read would
    /// end anyway, and at once when its trainer has as many whole groups as it waits for, or nothing
    /// is left.
    ///
    /// A read that would end less than half a second before the last results are expected is
    /// answered earlier, so that the next one has begun by then and lasts until they come.
    pub fn list_at(&self, step: &str, since: Millis, read: Option<Millis>) -> Millis {
        let soon = since + LIST_DELAY_MS;
        let work = self.steps.get(step).filter(|_| self.policy.last_together);
        if !work.is_some_and(Work::ends_soon) {
            return soon;
        }
        let Some(read) = read else { return since + FINAL_LIST_DELAY_MS };
        let mut at = read.0.saturating_sub(LISTING_MS);
        if let Some(Millis(end)) = work.and_then(|work| self.expected_end(work))
            && self.policy.timed_reads
            && read.0 < end + READ_SPARE_MS
            && read.0 + READ_GAP_MS > end
            && soon.0 + READ_GAP_MS <= end
        {
            at = at.min(end.saturating_sub(READ_AHEAD_MS));
        }
        Millis(at).clamp(soon, since + MAX_LIST_DELAY_MS)
    }

    /// Tells when the last results of a step are expected: when its runs are as long as the longest
    /// sample that its model made lately. Shorter ones end before; none if some have not begun.
    fn expected_end(&self, work: &Work) -> Option<Millis> {
        let longest = self.longest_outputs.get(&work.step.model)?.most();
        let mut end = Millis::default();
        for progress in &work.progress {
            match progress.phase {
                Phase::Settled | Phase::Scoring => continue,
                Phase::Waiting => return None,
                Phase::Running => {}
            }
            let seat = self.engines.get(progress.engine.as_ref()?)?;
            let pace = if seat.pace_ms > 0.0 { seat.pace_ms } else { self.median_pace_ms };
            let left = longest.saturating_sub(progress.output.events.len());
            end = end.max(progress.last_event + (left as f64 * pace) as u64 + SCORING_MS);
        }
        Some(end)
    }

    /// Notes how many events a sample of a model came to.
    pub(super) fn record_length(&mut self, model: &str, events: usize) {
        let longest = self.longest_outputs.entry(model.to_owned()).or_default();
        longest.now = longest.now.max(events);
    }

    /// Begins to look anew for the longest sample of a model: a step of it was opened.
    pub(super) fn record_step_opened(&mut self, model: &str) {
        let longest = self.longest_outputs.entry(model.to_owned()).or_default();
        longest.before = std::mem::take(&mut longest.now);
    }
}

/// The events of the longest sample that a model made since its newest step was opened, and since the
/// one before that.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Longest {
    now: usize,
    before: usize,
}

impl Longest {
    fn most(self) -> usize {
        self.now.max(self.before)
    }
}

impl Work {
    /// Tells whether few samples are left that its trainer needs.
    fn ends_soon(&self) -> bool {
        let left = self.progress.iter().filter(|progress| progress.phase != Phase::Settled).count();
        left > 0 && left * FEW <= self.progress.len() && !self.is_enough()
    }

    /// Tells whether as many groups have all their verdicts as the trainer waits for.
    fn is_enough(&self) -> bool {
        let mut whole: BTreeMap<&str, bool> = BTreeMap::new();
        for (sample, progress) in self.step.samples.iter().zip(&self.progress) {
            let group = if sample.group.is_empty() { &sample.id } else { &sample.group };
            *whole.entry(group).or_insert(true) &= progress.phase == Phase::Settled;
        }
        whole.values().filter(|whole| **whole).count() as u64 >= self.step.wanted_groups
    }
}
