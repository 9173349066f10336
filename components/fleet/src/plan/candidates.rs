//! Engines that can take another run of a step, least loaded first.
//!
//! The engines are examined once per step. Examining all 3,000 engines for each sample took the
//! leader 9.5 ms per step, and as much again in every round in which samples waited for engines
//! with newer weights. With hundreds of rounds a second, members considered the leader lost.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chicoryford_types::Millis;

use super::engine::EngineState;
use super::engine::rank;

/// An engine's rank when it was last computed.
#[derive(Clone, Copy, Debug)]
struct Ranked {
    rank: f64,
    index: usize,
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
        self.rank.total_cmp(&other.rank).then(self.index.cmp(&other.index))
    }
}

/// Eligible engines for a step, ordered by rank.
pub(super) struct Candidates<'a> {
    /// Sorted by engine id.
    engines: Vec<&'a mut EngineState>,
    /// Ranks may be stale: an engine can be reserved for its group while it is not at the head of
    /// the queue.
    queue: BinaryHeap<Reverse<Ranked>>,
    median_pace: f64,
    now: Millis,
}

impl<'a> Candidates<'a> {
    /// Ranks the engines, which must be sorted by id. Engines without free slots are left out.
    pub(super) fn new(
        engines: impl Iterator<Item = &'a mut EngineState>,
        median_pace: f64,
        now: Millis,
    ) -> Self {
        let engines: Vec<&'a mut EngineState> =
            engines.filter(|engine| engine.free_slots() > 0).collect();
        let ranked = |(index, engine): (usize, &&mut EngineState)| {
            Reverse(Ranked { rank: rank(engine, median_pace, now), index })
        };
        let queue = engines.iter().enumerate().map(ranked).collect();
        Self { engines, queue, median_pace, now }
    }

    /// Reserves a slot for a run of `model` and returns the engine: the best-ranked one, or
    /// `preferred`, which has already read the prompt, if its rank is as good. The engine `avoid`
    /// is skipped.
    pub(super) fn reserve(
        &mut self,
        model: &str,
        avoid: Option<&str>,
        preferred: Option<&str>,
    ) -> Option<&EngineState> {
        let mut avoided = None;
        let best = loop {
            let Some(best) = self.pop_best() else { break None };
            if avoid != Some(self.id(best.index)) {
                break Some(best);
            }
            avoided = Some(best);
        };
        self.queue.extend(avoided.map(Reverse));
        let best = best?;
        let preferred = preferred
            .filter(|preferred| avoid != Some(preferred))
            .and_then(|preferred| self.find(preferred));
        let preferred = preferred.filter(|index| {
            self.engines[*index].free_slots() > 0 && self.rank(*index) <= best.rank
        });
        let index = preferred.unwrap_or(best.index);
        *self.engines[index].running.entry(model.to_owned()).or_default() += 1;
        if self.engines[best.index].free_slots() > 0 {
            self.queue.push(Reverse(Ranked { rank: self.rank(best.index), ..best }));
        }
        Some(self.engines[index])
    }

    /// Pops the best engine whose queued rank is up to date, re-queueing engines with stale ranks.
    fn pop_best(&mut self) -> Option<Ranked> {
        loop {
            let Reverse(first) = self.queue.pop()?;
            if self.engines[first.index].free_slots() == 0 {
                continue;
            }
            let rank = self.rank(first.index);
            if rank.total_cmp(&first.rank) == Ordering::Equal {
                return Some(first);
            }
            self.queue.push(Reverse(Ranked { rank, ..first }));
        }
    }

    fn rank(&self, index: usize) -> f64 {
        rank(self.engines[index], self.median_pace, self.now)
    }

    fn id(&self, index: usize) -> &str {
        &self.engines[index].endpoint.announcement.id
    }

    fn find(&self, id: &str) -> Option<usize> {
        self.engines
            .binary_search_by(|engine| engine.endpoint.announcement.id.as_str().cmp(id))
            .ok()
    }
}
