//! Assigns waiting samples to engines.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use super::Planner;
use super::candidates::Candidates;
use super::engine::EngineState;
use super::open_runs::are_calls_logged;
use super::samples::Assignment;
use super::samples::Phase;
use super::samples::Progress;
use super::samples::SampleOutput;
use crate::config::Config;
use crate::config::Route;
use crate::step::Step;

impl Planner {
    /// Returns the samples that start now and the engine for each. Steps are ordered by priority
    /// and then by due time; within a step the longest samples come first. Each sample goes to the
    /// engine with the fewest runs.
    ///
    /// Every concurrent run on the same engine makes a sample half a percent slower. The longest
    /// samples have no time to spare within their step, while reading a prompt once more takes only
    /// 1 to 3 ms. An engine that has already read the group's prompt is therefore preferred only
    /// over engines with the same load.
    pub fn assign(&mut self, config: &Config, now: Millis) -> Vec<Assignment> {
        let mut assignments = Vec::new();
        self.unlogged_samples.clear();
        let waiting = self
            .steps
            .values()
            .filter(|planned| planned.waiting > 0 && planned.held_until <= now && !planned.ending);
        let mut order: Vec<(u32, Millis, String)> = waiting
            .map(|planned| {
                (
                    planned.step.priority,
                    planned.submitted_at + planned.step.due_ms,
                    planned.step.id.clone(),
                )
            })
            .collect();
        if order.is_empty() {
            return assignments;
        }
        order.sort();
        self.visits.set(self.visits.get() + self.engines.len() as u64);
        let ready = self.engines.values().filter(|engine| engine.is_ready(now));
        let mut free_slots: u32 = ready.map(EngineState::free_slots).sum();
        for (_, _, id) in order {
            if free_slots == 0 {
                break;
            }
            let before = assignments.len();
            self.assign_step(&id, config, now, &mut assignments);
            free_slots = free_slots.saturating_sub((assignments.len() - before) as u32);
        }
        assignments
    }

    /// Assigns the waiting samples of a step and appends the assignments.
    fn assign_step(
        &mut self,
        id: &str,
        config: &Config,
        now: Millis,
        assignments: &mut Vec<Assignment>,
    ) {
        let marker = self.inherited_run();
        let Some(planned) = self.steps.get_mut(id) else { return };
        let step = planned.step.clone();
        let median_pace = if self.policy.engine_paces { self.median_pace_ms } else { 0.0 };
        let mut group_engines: BTreeMap<&str, String> = BTreeMap::new();
        let mut waiting: Vec<(u32, &Route)> = Vec::new();
        for index in &planned.order {
            let (sample, progress) =
                (&step.samples[*index as usize], &planned.progress[*index as usize]);
            if progress.phase == Phase::Waiting && progress.blocked_until > now {
                continue;
            }
            if progress.phase == Phase::Waiting
                && !are_calls_logged(sample, progress, &self.past_costs, marker)
            {
                self.unlogged_samples.push((id.to_owned(), *index));
                continue;
            }
            if progress.phase == Phase::Waiting {
                waiting.extend(config.find(&step.host, &sample.path).map(|route| (*index, route)));
            } else if let (Some(engine), false) = (&progress.engine, sample.group.is_empty()) {
                group_engines.entry(&sample.group).or_insert_with(|| engine.clone());
            }
        }
        // Nearly all samples of a step share one route, so consecutive samples with the same route
        // are handled together.
        for same_route in waiting.chunk_by(|(_, a), (_, b)| std::ptr::eq(*a, *b)) {
            let route = same_route[0].1;
            self.visits.set(self.visits.get() + self.engines.len() as u64);
            let eligible =
                self.engines.values_mut().filter(|engine| is_eligible(engine, &step, route, now));
            let mut candidates = Candidates::new(eligible, median_pace, now);
            for (index, _) in same_route {
                let group = step.samples[*index as usize].group.as_str();
                let progress = &mut planned.progress[*index as usize];
                let preferred = group_engines.get(group).filter(|_| self.policy.group_homes);
                let preferred = preferred.map(String::as_str);
                let reserved =
                    candidates.reserve(&step.model, progress.avoided_engine.as_deref(), preferred);
                let Some(engine) = reserved else { continue };
                self.last_run += 1;
                planned.waiting -= 1;
                let mut assignment = Assignment {
                    run: self.last_run,
                    step: step.clone(),
                    index: *index,
                    endpoint: engine.endpoint.announcement.id.clone(),
                    address: engine.endpoint.announcement.address,
                    version: engine
                        .endpoint
                        .announcement
                        .models
                        .get(&step.model)
                        .copied()
                        .unwrap_or_default(),
                    output: SampleOutput::default(),
                    discarded: 0,
                    cost: progress.cost.clone(),
                    remaining_ms: progress.deadline.since(now),
                    other_runs: engine.load() - 1,
                    started: now,
                };
                progress.start(&mut assignment);
                group_engines.insert(group, assignment.endpoint.clone());
                assignments.push(assignment);
            }
        }
    }
}

impl Progress {
    /// Marks the sample as running on the assigned engine and copies its output so far into the
    /// assignment. The output is discarded if the step requires a single version and the engine has
    /// another one.
    fn start(&mut self, assignment: &mut Assignment) {
        let version = assignment.version;
        if assignment.step.single_version
            && self.output.versions.first().is_some_and(|v| *v != version)
        {
            assignment.discarded = self.output.events.len();
            self.output = SampleOutput::default();
            self.keep_checkpointed(0);
        }
        assignment.output = self.output.clone();
        self.phase = Phase::Running;
        self.engine = Some(assignment.endpoint.clone());
        self.run = assignment.run;
        self.host = None;
        self.claimable = false;
        self.called_before.clone_from(&self.cost.scorer.endpoints);
        self.calls_reported = 0;
        self.run_closed = false;
        self.failures_before = self.cost.failures;
        self.started = assignment.started;
        self.last_event = assignment.started;
    }
}

/// Returns whether an engine is eligible for samples of a step, regardless of free slots.
fn is_eligible(engine: &EngineState, step: &Step, route: &Route, now: Millis) -> bool {
    let announcement = &engine.endpoint.announcement;
    let version = announcement.models.get(&step.model);
    engine.is_ready(now)
        && engine.loading.as_deref() != Some(&step.model)
        && route.leads_to(&announcement.service)
        && version.is_some_and(|version| *version >= step.min_version)
}
