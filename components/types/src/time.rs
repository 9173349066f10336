//! Timestamps. The decision logic receives them as arguments and never reads a clock.

use std::ops::Add;

use serde::Deserialize;
use serde::Serialize;

/// A reading of a process's monotonic clock, in milliseconds since an arbitrary start.
///
/// Readings of different processes are not comparable; processes exchange durations instead.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the milliseconds from `earlier` to this reading, or zero if `earlier` is later.
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

/// A reading of the wall clock in milliseconds since 1970, for display and for idempotency keys.
///
/// No lease, timeout or order of events depends on it, because the wall clocks of VMs differ.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Unix(pub u64);
