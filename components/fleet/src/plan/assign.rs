//! Assigns waiting samples to engines.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use super::Planner;
use super::candidates::Candidates;
use super::engine::EngineState;
use super::engine::RankBasis;
use super::free_slots::RoundSlots;
use super::lengths::SampleLengths;
use super::open_runs::are_calls_logged;
use super::refused::Refused;
use super::samples::Assignment;
use super::samples::Phase;
use super::samples::Progress;
use super::samples::SampleOutput;
use super::samples::StepPlan;
use crate::config::Config;
use crate::config::Route;
use crate::step::Step;

/// A sample is long if it takes more than this share of the time that its step has.
const LONG_SHARE: f64 = 0.25;

impl Planner {
    /// Returns the samples that start now and the engine for each. Steps are ordered by priority
    /// and then by due time; within a step the longest samples come first. Each sample goes to the
    /// engine with the fewest runs. If some engines are faster than others, long samples go to
    /// these, and other samples only if no other engine has a free slot. A fast slot that is
    /// reserved for long samples is given to no other sample of a less urgent step either.
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
        let basis = self.rank_basis(now);
        let mut free_slots = RoundSlots::count(self.engines.values(), basis);
        // Steps with samples that wait although their turn has come.
        let mut passed: Vec<String> = Vec::new();
        for (_, _, id) in order {
            if free_slots.is_empty() {
                break;
            }
            let has_room = self.has_room(&id, &free_slots);
            // Without this check, rounds would examine all engines for steps whose samples wait
            // beside reserved slots.
            if has_room || self.has_long_sample(&id, &basis) {
                let model = self.steps.get(&id).map(|planned| planned.step.model.as_str());
                let model = model.filter(|_| has_room && basis.speed.is_some());
                let refused = model.map(|model| self.refused_samples(model, &passed, config, now));
                let refused = refused.unwrap_or_default();
                self.assign_step(&id, config, basis, &refused, &mut free_slots, &mut assignments);
            }
            if self.steps.get(&id).is_some_and(|planned| planned.waiting > 0) {
                passed.push(id);
            }
        }
        assignments
    }

    /// Returns what engines are compared with at this time.
    fn rank_basis(&self, now: Millis) -> RankBasis {
        let differs = self.policy.engine_speeds && self.median_speed.differs();
        RankBasis {
            pace_ms: if self.policy.engine_paces { self.median_pace_ms } else { 0.0 },
            speed: differs.then_some(self.median_speed),
            now,
        }
    }

    /// Returns whether samples of a step that are not long may start.
    fn has_room(&self, id: &str, free_slots: &RoundSlots) -> bool {
        self.steps.get(id).is_some_and(|planned| {
            free_slots.has_room(&planned.step.model, planned.step.min_version)
        })
    }

    /// Returns whether a long sample of a step waits.
    fn has_long_sample(&self, id: &str, basis: &RankBasis) -> bool {
        self.steps.get(id).is_some_and(|planned| {
            planned.has_waiting_long(self.lengths.get(&planned.step.model), basis)
        })
    }

    /// Assigns the waiting samples of a step and appends the assignments. `refused` are samples of
    /// more urgent steps that wait.
    fn assign_step(
        &mut self,
        id: &str,
        config: &Config,
        basis: RankBasis,
        refused: &[Refused],
        free_slots: &mut RoundSlots,
        assignments: &mut Vec<Assignment>,
    ) {
        let now = basis.now;
        let marker = self.inherited_run();
        let Some(planned) = self.steps.get_mut(id) else { return };
        let step = planned.step.clone();
        let lengths = self.lengths.get(&step.model);
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
            let is_withheld =
                |engine: &EngineState| refused.iter().any(|one| one.could_use(engine, now));
            let mut candidates = Candidates::new(eligible, basis, is_withheld);
            for (index, _) in same_route {
                let group = step.samples[*index as usize].group.as_str();
                let progress = &mut planned.progress[*index as usize];
                let preferred = group_engines.get(group).filter(|_| self.policy.group_homes);
                let preferred = preferred.map(String::as_str);
                let avoided = progress.avoided_engine.as_deref();
                let destination = progress.reserved_engine.take();
                let is_long =
                    destination.is_some() || is_long(&step, *index, progress, lengths, &basis);
                let destination =
                    destination.and_then(|id| candidates.reserve_on(&id, &step.model));
                let engine = match destination {
                    Some(index) => Some(candidates.engine(index)),
                    None => candidates.reserve(&step.model, avoided, preferred, is_long),
                };
                let Some(engine) = engine else { continue };
                free_slots.take(engine);
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

/// Returns whether a sample takes a large share of the time that its step has, so that it decides
/// when its step ends. Until lengths have been learned, every sample is treated as long, and so is
/// one without a hint.
fn is_long(
    step: &Step,
    index: u32,
    progress: &Progress,
    lengths: Option<&SampleLengths>,
    basis: &RankBasis,
) -> bool {
    let Some(median) = basis.speed else { return true };
    let expected_tokens = step.samples[index as usize].expected_tokens;
    let lengths = lengths.filter(|known| known.expected_events(expected_tokens).is_some());
    lengths.is_none_or(|known| {
        let remaining = known.remaining_events(expected_tokens, progress.output.events.len());
        remaining * median.ms > LONG_SHARE * step.due_ms as f64
    })
}

impl StepPlan {
    /// Returns whether a waiting sample is long.
    fn has_waiting_long(&self, lengths: Option<&SampleLengths>, basis: &RankBasis) -> bool {
        let mut all = self.progress.iter().enumerate();
        all.any(|(index, progress)| {
            progress.phase == Phase::Waiting
                && progress.blocked_until <= basis.now
                && (progress.reserved_engine.is_some()
                    || is_long(&self.step, index as u32, progress, lengths, basis))
        })
    }
}

/// Returns whether an engine is eligible for samples of a step, regardless of free slots.
pub(super) fn is_eligible(engine: &EngineState, step: &Step, route: &Route, now: Millis) -> bool {
    let announcement = &engine.endpoint.announcement;
    let version = announcement.models.get(&step.model);
    engine.is_ready(now)
        && engine.loading.as_deref() != Some(&step.model)
        && route.leads_to(&announcement.service)
        && version.is_some_and(|version| *version >= step.min_version)
}
