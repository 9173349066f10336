//! Hedging: a second attempt of a group's last samples.

use crate::admission::Admission;
use crate::request::Capacity;

/// A sample that its group may soon wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Straggler {
    /// Samples of the group.
    pub group_size: u32,
    /// Of those, the ones that have not finished.
    pub unfinished: u32,
    /// Milliseconds since its attempt started.
    pub elapsed_ms: u64,
    /// Milliseconds in which it was expected to finish.
    pub expected_ms: u64,
    /// Milliseconds in which another attempt is expected to finish.
    pub second_ms: u64,
    /// Milliseconds that it is expected still to take where it runs, by the tokens it has still
    /// to produce and its present rate.
    pub remaining_ms: u64,
    /// The room of the model's endpoints.
    pub capacity: Capacity,
}

impl Admission {
    /// Tells whether to start a second attempt; the caller then reports [`Self::hedged`] and, at
    /// its end, [`Self::unhedged`]. The ledger takes whichever sample ends first, and the other
    /// attempt is cancelled.
    ///
    /// A second attempt helps only if it is expected to be done well before the first, and it
    /// takes room from others: hence the last few of a group, a share of what runs, and none
    /// when endpoints are nearly full.
    pub fn may_hedge(&mut self, straggler: &Straggler) -> bool {
        let settings = &self.settings;
        let last = (straggler.group_size as f32 * settings.hedge_last).ceil() as u32;
        let few = straggler.unfinished <= last.max(1);
        let late =
            straggler.elapsed_ms as f32 > straggler.expected_ms as f32 * settings.hedge_after;
        let gains = straggler.second_ms.saturating_mul(2) < straggler.remaining_ms;
        let room = (straggler.capacity.load as f32)
            < straggler.capacity.slots as f32 * settings.hedge_load.min(settings.batch_share);
        let most = (self.running.len() as f32 * settings.hedge_share).ceil() as u32;
        few && late && gains && room && self.hedges < most
    }

    /// Counts a second attempt as started.
    pub fn hedge_started(&mut self) {
        self.hedges += 1;
        self.counts.hedges += 1;
    }

    /// Counts a second attempt as ended or cancelled.
    pub fn hedge_ended(&mut self) {
        if self.hedges == 0 {
            self.report_violation("hedges_not_negative");
            return;
        }
        self.hedges -= 1;
    }
}
