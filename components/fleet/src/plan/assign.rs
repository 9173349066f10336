//! Which samples start now, and on which engines.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use super::Planner;
use super::candidates::Free;
use super::engine::EngineState;
use super::samples::Assignment;
use super::samples::Phase;
use super::samples::Progress;
use super::samples::SampleOutput;
use crate::config::Config;
use crate::config::Route;
use crate::step::Step;

impl Planner {
    /// Chooses the samples that start now: steps by rank and by the time at which they are due,
    /// of each the longest samples first, on the engine with the fewest runs. Each run beside it
    /// makes a sample half a percent slower (measured), which for the longest is time that its step
    /// does not have; to read a prompt once more takes 1 to 3 ms. So an engine that has read the
    /// group's prompt is preferred only among those with as few runs.
    pub fn assign(&mut self, config: &Config, now: Millis) -> Vec<Assignment> {
        let mut free: u32 = self
            .engines
            .values()
            .filter(|seat| seat.is_ready(now))
            .map(EngineState::free_slots)
            .sum();
        let mut chosen = Vec::new();
        let waiting = self.steps.values().filter(|work| work.waiting > 0 && work.held_until <= now);
        let mut order: Vec<(u32, Millis, String)> = waiting
            .map(|work| {
                (work.step.priority, work.submitted_at + work.step.due_ms, work.step.id.clone())
            })
            .collect();
        order.sort();
        for (_, _, id) in order {
            if free == 0 {
                break;
            }
            let before = chosen.len();
            self.assign_step(&id, config, now, &mut chosen);
            free = free.saturating_sub((chosen.len() - before) as u32);
        }
        chosen
    }

    fn assign_step(
        &mut self,
        id: &str,
        config: &Config,
        now: Millis,
        chosen: &mut Vec<Assignment>,
    ) {
        let Some(work) = self.steps.get_mut(id) else { return };
        let step = work.step.clone();
        let usual = if self.policy.engine_paces { self.median_pace_ms } else { 0.0 };
        let mut homes: BTreeMap<&str, String> = BTreeMap::new();
        let mut waiting: Vec<(u32, &Route)> = Vec::new();
        for index in &work.order {
            let (sample, progress) =
                (&step.samples[*index as usize], &work.progress[*index as usize]);
            if progress.phase == Phase::Waiting && progress.blocked_until > now {
                continue;
            }
            if progress.phase == Phase::Waiting {
                waiting.extend(config.find(&step.host, &sample.path).map(|route| (*index, route)));
            } else if let (Some(seat), false) = (&progress.engine, sample.group.is_empty()) {
                homes.entry(&sample.group).or_insert_with(|| seat.clone());
            }
        }
        // All samples of a step have the same route, but for odd ones.
        for alike in waiting.chunk_by(|(_, a), (_, b)| std::ptr::eq(*a, *b)) {
            let route = alike[0].1;
            let fitting = self.engines.values_mut().filter(|seat| fits(seat, &step, route, now));
            let mut free = Free::new(fitting, usual, now);
            for (index, _) in alike {
                let group = step.samples[*index as usize].group.as_str();
                let progress = &mut work.progress[*index as usize];
                let home = homes.get(group).filter(|_| self.policy.group_homes);
                let home = home.map(String::as_str);
                let taken = free.take(&step.model, progress.avoided_engine.as_deref(), home);
                let Some(seat) = taken else { continue };
                self.last_run += 1;
                work.waiting -= 1;
                let mut assignment = Assignment {
                    run: self.last_run,
                    step: step.clone(),
                    index: *index,
                    endpoint: seat.endpoint.announcement.id.clone(),
                    address: seat.endpoint.announcement.address,
                    version: seat
                        .endpoint
                        .announcement
                        .models
                        .get(&step.model)
                        .copied()
                        .unwrap_or_default(),
                    output: SampleOutput::default(),
                    cost: progress.cost.clone(),
                    remaining_ms: progress.deadline.since(now),
                    other_runs: seat.load() - 1,
                    started: now,
                };
                progress.begin(&mut assignment);
                homes.insert(group, assignment.endpoint.clone());
                chosen.push(assignment);
            }
        }
    }
}

impl Progress {
    /// Notes that the sample runs, and adds to the assignment what was made of it before.
    fn begin(&mut self, assignment: &mut Assignment) {
        let version = assignment.version;
        if assignment.step.single_version
            && self.output.versions.first().is_some_and(|v| *v != version)
        {
            self.output = SampleOutput::default();
        }
        assignment.output = self.output.clone();
        self.phase = Phase::Running;
        self.engine = Some(assignment.endpoint.clone());
        self.run = assignment.run;
        self.host = None;
        self.claimable = false;
        self.started = assignment.started;
        self.last_event = assignment.started;
    }
}

/// Tells whether a step's samples may go to an engine, if it has room.
fn fits(seat: &EngineState, step: &Step, route: &Route, now: Millis) -> bool {
    let said = &seat.endpoint.announcement;
    let version = said.models.get(&step.model);
    seat.is_ready(now)
        && seat.loading.as_deref() != Some(&step.model)
        && route.leads_to(&said.service)
        && version.is_some_and(|version| *version >= step.min_version)
}
