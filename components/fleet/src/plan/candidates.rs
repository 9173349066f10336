//! Engines that can take another run of a step, least loaded first.
//!
//! The engines are examined once per step. Examining all 3,000 engines for each sample took the
//! leader 9.5 ms per step, and as much again in every round in which samples waited for engines
//! with newer weights. With hundreds of rounds a second, members considered the leader lost.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::engine::EngineState;
use super::engine::RankBasis;
use super::engine::rank;
use super::free_slots::FastUse;
use super::free_slots::FreeSlots;

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

/// Which samples may use an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// All, as it is not fast.
    Other,
    /// Long ones, and others if they find no other engine.
    Fast,
    /// Long ones only, as others of more urgent steps wait for it.
    Withheld,
}

/// Eligible engines for a step, ordered by rank.
pub(super) struct Candidates<'a> {
    /// Sorted by engine id.
    engines: Vec<&'a mut EngineState>,
    kinds: Vec<Kind>,
    /// The engines of each kind. Ranks may be stale: an engine can be reserved for its group while
    /// it is not at the head of its queue.
    queues: [BinaryHeap<Reverse<Ranked>>; 3],
    /// The slots of all eligible engines.
    free_slots: FreeSlots,
    basis: RankBasis,
}

impl<'a> Candidates<'a> {
    /// Ranks the engines, which must be sorted by id. Engines without free slots are left out. Fast
    /// ones for which `is_withheld` returns true are used by long samples only.
    pub(super) fn new(
        engines: impl Iterator<Item = &'a mut EngineState>,
        basis: RankBasis,
        is_withheld: impl Fn(&EngineState) -> bool,
    ) -> Self {
        let mut free_slots = FreeSlots::default();
        let engines = engines.inspect(|engine| free_slots.add(engine, basis.is_fast(engine)));
        let engines: Vec<&'a mut EngineState> =
            engines.filter(|engine| engine.free_slots() > 0).collect();
        let kinds = engines.iter().map(|engine| match basis.is_fast(engine) {
            false => Kind::Other,
            true if is_withheld(engine) => Kind::Withheld,
            true => Kind::Fast,
        });
        let kinds: Vec<Kind> = kinds.collect();
        let mut queues: [Vec<Reverse<Ranked>>; 3] = Default::default();
        for (index, engine) in engines.iter().enumerate() {
            let ranked = Ranked { rank: rank(engine, &basis), index };
            queues[kinds[index] as usize].push(Reverse(ranked));
        }
        Self { engines, kinds, queues: queues.map(BinaryHeap::from), free_slots, basis }
    }

    /// Reserves a slot for a run of `model` and returns the engine: the best-ranked one, or
    /// `preferred`, which has already read the prompt, if its rank is as good. The engine `avoid`
    /// is skipped. A sample that is not long uses fast engines only if no other engine has a free
    /// slot, and leaves a share of their slots free.
    pub(super) fn reserve(
        &mut self,
        model: &str,
        avoid: Option<&str>,
        preferred: Option<&str>,
        is_long: bool,
    ) -> Option<&EngineState> {
        let fast_use = self.free_slots.fast_use(is_long);
        let mut avoided = None;
        let best = loop {
            let Some(best) = self.pop_best(fast_use, is_long) else { break None };
            if avoid != Some(self.id(best.index)) {
                break Some(best);
            }
            avoided = Some(best);
        };
        if let Some(avoided) = avoided {
            self.push(avoided);
        }
        let best = best?;
        let preferred = preferred
            .filter(|preferred| avoid != Some(preferred))
            .and_then(|preferred| self.find(preferred));
        let preferred = preferred.filter(|index| {
            self.engines[*index].free_slots() > 0
                && self.rank(*index) <= best.rank
                && (fast_use == FastUse::ByRank || self.is_fast(*index) == self.is_fast(best.index))
                && (is_long || self.kinds[*index] != Kind::Withheld)
        });
        let index = preferred.unwrap_or(best.index);
        self.free_slots.take(self.is_fast(index));
        *self.engines[index].running.entry(model.to_owned()).or_default() += 1;
        if self.engines[best.index].free_slots() > 0 {
            self.push(Ranked { rank: self.rank(best.index), ..best });
        }
        Some(self.engines[index])
    }

    /// Reserves a slot of a certain engine for a run of `model`. Returns its index, or `None` if
    /// the engine is not eligible or has no free slot.
    pub(super) fn reserve_on(&mut self, engine: &str, model: &str) -> Option<usize> {
        let index = self.find(engine).filter(|index| self.engines[*index].free_slots() > 0)?;
        self.free_slots.take(self.is_fast(index));
        *self.engines[index].running.entry(model.to_owned()).or_default() += 1;
        Some(index)
    }

    /// Returns an engine by its index.
    pub(super) fn engine(&self, index: usize) -> &EngineState {
        self.engines[index]
    }

    /// Pops the best engine that a sample may use.
    fn pop_best(&mut self, fast_use: FastUse, is_long: bool) -> Option<Ranked> {
        let mut best = self.pop_from(Kind::Other);
        let uses_fast = match fast_use {
            FastUse::Never => false,
            FastUse::Last => best.is_none(),
            FastUse::ByRank => true,
        };
        let kinds = [(Kind::Fast, uses_fast), (Kind::Withheld, uses_fast && is_long)];
        for (kind, _) in kinds.iter().filter(|(_, is_used)| *is_used) {
            let Some(other) = self.pop_from(*kind) else { continue };
            let Some(first) = best else {
                best = Some(other);
                continue;
            };
            self.push(first.max(other));
            best = Some(first.min(other));
        }
        best
    }

    /// Pops the best engine of a queue whose queued rank is up to date, re-queueing engines with
    /// stale ranks.
    fn pop_from(&mut self, kind: Kind) -> Option<Ranked> {
        loop {
            let Reverse(first) = self.queues[kind as usize].pop()?;
            if self.engines[first.index].free_slots() == 0 {
                continue;
            }
            let rank = self.rank(first.index);
            if rank.total_cmp(&first.rank) == Ordering::Equal {
                return Some(first);
            }
            self.push(Ranked { rank, ..first });
        }
    }

    fn push(&mut self, ranked: Ranked) {
        self.queues[self.kinds[ranked.index] as usize].push(Reverse(ranked));
    }

    fn rank(&self, index: usize) -> f64 {
        rank(self.engines[index], &self.basis)
    }

    fn is_fast(&self, index: usize) -> bool {
        self.kinds[index] != Kind::Other
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
