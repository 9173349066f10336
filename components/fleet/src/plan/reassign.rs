//! Runs that would go faster elsewhere, or are lost.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use super::Planner;
use super::SLOW;
use super::engine::EngineState;
use super::samples::Phase;
use super::samples::Progress;

/// How many times slower than usual an engine may be to be given a run that was slow elsewhere.
const FAST: f64 = 1.4;

/// Times that one run may be moved.
const MOVED: u32 = 4;

/// Milliseconds of silence after which a run counts as slow, whatever its engine's pace. The first
/// event comes after the prompt was read, and hosts tell four times a second, so half a second is
/// usual; a change of weights takes about one.
const LAG_MS: u64 = 1_400;

/// Milliseconds of silence after which a run is begun anew: hosts give up a silent engine before.
const LOST_MS: u64 = 4_000;

impl Planner {
    /// Finds runs on slow engines that would go faster elsewhere. Any engine can go on after the
    /// last event, so moving a run costs one reading of its prompt. A run is moved only if an
    /// engine that may run it has room; it would come back otherwise, and lose time at each turn.
    pub fn slow_runs(&mut self, now: Millis) -> Vec<(String, u32)> {
        self.update_median_pace(now);
        let usual = self.median_pace_ms;
        let mut slow = Vec::new();
        if usual <= 0.0 || !self.policy.slow_moves {
            return slow;
        }
        let fast = |seat: &&EngineState| seat.is_ready(now) && seat.pace(now) < FAST * usual;
        let mut rooms: BTreeMap<&str, u32> = BTreeMap::new();
        for seat in self.engines.values().filter(fast) {
            rooms.insert(&seat.endpoint.announcement.id, seat.free_slots());
        }
        for (id, work) in &self.steps {
            let model = &work.step.model;
            for (index, progress) in work.progress.iter().enumerate() {
                let Some(seat) = progress.engine.as_ref().and_then(|id| self.engines.get(id))
                else {
                    continue;
                };
                // A change of weights holds its runs up for a moment; they go on by themselves.
                let loading = seat.loading.as_ref() == Some(model);
                let live = progress.phase == Phase::Running && !loading;
                if !live || progress.moves >= MOVED || !is_slow(progress, seat, usual, now) {
                    continue;
                }
                let better = self.engines.values().filter(fast).find(|other| {
                    let said = &other.endpoint.announcement;
                    let version = said.models.get(model).copied().unwrap_or_default();
                    said.id != seat.endpoint.announcement.id
                        && other.loading.as_ref() != Some(model)
                        && version >= work.step.min_version
                        && rooms.get(said.id.as_str()).is_some_and(|room| *room > 0)
                });
                let Some(better) = better else { continue };
                if let Some(room) = rooms.get_mut(better.endpoint.announcement.id.as_str()) {
                    *room -= 1;
                }
                slow.push((id.clone(), index as u32));
            }
        }
        slow
    }

    pub(super) fn update_median_pace(&mut self, now: Millis) {
        let live = self.engines.values().filter(|seat| now.since(seat.paced_at) < 10_000);
        let mut paces: Vec<f64> =
            live.map(|seat| seat.pace_ms).filter(|pace| *pace > 0.0).collect();
        paces.sort_by(f64::total_cmp);
        if let Some(median) = paces.get(paces.len() / 2) {
            self.median_pace_ms = *median;
        }
    }

    /// Finds runs of which nothing was heard for so long that they cannot be going on.
    pub fn lost_runs(&self, now: Millis) -> Vec<(String, u32)> {
        let mut lost = Vec::new();
        for (id, work) in &self.steps {
            for (index, progress) in work.progress.iter().enumerate() {
                let silent = now.since(progress.last_event.max(progress.started)) >= LOST_MS;
                if progress.phase == Phase::Running && silent {
                    lost.push((id.clone(), index as u32));
                }
            }
        }
        lost
    }
}

/// Tells whether a run is slow: its engine is, or nothing is heard of it.
fn is_slow(progress: &Progress, seat: &EngineState, usual: f64, now: Millis) -> bool {
    let paced = seat.pace(now) > SLOW * usual;
    paced || now.since(progress.last_event.max(progress.started)) > LAG_MS
}
