//! What admission holds, and how it learns.

use std::collections::HashMap;
use std::collections::VecDeque;

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::RequestId;
use chicoryford_types::Workspace;
use chicoryford_types::template::Limits;
use chicoryford_types::template::Retries;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::duration_quantile::DurationQuantile;
use crate::queue::ClassQueue;
use crate::queue::FairClock;
use crate::queue::QueueKey;
use crate::request::Action;
use crate::request::Capacity;
use crate::request::Completion;
use crate::request::Refusal;
use crate::settings::Settings;
use crate::shares::Lease;
use crate::workspace::WorkspaceUsage;

/// Starts that samples can be owed at most; more would let them crowd out callers later.
const MAX_CREDIT: f32 = 8.0;
/// Refused requests that are remembered, to check that none of them runs.
const REMEMBERED_REFUSALS: usize = 1_024;
/// The least milliseconds after which a refused caller is told to come back.
pub(crate) const MIN_RETRY_MS: u64 = 100;

/// What admission counts, for metrics and state dumps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Requests asked for.
    pub asked: u64,
    /// Requests started.
    pub started: u64,
    /// Requests refused because they could not make their deadline.
    pub too_late: u64,
    /// Requests refused because too many waited.
    pub overloaded: u64,
    /// Requests refused because their workspace is at its limit.
    pub limited: u64,
    /// Retries allowed.
    pub retries: u64,
    /// Retries that the budget denied.
    pub retries_denied: u64,
    /// Second attempts.
    pub hedges: u64,
    /// Promises that were broken; anything but zero is a fault of the program.
    pub broken: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Running {
    workspace: Workspace,
    model: Model,
    expected_ms: u64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ModelQueue {
    pub(crate) queues: [ClassQueue; 3],
    pub(crate) durations: DurationQuantile,
    pub(crate) mean_service_ms: f32,
}

/// Where a waiting request is found.
#[derive(Clone, Debug)]
pub(crate) struct QueuePosition {
    pub(crate) model: Model,
    pub(crate) class: Class,
    pub(crate) key: QueueKey,
}

/// Admits the requests of one entry.
#[derive(Clone, Debug)]
pub struct Admission {
    pub(crate) settings: Settings,
    pub(crate) workspaces: HashMap<Workspace, WorkspaceUsage>,
    pub(crate) running: HashMap<RequestId, Running>,
    pub(crate) rng: SmallRng,
    pub(crate) counts: Counts,
    pub(crate) hedges: u32,
    pub(crate) fair_clock: FairClock,
    /// Starts that waiting samples are owed. Models may share engines, so it counts over all.
    pub(crate) batch_credit: f32,
    /// Samples that wait.
    pub(crate) batch_waiting: usize,
    pub(crate) models: HashMap<Model, ModelQueue>,
    pub(crate) positions: HashMap<RequestId, QueuePosition>,
    /// Answers to requests that gave way to others, until the next poll.
    pub(crate) displaced: Vec<Action>,
    recent_refusals: VecDeque<RequestId>,
}

impl Admission {
    /// Makes the admission of an entry that runs nothing yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            workspaces: HashMap::new(),
            running: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            counts: Counts::default(),
            hedges: 0,
            fair_clock: FairClock::default(),
            batch_credit: 0.0,
            batch_waiting: 0,
            models: HashMap::new(),
            positions: HashMap::new(),
            displaced: Vec::new(),
            recent_refusals: VecDeque::new(),
        }
    }

    /// Takes in a workspace's template, and what this entry may use of its limits.
    pub fn observe_workspace(
        &mut self,
        workspace: &Workspace,
        limits: Limits,
        retries: Retries,
        weight: u32,
        lease: Lease,
    ) {
        let burst = self.settings.retry_burst;
        let used =
            self.workspaces.entry(workspace.clone()).or_insert_with(|| WorkspaceUsage::new(burst));
        used.limits = limits;
        used.retries = retries;
        used.weight = weight;
        used.lease = lease;
    }

    /// Gives how many requests a workspace asked for since this was last called, refused ones
    /// included, by which its limits are shared out anew.
    pub fn take_demand(&mut self, workspace: &Workspace) -> u64 {
        self.workspaces.get_mut(workspace).map_or(0, |used| std::mem::take(&mut used.requested))
    }

    /// Takes in that a request that was started ended.
    pub fn finished(&mut self, _now: Millis, id: RequestId, done: Completion) {
        let Some(running) = self.running.remove(&id) else {
            self.report_violation("finished_was_running");
            return;
        };
        self.release(&running.workspace);
        let share = self.settings.needless;
        let burst = self.settings.retry_burst;
        if !done.ok {
            return;
        }
        if let Some(used) = self.workspaces.get_mut(&running.workspace) {
            let earned = used.retries.percent as f32 / 100.0;
            used.retry_tokens = (used.retry_tokens + earned).min(burst);
        }
        if let Some(gate) = self.models.get_mut(&running.model) {
            gate.durations.record(running.expected_ms, done.ms, share);
            let ms = done.ms as f32;
            gate.mean_service_ms +=
                if gate.mean_service_ms == 0.0 { ms } else { 0.05 * (ms - gate.mean_service_ms) };
        }
    }

    /// Takes out a request whose caller went away. Returns whether it was waiting.
    pub fn cancelled(&mut self, id: RequestId) -> bool {
        let Some(spot) = self.positions.remove(&id) else {
            return false;
        };
        self.batch_waiting -= usize::from(spot.class == Class::Batch);
        let line =
            self.models.get_mut(&spot.model).map(|gate| &mut gate.queues[class_index(spot.class)]);
        if let Some(waiting) = line.and_then(|line| line.remove(spot.key)) {
            self.release(&waiting.workspace);
        }
        true
    }

    /// Counts the requests that wait.
    pub fn waiting(&self) -> usize {
        self.positions.len()
    }

    /// Counts the requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Gives the counts.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub(crate) fn report_violation(&mut self, invariant: &'static str) {
        self.counts.broken += 1;
        tracing::error!(event = "promise_broken", component = "admission", promise = invariant);
    }

    pub(crate) fn start(
        &mut self,
        id: RequestId,
        workspace: &Workspace,
        model: &Model,
        class: Class,
        expected_ms: u64,
    ) {
        self.counts.started += 1;
        if self.recent_refusals.contains(&id) {
            self.report_violation("refused_never_runs");
        }
        let running = Running { workspace: workspace.clone(), model: model.clone(), expected_ms };
        if self.running.insert(id, running).is_some() {
            self.report_violation("started_once");
        }
        if class == Class::Batch {
            self.batch_credit = (self.batch_credit - 1.0).max(0.0);
        } else if self.batch_waiting > 0 {
            self.batch_credit = (self.batch_credit + self.settings.batch_floor).min(MAX_CREDIT);
        }
    }

    pub(crate) fn refuse(&mut self, id: RequestId, refused: Refusal) -> Refusal {
        match refused.code {
            Code::LimitReached => self.counts.limited += 1,
            Code::Overloaded => self.counts.overloaded += 1,
            _ => self.counts.too_late += 1,
        }
        if self.running.contains_key(&id) {
            self.report_violation("refused_does_not_run");
        }
        if self.recent_refusals.len() == REMEMBERED_REFUSALS {
            self.recent_refusals.pop_front();
        }
        self.recent_refusals.push_back(id);
        refused
    }

    /// Gives back what a request held of its workspace's limits.
    pub(crate) fn release(&mut self, workspace: &Workspace) {
        let Some(used) = self.workspaces.get_mut(workspace) else { return };
        if used.running == 0 {
            self.report_violation("running_not_negative");
            return;
        }
        used.running -= 1;
    }

    /// Estimates when a refused caller may find room: when what waits now has started.
    pub(crate) fn retry_after_ms(&self, model: &Model, room: Capacity) -> u64 {
        let Some(gate) = self.models.get(model) else { return MIN_RETRY_MS };
        let ahead: usize = gate.queues.iter().map(ClassQueue::len).sum();
        let ms = gate.mean_service_ms * (ahead + 1) as f32 / room.slots.max(1) as f32;
        (ms as u64).max(MIN_RETRY_MS)
    }
}

pub(crate) fn class_index(class: Class) -> usize {
    class as usize
}
