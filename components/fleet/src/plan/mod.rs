//! Schedules samples: decides which sample runs next and on which engine.
//!
//! The leader schedules for the whole fleet. No other process sends samples, so the planner tracks
//! the load of each engine without asking it. Hosts execute the runs ([`crate::run`]) and report
//! them to the next leader after a change of leader.

mod assign;
mod candidates;
mod checkpoints;
mod engine;
mod free_slots;
mod lengths;
mod listing;
mod open_runs;
mod reassign;
mod refused;
mod reports;
mod samples;
mod speed;
mod takeover;
mod upgrade;

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use chicoryford_types::Epoch;
use chicoryford_types::Millis;

use crate::endpoint::Endpoint;
use crate::grant::Grant;
use crate::policy::Policy;
use crate::run::Cost;
use crate::state::COST_TTL_MS;
use crate::step::Scorer;
use crate::step::Step;

pub use checkpoints::Restored;
pub use engine::EngineState;
pub use listing::FINAL_LIST_DELAY_MS;
pub use listing::LIST_DELAY_MS;
pub use listing::MAX_LIST_DELAY_MS;
pub use samples::AfterRun;
pub use samples::Assignment;
pub use samples::Checkpoint;
pub use samples::ReportAction;
pub use samples::RunEnd;
pub use samples::SampleOutput;
pub use upgrade::RunMove;

use lengths::SampleLengths;
use open_runs::OpenRun;
use samples::Phase;
use samples::Progress;
use samples::StepPlan;
use speed::MedianSpeed;

/// Pace of an engine, as a multiple of the median, above which its runs are moved. An engine with
/// all slots in use is about a tenth slower than an idle one, so this ratio indicates a fault.
const SLOW_RATIO: f64 = 2.0;

/// The cost of a sample beyond its step.
#[derive(Default)]
struct PastCost {
    cost: Cost,
    /// When it was recorded, or when its step was closed.
    at: Millis,
    /// The part of the cost that the log contains.
    logged: Cost,
    /// The newest step that contains the sample, and its index there.
    place: Option<(String, u32)>,
}

/// Schedules the samples of all open steps on the engines.
#[derive(Default)]
pub struct Planner {
    /// The epoch of the leader.
    epoch: Epoch,
    steps: BTreeMap<String, StepPlan>,
    engines: BTreeMap<String, EngineState>,
    /// Median milliseconds between events of the engines; zero before the first measurement.
    median_pace_ms: f64,
    /// The longest recent samples, by model.
    longest_outputs: BTreeMap<String, listing::LongestOutput>,
    /// The median of the engines' usual speeds, known only with `engine_speeds`.
    median_speed: MedianSpeed,
    /// The lengths of completed samples, by model; learned only with `engine_speeds`.
    lengths: BTreeMap<String, SampleLengths>,
    /// The id of the last run.
    last_run: u64,
    /// Hosts that were asked for their runs and have not reported yet.
    unreported_hosts: BTreeSet<String>,
    /// Costs of samples that were recorded, or that may be submitted again.
    past_costs: BTreeMap<String, PastCost>,
    /// Runs that were taken away from their hosts, by id.
    open_runs: BTreeMap<u64, OpenRun>,
    /// Samples that the last assignment held back until their open runs are logged, as step and index.
    unlogged_samples: Vec<(String, u32)>,
    policy: Policy,
    /// Engines examined so far.
    visits: Cell<u64>,
}

impl Planner {
    /// Creates the planner of a leader. Run ids contain the epoch, so they differ between leaders.
    pub fn new(epoch: Epoch) -> Self {
        Self { epoch, last_run: epoch.0 << 32, ..Self::default() }
    }

    /// Sets which scheduling mechanisms are enabled.
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Adds an open step. `listed` returns whether a sample already has its result, `at` is when
    /// the step was submitted, and until `held` hosts may still report runs of it that were started
    /// under a previous leader.
    pub fn open_step(
        &mut self,
        step: Arc<Step>,
        at: Millis,
        held: Millis,
        listed: impl Fn(u32) -> bool,
    ) {
        if self.steps.contains_key(&step.id) {
            return;
        }
        let progress = (0..step.samples.len() as u32).map(|index| {
            let past = self.past_costs.get_mut(&step.samples[index as usize].id);
            let past = past.map(|past| {
                past.place = Some((step.id.clone(), index));
                &*past
            });
            let phase = if listed(index) { Phase::Settled } else { Phase::Waiting };
            let claimable = held > Millis::default();
            let has_scorer = step.samples[index as usize].scorer.is_some();
            let cost = past.map(|past| past.cost.clone()).unwrap_or_default();
            Progress {
                phase,
                engine: None,
                run: 0,
                host: None,
                avoided_engine: None,
                claimable,
                reported: false,
                has_scorer,
                inherited: claimable && has_scorer && phase == Phase::Waiting,
                called_before: BTreeSet::new(),
                calls_reported: 0,
                run_closed: false,
                started: at,
                last_event: at,
                output: SampleOutput::default(),
                checkpointed: 0,
                attempted: 0,
                failures_before: cost.failures,
                cost,
                deadline: at + step.age_ms,
                blocked_until: Millis::default(),
                moves: 0,
                reserved_engine: None,
            }
        });
        let progress: Vec<Progress> = progress.collect();
        let waiting = progress.iter().filter(|p| p.phase == Phase::Waiting).count();
        self.record_step_opened(&step.model);
        let id = step.id.clone();
        let mut order: Vec<u32> = (0..step.samples.len() as u32).collect();
        if self.policy.longest_first {
            order.sort_by_key(|index| Reverse(step.samples[*index as usize].expected_tokens));
        }
        self.steps.insert(
            id,
            StepPlan {
                step,
                order,
                submitted_at: at,
                held_until: held,
                hosts_asked: false,
                ending: false,
                progress,
                waiting,
            },
        );
    }

    /// Stops or resumes the assignment of a step's samples, which stops while the end of the step is
    /// being committed: their costs are recorded before.
    pub fn set_ending(&mut self, step: &str, ending: bool) {
        if let Some(planned) = self.steps.get_mut(step) {
            planned.ending = ending;
        }
    }

    /// Removes a step that has ended and returns the runs that hosts still have, as host, sample
    /// index and run id.
    pub fn close_step(&mut self, step: &str, now: Millis) -> Vec<(String, u32, u64)> {
        let unfinished = self.unfinished_costs(step);
        let Some(mut planned) = self.steps.remove(step) else { return Vec::new() };
        self.past_costs.retain(|_, past| now.since(past.at) < COST_TTL_MS);
        self.open_runs.retain(|_, run| now.since(run.known_since) < COST_TTL_MS);
        for (id, cost) in unfinished {
            let past = self.past_costs.entry(id).or_default();
            (past.cost, past.at) = (cost, now);
        }
        let mut hosted = Vec::new();
        for (index, progress) in planned.progress.iter_mut().enumerate() {
            self.open_runs.extend(progress.take_run(&planned.step.samples[index].id));
            if progress.phase == Phase::Running {
                self.release_slot(progress.engine.as_deref(), &planned.step.model);
            }
            let host = progress.host.take();
            hosted.extend(host.map(|host| (host, index as u32, progress.run)));
        }
        hosted
    }

    /// Returns the costs of the samples of an open step that their trainer may submit again: those
    /// of incomplete groups. The endpoints that were granted to their scorers' calls are included,
    /// and all runs whose hosts may still call them.
    pub fn unfinished_costs(&self, step: &str) -> Vec<(String, Cost)> {
        let Some(planned) = self.steps.get(step) else { return Vec::new() };
        let complete = planned.complete_groups();
        let mut costs = Vec::new();
        for (sample, progress) in planned.step.samples.iter().zip(&planned.progress) {
            let may_have_run = progress.run > 0 || progress.claimable;
            let grant = sample.scorer.as_ref().filter(|_| may_have_run);
            let grant = grant.map(|scorer| Grant::of(scorer, &progress.cost.grant));
            let granted = grant.as_ref().is_some_and(|grant| !grant.endpoints.is_empty());
            let is_complete = complete.get(listing::group_of(sample)).copied().unwrap_or_default();
            if !progress.cost.has_failed() && (is_complete || !granted) {
                continue;
            }
            let open_runs = self.all_open_runs(progress);
            let grant = grant.unwrap_or_else(|| progress.cost.grant.clone());
            costs.push((sample.id.clone(), Cost { open_runs, grant, ..progress.cost.clone() }));
        }
        costs
    }

    /// Returns the id and the cost of a sample if its next run must not start without them.
    pub fn limiting_cost(&self, step: &str, index: u32) -> Option<(String, Cost)> {
        let planned = self.steps.get(step)?;
        let sample = planned.step.samples.get(index as usize)?;
        let cost = &planned.progress.get(index as usize)?.cost;
        cost.is_limiting().then(|| (sample.id.clone(), cost.clone()))
    }

    /// Adds costs that were recorded in the log, by sample id. Returns the open samples whose hosts
    /// have to be informed, as step and index: those whose grant was extended, or whose scorer's call
    /// has failed.
    pub fn restore_costs(&mut self, costs: &[(String, Cost)], now: Millis) -> Vec<(String, u32)> {
        for (id, cost) in costs {
            let past = self.past_costs.entry(id.clone());
            let past =
                past.or_insert_with(|| PastCost { cost: cost.clone(), ..PastCost::default() });
            past.cost.merge(cost);
            past.logged.merge(cost);
            past.at = now;
            for run in cost.open_runs.open() {
                self.open_runs.entry(run).or_insert_with(|| OpenRun {
                    sample: id.clone(),
                    called_before: cost.scorer.endpoints.clone(),
                    known_since: now,
                });
            }
        }
        let costs: BTreeMap<&str, &Cost> = costs.iter().map(|(id, cost)| (&**id, cost)).collect();
        let mut granted = Vec::new();
        for (step, planned) in &mut self.steps {
            for (index, sample) in planned.step.samples.iter().enumerate() {
                let Some(cost) = costs.get(sample.id.as_str()) else { continue };
                if let Some(past) = self.past_costs.get_mut(&sample.id) {
                    past.place = Some((step.clone(), index as u32));
                }
                let progress = &mut planned.progress[index];
                let Some(scorer) = &sample.scorer else { continue };
                let before = Grant::of(scorer, &progress.cost.grant);
                progress.cost.merge(cost);
                let is_extended = Grant::of(scorer, &progress.cost.grant) != before;
                let waits = progress.phase == Phase::Scoring && cost.scorer.failures > 0;
                if is_extended || waits {
                    granted.push((step.clone(), index as u32));
                }
            }
        }
        granted
    }

    /// Returns the scorer of a sample and the sample's cost so far.
    pub fn scorer(&self, step: &str, index: u32) -> Option<(&Scorer, &Cost)> {
        let planned = self.steps.get(step)?;
        let scorer = planned.step.samples.get(index as usize)?.scorer.as_ref()?;
        Some((scorer, &planned.progress.get(index as usize)?.cost))
    }

    /// Returns whether a sample's scorer is being called.
    pub fn is_scoring(&self, step: &str, index: u32) -> bool {
        let progress = self.steps.get(step).and_then(|plan| plan.progress.get(index as usize));
        progress.is_some_and(|progress| progress.phase == Phase::Scoring)
    }

    /// Returns the id of a sample.
    pub fn sample_id(&self, step: &str, index: u32) -> Option<&str> {
        Some(&self.steps.get(step)?.step.samples.get(index as usize)?.id)
    }

    /// Returns whether a step is open in the planner.
    pub fn has_step(&self, step: &str) -> bool {
        self.steps.contains_key(step)
    }

    /// Adds an engine or updates its endpoint. A restart resets everything but its runs and its
    /// load order.
    pub fn update_engine(&mut self, endpoint: &Endpoint) {
        match self.engines.get_mut(&endpoint.announcement.id) {
            // Runs and load orders from before the restart still count until they end.
            Some(engine)
                if engine.endpoint.announcement.started_ms < endpoint.announcement.started_ms =>
            {
                let running = std::mem::take(&mut engine.running);
                let (loading, loaded_at) = (engine.loading.take(), engine.loaded_at);
                *engine = EngineState { running, loading, loaded_at, ..EngineState::new(endpoint) };
            }
            Some(engine) => engine.update_endpoint(endpoint),
            None => {
                self.engines.insert(endpoint.announcement.id.clone(), EngineState::new(endpoint));
            }
        }
    }

    /// Records a heartbeat of an engine with the sequence number of its announcement.
    pub fn record_heartbeat(&mut self, id: &str, sequence: u64) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.endpoint.announcement.sequence = sequence;
        }
    }

    /// Removes an engine.
    pub fn remove_engine(&mut self, id: &str) {
        self.engines.remove(id);
    }

    /// Returns all engines.
    pub fn engines(&self) -> impl Iterator<Item = &EngineState> {
        self.engines.values()
    }

    /// Returns an engine for modification.
    pub fn engine_mut(&mut self, id: &str) -> Option<&mut EngineState> {
        self.engines.get_mut(id)
    }

    /// Returns how many engines were examined so far, which measures the planner's work.
    pub fn visits(&self) -> u64 {
        self.visits.get()
    }

    /// Returns the number of waiting samples of a model for which no engine has a new enough
    /// version.
    pub fn starved_samples(&self, model: &str) -> usize {
        let waits = |planned: &StepPlan| planned.step.model == model && planned.waiting > 0;
        if !self.steps.values().any(waits) {
            return 0;
        }
        self.visits.set(self.visits.get() + self.engines.len() as u64);
        let usable =
            |engine: &&EngineState| engine.is_serving() && engine.loading.as_deref() != Some(model);
        let newest = self.engines.values().filter(usable);
        let newest =
            newest.filter_map(|engine| engine.endpoint.announcement.models.get(model)).max();
        let planned = self.steps.values().filter(|planned| {
            planned.step.model == model
                && newest.is_none_or(|version| *version < planned.step.min_version)
        });
        planned.map(|planned| planned.waiting).sum()
    }

    /// Returns the number of samples of open steps by phase.
    pub fn phase_counts(&self) -> [(&'static str, usize); 4] {
        let all = || self.steps.values().flat_map(|planned| &planned.progress);
        let count = |phase: Phase| all().filter(|progress| progress.phase == phase).count();
        [
            ("waiting", count(Phase::Waiting)),
            ("running", count(Phase::Running)),
            ("scoring", count(Phase::Scoring)),
            ("settled", count(Phase::Settled)),
        ]
    }

    /// Returns the tokens of all samples in open steps of a model, which determines its share of
    /// the engines.
    pub fn token_demand(&self, model: &str) -> u64 {
        let planned = self.steps.values().filter(|planned| planned.step.model == model);
        planned.flat_map(|planned| &planned.step.samples).map(|sample| sample.tokens).sum()
    }

    /// Returns the number of samples in open steps of a model.
    pub fn open_samples(&self, model: &str) -> usize {
        let planned = self.steps.values().filter(|planned| planned.step.model == model);
        planned.map(|planned| planned.step.samples.len()).sum()
    }

    /// Returns whether an open step of a model requires that each sample is generated by a single
    /// version.
    pub fn needs_single_version(&self, model: &str) -> bool {
        self.steps
            .values()
            .any(|planned| planned.step.model == model && planned.step.single_version)
    }

    /// Records which VM hosts a run.
    pub fn set_host(&mut self, step: &str, index: u32, host: &str) {
        if let Some(planned) = self.steps.get_mut(step) {
            let progress = &mut planned.progress[index as usize];
            progress.host = Some(host.to_owned());
            progress.reported = true;
        }
    }

    /// Returns the VM that hosts a sample's run, and the run id.
    pub fn host(&self, step: &str, index: u32) -> Option<(String, u64)> {
        let progress = self.steps.get(step)?.progress.get(index as usize)?;
        Some((progress.host.clone()?, progress.run))
    }

    /// Returns a sample's output so far.
    pub fn output(&self, step: &str, index: u32) -> Option<&SampleOutput> {
        Some(&self.steps.get(step)?.progress.get(index as usize)?.output)
    }

    /// Releases the slot of a run of `model` on an engine, if the engine is still known.
    pub(super) fn release_slot(&mut self, engine: Option<&str>, model: &str) {
        let Some(engine) = engine.and_then(|id| self.engines.get_mut(id)) else { return };
        if let Some(running) = engine.running.get_mut(model) {
            *running = running.saturating_sub(1);
        }
    }
}
