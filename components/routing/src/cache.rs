//! Which endpoints have cached which prompt prefix, from cache events that arrive late and with
//! gaps.

use std::collections::HashMap;

use chicoryford_types::Millis;

use crate::endpoint::EndpointId;

/// The number of holders recorded per prefix.
const HOLDERS: usize = 2;

/// An endpoint that has cached a prefix.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CacheEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When this was reported or assumed.
    pub at: Millis,
}

type Holders = [Option<CacheEntry>; HOLDERS];

/// A bounded directory of prefixes in two generations. When the recent one is full it replaces the
/// previous one; prefixes that were not added again since are dropped.
#[derive(Clone, Debug, Default)]
pub struct PrefixDirectory {
    recent: HashMap<u64, Holders>,
    previous: HashMap<u64, Holders>,
    capacity: usize,
}

impl PrefixDirectory {
    /// Returns an empty directory for at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Records that an endpoint has cached a prefix. If there are too many holders, replaces the
    /// oldest.
    pub fn add(&mut self, prefix: u64, id: EndpointId, at: Millis) {
        if self.recent.len() >= self.capacity.div_ceil(2).max(1) {
            self.previous = std::mem::take(&mut self.recent);
        }
        let previous = self.previous.remove(&prefix).unwrap_or_default();
        let holders = self.recent.entry(prefix).or_insert(previous);
        let existing =
            holders.iter().position(|entry| entry.is_some_and(|entry| entry.endpoint == id));
        let oldest = (0..HOLDERS).min_by_key(|n| holders[*n].map(|entry| entry.at));
        let index = existing.or(oldest).unwrap_or(0);
        holders[index] = Some(CacheEntry { endpoint: id, at });
    }

    /// Records that an endpoint has evicted a prefix.
    pub fn remove(&mut self, prefix: u64, id: EndpointId) {
        for generation in [&mut self.recent, &mut self.previous] {
            let Some(holders) = generation.get_mut(&prefix) else { continue };
            for entry in holders.iter_mut() {
                entry.take_if(|entry| entry.endpoint == id);
            }
        }
    }

    /// Returns the endpoints that are known to have cached a prefix.
    pub fn holders(&self, prefix: u64) -> impl Iterator<Item = CacheEntry> + '_ {
        let holders = self.recent.get(&prefix).or_else(|| self.previous.get(&prefix));
        holders.into_iter().flatten().flatten().copied()
    }

    /// Returns the number of prefixes.
    pub fn len(&self) -> usize {
        self.recent.len() + self.previous.len()
    }

    /// Returns whether the directory is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
