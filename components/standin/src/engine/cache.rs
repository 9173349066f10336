//! The engine's prefix cache: a bounded LRU cache whose events are reported late and incompletely.

use std::collections::HashMap;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64;

/// Size of a cache block, in bytes of the prompt.
const BLOCK_BYTES: usize = 256;

/// Returns the hash of each prefix of `prompt` that ends at a block boundary, shortest first.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / BLOCK_BYTES).map(|n| xxh3_64(&bytes[..n * BLOCK_BYTES])).collect()
}

/// A bounded set of prefix hashes in order of last use.
#[derive(Default)]
pub struct Cache {
    capacity: usize,
    lost_interval: u64,
    events: u64,
    clock: u64,
    last_used: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    cached: Vec<u64>,
    evicted: Vec<u64>,
}

impl Cache {
    /// Creates an empty cache of `capacity` blocks that does not report one in `lost_interval`
    /// events; zero reports all.
    pub fn new(capacity: usize, lost_interval: u64) -> Self {
        Self { capacity, lost_interval, ..Self::default() }
    }

    /// Inserts the prefixes of a prompt and returns how many of its bytes were not cached.
    pub fn admit(&mut self, prompt: &str) -> usize {
        let hashes = prefix_hashes(prompt);
        let hits = hashes.iter().take_while(|hash| self.last_used.contains_key(hash)).count();
        for hash in hashes {
            self.touch(hash);
        }
        prompt.len() - hits * BLOCK_BYTES
    }

    /// Returns the share of the cache in use, in thousandths.
    pub fn share(&self) -> u32 {
        (self.last_used.len() * 1_000 / self.capacity.max(1)) as u32
    }

    /// Returns and clears the hashes that were inserted and evicted since the last call.
    pub fn events(&mut self) -> (Vec<u64>, Vec<u64>) {
        (std::mem::take(&mut self.cached), std::mem::take(&mut self.evicted))
    }

    fn touch(&mut self, hash: u64) {
        self.clock += 1;
        let was_cached = self.last_used.insert(hash, self.clock).is_some();
        self.order.push_back((hash, self.clock));
        if !was_cached && self.count_event() {
            self.cached.push(hash);
        }
        while self.last_used.len() > self.capacity {
            self.evict();
        }
    }

    fn evict(&mut self) {
        let Some((hash, at)) = self.order.pop_front() else { return };
        if self.last_used.get(&hash) != Some(&at) {
            return;
        }
        self.last_used.remove(&hash);
        if self.count_event() {
            self.evicted.push(hash);
        }
    }

    /// Counts an event and returns whether it is reported.
    fn count_event(&mut self) -> bool {
        self.events += 1;
        self.lost_interval == 0 || !self.events.is_multiple_of(self.lost_interval)
    }
}
