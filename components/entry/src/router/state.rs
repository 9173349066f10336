//! State and decisions of the router. Every decision is a pure function of the state, an event and
//! the time. It combines `chicoryford_admission`, which decides when a request starts, with
//! `chicoryford_routing`, which decides where each of its attempts runs.

use std::collections::HashMap;
use std::sync::Arc;

use chicoryford_admission::Action;
use chicoryford_admission::Admission;
use chicoryford_admission::AdmissionRequest;
use chicoryford_admission::Completion;
use chicoryford_admission::Decision as AdmissionVerdict;
use chicoryford_admission::Lease;
use chicoryford_admission::Retry;
use chicoryford_admission::shares::even_share;
use chicoryford_routing::Location;
use chicoryford_routing::Router;
use chicoryford_types::Code;
use chicoryford_types::Config;
use chicoryford_types::Failure;
use chicoryford_types::LoadReport;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::RequestId;

use crate::router::capacity::CapacityCache;
use crate::router::draining::DrainingOverlay;
use crate::router::placement::RunningAttempt;
use crate::router::query::EndpointQuery;
use crate::router::query::Pick;
use crate::router::query::RetryQuery;

/// Retry delay in milliseconds for a request that was refused because this entry is full.
const FULL_RETRY_MS: u64 = 500;
/// One in this many requests is admitted even if its expected duration exceeds its deadline. The
/// expected duration is learned from finished requests. If an overload made it too long and no
/// request were admitted, all further requests would be refused forever.
const TRIAL_INTERVAL: u64 = 16;

/// Limits of this entry, and its location.
#[derive(Clone, Debug, Default)]
pub struct Bounds {
    /// Maximum number of requests in progress.
    pub running: usize,
    /// Maximum number of waiting requests.
    pub waiting: usize,
    /// Maximum number of endpoints per model that this entry uses.
    pub subset: usize,
    /// Node, data centre and region of this entry.
    pub place: Location,
}

/// An attempt that was assigned to an endpoint: its identifier at the router, and the endpoint.
pub type PlacedAttempt = (u64, Pick);

/// Result of an admission: the first attempt, or the refusal.
pub type AdmitResult = Result<PlacedAttempt, Failure>;

/// State of the router.
pub struct RouterState {
    /// Chooses endpoints.
    pub routing: Router,
    /// Admits requests.
    pub admission: Admission,
    /// Number of entries present, including this one.
    pub entries: u32,
    /// Milliseconds for which this process has been stalled so far. They do not count as time that
    /// endpoints took.
    pub stalled_ms: u64,
    rank: u32,
    members: Arc<Members>,
    config: Arc<Config>,
    pub(super) overlay: DrainingOverlay,
    pub(super) capacities: CapacityCache,
    waiting: HashMap<RequestId, EndpointQuery>,
    started: HashMap<RequestId, Millis>,
    pub(super) running: HashMap<u64, RunningAttempt>,
    pub(super) mean_lengths: HashMap<Model, f32>,
    pub(super) last_attempt: u64,
    admissions: u64,
    bounds: Bounds,
}

impl RouterState {
    /// Creates a state without endpoints.
    pub fn new(bounds: Bounds, seed: u64) -> Self {
        let routing = chicoryford_routing::Settings {
            subset: bounds.subset,
            ..chicoryford_routing::Settings::default()
        };
        let admission = chicoryford_admission::Settings {
            waiting: bounds.waiting,
            ..chicoryford_admission::Settings::default()
        };
        Self {
            routing: Router::new(routing, bounds.place.clone(), seed),
            admission: Admission::new(admission, seed.rotate_left(32)),
            entries: 1,
            stalled_ms: 0,
            rank: 0,
            members: Arc::default(),
            config: Arc::default(),
            overlay: DrainingOverlay::default(),
            capacities: CapacityCache::default(),
            waiting: HashMap::new(),
            started: HashMap::new(),
            running: HashMap::new(),
            mean_lengths: HashMap::new(),
            last_attempt: 0,
            admissions: 0,
            bounds,
        }
    }

    /// Updates the members.
    pub fn update_members(&mut self, members: Arc<Members>, now: Millis) {
        let entries = members.present().filter(|member| member.roles.entry);
        let names: Vec<_> = entries.map(|member| &member.node).collect();
        self.entries = names.len().max(1) as u32;
        self.rank = names.iter().filter(|name| ***name < self.bounds.place.node).count() as u32;
        self.members = members;
        self.update_routing(now);
        self.update_leases();
    }

    /// Updates the configuration.
    pub fn update_config(&mut self, config: Arc<Config>, now: Millis) {
        self.config = config;
        self.update_routing(now);
        self.update_leases();
    }

    pub(super) fn update_routing(&mut self, now: Millis) {
        let members = self.overlay.apply(&self.members, &self.config);
        self.routing.observe_members(now, &members);
        self.capacities.clear();
    }

    /// Sets the lease of each workspace to this entry's equal share of the limits.
    fn update_leases(&mut self) {
        for (workspace, versioned) in &self.config.templates {
            let template = &versioned.template;
            let limits = template.limits;
            let lease = Lease {
                rate: limits.rate as f32 / self.entries as f32,
                running: even_share(limits.running, self.entries, self.rank),
            };
            let (retries, weight) = (template.retries, template.weight);
            self.admission.observe_workspace(workspace, limits, retries, weight, lease);
        }
    }

    /// Decides whether a request is admitted. Returns `None` if it waits; [`Self::poll`] returns
    /// the result later.
    pub fn admit(&mut self, query: EndpointQuery, now: Millis) -> Option<AdmitResult> {
        let total = self.admission.running();
        if total >= self.bounds.running {
            let detail = format!("{total} requests are in progress at this entry");
            let failure = Failure::not_run(Code::Overloaded, detail).retry_after(FULL_RETRY_MS);
            return Some(Err(failure));
        }
        let expected_ms = match self.expected_ms(&query, now) {
            Ok(expected_ms) => expected_ms,
            Err(failure) => return Some(Err(failure)),
        };
        self.admissions += 1;
        let is_trial = self.admissions.is_multiple_of(TRIAL_INTERVAL);
        let expected_ms = if is_trial { 1 } else { expected_ms };
        let ask = AdmissionRequest {
            id: query.request,
            workspace: &query.workspace,
            model: &query.model,
            class: query.class,
            deadline: query.deadline,
            expected_ms,
            capacity: self.capacities.get(&self.routing, &query.model, now),
        };
        let verdict = self.admission.admit(now, &ask);
        match verdict {
            AdmissionVerdict::Admit => Some(self.start(&query, now)),
            AdmissionVerdict::Wait => {
                self.waiting.insert(query.request, query);
                None
            }
            AdmissionVerdict::Refuse(refused) => {
                Some(Err(refused.failure(&refusal_detail(refused.code, &query.model))))
            }
        }
    }

    /// Starts an admitted request by choosing the endpoint of its first attempt.
    fn start(&mut self, query: &EndpointQuery, now: Millis) -> AdmitResult {
        self.started.insert(query.request, now);
        let placed = self.choose(query, now);
        if placed.is_err() {
            self.request_ended(query.request, false, now);
        }
        placed
    }

    /// Removes an admitted request that has ended.
    pub fn request_ended(&mut self, request: RequestId, ran: bool, now: Millis) {
        if let Some(started) = self.started.remove(&request) {
            let done = Completion { ok: ran, ms: now.since(started) };
            self.admission.finished(now, request, done);
        }
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel_waiting(&mut self, request: RequestId) {
        if self.waiting.remove(&request).is_some() {
            self.admission.cancelled(request);
        }
    }

    /// Returns the results of requests that were waiting.
    pub fn poll(&mut self, now: Millis) -> Vec<(RequestId, AdmitResult)> {
        let (routing, capacities) = (&self.routing, &mut self.capacities);
        let actions = self.admission.poll(now, |model| capacities.get(routing, model, now));
        let mut results = Vec::new();
        for action in actions {
            match action {
                Action::Run(id) => {
                    let Some(query) = self.waiting.remove(&id) else { continue };
                    let placed = self.start(&query, now);
                    results.push((id, placed));
                }
                Action::Refuse(id, refused) => {
                    let Some(query) = self.waiting.remove(&id) else { continue };
                    let failure = refused.failure(&refusal_detail(refused.code, &query.model));
                    results.push((id, Err(failure)));
                }
            }
        }
        results
    }

    /// Decides whether a request may be retried. Returns the delay in milliseconds if so.
    pub fn retry_delay(&mut self, retry: &RetryQuery, now: Millis) -> Option<u64> {
        let request = Retry {
            workspace: &retry.workspace,
            attempts: retry.attempts,
            outcome: retry.outcome,
            idempotent: retry.repeatable,
            deadline: retry.deadline,
            expected_ms: 0,
        };
        self.admission.may_retry(now, &request)
    }

    /// Records a load report.
    pub fn record_load(&mut self, report: &LoadReport, now: Millis) {
        self.routing.observe_report(now, report);
    }

    /// Expires recorded refusals.
    pub fn tick(&mut self, now: Millis) {
        if self.overlay.expire(now) {
            self.update_routing(now);
        }
    }
}

fn refusal_detail(code: Code, model: &Model) -> String {
    match code {
        Code::LimitReached => "the workspace has reached its limit at this entry".to_owned(),
        Code::DeadlineTooClose => format!("{model} could not answer before the deadline"),
        _ => format!("too many requests are waiting for {model}"),
    }
}
