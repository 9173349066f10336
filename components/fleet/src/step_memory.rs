//! How much memory the open steps of the fleet may take at their leader.
//!
//! The leader holds the samples of all open steps, and reads them from the stores when it takes over. A
//! step that does not fit is refused before it is accepted (docs/CLIENTS.md).

use std::collections::BTreeMap;

use chicoryford_types::Millis;

/// Bytes of a step up to which it may use the memory that is kept for small ones.
const SMALL_STEP_BYTES: u64 = 1 << 20;
/// The divisor of the limit for the memory that only small steps may use.
const SMALL_SHARE_DIVISOR: u64 = 4;
/// How many times its memory a step needs while it is submitted: it is received, encoded for the
/// stores, and sent to each of them.
const SUBMISSION_FACTOR: u64 = 2;
/// Milliseconds for which memory is reserved until the submission arrives and is committed.
const RESERVATION_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct Charge {
    bytes: u64,
    /// When the reservation ends; `None` for an open step.
    until: Option<Millis>,
}

/// The memory of the open steps, and of those that are being submitted.
#[derive(Clone, Debug, Default)]
pub struct StepMemory {
    limit: Option<u64>,
    largest: Option<u64>,
    charges: BTreeMap<String, Charge>,
}

impl StepMemory {
    /// Starts without steps. All steps together may take `limit` bytes; a step that is alone may take
    /// `largest`.
    pub fn new(limit: Option<u64>, largest: Option<u64>) -> Self {
        Self { limit, largest, charges: BTreeMap::new() }
    }

    /// Reserves memory for a step that will be submitted. Returns whether there is enough.
    pub fn reserve(&mut self, step: &str, bytes: u64, now: Millis) -> bool {
        self.charges.retain(|_, charge| charge.until.is_none_or(|until| now < until));
        let others = || self.charges.iter().filter(|(id, _)| *id != step).map(|(_, one)| one.bytes);
        let needed = SUBMISSION_FACTOR * bytes;
        let is_small = bytes <= SMALL_STEP_BYTES;
        let fits = self.limit.is_none_or(|limit| {
            if others().sum::<u64>() + needed <= limit {
                return true;
            }
            let is_large = |bytes: &u64| *bytes > SUBMISSION_FACTOR * SMALL_STEP_BYTES;
            if is_small {
                // A large step that is alone may take more than the limit.
                let small = others().filter(|bytes| !is_large(bytes)).sum::<u64>();
                return small + needed <= limit / SMALL_SHARE_DIVISOR;
            }
            !others().any(|bytes| is_large(&bytes))
                && self.largest.is_none_or(|largest| needed <= largest)
        });
        if fits {
            let until = Some(now + RESERVATION_MS);
            self.charges.entry(step.to_owned()).or_insert(Charge { bytes: needed, until });
        }
        fits
    }

    /// Counts a step that is open now, whether or not its memory was reserved.
    pub fn open(&mut self, step: &str, bytes: u64) {
        self.charges.insert(step.to_owned(), Charge { bytes, until: None });
    }

    /// Gives back the memory of a step that was closed or not accepted.
    pub fn close(&mut self, step: &str) {
        self.charges.remove(step);
    }

    /// Gives back the reservation of a step that was not accepted.
    pub fn cancel(&mut self, step: &str) {
        if self.charges.get(step).is_some_and(|charge| charge.until.is_some()) {
            self.charges.remove(step);
        }
    }

    /// Returns the bytes of all steps.
    pub fn bytes(&self) -> u64 {
        self.charges.values().map(|charge| charge.bytes).sum()
    }
}
