//! When verdicts on samples are listed: together with others of their step.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use super::Plan;
use super::work::Phase;
use super::work::Work;

/// Milliseconds for which verdicts wait for others in any case, so that they share a part, an entry of
/// the log and a sync. It is short beside the half second between two reads of a trainer.
pub const GATHER_MS: u64 = 25;
/// Milliseconds for which the last verdicts of a step wait for each other while nobody waits for them:
/// the time between two reads of a trainer.
pub const LAST_MS: u64 = 500;
/// Milliseconds for which they wait at most: as long as a read of a trainer waits.
pub const MOST_MS: u64 = 1_000;
/// Milliseconds before a read is over at which what it waits for is listed. To write a part to the
/// stores and to commit takes 10 to 20 ms.
const LISTING_MS: u64 = 50;
/// The share of a step's samples that are its last: one of ten.
const FEW: usize = 10;

impl Plan {
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
    pub fn list_at(&self, step: &str, since: Millis, read: Option<Millis>) -> Millis {
        let soon = since + GATHER_MS;
        let work = self.works.get(step).filter(|_| self.policy.last_together);
        if !work.is_some_and(Work::ends_soon) {
            return soon;
        }
        let Some(read) = read else { return since + LAST_MS };
        Millis(read.0.saturating_sub(LISTING_MS)).clamp(soon, since + MOST_MS)
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
        whole.values().filter(|whole| **whole).count() as u64 >= self.step.wanted
    }
}
