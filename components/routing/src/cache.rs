//! Which endpoint holds which prompt prefix, from cache events that come late and with gaps.

use std::collections::HashMap;

use chicoryford_types::Millis;

use crate::endpoint::EndpointId;

/// How many holders of a prefix are remembered.
const HOLDERS: usize = 2;

/// That an endpoint holds a prefix.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CacheEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When it was told or assumed.
    pub at: Millis,
}

type Holds = [Option<CacheEntry>; HOLDERS];

/// A bounded directory of prefixes in two generations: when the young one is full it becomes the
/// old one, and what nobody asked for since then is forgotten.
#[derive(Clone, Debug, Default)]
pub struct PrefixDirectory {
    recent: HashMap<u64, Holds>,
    previous: HashMap<u64, Holds>,
    capacity: usize,
}

impl PrefixDirectory {
    /// Makes a directory of at most `room` prefixes.
    pub fn new(room: usize) -> Self {
        Self { capacity: room, ..Self::default() }
    }

    /// Notes that an endpoint holds a prefix. The holder noted longest ago gives way.
    pub fn add(&mut self, prefix: u64, seat: EndpointId, at: Millis) {
        if self.recent.len() >= self.capacity.div_ceil(2).max(1) {
            self.previous = std::mem::take(&mut self.recent);
        }
        let before = self.previous.remove(&prefix).unwrap_or_default();
        let holds = self.recent.entry(prefix).or_insert(before);
        let same = holds.iter().position(|hold| hold.is_some_and(|hold| hold.endpoint == seat));
        let oldest = (0..HOLDERS).min_by_key(|n| holds[*n].map(|hold| hold.at));
        let place = same.or(oldest).unwrap_or(0);
        holds[place] = Some(CacheEntry { endpoint: seat, at });
    }

    /// Notes that an endpoint no longer holds a prefix.
    pub fn remove(&mut self, prefix: u64, seat: EndpointId) {
        for map in [&mut self.recent, &mut self.previous] {
            let Some(holds) = map.get_mut(&prefix) else { continue };
            for hold in holds.iter_mut() {
                hold.take_if(|hold| hold.endpoint == seat);
            }
        }
    }

    /// Gives the endpoints that hold a prefix, as far as is known.
    pub fn holders(&self, prefix: u64) -> impl Iterator<Item = CacheEntry> + '_ {
        let holds = self.recent.get(&prefix).or_else(|| self.previous.get(&prefix));
        holds.into_iter().flatten().flatten().copied()
    }

    /// Counts the prefixes.
    pub fn len(&self) -> usize {
        self.recent.len() + self.previous.len()
    }

    /// Tells whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
