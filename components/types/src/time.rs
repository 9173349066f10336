//! Time as the decisions see it: numbers that are handed in, never read from a clock.

use std::ops::Add;

use serde::Deserialize;
use serde::Serialize;

/// A reading of a process's monotonic clock, in milliseconds since an arbitrary start.
///
/// Readings of two processes cannot be compared; durations travel between processes instead.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Gives the milliseconds from `earlier` to this reading, zero if it lies ahead.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Millis {
    type Output = Self;

    fn add(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
}

/// A reading of the wall clock in milliseconds since 1970, for people and for idempotency keys.
///
/// No lease, timeout or order of events depends on it, because VMs' wall clocks disagree.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Unix(pub u64);
