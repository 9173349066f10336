//! The endpoints of one model, as used by this entry.

use chicoryford_types::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint::EndpointId;
use crate::endpoint::EndpointState;
use crate::subset::mix_hashes;

/// The endpoints of one model.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// The endpoints in this entry's subset.
    pub subset: Vec<EndpointId>,
    /// The other endpoints, used when no endpoint of the subset is eligible.
    pub outside: Vec<EndpointId>,
    /// The endpoints of the subset ordered by the hash of their names, to find the home of a
    /// prefix.
    pub ring: Vec<(u64, EndpointId)>,
    /// The running mean of other entries' attempts per slot, from recent reports.
    pub others_mean: f32,
    /// The offset of the next round-robin choice.
    pub next_turn: usize,
    /// A digest of the names from which the subset was drawn.
    pub digest: u64,
    /// Mean milliseconds per token at endpoints of the pool, without load.
    pub token_ms: f32,
    /// Mean milliseconds per attempt.
    pub service_ms: f32,
    /// This entry's attempts in flight over the pool.
    pub own_in_flight: u32,
    /// The mean number of entries, including this one, that have an endpoint of the pool in their
    /// subset.
    pub peers: f32,
    /// The slots of the subset.
    pub slots: u32,
    /// The number of ejected endpoints when the subset was last drawn. A smaller subset may contain
    /// more of them than its cap allows, until their ejections end.
    pub ejected_at_draw: usize,
}

impl Pool {
    /// Sets the subset.
    pub fn set_subset(&mut self, ids: Vec<EndpointId>, states: &[EndpointState]) {
        let name = |id: &EndpointId| states[id.0 as usize].target.endpoint.as_str();
        self.ring = ids.iter().map(|id| (xxh3_64(name(id).as_bytes()), *id)).collect();
        self.ring.sort_unstable();
        self.subset = ids;
    }

    /// Returns whether the subset contains an endpoint.
    pub fn contains(&self, id: EndpointId, states: &[EndpointState]) -> bool {
        let name = states[id.0 as usize].target.endpoint.as_str();
        self.ring.binary_search(&(xxh3_64(name.as_bytes()), id)).is_ok()
    }

    /// Updates the mean load by other entries from a report.
    pub fn record_load(&mut self, share: f32) {
        let weight = 1.0 / self.subset.len().max(4) as f32;
        self.others_mean += weight * (share - self.others_mean);
    }

    /// Returns the home of a prefix, which is the same at all entries whose subsets contain it.
    pub fn home(&self, prefix: u64) -> Option<EndpointId> {
        let position = mix_hashes(prefix, 0);
        let index = self.ring.partition_point(|(hash, _)| *hash < position);
        self.ring.get(index).or_else(|| self.ring.first()).map(|(_, id)| *id)
    }

    /// Returns the mean load of the pool as a share of its slots: the attempts of other entries
    /// from their reports, plus this entry's own.
    pub fn load_share(&self) -> f32 {
        self.others_mean + self.own_in_flight as f32 / self.slots.max(1) as f32
    }

    /// Recomputes this entry's attempts and the slots, after endpoints joined, left or changed.
    pub fn recount(&mut self, states: &[EndpointState]) {
        let state_of = |id: &EndpointId| &states[id.0 as usize];
        self.own_in_flight =
            self.subset.iter().chain(&self.outside).map(|id| state_of(id).own_in_flight).sum();
        self.slots = self.subset.iter().map(|id| state_of(id).slots).sum();
    }

    /// Returns the number of ejected endpoints in the subset.
    pub fn ejected_count(&self, now: Millis, states: &[EndpointState]) -> usize {
        let is_ejected =
            |id: &&EndpointId| states[id.0 as usize].ejected_until.is_some_and(|until| now < until);
        self.subset.iter().filter(is_ejected).count()
    }

    /// Returns how many endpoints may be ejected at the same time: one of two, but never the only
    /// one.
    pub fn max_ejected(&self, cap: f32) -> usize {
        match self.subset.len() {
            0 | 1 => 0,
            len => ((len as f32 * cap) as usize).max(1),
        }
    }
}
