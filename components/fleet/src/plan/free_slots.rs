//! Counts free slots, a share of which long samples have to themselves on fast engines.

use super::engine::EngineState;
use super::engine::RankBasis;

/// Share of the fast engines' slots that stays free for long samples. Samples of several steps
/// arrive within tenths of a second and may fill all engines; a long sample that starts on another
/// engine or waits for a fast one makes its step late.
const RESERVED_FAST_SHARE: f64 = 0.25;

/// How a sample may use fast engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FastUse {
    /// Like all others, by rank.
    ByRank,
    /// Only if no other engine has a free slot.
    Last,
    /// Not at all.
    Never,
}

/// The slots of the engines that are eligible for the same samples.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FreeSlots {
    /// Free slots of engines that are not fast.
    other: u32,
    /// Free slots of fast engines.
    fast: u32,
    /// All slots of fast engines.
    fast_total: u32,
    /// Whether an engine that is not fast is eligible, with or without free slots.
    has_other: bool,
}

impl FreeSlots {
    /// Adds an engine.
    pub(super) fn add(&mut self, engine: &EngineState, is_fast: bool) {
        if is_fast {
            self.fast += engine.free_slots();
            self.fast_total += engine.endpoint.announcement.slots;
        } else {
            self.other += engine.free_slots();
            self.has_other = true;
        }
    }

    fn join(self, more: Self) -> Self {
        Self {
            other: self.other + more.other,
            fast: self.fast + more.fast,
            fast_total: self.fast_total + more.fast_total,
            has_other: self.has_other || more.has_other,
        }
    }

    /// Returns the number of fast slots that only long samples may use. Where all eligible engines
    /// are fast, there is none: short samples could not run anywhere else.
    fn reserved(self) -> u32 {
        let share = if self.has_other { RESERVED_FAST_SHARE } else { 0.0 };
        (f64::from(self.fast_total) * share) as u32
    }

    /// Returns whether samples that are not long may still start.
    fn has_room(self) -> bool {
        self.other > 0 || self.fast > self.reserved()
    }

    /// Returns how a sample may use the fast engines.
    pub(super) fn fast_use(self, is_long: bool) -> FastUse {
        match is_long {
            true => FastUse::ByRank,
            false if !self.has_other => FastUse::ByRank,
            false if self.fast > self.reserved() => FastUse::Last,
            false => FastUse::Never,
        }
    }

    /// Records that a slot was taken.
    pub(super) fn take(&mut self, is_fast: bool) {
        let slots = if is_fast { &mut self.fast } else { &mut self.other };
        *slots = slots.saturating_sub(1);
    }
}

/// Engines of a service that have the same version of a model.
struct SlotGroup {
    service: String,
    model: String,
    version: u64,
    slots: FreeSlots,
}

impl SlotGroup {
    fn contains(&self, engine: &EngineState, model: &str, version: u64) -> bool {
        self.version == version
            && self.model == model
            && self.service == engine.endpoint.announcement.service
    }
}

/// The free slots of all engines in a round. They are grouped, so that the steps whose samples have
/// to wait are found without a pass over the engines for each.
pub(super) struct RoundSlots {
    free: u32,
    /// Empty if no engine is fast or slow.
    groups: Vec<SlotGroup>,
    basis: RankBasis,
}

impl RoundSlots {
    /// Counts the free slots of the engines that may be assigned runs.
    pub(super) fn count<'a>(
        engines: impl Iterator<Item = &'a EngineState>,
        basis: RankBasis,
    ) -> Self {
        let mut slots = Self { free: 0, groups: Vec::new(), basis };
        for engine in engines.filter(|engine| engine.is_ready(basis.now)) {
            slots.free += engine.free_slots();
            if basis.speed.is_some() {
                slots.add(engine);
            }
        }
        slots
    }

    fn add(&mut self, engine: &EngineState) {
        let is_fast = self.basis.is_fast(engine);
        for (model, version) in engine.usable_models() {
            let known = self.groups.iter().position(|one| one.contains(engine, model, version));
            let index = known.unwrap_or_else(|| {
                self.groups.push(SlotGroup {
                    service: engine.endpoint.announcement.service.clone(),
                    model: model.to_owned(),
                    version,
                    slots: FreeSlots::default(),
                });
                self.groups.len() - 1
            });
            self.groups[index].slots.add(engine, is_fast);
        }
    }

    /// Returns whether no engine has a free slot.
    pub(super) fn is_empty(&self) -> bool {
        self.free == 0
    }

    /// Returns whether samples of a model that are not long may still start on the engines of some
    /// service.
    pub(super) fn has_room(&self, model: &str, min_version: u64) -> bool {
        if self.basis.speed.is_none() {
            return !self.is_empty();
        }
        let fits = |one: &&SlotGroup| one.model == model && one.version >= min_version;
        self.groups.iter().filter(fits).any(|first| {
            let same = self.groups.iter().filter(|one| fits(one) && one.service == first.service);
            same.fold(FreeSlots::default(), |sum, one| sum.join(one.slots)).has_room()
        })
    }

    /// Records that a slot of an engine was taken.
    pub(super) fn take(&mut self, engine: &EngineState) {
        self.free = self.free.saturating_sub(1);
        let is_fast = self.basis.is_fast(engine);
        for (model, version) in engine.usable_models() {
            let mut all = self.groups.iter_mut();
            if let Some(group) = all.find(|one| one.contains(engine, model, version)) {
                group.slots.take(is_fast);
            }
        }
    }
}
