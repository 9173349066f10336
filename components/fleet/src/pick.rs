//! Which endpoint of a plain service gets the next attempt.
//!
//! Each process goes by what it sees itself: its own attempts under way, how long they took, and
//! failures. Reports of others would be older than the requests are long.
//!
//! Routes of one service may ask for very different work: beside answers of 25 ms, one of 200 ms says
//! nothing of its endpoint. So what is usual is learned by route, and of an endpoint only how many
//! times as long it takes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use chicoryford_types::Fingerprint;
use chicoryford_types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::endpoint::Endpoint;
use crate::endpoint::EndpointStatus;
use crate::policy::Policy;

/// The weight of the newest measurement in the mean: about the last five count.
const NEWEST: f64 = 0.2;
/// Milliseconds that an attempt is expected to take on a route of which nothing is known.
const UNKNOWN_MS: f64 = 30.0;
/// Answers of a route of which the median is its usual time: few enough to follow a change within
/// seconds, and enough that the one in a hundred that takes five times as long does not show.
const ANSWERS: usize = 15;
/// How many times as long as usual one answer counts at most. A single stray would otherwise keep
/// its endpoint without work for many seconds.
const STRAY: f64 = 20.0;
/// Milliseconds without an attempt after which half of what was measured is forgotten. An
/// endpoint that was slow for some seconds would otherwise never be tried again.
const HALF_MS: f64 = 3_000.0;
/// Milliseconds for which an endpoint is left alone after a failure; doubled for each further one.
const PENALTY_MS: u64 = 250;
/// Doublings of the penalty at most, which makes it four seconds.
const DOUBLINGS: u32 = 4;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// With an answer, after so many milliseconds.
    Answered(u64),
    /// With a refusal: it is full.
    Refused,
    /// With a failure of the endpoint or of the way to it.
    Failed,
    /// Its caller left, or another attempt was faster, after so many milliseconds: it takes at
    /// least that long.
    Dropped(u64),
    /// Another endpoint has the address now.
    Moved,
}

#[derive(Clone, Debug)]
struct EndpointState {
    endpoint: Endpoint,
    running: u32,
    /// How many times as long as usual it takes.
    slowness: f64,
    measured: Millis,
    failures: u32,
    until: Millis,
    moved: bool,
}

/// Where an attempt goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The incarnation.
    pub id: String,
    /// The address.
    pub address: SocketAddr,
    /// Milliseconds that the attempt is expected to take.
    pub expected_ms: u32,
    /// Attempts of this process that it has already.
    pub running: u32,
    /// Milliseconds for which it would rather be left alone: it failed or was full lately, and so
    /// had all others.
    pub penalty_ms: u32,
}

/// Why there is no endpoint to go to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickError {
    /// The service has no endpoint that is ready.
    NoneReady,
    /// None of those that are ready fits.
    AllTried,
}

/// Chooses endpoints.
pub struct Picker {
    endpoints: BTreeMap<String, EndpointState>,
    recent_times: BTreeMap<String, RecentTimes>,
    rng: SmallRng,
    policy: Policy,
}

/// The latest answers of a route, in milliseconds.
#[derive(Clone, Debug, Default)]
struct RecentTimes(VecDeque<f64>);

impl RecentTimes {
    fn note(&mut self, ms: f64) {
        if self.0.len() == ANSWERS {
            self.0.pop_front();
        }
        self.0.push_back(ms);
    }

    fn median(&self) -> Option<f64> {
        let mut sorted: Vec<f64> = self.0.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied()
    }
}

impl Picker {
    /// Makes one that knows no endpoint. The seed breaks ties.
    pub fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let (seats, usual) = (BTreeMap::new(), BTreeMap::new());
        Self { endpoints: seats, recent_times: usual, rng, policy: Policy::default() }
    }

    /// Chooses with these mechanisms.
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Takes in what is known of an endpoint.
    pub fn observe(&mut self, endpoint: &Endpoint) {
        match self.endpoints.get_mut(&endpoint.announcement.id) {
            // Attempts at the start before are still counted, until they end.
            Some(seat)
                if seat.endpoint.announcement.started_ms < endpoint.announcement.started_ms =>
            {
                *seat = EndpointState { running: seat.running, ..EndpointState::new(endpoint) };
            }
            Some(seat) => {
                if seat.endpoint.announcement.sequence < endpoint.announcement.sequence {
                    seat.moved = false;
                }
                seat.endpoint = endpoint.clone();
            }
            None => {
                self.endpoints
                    .insert(endpoint.announcement.id.clone(), EndpointState::new(endpoint));
            }
        }
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, id: &str) {
        self.endpoints.remove(id);
    }

    /// Forgets all endpoints that `known` does not name.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.endpoints.retain(|id, _| known(id));
    }

    /// Forgets what is usual on all routes that `known` does not name.
    pub fn retain_routes(&mut self, known: impl Fn(&str) -> bool) {
        self.recent_times.retain(|route, _| known(route));
    }

    /// Chooses an endpoint of a service among those that fit, and counts the attempt.
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
        let usual = self.median_ms(route).unwrap_or(UNKNOWN_MS);
        let ready: Vec<&EndpointState> =
            self.endpoints.values().filter(|seat| seat.serves(service)).collect();
        if ready.is_empty() {
            return Err(PickError::NoneReady);
        }
        let fresh: Vec<&EndpointState> =
            ready.into_iter().filter(|seat| fits(&seat.endpoint.announcement.id)).collect();
        // Endpoints that failed lately come last, but one of them is better than none.
        let best = fresh.iter().map(|seat| {
            let penalty = if self.policy.penalties { seat.until.since(now) } else { 0 };
            let slowness = if self.policy.learned_times { seat.slowness_at(now) } else { 1.0 };
            let expected = seat.expected(usual * slowness);
            (penalty, expected * (1.0 + self.rng.random_range(0.0..0.1)), seat)
        });
        let best = best.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some((penalty, expected, seat)) = best else { return Err(PickError::AllTried) };
        let said = &seat.endpoint.announcement;
        let target = Target {
            id: said.id.clone(),
            address: said.address,
            expected_ms: expected as u32,
            running: seat.running,
            penalty_ms: penalty as u32,
        };
        if let Some(seat) = self.endpoints.get_mut(&target.id) {
            seat.running += 1;
        }
        Ok(target)
    }

    /// Tells whether an endpoint of a service is ready that fits.
    pub fn has_ready(&self, service: &str, fits: impl Fn(&str) -> bool) -> bool {
        self.endpoints
            .values()
            .any(|seat| seat.serves(service) && fits(&seat.endpoint.announcement.id))
    }

    /// Gives the endpoints of a service, among those that fit, that all processes prefer for one request, by
    /// rendezvous hashing: if one of them goes, the others stay.
    pub fn preferred(
        &self,
        service: &str,
        request: &str,
        count: usize,
        fits: impl Fn(&str) -> bool,
    ) -> BTreeSet<String> {
        let ready = self.endpoints.values().filter(|seat| seat.serves(service));
        let ready = ready.map(|seat| &*seat.endpoint.announcement.id).filter(|id| fits(id));
        let weigh = |id: &str| Fingerprint::of(format!("{request} {id}").as_bytes());
        let mut weighed: Vec<(Fingerprint, &str)> = ready.map(|id| (weigh(id), id)).collect();
        weighed.sort_unstable();
        weighed.into_iter().take(count).map(|(_, id)| id.to_owned()).collect()
    }

    /// Tells whether an endpoint may still be given work.
    pub fn is_ready(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|seat| seat.endpoint.status == EndpointStatus::Ready)
    }

    /// Gives the time that half of a route's answers took lately, as measured here.
    pub fn median_ms(&self, route: &str) -> Option<f64> {
        self.recent_times.get(route)?.median()
    }

    /// Takes in how an attempt of a route ended.
    pub fn record_outcome(&mut self, id: &str, route: &str, ending: AttemptOutcome, now: Millis) {
        if let AttemptOutcome::Answered(ms) = ending {
            self.recent_times.entry(route.to_owned()).or_default().note(ms as f64);
        }
        let usual = self.median_ms(route).unwrap_or(UNKNOWN_MS).max(1.0);
        let Some(seat) = self.endpoints.get_mut(id) else { return };
        seat.running = seat.running.saturating_sub(1);
        match ending {
            AttemptOutcome::Answered(ms) => {
                seat.failures = 0;
                seat.until = Millis::default();
                seat.measure(ms as f64 / usual, now);
            }
            AttemptOutcome::Dropped(ms) => {
                let slowness = ms as f64 / usual;
                if slowness > seat.slowness {
                    seat.measure(slowness, now);
                }
            }
            AttemptOutcome::Refused => seat.until = now + PENALTY_MS,
            AttemptOutcome::Failed => {
                seat.failures += 1;
                let doublings = (seat.failures - 1).min(DOUBLINGS);
                seat.until = now + (PENALTY_MS << doublings);
            }
            AttemptOutcome::Moved => seat.moved = true,
        }
    }
}

impl EndpointState {
    fn new(endpoint: &Endpoint) -> Self {
        Self {
            endpoint: endpoint.clone(),
            running: 0,
            slowness: 1.0,
            measured: Millis::default(),
            failures: 0,
            until: Millis::default(),
            moved: false,
        }
    }

    fn serves(&self, service: &str) -> bool {
        let Endpoint { announcement: said, status: standing } = &self.endpoint;
        said.service == service && *standing == EndpointStatus::Ready && !self.moved
    }

    fn measure(&mut self, slowness: f64, now: Millis) {
        self.slowness += NEWEST * (slowness.min(STRAY) - self.slowness);
        self.measured = now;
    }

    /// Gives how many times as long as usual an attempt takes here. What was measured fades towards
    /// what is usual, so that an endpoint that was slow is tried again.
    fn slowness_at(&self, now: Millis) -> f64 {
        let age = now.since(self.measured) as f64;
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(age / HALF_MS)
    }

    /// Estimates how long one more attempt takes here that takes so long by itself.
    fn expected(&self, alone_ms: f64) -> f64 {
        let slots = f64::from(self.endpoint.announcement.slots.max(1));
        alone_ms * (1.0 + f64::from(self.running) / slots)
    }
}
