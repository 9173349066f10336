//! Which endpoint holds which prompt prefix, from cache events that come late and with gaps.

use std::collections::HashMap;

use chicoryford_types::Millis;

use crate::seat::Seat;

/// How many holders of a prefix are remembered.
const HOLDERS: usize = 2;

/// That an endpoint holds a prefix.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Hold {
    /// The endpoint.
    pub seat: Seat,
    /// When it was told or assumed.
    pub at: Millis,
}

type Holds = [Option<Hold>; HOLDERS];

/// A bounded directory of prefixes in two generations: when the young one is full it becomes the
/// old one, and what nobody asked for since then is forgotten.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    young: HashMap<u64, Holds>,
    old: HashMap<u64, Holds>,
    room: usize,
}

impl Directory {
    /// Makes a directory of at most `room` prefixes.
    pub fn new(room: usize) -> Self {
        Self { room, ..Self::default() }
    }

    /// Notes that an endpoint holds a prefix. The holder noted longest ago gives way.
    pub fn add(&mut self, prefix: u64, seat: Seat, at: Millis) {
        if self.young.len() >= self.room.div_ceil(2).max(1) {
            self.old = std::mem::take(&mut self.young);
        }
        let before = self.old.remove(&prefix).unwrap_or_default();
        let holds = self.young.entry(prefix).or_insert(before);
        let same = holds.iter().position(|hold| hold.is_some_and(|hold| hold.seat == seat));
        let oldest = (0..HOLDERS).min_by_key(|n| holds[*n].map(|hold| hold.at));
        let place = same.or(oldest).unwrap_or(0);
        holds[place] = Some(Hold { seat, at });
    }

    /// Notes that an endpoint no longer holds a prefix.
    pub fn remove(&mut self, prefix: u64, seat: Seat) {
        for map in [&mut self.young, &mut self.old] {
            let Some(holds) = map.get_mut(&prefix) else { continue };
            for hold in holds.iter_mut() {
                hold.take_if(|hold| hold.seat == seat);
            }
        }
    }

    /// Gives the endpoints that hold a prefix, as far as is known.
    pub fn holders(&self, prefix: u64) -> impl Iterator<Item = Hold> + '_ {
        let holds = self.young.get(&prefix).or_else(|| self.old.get(&prefix));
        holds.into_iter().flatten().flatten().copied()
    }

    /// Counts the prefixes.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Tells whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
