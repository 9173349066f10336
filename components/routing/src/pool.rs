//! The endpoints of one model, as this entry uses them.

use chicoryford_types::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint::EndpointId;
use crate::endpoint::EndpointState;
use crate::subset::mix_hashes;

/// The endpoints of one model.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Those in this entry's subset.
    pub subset: Vec<EndpointId>,
    /// The others, used when nothing in the subset will do.
    pub outside: Vec<EndpointId>,
    /// The subset's seats by the hash of their names, to find a prefix's home.
    pub ring: Vec<(u64, EndpointId)>,
    /// The mean of others' attempts for each slot, over the reports of late.
    pub others_mean: f32,
    /// The turn of the next round-robin choice.
    pub next_turn: usize,
    /// A digest of the names that the subset was drawn from.
    pub digest: u64,
    /// Milliseconds a token that endpoints of the pool take, at no load.
    pub token_ms: f32,
    /// Milliseconds an attempt.
    pub service_ms: f32,
    /// This entry's own attempts in flight over the pool.
    pub own_in_flight: u32,
    /// How many entries, this one included, have an endpoint of the pool in their subsets.
    pub peers: f32,
    /// The slots of the subset.
    pub slots: u32,
    /// How many were ejected when the pool was last drawn: it may then hold more ejected ones
    /// than a smaller pool allows, until their time is over.
    pub ejected_at_draw: usize,
}

impl Pool {
    /// Sets the subset.
    pub fn set_subset(&mut self, seats: Vec<EndpointId>, states: &[EndpointState]) {
        let name = |seat: &EndpointId| states[seat.0 as usize].target.endpoint.as_str();
        self.ring = seats.iter().map(|seat| (xxh3_64(name(seat).as_bytes()), *seat)).collect();
        self.ring.sort_unstable();
        self.subset = seats;
    }

    /// Tells whether the subset holds an endpoint.
    pub fn contains(&self, seat: EndpointId, states: &[EndpointState]) -> bool {
        let name = states[seat.0 as usize].target.endpoint.as_str();
        self.ring.binary_search(&(xxh3_64(name.as_bytes()), seat)).is_ok()
    }

    /// Learns from a report how loaded the endpoints are by others on the whole.
    pub fn record_load(&mut self, share: f32) {
        let weight = 1.0 / self.subset.len().max(4) as f32;
        self.others_mean += weight * (share - self.others_mean);
    }

    /// Gives the home of a prefix: the same at all entries whose subsets hold it.
    pub fn home(&self, prefix: u64) -> Option<EndpointId> {
        let at = mix_hashes(prefix, 0);
        let n = self.ring.partition_point(|(hash, _)| *hash < at);
        self.ring.get(n).or_else(|| self.ring.first()).map(|(_, seat)| *seat)
    }

    /// Gives the mean load of the pool, as a share of the slots: what others have there by their
    /// reports, and what this entry has itself.
    pub fn load_share(&self) -> f32 {
        self.others_mean + self.own_in_flight as f32 / self.slots.max(1) as f32
    }

    /// Counts this entry's attempts and the slots anew, after endpoints came, left or changed.
    pub fn recount(&mut self, states: &[EndpointState]) {
        let of = |seat: &EndpointId| &states[seat.0 as usize];
        self.own_in_flight =
            self.subset.iter().chain(&self.outside).map(|seat| of(seat).own_in_flight).sum();
        self.slots = self.subset.iter().map(|seat| of(seat).slots).sum();
    }

    /// Counts the ejected endpoints of the subset.
    pub fn ejected_count(&self, now: Millis, states: &[EndpointState]) -> usize {
        let out = |seat: &&EndpointId| {
            states[seat.0 as usize].ejected_until.is_some_and(|until| now < until)
        };
        self.subset.iter().filter(out).count()
    }

    /// Gives how many may be ejected at once. One of two may be, the only one may not.
    pub fn max_ejected(&self, cap: f32) -> usize {
        match self.subset.len() {
            0 | 1 => 0,
            len => ((len as f32 * cap) as usize).max(1),
        }
    }
}
