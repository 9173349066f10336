//! Finds runs to move to a faster engine and runs that are lost.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use super::Planner;
use super::SLOW_RATIO;
use super::engine::EngineState;
use super::samples::Phase;
use super::samples::Progress;

/// Maximum pace of an engine, as a multiple of the median, at which it may take over a slow run.
const MAX_FAST_RATIO: f64 = 1.4;

/// How often a sample may be moved.
const MAX_MOVES: u32 = 4;

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
        let fast = |engine: &&EngineState| {
            engine.is_ready(now) && engine.pace(now) < MAX_FAST_RATIO * median_pace
        };
        let mut free_slots: BTreeMap<&str, u32> = BTreeMap::new();
        for engine in self.engines.values().filter(fast) {
            free_slots.insert(&engine.endpoint.announcement.id, engine.free_slots());
        }
        for (id, planned) in &self.steps {
            let model = &planned.step.model;
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
                let target = self.engines.values().filter(fast).find(|other| {
                    let announcement = &other.endpoint.announcement;
                    let version = announcement.models.get(model).copied().unwrap_or_default();
                    announcement.id != engine.endpoint.announcement.id
                        && other.loading.as_ref() != Some(model)
                        && version >= planned.step.min_version
                        && free_slots.get(announcement.id.as_str()).is_some_and(|free| *free > 0)
                });
                let Some(target) = target else { continue };
                if let Some(free) = free_slots.get_mut(target.endpoint.announcement.id.as_str()) {
                    *free -= 1;
                }
                slow.push((id.clone(), index as u32));
            }
        }
        slow
    }

    /// Recomputes the median pace from the engines measured within the last ten seconds.
    pub(super) fn update_median_pace(&mut self, now: Millis) {
        let measured = self.engines.values().filter(|engine| now.since(engine.paced_at) < 10_000);
        let mut paces: Vec<f64> =
            measured.map(|engine| engine.pace_ms).filter(|pace| *pace > 0.0).collect();
        paces.sort_by(f64::total_cmp);
        if let Some(median) = paces.get(paces.len() / 2) {
            self.median_pace_ms = *median;
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
