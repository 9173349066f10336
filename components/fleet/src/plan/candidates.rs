//! The engines that take one more run of a step, the least loaded first.
//!
//! With 3,000 engines a look at all of them for each sample took the leader 9.5 ms for a step, and as
//! much again in each round in which samples waited for engines with newer weights: hundreds of rounds
//! a second, until members took the leader for lost. So they are looked at once a step.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chicoryford_types::Millis;

use super::engine::EngineState;
use super::engine::rank;

/// An engine's rank when it was last looked at.
#[derive(Clone, Copy, Debug)]
struct Ranked {
    rank: f64,
    place: usize,
}

impl PartialEq for Ranked {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Ranked {}

impl PartialOrd for Ranked {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Ranked {
    fn cmp(&self, other: &Self) -> Ordering {
        self.rank.total_cmp(&other.rank).then(self.place.cmp(&other.place))
    }
}

/// Engines that fit a step, by rank.
pub(super) struct Free<'a> {
    /// In the order of their identities.
    seats: Vec<&'a mut EngineState>,
    /// A rank may be out of date: an engine can be taken for its group's sake while it is not first.
    order: BinaryHeap<Reverse<Ranked>>,
    usual: f64,
    now: Millis,
}

impl<'a> Free<'a> {
    /// Ranks engines, which come in the order of their identities.
    pub(super) fn new(
        seats: impl Iterator<Item = &'a mut EngineState>,
        usual: f64,
        now: Millis,
    ) -> Self {
        let seats: Vec<&'a mut EngineState> = seats.filter(|seat| seat.free_slots() > 0).collect();
        let ranked = |(place, seat): (usize, &&mut EngineState)| {
            Reverse(Ranked { rank: rank(seat, usual, now), place })
        };
        let order = seats.iter().enumerate().map(ranked).collect();
        Self { seats, order, usual, now }
    }

    /// Takes a place for a run of a model: on the first engine, or on `home`, which has read the
    /// prompt, if it ranks as low. An engine to be avoided is passed over.
    pub(super) fn take(
        &mut self,
        model: &str,
        avoid: Option<&str>,
        home: Option<&str>,
    ) -> Option<&EngineState> {
        let mut avoided = None;
        let best = loop {
            let Some(best) = self.first() else { break None };
            if avoid != Some(self.id(best.place)) {
                break Some(best);
            }
            avoided = Some(best);
        };
        self.order.extend(avoided.map(Reverse));
        let best = best?;
        let home = home.filter(|home| avoid != Some(home)).and_then(|home| self.find(home));
        let home = home
            .filter(|place| self.seats[*place].free_slots() > 0 && self.rank(*place) <= best.rank);
        let place = home.unwrap_or(best.place);
        *self.seats[place].running.entry(model.to_owned()).or_default() += 1;
        if self.seats[best.place].free_slots() > 0 {
            self.order.push(Reverse(Ranked { rank: self.rank(best.place), ..best }));
        }
        Some(self.seats[place])
    }

    /// Takes the first engine out of the order, once its rank is known to be that of now.
    fn first(&mut self) -> Option<Ranked> {
        loop {
            let Reverse(first) = self.order.pop()?;
            if self.seats[first.place].free_slots() == 0 {
                continue;
            }
            let rank = self.rank(first.place);
            if rank.total_cmp(&first.rank) == Ordering::Equal {
                return Some(first);
            }
            self.order.push(Reverse(Ranked { rank, ..first }));
        }
    }

    fn rank(&self, place: usize) -> f64 {
        rank(self.seats[place], self.usual, self.now)
    }

    fn id(&self, place: usize) -> &str {
        &self.seats[place].endpoint.announcement.id
    }

    fn find(&self, id: &str) -> Option<usize> {
        self.seats.binary_search_by(|seat| seat.endpoint.announcement.id.as_str().cmp(id)).ok()
    }
}
