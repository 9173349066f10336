//! Hedging: second attempts for the last samples of a group.

use crate::admission::Admission;
use crate::request::Capacity;

/// A sample that may delay its whole group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Straggler {
    /// Samples in the group.
    pub group_size: u32,
    /// Samples of the group that have not finished.
    pub unfinished: u32,
    /// Milliseconds since its attempt started.
    pub elapsed_ms: u64,
    /// The expected duration of that attempt, in milliseconds.
    pub expected_ms: u64,
    /// The expected duration of a second attempt, in milliseconds.
    pub second_ms: u64,
    /// The expected remaining time of the current attempt, in milliseconds, from the tokens still
    /// to generate and its current rate.
    pub remaining_ms: u64,
    /// The capacity and load of the model's endpoints.
    pub capacity: Capacity,
}

impl Admission {
    /// Returns whether to start a second attempt. The caller then calls [`Self::hedge_started`]
    /// and, when that attempt ends, [`Self::hedge_ended`]. The ledger records the sample that
    /// finishes first, and the other attempt is cancelled.
    ///
    /// A second attempt helps only if it is expected to finish well before the first, and it uses
    /// capacity that other requests could use. Hedges are therefore limited to the last few samples
    /// of a group and to a share of the running requests, and stop when the endpoints are nearly
    /// full.
    pub fn may_hedge(&mut self, straggler: &Straggler) -> bool {
        let settings = &self.settings;
        let max_unfinished = (straggler.group_size as f32 * settings.hedge_last).ceil() as u32;
        let is_last = straggler.unfinished <= max_unfinished.max(1);
        let is_late =
            straggler.elapsed_ms as f32 > straggler.expected_ms as f32 * settings.hedge_after;
        let saves_time = straggler.second_ms.saturating_mul(2) < straggler.remaining_ms;
        let has_capacity = (straggler.capacity.load as f32)
            < straggler.capacity.slots as f32 * settings.hedge_load.min(settings.batch_share);
        let max_hedges = (self.running.len() as f32 * settings.hedge_share).ceil() as u32;
        is_last && is_late && saves_time && has_capacity && self.hedges < max_hedges
    }

    /// Counts the start of a second attempt.
    pub fn hedge_started(&mut self) {
        self.hedges += 1;
        self.counts.hedges += 1;
    }

    /// Counts the end or cancellation of a second attempt.
    pub fn hedge_ended(&mut self) {
        if self.hedges == 0 {
            self.report_violation("hedges_not_negative");
            return;
        }
        self.hedges -= 1;
    }
}
