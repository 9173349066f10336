//! Moves long runs to faster engines, and passes the speeds of engines from leader to leader.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use chicoryford_types::Millis;

use super::Planner;
use super::assign::is_eligible;
use super::engine::EngineState;
use super::engine::InheritedLoad;
use super::reassign::MAX_MOVES;
use super::samples::Phase;
use super::samples::StepPlan;
use super::speed::SLOW_CLASS_RATIO;
use super::speed::Speed;
use super::speed::SpeedClass;
use crate::config::Config;
use crate::config::Route;
use crate::endpoint::Endpoint;
use crate::observed_loads::ObservedLoads;
use crate::speeds::MAX_SPEED_CHANGES;
use crate::speeds::SpeedChange;
use crate::speeds::SpeedChanges;
use crate::speeds::SpeedState;
use crate::step::Step;

/// Milliseconds that a move costs: reports are up to 250 ms old, so as much output is generated
/// again, and the prompt is read again.
const MOVE_COST_MS: f64 = 300.0;
/// Milliseconds by which a move must shorten a run beyond its cost. Expected lengths are often far
/// off, so moves for smaller gains would often be in vain.
const MIN_SAVED_MS: f64 = 600.0;
/// Share by which each concurrent run on an engine makes the others slower. It also spreads moves
/// over engines of the same pace.
const LOAD_SLOWDOWN: f64 = 0.005;
/// A recorded speed is changed only if it differs by more than this share, so that noise causes no
/// writes.
const RECORDED_TOLERANCE: f64 = 0.1;
/// Distance from the median, as a share of it, within which the record of an engine is removed. It
/// is less than the distances at which engines count as fast or slow, so that one close to these is
/// not recorded and removed in turn.
const REMOVAL_DISTANCE: f64 = 0.2;

/// A run that is to continue on a faster engine.
#[derive(Clone, Debug, PartialEq)]
pub struct RunMove {
    /// The step.
    pub step: String,
    /// The index of the sample in the step.
    pub index: u32,
    /// The id of the sample.
    pub sample: String,
    /// The id of the engine that it leaves.
    pub from: String,
    /// The id of the engine with the slot that is reserved for it.
    pub to: String,
    /// By how many milliseconds the run is expected to become shorter.
    pub saved_ms: u64,
    /// Whether the engine that it leaves is slower than it usually is.
    pub is_slowed: bool,
}

/// A running sample that may gain from a faster engine.
struct Candidate<'a> {
    priority: u32,
    /// Events that are still expected.
    remaining: f64,
    /// The expected pace of its engine as a multiple of the median.
    ratio: f64,
    step: &'a Step,
    index: u32,
    route: &'a Route,
    /// The version that its engine must have, if its step allows a single one.
    version: Option<u64>,
    from: &'a EngineState,
}

/// A free slot of a fast engine.
#[derive(Clone, Copy)]
struct FreeSlot<'a> {
    /// The expected pace of a run in this slot as a multiple of the median.
    ratio: f64,
    engine: &'a EngineState,
    /// The number of slots of the engine that are used before this one.
    position: u32,
}

/// What determines which engines are eligible for a sample: its model, the oldest version, the only
/// version if its step allows a single one, and its route.
type Requirements<'a> = (&'a str, u64, Option<u64>, &'a str);

impl Planner {
    /// Gives free slots of the fastest engines to runs on slower ones, and returns these runs. The
    /// leader ends them with [`RunEnd::Taken`](super::RunEnd::Taken), and the next assignment gives
    /// each sample the reserved slot if it is still free.
    ///
    /// Runs of urgent steps come first, then those that save most time. Rounds follow each event of
    /// a sample, and in most of them no run would gain: then each engine is examined once.
    /// Otherwise it is examined twice, and each free slot once for each kind of sample.
    pub fn reserve_faster_engines(&mut self, config: &Config, now: Millis) -> Vec<RunMove> {
        let moves = self.find_moves(config, now);
        for one in &moves {
            if let Some(planned) = self.steps.get_mut(&one.step) {
                planned.progress[one.index as usize].reserved_engine = Some(one.to.clone());
            }
        }
        moves
    }

    fn find_moves(&self, config: &Config, now: Millis) -> Vec<RunMove> {
        let median = self.median_speed;
        let mut moves = Vec::new();
        if !self.policy.engine_speeds || !median.differs() {
            return moves;
        }
        let Some(best) = self.best_free_ratio(now) else { return moves };
        let min_gain_ms = MOVE_COST_MS + MIN_SAVED_MS;
        let gain_ms = |one: &Candidate, ratio: f64| one.remaining * (one.ratio - ratio) * median.ms;
        let mut candidates = self.slower_runs(best, config, now);
        if candidates.is_empty() {
            return moves;
        }
        let slots = self.free_fast_slots(now);
        candidates.sort_by(|a, b| {
            let by_gain = gain_ms(b, best).total_cmp(&gain_ms(a, best));
            a.priority.cmp(&b.priority).then(by_gain)
        });
        let mut used: BTreeSet<(&str, u32)> = BTreeSet::new();
        let mut eligible: BTreeMap<Requirements, VecDeque<FreeSlot>> = BTreeMap::new();
        for one in &candidates {
            let requirements = (
                one.step.model.as_str(),
                one.step.min_version,
                one.version,
                one.route.name.as_str(),
            );
            let queue = eligible.entry(requirements).or_insert_with(|| {
                self.visits.set(self.visits.get() + slots.len() as u64);
                let fits = |slot: &&FreeSlot| one.accepts(slot.engine, now);
                slots.iter().filter(fits).copied().collect()
            });
            while queue.front().is_some_and(|slot| used.contains(&slot.key())) {
                queue.pop_front();
            }
            let Some(slot) = queue.front().copied() else { continue };
            let gain_ms = gain_ms(one, slot.ratio);
            if gain_ms <= min_gain_ms {
                continue;
            }
            used.insert(slot.key());
            moves.push(RunMove {
                step: one.step.id.clone(),
                index: one.index,
                sample: one.step.samples[one.index as usize].id.clone(),
                from: one.from.endpoint.announcement.id.clone(),
                to: slot.key().0.to_owned(),
                saved_ms: (gain_ms - MOVE_COST_MS) as u64,
                is_slowed: one.from.speed.slowdown(now) >= SLOW_CLASS_RATIO,
            });
        }
        moves
    }

    /// Returns the lowest expected pace of the fastest engines with free slots, as a multiple of
    /// the median.
    fn best_free_ratio(&self, now: Millis) -> Option<f64> {
        self.visits.set(self.visits.get() + self.engines.len() as u64);
        let free = self.engines.values().filter(|engine| engine.free_slots() > 0);
        let free = free.filter(|engine| self.is_destination(engine, now));
        let ratios = free.map(|engine| self.slot_ratio(engine, engine.load(), now));
        ratios.min_by(f64::total_cmp)
    }

    /// Returns the expected pace of a run on an engine with that many others, as a multiple of the
    /// median.
    fn slot_ratio(&self, engine: &EngineState, others: u32, now: Millis) -> f64 {
        let ratio = engine.speed.expected_ratio(self.median_speed.ms, now);
        ratio * (1.0 + LOAD_SLOWDOWN * f64::from(others))
    }

    /// Returns whether runs may be moved to an engine.
    fn is_destination(&self, engine: &EngineState, now: Millis) -> bool {
        let median = self.median_speed;
        median.is_fastest(engine.speed.class(median.ms))
            && engine.is_ready(now)
            && engine.loading.is_none()
    }

    /// Returns the free slots of the fastest engines that are not reserved, fastest
    /// first. If a run gains too little in the first one, it gains too little in all.
    fn free_fast_slots(&self, now: Millis) -> Vec<FreeSlot<'_>> {
        let mut reserved: BTreeMap<&str, u32> = BTreeMap::new();
        for planned in self.steps.values().filter(|planned| planned.waiting > 0) {
            let waiting = planned.progress.iter().filter(|one| one.phase == Phase::Waiting);
            for engine in waiting.filter_map(|one| one.reserved_engine.as_deref()) {
                *reserved.entry(engine).or_default() += 1;
            }
        }
        self.visits.set(self.visits.get() + self.engines.len() as u64);
        let mut slots = Vec::new();
        for (id, engine) in &self.engines {
            if !self.is_destination(engine, now) {
                continue;
            }
            let reserved = reserved.get(id.as_str()).copied().unwrap_or_default();
            let first = engine.load() + reserved;
            slots.extend((first..engine.endpoint.announcement.slots).map(|position| {
                let ratio = self.slot_ratio(engine, position, now);
                FreeSlot { ratio, engine, position }
            }));
        }
        self.visits.set(self.visits.get() + slots.len() as u64);
        slots.sort_by(|a, b| a.ratio.total_cmp(&b.ratio));
        slots
    }

    /// Returns the runs that would gain enough on an engine with this expected pace, which is a
    /// multiple of the median.
    fn slower_runs<'a>(
        &'a self,
        best_ratio: f64,
        config: &'a Config,
        now: Millis,
    ) -> Vec<Candidate<'a>> {
        let median = self.median_speed;
        let mut candidates = Vec::new();
        // Samples of the other steps would wait after their run was ended.
        let may_assign = |planned: &&StepPlan| !planned.ending && planned.held_until <= now;
        for planned in self.steps.values().filter(may_assign) {
            let step = &*planned.step;
            let Some(lengths) = self.lengths.get(&step.model) else { continue };
            for (index, progress) in planned.progress.iter().enumerate() {
                // A run without a host was assigned in this round and has not been ordered yet.
                let is_ordered = progress.phase == Phase::Running && progress.host.is_some();
                if !is_ordered || progress.moves >= MAX_MOVES {
                    continue;
                }
                let sample = &step.samples[index];
                let from = progress.engine.as_ref().and_then(|id| self.engines.get(id));
                let Some(from) = from else { continue };
                // A change of weights pauses the runs of the model briefly.
                if from.loading.as_ref() == Some(&step.model) {
                    continue;
                }
                let produced = progress.output.events.len();
                let remaining = lengths.remaining_events(sample.expected_tokens, produced);
                let ratio = from.speed.expected_ratio(median.ms, now);
                let gain_ms = remaining * (ratio - best_ratio) * median.ms;
                if gain_ms <= MOVE_COST_MS + MIN_SAVED_MS {
                    continue;
                }
                let Some(route) = config.find(&step.host, &sample.path) else { continue };
                let version = progress.output.versions.first().copied();
                candidates.push(Candidate {
                    priority: step.priority,
                    remaining,
                    ratio,
                    step,
                    index: index as u32,
                    route,
                    version: version.filter(|_| step.single_version),
                    from,
                });
            }
        }
        candidates
    }

    /// Recomputes the median speed.
    pub(super) fn update_median_speed(&mut self) {
        let serving = self.engines.values().filter(|engine| engine.is_serving());
        self.median_speed.update(serving.map(|engine| &engine.speed));
    }

    /// Returns whether an engine is fast; never without `engine_speeds`.
    pub fn is_fast(&self, engine: &EngineState) -> bool {
        let median = self.median_speed;
        self.policy.engine_speeds
            && median.differs()
            && engine.speed.class(median.ms) == SpeedClass::Fast
    }

    /// Returns the number of fast engines.
    pub fn fast_engine_count(&self) -> usize {
        self.median_speed.fast
    }

    /// Adopts the speeds that an earlier leader recorded, except for those of engines that have
    /// restarted since or have been measured already.
    pub fn restore_speeds(&mut self, recorded: &SpeedState, now: Millis) {
        if !self.policy.engine_speeds || recorded.engines.is_empty() {
            return;
        }
        for (id, speed) in &recorded.engines {
            let Some(engine) = self.engines.get_mut(id) else { continue };
            let is_same = engine.endpoint.announcement.started_ms == speed.started_ms;
            if is_same && engine.speed.usual_ms().is_none() {
                engine.speed = Speed::restored(f64::from(speed.pace_us) / 1_000.0, now);
            }
        }
        self.median_speed.restored_ms = f64::from(recorded.median_us) / 1_000.0;
        self.update_median_speed();
    }

    /// Adopts the loads of weights that earlier leaders have ordered, so that a pause for them is not
    /// taken for slowness. The engines must be known already.
    pub fn inherit_loads(&mut self, observed: &ObservedLoads) {
        for (id, load) in observed.all() {
            let Some(engine) = self.engines.get_mut(id) else { continue };
            match load.loaded_at {
                Some(at) => engine.loaded_at = Some(at),
                None => engine.inherited_load = InheritedLoad::Ordered(load.ordered_at),
            }
        }
    }

    /// Returns the changes of the recorded speeds that are to be committed, if any: of engines that
    /// are fast or slow and whose record is missing or differs, and of recorded ones that equal the
    /// median again. Engines whose endpoints are not recorded wait until they are.
    pub fn speed_changes(
        &self,
        recorded: &SpeedState,
        endpoints: &BTreeMap<String, Endpoint>,
    ) -> Option<SpeedChanges> {
        let median = self.median_speed;
        if !self.policy.engine_speeds || median.ms <= 0.0 {
            return None;
        }
        self.visits.set(self.visits.get() + self.engines.len() as u64);
        let changed = self.engines.iter().filter_map(|(id, engine)| {
            let usual_ms = engine.speed.usual_ms()?;
            let started_ms = engine.endpoint.announcement.started_ms;
            let before = recorded.engines.get(id).filter(|one| one.started_ms == started_ms);
            let class = engine.speed.class(median.ms);
            let is_close = (usual_ms / median.ms - 1.0).abs() < REMOVAL_DISTANCE;
            let pace_us = match before {
                _ if !endpoints.contains_key(id) => return None,
                None if class == SpeedClass::Normal => return None,
                Some(_) if class == SpeedClass::Normal && is_close => None,
                Some(one) if !differs(f64::from(one.pace_us) / 1_000.0, usual_ms) => return None,
                _ => Some((usual_ms * 1_000.0) as u32),
            };
            Some(SpeedChange { endpoint: id.clone(), started_ms, pace_us })
        });
        let changes: Vec<SpeedChange> = changed.take(MAX_SPEED_CHANGES).collect();
        let median_differs = !recorded.engines.is_empty()
            && differs(f64::from(recorded.median_us) / 1_000.0, median.ms);
        let median_us = (median.ms * 1_000.0) as u32;
        (!changes.is_empty() || median_differs).then_some(SpeedChanges { median_us, changes })
    }
}

impl Candidate<'_> {
    /// Returns whether an engine may continue the sample without discarding its output.
    fn accepts(&self, engine: &EngineState, now: Millis) -> bool {
        let version = engine.endpoint.announcement.models.get(&self.step.model);
        is_eligible(engine, self.step, self.route, now)
            && self.version.is_none_or(|only| version == Some(&only))
    }
}

impl<'a> FreeSlot<'a> {
    /// Returns the engine's id and the position, which identify the slot.
    fn key(&self) -> (&'a str, u32) {
        (&self.engine.endpoint.announcement.id, self.position)
    }
}

/// Returns whether a recorded pace differs from the present one by more than the tolerance.
fn differs(recorded_ms: f64, present_ms: f64) -> bool {
    (recorded_ms - present_ms).abs() > RECORDED_TOLERANCE * present_ms
}
