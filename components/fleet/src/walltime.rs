//! The time of day of the whole fleet, which a minority of wrong clocks does not move.
//!
//! A VM's time of day may jump by seconds and jump back, while its steady clock keeps running. So
//! nothing here is told by one VM's time of day: the leader takes the median of what its members'
//! clocks read, as a distance from its own steady clock, and tells its members. Each of them keeps
//! the distance from its own steady clock, so it knows the time also while it hears no leader.

use std::collections::VecDeque;

use chicoryford_types::Millis;
use chicoryford_types::Unix;

/// Words of the leader that count for what a member believes. A leader that was just elected knows few
/// clocks, one of which may be wrong; with so many words, three seconds of them, its first ones
/// decide nothing.
const WORDS: usize = 15;

/// How far the time of day is ahead of a steady clock, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Offset(i64);

impl Offset {
    /// Gives the offset of a time of day that was read when the steady clock read `now`.
    pub fn of(wall: Unix, now: Millis) -> Self {
        Self(wall.0 as i64 - now.0 as i64)
    }

    /// Gives the time of day when the steady clock reads `now`.
    pub fn at(self, now: Millis) -> Unix {
        Unix((now.0 as i64 + self.0).max(0) as u64)
    }

    /// Gives the milliseconds between two offsets.
    pub fn distance_ms(self, other: Self) -> u64 {
        self.0.abs_diff(other.0)
    }
}

/// Gives the offset in the middle; less than half of the clocks can be wrong without moving it out of
/// what the others read.
pub fn median(offsets: impl IntoIterator<Item = Offset>) -> Option<Offset> {
    let mut sorted: Vec<Offset> = offsets.into_iter().collect();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}

/// Gives within how many milliseconds of the median half of the clocks lie: how exact it can be.
pub fn error_ms(offsets: impl IntoIterator<Item = Offset>, median: Offset) -> u64 {
    let mut apart: Vec<u64> = offsets.into_iter().map(|one| one.distance_ms(median)).collect();
    apart.sort_unstable();
    apart.get(apart.len() / 2).copied().unwrap_or_default()
}

/// What a member believes of the time of day.
#[derive(Debug)]
pub struct WallTime {
    own: Offset,
    leader_offsets: VecDeque<Offset>,
}

impl WallTime {
    /// Starts with the VM's own time of day, until a leader has told another.
    pub fn new(own: Unix, now: Millis) -> Self {
        Self { own: Offset::of(own, now), leader_offsets: VecDeque::with_capacity(WORDS) }
    }

    /// Takes in what the leader told.
    pub fn record(&mut self, wall: Unix, now: Millis) {
        if self.leader_offsets.len() == WORDS {
            self.leader_offsets.pop_front();
        }
        self.leader_offsets.push_back(Offset::of(wall, now));
    }

    /// Gives the time of day when the steady clock reads `now`.
    pub fn at(&self, now: Millis) -> Unix {
        median(self.leader_offsets.iter().copied()).unwrap_or(self.own).at(now)
    }
}
