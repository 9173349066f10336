//! The engine's prefix cache: bounded, oldest out first, with events that come late and gappy.

use std::collections::HashMap;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a prompt in one block of the cache.
const BLOCK: usize = 256;

/// Gives the hash of each prefix of `prompt` that ends on a block's border, shortest first.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / BLOCK).map(|n| xxh3_64(&bytes[..n * BLOCK])).collect()
}

/// A bounded set of prefix hashes in order of last use.
#[derive(Default)]
pub struct Cache {
    bound: usize,
    gaps: u64,
    events: u64,
    clock: u64,
    used: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    cached: Vec<u64>,
    evicted: Vec<u64>,
}

impl Cache {
    /// Makes an empty cache of `bound` blocks that loses one event in `gaps`.
    pub fn new(bound: usize, gaps: u64) -> Self {
        Self { bound, gaps, ..Self::default() }
    }

    /// Puts a prompt's prefixes into the cache and tells how many bytes were not there.
    pub fn admit(&mut self, prompt: &str) -> usize {
        let hashes = prefix_hashes(prompt);
        let hits = hashes.iter().take_while(|hash| self.used.contains_key(hash)).count();
        for hash in hashes {
            self.touch(hash);
        }
        prompt.len() - hits * BLOCK
    }

    /// Gives the share in use, in thousandths.
    pub fn share(&self) -> u32 {
        (self.used.len() * 1_000 / self.bound.max(1)) as u32
    }

    /// Takes the events since the last call.
    pub fn events(&mut self) -> (Vec<u64>, Vec<u64>) {
        (std::mem::take(&mut self.cached), std::mem::take(&mut self.evicted))
    }

    fn touch(&mut self, hash: u64) {
        self.clock += 1;
        let known = self.used.insert(hash, self.clock).is_some();
        self.order.push_back((hash, self.clock));
        if !known && self.tells() {
            self.cached.push(hash);
        }
        while self.used.len() > self.bound {
            self.evict();
        }
    }

    fn evict(&mut self) {
        let Some((hash, at)) = self.order.pop_front() else { return };
        if self.used.get(&hash) != Some(&at) {
            return;
        }
        self.used.remove(&hash);
        if self.tells() {
            self.evicted.push(hash);
        }
    }

    fn tells(&mut self) -> bool {
        self.events += 1;
        self.gaps == 0 || !self.events.is_multiple_of(self.gaps)
    }
}
