//! The endpoints of one model, as this entry uses them.

use chicoryford_types::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::seat::Seat;
use crate::seat::State;
use crate::subset::blend;

/// The endpoints of one model.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Those in this entry's subset.
    pub seats: Vec<Seat>,
    /// The others, used when nothing in the subset will do.
    pub rest: Vec<Seat>,
    /// The subset's seats by the hash of their names, to find a prefix's home.
    pub ring: Vec<(u64, Seat)>,
    /// The mean of others' attempts for each slot, over the reports of late.
    pub mean: f32,
    /// The turn of the next round-robin choice.
    pub turn: usize,
    /// A digest of the names that the subset was drawn from.
    pub drawn: u64,
    /// Milliseconds a token that endpoints of the pool take, at no load.
    pub token_ms: f32,
    /// Milliseconds an attempt.
    pub service_ms: f32,
    /// This entry's own attempts in flight over the pool.
    pub own: u32,
    /// How many entries, this one included, have an endpoint of the pool in their subsets.
    pub peers: f32,
    /// The slots of the subset.
    pub slots: u32,
    /// How many were ejected when the pool was last drawn: it may then hold more ejected ones
    /// than a smaller pool allows, until their time is over.
    pub shrunk: usize,
}

impl Pool {
    /// Sets the subset.
    pub fn place(&mut self, seats: Vec<Seat>, states: &[State]) {
        let name = |seat: &Seat| states[seat.0 as usize].target.endpoint.as_str();
        self.ring = seats.iter().map(|seat| (xxh3_64(name(seat).as_bytes()), *seat)).collect();
        self.ring.sort_unstable();
        self.seats = seats;
    }

    /// Tells whether the subset holds an endpoint.
    pub fn holds(&self, seat: Seat, states: &[State]) -> bool {
        let name = states[seat.0 as usize].target.endpoint.as_str();
        self.ring.binary_search(&(xxh3_64(name.as_bytes()), seat)).is_ok()
    }

    /// Learns from a report how loaded the endpoints are by others on the whole.
    pub fn observe(&mut self, share: f32) {
        let weight = 1.0 / self.seats.len().max(4) as f32;
        self.mean += weight * (share - self.mean);
    }

    /// Gives the home of a prefix: the same at all entries whose subsets hold it.
    pub fn home(&self, prefix: u64) -> Option<Seat> {
        let at = blend(prefix, 0);
        let n = self.ring.partition_point(|(hash, _)| *hash < at);
        self.ring.get(n).or_else(|| self.ring.first()).map(|(_, seat)| *seat)
    }

    /// Gives the mean load of the pool, as a share of the slots: what others have there by their
    /// reports, and what this entry has itself.
    pub fn load_share(&self) -> f32 {
        self.mean + self.own as f32 / self.slots.max(1) as f32
    }

    /// Counts this entry's attempts and the slots anew, after endpoints came, left or changed.
    pub fn recount(&mut self, states: &[State]) {
        let of = |seat: &Seat| &states[seat.0 as usize];
        self.own = self.seats.iter().chain(&self.rest).map(|seat| of(seat).own).sum();
        self.slots = self.seats.iter().map(|seat| of(seat).slots).sum();
    }

    /// Counts the ejected endpoints of the subset.
    pub fn ejected(&self, now: Millis, states: &[State]) -> usize {
        let out = |seat: &&Seat| states[seat.0 as usize].ejected.is_some_and(|until| now < until);
        self.seats.iter().filter(out).count()
    }

    /// Gives how many may be ejected at once. One of two may be, the only one may not.
    pub fn ejectable(&self, cap: f32) -> usize {
        match self.seats.len() {
            0 | 1 => 0,
            len => ((len as f32 * cap) as usize).max(1),
        }
    }
}
