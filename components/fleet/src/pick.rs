//! Which endpoint of a plain service gets the next attempt.
//!
//! Each process goes by what it sees itself: its own attempts under way, how long they took, and
//! failures. Reports of others would be older than the requests are long.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chicoryford_types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::endpoint::Endpoint;
use crate::endpoint::Standing;
use crate::policy::Policy;

/// The weight of the newest measurement in the mean: about the last five count.
const NEWEST: f64 = 0.2;
/// Milliseconds that an attempt is expected to take at an endpoint of which nothing is known.
const UNKNOWN_MS: f64 = 30.0;
/// Milliseconds without an attempt after which half of what was measured is forgotten. An
/// endpoint that was slow for some seconds would otherwise never be tried again.
const HALF_MS: f64 = 3_000.0;
/// Milliseconds for which an endpoint is left alone after a failure; doubled for each further one.
const PENALTY_MS: u64 = 250;
/// Doublings of the penalty at most, which makes it four seconds.
const DOUBLINGS: u32 = 4;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
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
struct Seat {
    endpoint: Endpoint,
    running: u32,
    mean_ms: f64,
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
pub enum Nowhere {
    /// The service has no endpoint that is ready.
    NoneReady,
    /// All that are ready were tried already.
    AllTried,
}

/// Chooses endpoints.
pub struct Picker {
    seats: BTreeMap<String, Seat>,
    rng: SmallRng,
    policy: Policy,
}

impl Picker {
    /// Makes one that knows no endpoint. The seed breaks ties.
    pub fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { seats: BTreeMap::new(), rng, policy: Policy::default() }
    }

    /// Chooses with these mechanisms.
    pub fn under(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Takes in what is known of an endpoint.
    pub fn observe(&mut self, endpoint: &Endpoint) {
        match self.seats.get_mut(&endpoint.said.id) {
            // Attempts at the start before are still counted, until they end.
            Some(seat) if seat.endpoint.said.born < endpoint.said.born => {
                *seat = Seat { running: seat.running, ..Seat::new(endpoint) };
            }
            Some(seat) => {
                if seat.endpoint.said.sequence < endpoint.said.sequence {
                    seat.moved = false;
                }
                seat.endpoint = endpoint.clone();
            }
            None => {
                self.seats.insert(endpoint.said.id.clone(), Seat::new(endpoint));
            }
        }
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, id: &str) {
        self.seats.remove(id);
    }

    /// Forgets all endpoints that `known` does not name.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.seats.retain(|id, _| known(id));
    }

    /// Chooses an endpoint of a service that is not among those tried, and counts the attempt.
    ///
    /// # Errors
    ///
    /// [`Nowhere`] if there is none.
    pub fn pick(
        &mut self,
        service: &str,
        tried: &[String],
        now: Millis,
    ) -> Result<Target, Nowhere> {
        let typical = self.typical_ms(service).unwrap_or(UNKNOWN_MS);
        let fits = |seat: &&Seat| {
            let said = &seat.endpoint.said;
            said.service == service && seat.endpoint.standing == Standing::Ready && !seat.moved
        };
        let ready: Vec<&Seat> = self.seats.values().filter(fits).collect();
        if ready.is_empty() {
            return Err(Nowhere::NoneReady);
        }
        let fresh: Vec<&Seat> =
            ready.into_iter().filter(|seat| !tried.contains(&seat.endpoint.said.id)).collect();
        // Endpoints that failed lately come last, but one of them is better than none.
        let best = fresh.iter().map(|seat| {
            let penalty = if self.policy.penalties { seat.until.since(now) } else { 0 };
            let known = if self.policy.learned_times { seat.mean_ms } else { typical };
            (
                penalty,
                seat.expected(known, now, typical) * (1.0 + self.rng.random_range(0.0..0.1)),
                seat,
            )
        });
        let best = best.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some((penalty, expected, seat)) = best else { return Err(Nowhere::AllTried) };
        let said = &seat.endpoint.said;
        let target = Target {
            id: said.id.clone(),
            address: said.address,
            expected_ms: expected as u32,
            running: seat.running,
            penalty_ms: penalty as u32,
        };
        if let Some(seat) = self.seats.get_mut(&target.id) {
            seat.running += 1;
        }
        Ok(target)
    }

    /// Tells whether an endpoint may still be given work.
    pub fn is_ready(&self, id: &str) -> bool {
        self.seats.get(id).is_some_and(|seat| seat.endpoint.standing == Standing::Ready)
    }

    /// Counts the endpoints of a service that are ready, and the attempts of this process there.
    pub fn load(&self, service: &str) -> (u32, u32) {
        let here = self.seats.values().filter(|seat| {
            seat.endpoint.said.service == service && seat.endpoint.standing == Standing::Ready
        });
        here.fold((0, 0), |(slots, running), seat| {
            (slots + seat.endpoint.said.slots, running + seat.running)
        })
    }

    /// Gives the time that half of the attempts at a service take, as measured here.
    pub fn typical_ms(&self, service: &str) -> Option<f64> {
        let here = self.seats.values().filter(|seat| seat.endpoint.said.service == service);
        let mut means: Vec<f64> =
            here.map(|seat| seat.mean_ms).filter(|mean| *mean > 0.0).collect();
        means.sort_by(f64::total_cmp);
        means.get(means.len() / 2).copied()
    }

    /// Takes in how an attempt ended.
    pub fn ended(&mut self, id: &str, ending: Ending, now: Millis) {
        let Some(seat) = self.seats.get_mut(id) else { return };
        seat.running = seat.running.saturating_sub(1);
        match ending {
            Ending::Answered(ms) => {
                seat.failures = 0;
                seat.until = Millis::default();
                seat.measure(ms as f64, now);
            }
            Ending::Dropped(ms) => {
                if ms as f64 > seat.mean_ms {
                    seat.measure(ms as f64, now);
                }
            }
            Ending::Refused => seat.until = now + PENALTY_MS,
            Ending::Failed => {
                seat.failures += 1;
                let doublings = (seat.failures - 1).min(DOUBLINGS);
                seat.until = now + (PENALTY_MS << doublings);
            }
            Ending::Moved => seat.moved = true,
        }
    }
}

impl Seat {
    fn new(endpoint: &Endpoint) -> Self {
        Self {
            endpoint: endpoint.clone(),
            running: 0,
            mean_ms: 0.0,
            measured: Millis::default(),
            failures: 0,
            until: Millis::default(),
            moved: false,
        }
    }

    fn measure(&mut self, ms: f64, now: Millis) {
        self.mean_ms =
            if self.mean_ms > 0.0 { self.mean_ms + NEWEST * (ms - self.mean_ms) } else { ms };
        self.measured = now;
    }

    /// Estimates how long one more attempt takes here. What was measured fades towards what is
    /// typical of the service, so that an endpoint that was slow is tried again.
    fn expected(&self, mean_ms: f64, now: Millis, typical: f64) -> f64 {
        let age = now.since(self.measured) as f64;
        let known = if mean_ms > 0.0 { mean_ms } else { typical };
        let mean = typical + (known - typical) * 0.5_f64.powf(age / HALF_MS);
        let slots = f64::from(self.endpoint.said.slots.max(1));
        mean * (1.0 + f64::from(self.running) / slots)
    }
}
