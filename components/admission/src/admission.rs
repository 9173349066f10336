//! The state of admission, and how the ends of requests update it.

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

/// The most starts that waiting samples are credited with. More credit would let samples crowd out
/// other requests later.
const MAX_CREDIT: f32 = 8.0;
/// The number of recent refusals kept to check that none of them runs.
const REMEMBERED_REFUSALS: usize = 1_024;
/// The shortest delay that a refused caller is asked to wait before it retries.
pub(crate) const MIN_RETRY_MS: u64 = 100;

/// Counters for metrics and state dumps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Requests received.
    pub asked: u64,
    /// Requests started.
    pub started: u64,
    /// Requests refused because they could no longer meet their deadline.
    pub too_late: u64,
    /// Requests refused because the queue was full.
    pub overloaded: u64,
    /// Requests refused because their workspace is at its limit.
    pub limited: u64,
    /// Retries allowed.
    pub retries: u64,
    /// Retries denied by the retry budget.
    pub retries_denied: u64,
    /// Second attempts started.
    pub hedges: u64,
    /// Violated invariants; any value but zero is a bug.
    pub broken: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Running {
    workspace: Workspace,
    model: Model,
    expected_ms: u64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ModelQueues {
    pub(crate) classes: [ClassQueue; 3],
    pub(crate) durations: DurationQuantile,
    pub(crate) mean_service_ms: f32,
}

/// The position of a request in the queues.
#[derive(Clone, Debug)]
pub(crate) struct QueuePosition {
    pub(crate) model: Model,
    pub(crate) class: Class,
    pub(crate) key: QueueKey,
}

/// The admission of requests at one entry.
#[derive(Clone, Debug)]
pub struct Admission {
    pub(crate) settings: Settings,
    pub(crate) workspaces: HashMap<Workspace, WorkspaceUsage>,
    pub(crate) running: HashMap<RequestId, Running>,
    pub(crate) rng: SmallRng,
    pub(crate) counts: Counts,
    pub(crate) hedges: u32,
    pub(crate) fair_clock: FairClock,
    /// Starts that waiting samples are credited with. Models may share engines, so one credit
    /// covers all models.
    pub(crate) batch_credit: f32,
    /// Samples in the queues.
    pub(crate) batch_waiting: usize,
    pub(crate) models: HashMap<Model, ModelQueues>,
    pub(crate) positions: HashMap<RequestId, QueuePosition>,
    /// Refusals of queued requests that were displaced by others, returned by the next poll.
    pub(crate) displaced: Vec<Action>,
    recent_refusals: VecDeque<RequestId>,
}

impl Admission {
    /// Returns the admission of an entry that runs no requests yet.
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

    /// Updates a workspace's template, and this entry's lease on the workspace's limits.
    pub fn observe_workspace(
        &mut self,
        workspace: &Workspace,
        limits: Limits,
        retries: Retries,
        weight: u32,
        lease: Lease,
    ) {
        let burst = self.settings.retry_burst;
        let usage =
            self.workspaces.entry(workspace.clone()).or_insert_with(|| WorkspaceUsage::new(burst));
        usage.limits = limits;
        usage.retries = retries;
        usage.weight = weight;
        usage.lease = lease;
    }

    /// Returns and resets the number of requests that a workspace sent since the last call,
    /// including refused ones. The workspace's limits are divided among entries by this demand.
    pub fn take_demand(&mut self, workspace: &Workspace) -> u64 {
        self.workspaces.get_mut(workspace).map_or(0, |usage| std::mem::take(&mut usage.requested))
    }

    /// Records the end of a started request.
    pub fn finished(&mut self, _now: Millis, id: RequestId, completion: Completion) {
        let Some(running) = self.running.remove(&id) else {
            self.report_violation("finished_was_running");
            return;
        };
        self.release(&running.workspace);
        let quantile = self.settings.needless;
        let burst = self.settings.retry_burst;
        if !completion.ok {
            return;
        }
        if let Some(usage) = self.workspaces.get_mut(&running.workspace) {
            let earned = usage.retries.percent as f32 / 100.0;
            usage.retry_tokens = (usage.retry_tokens + earned).min(burst);
        }
        if let Some(queues) = self.models.get_mut(&running.model) {
            queues.durations.record(running.expected_ms, completion.ms, quantile);
            let ms = completion.ms as f32;
            queues.mean_service_ms += if queues.mean_service_ms == 0.0 {
                ms
            } else {
                0.05 * (ms - queues.mean_service_ms)
            };
        }
    }

    /// Removes a queued request whose caller disconnected. Returns whether it was queued.
    pub fn cancelled(&mut self, id: RequestId) -> bool {
        let Some(position) = self.positions.remove(&id) else {
            return false;
        };
        self.batch_waiting -= usize::from(position.class == Class::Batch);
        let queue = self
            .models
            .get_mut(&position.model)
            .map(|queues| &mut queues.classes[class_index(position.class)]);
        if let Some(waiting) = queue.and_then(|queue| queue.remove(position.key)) {
            self.release(&waiting.workspace);
        }
        true
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.positions.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the counters.
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

    pub(crate) fn refuse(&mut self, id: RequestId, refusal: Refusal) -> Refusal {
        match refusal.code {
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
        refusal
    }

    /// Releases a request's share of its workspace's concurrency limit.
    pub(crate) fn release(&mut self, workspace: &Workspace) {
        let Some(usage) = self.workspaces.get_mut(workspace) else { return };
        if usage.running == 0 {
            self.report_violation("running_not_negative");
            return;
        }
        usage.running -= 1;
    }

    /// Estimates when a refused caller may find free capacity: once the requests that are queued
    /// now have started.
    pub(crate) fn retry_after_ms(&self, model: &Model, capacity: Capacity) -> u64 {
        let Some(queues) = self.models.get(model) else { return MIN_RETRY_MS };
        let ahead: usize = queues.classes.iter().map(ClassQueue::len).sum();
        let ms = queues.mean_service_ms * (ahead + 1) as f32 / capacity.slots.max(1) as f32;
        (ms as u64).max(MIN_RETRY_MS)
    }
}

pub(crate) fn class_index(class: Class) -> usize {
    class as usize
}
