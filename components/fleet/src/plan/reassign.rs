//! Finds runs to move to a faster engine and runs that are lost.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use chicoryford_types::Millis;

use super::Planner;
use super::SLOW_RATIO;
use super::engine::EngineState;
use super::samples::Phase;
use super::samples::Progress;
use super::samples::StepPlan;

/// Maximum pace of an engine, as a multiple of the median, at which it may take over a slow run.
const MAX_FAST_RATIO: f64 = 1.4;

/// How often a sample may be moved.
pub(super) const MAX_MOVES: u32 = 4;

/// Milliseconds without events after which a run counts as slow regardless of its engine's pace.
/// The first event follows the reading of the prompt, and hosts report four times a second, so gaps
/// of half a second are normal; a change of weights takes about one second.
const SLOW_RUN_SILENCE_MS: u64 = 1_400;

/// Milliseconds without events after which a run is lost and started again. Hosts give up on a
/// silent engine earlier.
const LOST_RUN_SILENCE_MS: u64 = 4_000;

impl Planner {
    /// Returns runs on slow engines that would be faster elsewhere. Any engine can continue after
    /// the last event, so moving a run costs one reading of its prompt. A run is moved only if an
    /// eligible engine has a free slot; otherwise it would return to the same engine and lose time
    /// on every move.
    pub fn slow_runs(&mut self, now: Millis) -> Vec<(String, u32)> {
        self.update_median_pace(now);
        let median_pace = self.median_pace_ms;
        let mut slow = Vec::new();
        if median_pace <= 0.0 || !self.policy.slow_moves {
            return slow;
        }
        // Free slots that were given to slow runs, by engine.
        let mut taken: BTreeMap<&str, u32> = BTreeMap::new();
        for (id, planned) in &self.steps {
            let model = &planned.step.model;
            let mut targets = None;
            for (index, progress) in planned.progress.iter().enumerate() {
                let Some(engine) = progress.engine.as_ref().and_then(|id| self.engines.get(id))
                else {
                    continue;
                };
                // A change of weights pauses the runs of the model briefly; they resume without
                // being moved.
                let loading = engine.loading.as_ref() == Some(model);
                let running = progress.phase == Phase::Running && !loading;
                if !running
                    || progress.moves >= MAX_MOVES
                    || !is_slow(progress, engine, median_pace, now)
                {
                    continue;
                }
                let targets =
                    targets.get_or_insert_with(|| self.fast_engines(planned, &taken, now));
                let own = engine.endpoint.announcement.id.as_str();
                let is_other = |target: &(&str, u32)| target.0 != own;
                let Some(position) = targets.iter().position(is_other) else { continue };
                let (target, free) = &mut targets[position];
                *taken.entry(target).or_default() += 1;
                *free -= 1;
                if *free == 0 {
                    targets.remove(position);
                }
                slow.push((id.clone(), index as u32));
            }
        }
        slow
    }

    /// Returns the engines that may take over slow runs of a step, with their free slots except for
    /// those that are taken.
    fn fast_engines(
        &self,
        planned: &StepPlan,
        taken: &BTreeMap<&str, u32>,
        now: Millis,
    ) -> VecDeque<(&str, u32)> {
        self.visits.set(self.visits.get() + self.engines.len() as u64);
        let model = &planned.step.model;
        let fast = self.engines.values().filter(|engine| {
            let version = engine.endpoint.announcement.models.get(model).copied();
            engine.is_ready(now)
                && engine.pace(now) < MAX_FAST_RATIO * self.median_pace_ms
                && engine.loading.as_ref() != Some(model)
                && version.unwrap_or_default() >= planned.step.min_version
        });
        let with_free_slots = fast.filter_map(|engine| {
            let id = engine.endpoint.announcement.id.as_str();
            let taken = taken.get(id).copied().unwrap_or_default();
            let free = engine.free_slots().saturating_sub(taken);
            (free > 0).then_some((id, free))
        });
        with_free_slots.collect()
    }

    /// Recomputes the median pace from the engines measured within the last ten seconds.
    pub(super) fn update_median_pace(&mut self, now: Millis) {
        self.visits.set(self.visits.get() + self.engines.len() as u64);
        let measured = self
            .engines
            .values()
            .filter(|engine| engine.is_serving() && now.since(engine.paced_at) < 10_000);
        let mut paces: Vec<f64> =
            measured.map(|engine| engine.pace_ms).filter(|pace| *pace > 0.0).collect();
        paces.sort_by(f64::total_cmp);
        if let Some(median) = paces.get(paces.len() / 2) {
            self.median_pace_ms = *median;
        }
        if self.policy.engine_speeds {
            self.update_median_speed();
        }
    }

    /// Returns runs without events for so long that they cannot still be active.
    pub fn lost_runs(&self, now: Millis) -> Vec<(String, u32)> {
        let mut lost = Vec::new();
        for (id, planned) in &self.steps {
            for (index, progress) in planned.progress.iter().enumerate() {
                let silent =
                    now.since(progress.last_event.max(progress.started)) >= LOST_RUN_SILENCE_MS;
                if progress.phase == Phase::Running && silent {
                    lost.push((id.clone(), index as u32));
                }
            }
        }
        lost
    }
}

/// Returns whether a run is slow: its engine is slow or it has had no events for too long.
fn is_slow(progress: &Progress, engine: &EngineState, median_pace: f64, now: Millis) -> bool {
    let engine_is_slow = engine.pace(now) > SLOW_RATIO * median_pace;
    engine_is_slow || now.since(progress.last_event.max(progress.started)) > SLOW_RUN_SILENCE_MS
}
