//! Which sample runs next, and on which engine.
//!
//! The leader plans for the whole fleet: nobody else sends samples, so it knows what each engine
//! has without asking. Hosts carry runs out ([`crate::run`]), and tell the next leader of them.

mod assign;
mod candidates;
mod checkpoints;
mod engine;
mod listing;
mod reassign;
mod reports;
mod samples;
mod takeover;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use chicoryford_types::Epoch;
use chicoryford_types::Millis;

use crate::endpoint::Endpoint;
use crate::policy::Policy;
use crate::run::Cost;
use crate::step::Step;

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

use samples::Phase;
use samples::Progress;
use samples::Work;

/// How many times slower than the usual engine one must be for its runs to go on elsewhere. An
/// engine with all its slots taken is about a tenth slower than an idle one, so this is a fault.
const SLOW: f64 = 2.0;

/// Milliseconds for which the planner remembers what samples of a step that is over have cost. Their trainer
/// submits them again in one of its next steps, if at all.
const PAST_MS: u64 = 120_000;

/// Plans samples' runs.
#[derive(Default)]
pub struct Planner {
    steps: BTreeMap<String, Work>,
    engines: BTreeMap<String, EngineState>,
    median_pace_ms: f64,
    /// The longest samples of late, by model.
    longest_outputs: BTreeMap<String, listing::Longest>,
    /// The number of the last run.
    last_run: u64,
    /// Hosts that were asked what they run and have not told yet.
    unreported_hosts: BTreeSet<String>,
    /// Samples that failed in steps that are over, with what they had cost by when, in case they come again.
    past_costs: BTreeMap<String, (Cost, Millis)>,
    policy: Policy,
}

impl Planner {
    /// Makes the plan of a leader; its runs are numbered apart from those of other epochs.
    pub fn new(epoch: Epoch) -> Self {
        Self { last_run: epoch.0 << 32, ..Self::default() }
    }

    /// Plans with these mechanisms.
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Takes in a step that is open. `listed` tells which samples have their results, `at` when it
    /// was submitted, and `held` until when hosts may still tell that they run samples of it.
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
            let past = self.past_costs.get(&step.samples[index as usize].id);
            let phase = if listed(index) { Phase::Settled } else { Phase::Waiting };
            Progress {
                phase,
                engine: None,
                run: 0,
                host: None,
                avoided_engine: None,
                claimable: held > Millis::default(),
                reported: false,
                started: at,
                last_event: at,
                output: SampleOutput::default(),
                checkpointed: 0,
                cost: past.map(|(cost, _)| cost.clone()).unwrap_or_default(),
                deadline: at + step.age_ms,
                blocked_until: Millis::default(),
                moves: 0,
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
            Work {
                step,
                order,
                submitted_at: at,
                held_until: held,
                hosts_asked: false,
                progress,
                waiting,
            },
        );
    }

    /// Forgets a step: it is over. Gives the runs that hosts still have: host, sample, run.
    pub fn close_step(&mut self, step: &str, now: Millis) -> Vec<(String, u32, u64)> {
        let Some(work) = self.steps.remove(step) else { return Vec::new() };
        let mut hosted = Vec::new();
        self.past_costs.retain(|_, (_, at)| now.since(*at) < PAST_MS);
        for (index, progress) in work.progress.into_iter().enumerate() {
            if progress.cost.has_failed() {
                let id = work.step.samples[index].id.clone();
                self.past_costs.insert(id, (progress.cost, now));
            }
            if progress.phase == Phase::Running {
                self.release_slot(progress.engine.as_deref(), &work.step.model);
            }
            hosted.extend(progress.host.map(|host| (host, index as u32, progress.run)));
        }
        hosted
    }

    /// Tells whether a step is planned.
    pub fn has_step(&self, step: &str) -> bool {
        self.steps.contains_key(step)
    }

    /// Takes in what is known of an engine.
    pub fn update_engine(&mut self, endpoint: &Endpoint) {
        match self.engines.get_mut(&endpoint.announcement.id) {
            // Runs and orders of the start before are still counted, until they end.
            Some(seat)
                if seat.endpoint.announcement.started_ms < endpoint.announcement.started_ms =>
            {
                let running = std::mem::take(&mut seat.running);
                let loading = seat.loading.take();
                *seat = EngineState { running, loading, ..EngineState::new(endpoint) };
            }
            Some(seat) => seat.endpoint = endpoint.clone(),
            None => {
                self.engines.insert(endpoint.announcement.id.clone(), EngineState::new(endpoint));
            }
        }
    }

    /// Notes that an engine was heard again, with an announcement of this number.
    pub fn record_heartbeat(&mut self, id: &str, sequence: u64) {
        if let Some(seat) = self.engines.get_mut(id) {
            seat.endpoint.announcement.sequence = sequence;
        }
    }

    /// Forgets an engine.
    pub fn remove_engine(&mut self, id: &str) {
        self.engines.remove(id);
    }

    /// Gives the engines.
    pub fn engines(&self) -> impl Iterator<Item = &EngineState> {
        self.engines.values()
    }

    /// Gives an engine to be changed.
    pub fn engine_mut(&mut self, id: &str) -> Option<&mut EngineState> {
        self.engines.get_mut(id)
    }

    /// Counts the waiting samples of a model for which no engine is new enough, and gives the
    /// version that they need.
    pub fn starved_samples(&self, model: &str) -> usize {
        let newest = self.engines.values().filter(|seat| seat.loading.as_deref() != Some(model));
        let newest = newest.filter_map(|seat| seat.endpoint.announcement.models.get(model)).max();
        let works = self.steps.values().filter(|work| {
            work.step.model == model
                && newest.is_none_or(|version| *version < work.step.min_version)
        });
        works.map(|work| work.waiting).sum()
    }

    /// Counts the samples of open steps by what they are doing.
    pub fn phase_counts(&self) -> [(&'static str, usize); 4] {
        let all = || self.steps.values().flat_map(|work| &work.progress);
        let count = |phase: Phase| all().filter(|progress| progress.phase == phase).count();
        [
            ("waiting", count(Phase::Waiting)),
            ("running", count(Phase::Running)),
            ("scoring", count(Phase::Scoring)),
            ("settled", count(Phase::Settled)),
        ]
    }

    /// Gives the tokens that open steps of a model ask for: its share of the engines.
    pub fn token_demand(&self, model: &str) -> u64 {
        let works = self.steps.values().filter(|work| work.step.model == model);
        works.flat_map(|work| &work.step.samples).map(|sample| sample.tokens).sum()
    }

    /// Counts the samples of a model's open steps.
    pub fn open_samples(&self, model: &str) -> usize {
        let works = self.steps.values().filter(|work| work.step.model == model);
        works.map(|work| work.step.samples.len()).sum()
    }

    /// Tells whether samples of a model's open steps must each be made by one version.
    pub fn needs_single_version(&self, model: &str) -> bool {
        self.steps.values().any(|work| work.step.model == model && work.step.single_version)
    }

    /// Notes which VM hosts a run.
    pub fn set_host(&mut self, step: &str, index: u32, host: &str) {
        if let Some(work) = self.steps.get_mut(step) {
            let progress = &mut work.progress[index as usize];
            progress.host = Some(host.to_owned());
            progress.reported = true;
        }
    }

    /// Gives the VM that hosts a sample's run, and the run.
    pub fn host(&self, step: &str, index: u32) -> Option<(String, u64)> {
        let progress = self.steps.get(step)?.progress.get(index as usize)?;
        Some((progress.host.clone()?, progress.run))
    }

    /// Gives what was made of a sample.
    pub fn output(&self, step: &str, index: u32) -> Option<&SampleOutput> {
        Some(&self.steps.get(step)?.progress.get(index as usize)?.output)
    }

    pub(super) fn release_slot(&mut self, seat: Option<&str>, model: &str) {
        let Some(seat) = seat.and_then(|id| self.engines.get_mut(id)) else { return };
        if let Some(running) = seat.running.get_mut(model) {
            *running = running.saturating_sub(1);
        }
    }
}
