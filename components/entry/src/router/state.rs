//! The router's decisions: pure functions of what it knows, an event and the time. It joins
//! `chicoryford_admission`, which says when a request starts, and `chicoryford_routing`, which
//! says where each of its attempts goes.

use std::collections::HashMap;
use std::sync::Arc;

use chicoryford_admission::Action;
use chicoryford_admission::Admission;
use chicoryford_admission::Ask;
use chicoryford_admission::Done;
use chicoryford_admission::Lease;
use chicoryford_admission::Retry;
use chicoryford_admission::Verdict as AdmissionVerdict;
use chicoryford_admission::shares::even;
use chicoryford_routing::Place;
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

/// When a request that found this entry full may come back, in milliseconds.
const FULL_RETRY: u64 = 500;
/// One in this many requests is let in whether or not it seems to have time. Expectations are
/// learned from requests that finish; if none were let in, an expectation that an overload
/// once made too long would refuse all requests for ever.
const TRIAL: u64 = 16;

/// Bounds on what this entry holds at once, and where it stands.
#[derive(Clone, Debug, Default)]
pub struct Bounds {
    /// Requests in progress.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Endpoints of one model that this entry uses.
    pub subset: usize,
    /// Where this entry stands.
    pub place: Place,
}

/// A place at an endpoint: its number, and the endpoint.
pub type PlacedAttempt = (u64, Pick);

/// What became of a request that wanted in.
pub type AdmitResult = Result<PlacedAttempt, Failure>;

/// What the router knows.
pub struct RouterState {
    /// Chooses endpoints.
    pub routing: Router,
    /// Admits requests.
    pub admission: Admission,
    /// Entries that are alive, this one included.
    pub entries: u32,
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
    /// Starts with no endpoints.
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

    /// Takes in who is there.
    pub fn update_members(&mut self, members: Arc<Members>, now: Millis) {
        let entries = members.present().filter(|member| member.roles.entry);
        let names: Vec<_> = entries.map(|member| &member.node).collect();
        self.entries = names.len().max(1) as u32;
        self.rank = names.iter().filter(|name| ***name < self.bounds.place.node).count() as u32;
        self.members = members;
        self.update_routing(now);
        self.update_leases();
    }

    /// Takes in accepted configuration.
    pub fn update_config(&mut self, config: Arc<Config>, now: Millis) {
        self.config = config;
        self.update_routing(now);
        self.update_leases();
    }

    pub(super) fn update_routing(&mut self, now: Millis) {
        let laid = self.overlay.apply(&self.members, &self.config);
        self.routing.observe_members(now, &laid);
        self.capacities.clear();
    }

    /// Gives each workspace this entry's equal share of its limits.
    fn update_leases(&mut self) {
        for (workspace, versioned) in &self.config.templates {
            let template = &versioned.template;
            let limits = template.limits;
            let lease = Lease {
                rate: limits.rate as f32 / self.entries as f32,
                running: even(limits.running, self.entries, self.rank),
            };
            let (retries, weight) = (template.retries, template.weight);
            self.admission.observe_workspace(workspace, limits, retries, weight, lease);
        }
    }

    /// Decides on a request at the door; none if it waits, and [`Self::poll`] tells later.
    pub fn admit(&mut self, query: EndpointQuery, now: Millis) -> Option<AdmitResult> {
        let total = self.admission.running();
        if total >= self.bounds.running {
            let detail = format!("{total} requests are in progress at this entry");
            let failure = Failure::not_run(Code::Overloaded, detail).retry_after(FULL_RETRY);
            return Some(Err(failure));
        }
        let expected_ms = match self.expected_ms(&query, now) {
            Ok(expected_ms) => expected_ms,
            Err(failure) => return Some(Err(failure)),
        };
        self.admissions += 1;
        let is_trial = self.admissions.is_multiple_of(TRIAL);
        let expected_ms = if is_trial { 1 } else { expected_ms };
        let ask = Ask {
            id: query.request,
            workspace: &query.workspace,
            model: &query.model,
            class: query.class,
            deadline: query.deadline,
            expected_ms,
            room: self.capacities.get(&self.routing, &query.model, now),
        };
        let entry = self.admission.admit(now, &ask);
        match entry {
            AdmissionVerdict::Admit => Some(self.start(&query, now)),
            AdmissionVerdict::Wait => {
                self.waiting.insert(query.request, query);
                None
            }
            AdmissionVerdict::Refuse(refused) => {
                Some(Err(refused.failure(&explain(refused.code, &query.model))))
            }
        }
    }

    /// Starts a request that was admitted: finds its first endpoint.
    fn start(&mut self, query: &EndpointQuery, now: Millis) -> AdmitResult {
        self.started.insert(query.request, now);
        let placed = self.choose(query, now);
        if placed.is_err() {
            self.request_ended(query.request, false, now);
        }
        placed
    }

    /// Takes out a request that was admitted.
    pub fn request_ended(&mut self, request: RequestId, ran: bool, now: Millis) {
        if let Some(begun) = self.started.remove(&request) {
            let done = Done { ok: ran, ms: now.since(begun) };
            self.admission.finished(now, request, done);
        }
    }

    /// Takes out a request that waits and whose asker went away.
    pub fn cancel_waiting(&mut self, request: RequestId) {
        if self.waiting.remove(&request).is_some() {
            self.admission.cancelled(request);
        }
    }

    /// Gives what becomes of requests that waited.
    pub fn poll(&mut self, now: Millis) -> Vec<(RequestId, AdmitResult)> {
        let (routing, capacities) = (&self.routing, &mut self.capacities);
        let actions = self.admission.poll(now, |model| capacities.get(routing, model, now));
        let mut entered = Vec::new();
        for action in actions {
            match action {
                Action::Run(id) => {
                    let Some(query) = self.waiting.remove(&id) else { continue };
                    let placed = self.start(&query, now);
                    entered.push((id, placed));
                }
                Action::Refuse(id, refused) => {
                    let Some(query) = self.waiting.remove(&id) else { continue };
                    let failure = refused.failure(&explain(refused.code, &query.model));
                    entered.push((id, Err(failure)));
                }
            }
        }
        entered
    }

    /// Decides whether a request is tried again; gives the milliseconds to wait before.
    pub fn retry_delay(&mut self, retry: &RetryQuery, now: Millis) -> Option<u64> {
        let request = Retry {
            workspace: &retry.workspace,
            attempts: retry.attempts,
            outcome: retry.outcome,
            repeatable: retry.repeatable,
            deadline: retry.deadline,
            expected_ms: 0,
        };
        self.admission.may_retry(now, &request)
    }

    /// Takes in a load report.
    pub fn record_load(&mut self, report: &LoadReport, now: Millis) {
        self.routing.observe_report(now, report);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
        if self.overlay.expire(now) {
            self.update_routing(now);
        }
    }
}

fn explain(code: Code, model: &Model) -> String {
    match code {
        Code::LimitReached => "the workspace is at its limit at this entry".to_owned(),
        Code::DeadlineTooClose => format!("{model} could not answer before the deadline"),
        _ => format!("too many requests wait for {model}"),
    }
}
