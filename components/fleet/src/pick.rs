//! Load balancing for services other than steps: chooses the endpoint of each attempt.
//!
//! Each process uses only its own observations: its attempts in flight, their durations and
//! failures. Reports of other processes would be older than the duration of a request.
//!
//! Routes of one service may have very different durations. Next to answers of 25 ms, an answer of
//! 200 ms does not show that its endpoint is slow. Usual durations are therefore measured per
//! route, and endpoints only by how many times longer than usual they take.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use chicoryford_types::Fingerprint;
use chicoryford_types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::baseline::Baseline;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointStatus;
use crate::policy::Policy;
use crate::reachability::LocalReachability;

/// Weight of the newest measurement in the moving average, which covers about the last five.
const NEWEST_WEIGHT: f64 = 0.2;
/// Expected duration in milliseconds of an attempt on a route without measurements.
const UNKNOWN_DURATION_MS: f64 = 30.0;
/// Number of recent answers of a route whose median is its usual duration: few enough to follow a
/// change within seconds, and enough that the one answer in a hundred that takes five times as long
/// has no effect.
const MEDIAN_ANSWERS: usize = 15;
/// Maximum slowness that a single answer counts as. A single outlier would otherwise keep its
/// endpoint without work for many seconds.
const MAX_SLOWNESS: f64 = 20.0;
/// Half-life in milliseconds of a measured slowness. Without decay, an endpoint that was slow for
/// some seconds would never be tried again.
const SLOWNESS_HALF_LIFE_MS: f64 = 3_000.0;
/// Milliseconds for which an endpoint is avoided after a failure, doubled for each consecutive
/// failure.
const FAILURE_PENALTY_MS: u64 = 250;
/// Maximum number of doublings of the penalty, which limits it to four seconds.
const MAX_DOUBLINGS: u32 = 4;
/// Penalty in milliseconds of an endpoint that is known to be unreachable. It is longer than any
/// penalty for failures, so that such an endpoint is used only if no other one passes the filter.
const UNREACHABLE_PENALTY_MS: u64 = 10_000;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// It was answered after this many milliseconds.
    Answered(u64),
    /// The endpoint is full and refused it.
    Refused,
    /// The endpoint or the connection to it failed.
    Failed,
    /// It was cancelled after this many milliseconds, because its caller disconnected or another
    /// attempt was faster. Its duration would have been at least that long.
    Dropped(u64),
    /// The address belongs to another endpoint now.
    Moved,
}

/// An endpoint with the measurements of this process.
#[derive(Clone, Debug)]
struct EndpointState {
    endpoint: Endpoint,
    /// Attempts of this process in flight.
    running: u32,
    /// Moving average of its durations as a multiple of the usual duration.
    slowness: f64,
    /// When the slowness was last measured.
    measured_at: Millis,
    /// Consecutive failures.
    failures: u32,
    /// The endpoint is avoided before this time, after a failure or a refusal.
    avoided_until: Millis,
    /// Whether another endpoint has its address; reset by its next announcement.
    moved: bool,
}

/// The endpoint chosen for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The endpoint id, which identifies its incarnation.
    pub id: String,
    /// The address.
    pub address: SocketAddr,
    /// Expected duration of the attempt in milliseconds.
    pub expected_ms: u32,
    /// Attempts of this process that the endpoint already had.
    pub running: u32,
    /// Remaining penalty in milliseconds. It is not zero if the endpoint, like all others, was full
    /// or failed recently.
    pub penalty_ms: u32,
}

/// Why no endpoint can be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickError {
    /// The service has no ready endpoint.
    NoneReady,
    /// None of the ready endpoints passes the filter.
    AllTried,
}

/// Chooses endpoints and tracks their load and speed.
pub struct Picker {
    endpoints: BTreeMap<String, EndpointState>,
    recent_times: BTreeMap<String, RecentTimes>,
    rng: SmallRng,
    policy: Policy,
    reachability: LocalReachability,
}

/// Durations of the latest answers of a route, in milliseconds.
#[derive(Clone, Debug, Default)]
struct RecentTimes {
    latest: VecDeque<f64>,
    baseline: Baseline,
}

impl RecentTimes {
    /// Adds an answer. The median of a few answers may be low by chance, so it counts for the
    /// baseline only once there are enough.
    fn record(&mut self, ms: f64, now: Millis) {
        if self.latest.len() == MEDIAN_ANSWERS {
            self.latest.pop_front();
        }
        self.latest.push_back(ms);
        if self.latest.len() == MEDIAN_ANSWERS
            && let Some(median) = self.median()
        {
            self.baseline.record(median, now);
        }
    }

    fn median(&self) -> Option<f64> {
        let mut sorted: Vec<f64> = self.latest.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied()
    }
}

impl Picker {
    /// Creates a picker without endpoints. The seed determines how ties are broken.
    pub fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let (endpoints, recent_times) = (BTreeMap::new(), BTreeMap::new());
        let reachability = LocalReachability::new(seed);
        Self { endpoints, recent_times, rng, policy: Policy::default(), reachability }
    }

    /// Sets which mechanisms are enabled.
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.reachability.set_enabled(policy.shared_reachability);
        Self { policy, ..self }
    }

    /// Returns what is known of unreachable endpoints.
    pub fn reachability(&mut self) -> &mut LocalReachability {
        &mut self.reachability
    }

    /// Adds an endpoint or updates it.
    pub fn observe(&mut self, endpoint: &Endpoint) {
        match self.endpoints.get_mut(&endpoint.announcement.id) {
            // Attempts from before the restart still count until they end.
            Some(state)
                if state.endpoint.announcement.started_ms < endpoint.announcement.started_ms =>
            {
                *state = EndpointState { running: state.running, ..EndpointState::new(endpoint) };
            }
            Some(state) => {
                if state.endpoint.announcement.sequence < endpoint.announcement.sequence {
                    state.moved = false;
                }
                state.endpoint = endpoint.clone();
            }
            None => {
                self.endpoints
                    .insert(endpoint.announcement.id.clone(), EndpointState::new(endpoint));
            }
        }
    }

    /// Removes an endpoint.
    pub fn forget(&mut self, id: &str) {
        self.endpoints.remove(id);
    }

    /// Removes the measured durations of all routes for which `known` returns false.
    pub fn retain_routes(&mut self, known: impl Fn(&str) -> bool) {
        self.recent_times.retain(|route, _| known(route));
    }

    /// Chooses an endpoint of a service among those for which `fits` returns true, and counts the
    /// attempt.
    ///
    /// # Errors
    ///
    /// [`PickError`] if there is none.
    pub fn pick(
        &mut self,
        service: &str,
        route: &str,
        fits: impl Fn(&str) -> bool,
        now: Millis,
    ) -> Result<Target, PickError> {
        let usual_ms = self.median_ms(route).unwrap_or(UNKNOWN_DURATION_MS);
        let ready: Vec<&EndpointState> =
            self.endpoints.values().filter(|state| state.serves(service)).collect();
        if ready.is_empty() {
            return Err(PickError::NoneReady);
        }
        let candidates: Vec<&EndpointState> =
            ready.into_iter().filter(|state| fits(&state.endpoint.announcement.id)).collect();
        // Endpoints that failed recently are used only if there are no others.
        let best = candidates.iter().map(|state| {
            let penalty = if self.policy.penalties { state.avoided_until.since(now) } else { 0 };
            let unreachable = state.is_unreachable(&self.reachability, now);
            let penalty = penalty + if unreachable { UNREACHABLE_PENALTY_MS } else { 0 };
            let slowness = if self.policy.learned_times { state.slowness_at(now) } else { 1.0 };
            let expected = state.expected_ms(usual_ms * slowness);
            (penalty, expected * (1.0 + self.rng.random_range(0.0..0.1)), state)
        });
        let best = best.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some((penalty, expected, state)) = best else { return Err(PickError::AllTried) };
        let announcement = &state.endpoint.announcement;
        let target = Target {
            id: announcement.id.clone(),
            address: announcement.address,
            expected_ms: expected as u32,
            running: state.running,
            penalty_ms: penalty as u32,
        };
        if let Some(state) = self.endpoints.get_mut(&target.id) {
            state.running += 1;
        }
        Ok(target)
    }

    /// Chooses an unreachable endpoint of a service that is due to be probed, among those for which
    /// `fits` returns true, and counts the attempt.
    pub fn pick_probe(
        &mut self,
        service: &str,
        route: &str,
        fits: impl Fn(&str) -> bool,
        now: Millis,
    ) -> Option<Target> {
        if !self.reachability.is_probe_due(now) {
            return None;
        }
        let candidates = self.endpoints.values().filter(|state| {
            state.serves(service)
                && state.is_unreachable(&self.reachability, now)
                && fits(&state.endpoint.announcement.id)
        });
        let ids = candidates.map(|state| &*state.endpoint.announcement.id).collect();
        let probed = self.reachability.start_probe(ids, now)?;
        self.pick(service, route, |id| id == probed, now).ok()
    }

    /// Returns whether a service has a ready endpoint for which `fits` returns true.
    pub fn has_ready(&self, service: &str, fits: impl Fn(&str) -> bool) -> bool {
        self.endpoints
            .values()
            .any(|state| state.serves(service) && fits(&state.endpoint.announcement.id))
    }

    /// Returns whether an endpoint serves a service and is ready.
    pub fn serves(&self, service: &str, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|state| state.serves(service))
    }

    /// Returns these endpoints without those that are known to be unreachable, unless all are.
    pub fn prefer_reachable(&self, mut ids: BTreeSet<String>, now: Millis) -> BTreeSet<String> {
        if ids.iter().any(|id| !self.is_unreachable(id, now)) {
            ids.retain(|id| !self.is_unreachable(id, now));
        }
        ids
    }

    /// Returns the endpoints that every process prefers for a request, among those for which `fits`
    /// returns true. They are selected by rendezvous hashing, so the others stay the same if one of
    /// them is removed.
    pub fn preferred(
        &self,
        service: &str,
        request: &str,
        count: usize,
        fits: impl Fn(&str) -> bool,
    ) -> BTreeSet<String> {
        let ready = self.endpoints.values().filter(|state| state.serves(service));
        let ready = ready.map(|state| &*state.endpoint.announcement.id).filter(|id| fits(id));
        let hash = |id: &str| Fingerprint::of(format!("{request} {id}").as_bytes());
        let mut hashed: Vec<(Fingerprint, &str)> = ready.map(|id| (hash(id), id)).collect();
        hashed.sort_unstable();
        hashed.into_iter().take(count).map(|(_, id)| id.to_owned()).collect()
    }

    /// Returns whether an endpoint may be given work.
    pub fn is_ready(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|state| state.endpoint.status == EndpointStatus::Ready)
    }

    /// Returns the start time of an endpoint.
    pub fn started_ms(&self, id: &str) -> Option<u64> {
        self.endpoints.get(id).map(|state| state.endpoint.announcement.started_ms)
    }

    /// Returns whether an endpoint is known to be unreachable.
    pub fn is_unreachable(&self, id: &str, now: Millis) -> bool {
        let state = self.endpoints.get(id);
        state.is_some_and(|state| state.is_unreachable(&self.reachability, now))
    }

    /// Returns the median duration of a route's recent answers, as measured by this process.
    pub fn median_ms(&self, route: &str) -> Option<f64> {
        self.recent_times.get(route)?.median()
    }

    /// Returns the lowest median duration of a route in the minute that ends with its latest
    /// answer, which the load of the moment does not raise.
    pub fn baseline_ms(&self, route: &str) -> Option<f64> {
        self.recent_times.get(route)?.baseline.value()
    }

    /// Records how an attempt on a route ended.
    pub fn record_outcome(&mut self, id: &str, route: &str, outcome: AttemptOutcome, now: Millis) {
        if let AttemptOutcome::Answered(ms) = outcome {
            self.recent_times.entry(route.to_owned()).or_default().record(ms as f64, now);
        }
        let usual_ms = self.median_ms(route).unwrap_or(UNKNOWN_DURATION_MS).max(1.0);
        let Some(state) = self.endpoints.get_mut(id) else { return };
        state.running = state.running.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered(ms) => {
                state.failures = 0;
                state.avoided_until = Millis::default();
                state.record_slowness(ms as f64 / usual_ms, now);
            }
            AttemptOutcome::Dropped(ms) => {
                let slowness = ms as f64 / usual_ms;
                if slowness > state.slowness {
                    state.record_slowness(slowness, now);
                }
            }
            AttemptOutcome::Refused => state.avoided_until = now + FAILURE_PENALTY_MS,
            AttemptOutcome::Failed => {
                state.failures += 1;
                let doublings = (state.failures - 1).min(MAX_DOUBLINGS);
                state.avoided_until = now + (FAILURE_PENALTY_MS << doublings);
            }
            AttemptOutcome::Moved => state.moved = true,
        }
    }
}

impl EndpointState {
    fn new(endpoint: &Endpoint) -> Self {
        Self {
            endpoint: endpoint.clone(),
            running: 0,
            slowness: 1.0,
            measured_at: Millis::default(),
            failures: 0,
            avoided_until: Millis::default(),
            moved: false,
        }
    }

    fn serves(&self, service: &str) -> bool {
        let Endpoint { announcement, status } = &self.endpoint;
        announcement.service == service && *status == EndpointStatus::Ready && !self.moved
    }

    fn is_unreachable(&self, reachability: &LocalReachability, now: Millis) -> bool {
        let announcement = &self.endpoint.announcement;
        reachability.is_unreachable(&announcement.id, announcement.started_ms, now)
    }

    fn record_slowness(&mut self, slowness: f64, now: Millis) {
        self.slowness += NEWEST_WEIGHT * (slowness.min(MAX_SLOWNESS) - self.slowness);
        self.measured_at = now;
    }

    /// Returns how many times longer than usual an attempt takes on this endpoint. The measured
    /// value decays towards one, so that a slow endpoint is tried again.
    fn slowness_at(&self, now: Millis) -> f64 {
        let age = now.since(self.measured_at) as f64;
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(age / SLOWNESS_HALF_LIFE_MS)
    }

    /// Estimates the duration of another attempt that would take `alone_ms` on an idle endpoint.
    fn expected_ms(&self, alone_ms: f64) -> f64 {
        let slots = f64::from(self.endpoint.announcement.slots.max(1));
        alone_ms * (1.0 + f64::from(self.running) / slots)
    }
}
