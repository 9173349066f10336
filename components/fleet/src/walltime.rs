//! The time of day of the fleet, which a minority of wrong clocks does not affect.
//!
//! The time of day of a VM may jump by seconds and back, while its monotonic clock is not affected.
//! The fleet therefore does not rely on the time of day of a single VM. The leader computes the
//! median of its members' clocks as an offset from its own monotonic clock and sends it to them.
//! Each member stores the offset from its own monotonic clock, so the time is available also while
//! no leader is reachable.

use std::collections::VecDeque;

use chicoryford_types::Millis;
use chicoryford_types::Unix;

/// Number of recent times from the leader that a member uses. A newly elected leader knows few
/// clocks, one of which may be wrong. With this many, which arrive within three seconds, its first
/// ones have no effect.
const LEADER_TIMES: usize = 15;

/// The offset of the time of day from a monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Offset(i64);

impl Offset {
    /// Returns the offset of the time of day `wall`, read when the monotonic clock read `now`.
    pub fn of(wall: Unix, now: Millis) -> Self {
        Self(wall.0 as i64 - now.0 as i64)
    }

    /// Returns the time of day when the monotonic clock reads `now`.
    pub fn at(self, now: Millis) -> Unix {
        Unix((now.0 as i64 + self.0).max(0) as u64)
    }

    /// Returns the milliseconds between two offsets.
    pub fn distance_ms(self, other: Self) -> u64 {
        self.0.abs_diff(other.0)
    }
}

/// Returns the median offset. Fewer than half of the clocks cannot move it outside the range of the
/// others.
pub fn median(offsets: impl IntoIterator<Item = Offset>) -> Option<Offset> {
    let mut sorted: Vec<Offset> = offsets.into_iter().collect();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}

/// Returns the distance in milliseconds from the median within which half of the clocks are: the
/// error to expect.
pub fn error_ms(offsets: impl IntoIterator<Item = Offset>, median: Offset) -> u64 {
    let mut distances: Vec<u64> =
        offsets.into_iter().map(|offset| offset.distance_ms(median)).collect();
    distances.sort_unstable();
    distances.get(distances.len() / 2).copied().unwrap_or_default()
}

/// The time of day as computed by a member.
#[derive(Debug)]
pub struct WallTime {
    own: Offset,
    leader_offsets: VecDeque<Offset>,
}

impl WallTime {
    /// Creates the clock with the VM's own time of day, which is used until a leader has sent
    /// another.
    pub fn new(own: Unix, now: Millis) -> Self {
        Self { own: Offset::of(own, now), leader_offsets: VecDeque::with_capacity(LEADER_TIMES) }
    }

    /// Records a time of day sent by the leader.
    pub fn record(&mut self, wall: Unix, now: Millis) {
        if self.leader_offsets.len() == LEADER_TIMES {
            self.leader_offsets.pop_front();
        }
        self.leader_offsets.push_back(Offset::of(wall, now));
    }

    /// Returns the time of day when the monotonic clock reads `now`.
    pub fn at(&self, now: Millis) -> Unix {
        median(self.leader_offsets.iter().copied()).unwrap_or(self.own).at(now)
    }
}
