//! A fake entry around the real decisions: it holds the attempts in flight and knows nothing of
//! the other entries.

mod watch;
mod world;

use std::collections::HashMap;

use chicoryford_admission::Action;
use chicoryford_admission::Admission;
use chicoryford_admission::AdmissionRequest;
use chicoryford_admission::Capacity;
use chicoryford_admission::Completion;
use chicoryford_admission::Decision;
use chicoryford_admission::Lease;
use chicoryford_admission::Retry;
use chicoryford_routing::AttemptOutcome;
use chicoryford_routing::ChoiceReason;
use chicoryford_routing::EndpointId;
use chicoryford_routing::Location;
use chicoryford_routing::RouteRequest;
use chicoryford_routing::Router;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Outcome;
use chicoryford_types::RequestId;
use chicoryford_types::Version;
use chicoryford_types::Workspace;
use chicoryford_types::template::Limits;
use chicoryford_types::template::Retries;

use crate::arm::Arm;
use crate::engine::Job;
use crate::request::Request;

pub use world::World;

/// One attempt in flight.
#[derive(Clone, Debug)]
pub struct Flight {
    /// The request.
    pub request: Request,
    /// Which try it is.
    pub attempt: u32,
    /// Where it runs.
    pub seat: EndpointId,
    /// When it started.
    pub started: u64,
    /// When it was expected to take.
    pub expected_ms: u64,
    /// When its last frame came.
    pub heard: u64,
    /// Whether it is a second attempt beside a first.
    pub second: bool,
}

/// A request that is to be tried again.
#[derive(Clone, Debug)]
pub struct Again {
    /// When.
    pub at: u64,
    /// The request.
    pub request: Request,
    /// Whether it comes to the door anew, or was admitted already.
    pub door: bool,
}

/// A fake entry.
pub struct Entry {
    /// Which one it is.
    pub number: usize,
    /// Where attempts go.
    pub router: Router,
    /// Which requests start.
    pub admission: Admission,
    /// Attempts in flight.
    pub flights: Vec<Flight>,
    /// Requests that wait at the door.
    pub waiting: HashMap<RequestId, Request>,
    /// Requests to be tried again.
    pub again: Vec<Again>,
    arm: Arm,
    models: Vec<Model>,
    next: u32,
}

impl Entry {
    /// Makes an entry.
    pub fn new(number: usize, arm: Arm, models: &[Model], seed: u64) -> Self {
        let place =
            Location { node: format!("entry-{number}").as_str().into(), ..Location::default() };
        let failures = if arm.eject { 3 } else { u32::MAX };
        let settings = chicoryford_routing::Settings {
            rule: arm.rule,
            draws: arm.draws,
            half_ms: arm.half_ms,
            failures,
            adapt: arm.adapt,
            ..Default::default()
        };
        let mut admission = Admission::new(chicoryford_admission::Settings::default(), seed);
        let lease = Lease { rate: 1.0e6, running: 1_000_000 };
        for model in models {
            let workspace = Workspace(model.0.clone());
            let limits = Limits::default();
            admission.observe_workspace(&workspace, limits, Retries::default(), 1, lease);
        }
        Self {
            number,
            router: Router::new(settings, place, seed),
            admission,
            flights: Vec::new(),
            waiting: HashMap::new(),
            again: Vec::new(),
            arm,
            models: models.to_vec(),
            next: 0,
        }
    }

    /// Takes a request to the door.
    pub fn submit(&mut self, now: u64, request: Request, floor: Version, world: &mut World<'_>) {
        if !self.arm.admission {
            self.launch(now, request, floor, false, &[], world);
            return;
        }
        let Some(expected_ms) = self.expect(now, &request, floor) else {
            self.refused(now, request, 500, world);
            return;
        };
        let room = self.room(now, request.model);
        let model = self.models[request.model].clone();
        let ask = AdmissionRequest {
            id: request.id,
            workspace: &Workspace(model.0.clone()),
            model: &model,
            class: request.class,
            deadline: Millis(request.deadline),
            expected_ms,
            capacity: room,
        };
        match self.admission.admit(Millis(now), &ask) {
            Decision::Admit => {
                self.launch(now, request, floor, false, &[], world);
            }
            Decision::Wait => {
                self.waiting.insert(request.id, request);
            }
            Decision::Refuse(refused) => self.refused(now, request, refused.retry_ms, world),
        }
    }

    /// Starts what may now start of what waits.
    pub fn poll(&mut self, now: u64, floors: &[Version], world: &mut World<'_>) {
        let models = &self.models;
        let router = &self.router;
        let actions = self.admission.poll(Millis(now), |model| {
            let floor = models.iter().position(|m| m == model).map(|n| floors[n]);
            let view = router.pool_capacity(Millis(now), model, floor);
            Capacity { slots: view.slots, load: view.load }
        });
        for action in actions {
            match action {
                Action::Run(id) => {
                    let Some(request) = self.waiting.remove(&id) else { continue };
                    let floor = floors[request.model];
                    self.launch(now, request, floor, false, &[], world);
                }
                Action::Refuse(id, refused) => {
                    let Some(request) = self.waiting.remove(&id) else { continue };
                    self.refused(now, request, refused.retry_ms, world);
                }
            }
        }
        let (due, later) = self.again.drain(..).partition(|again: &Again| again.at <= now);
        self.again = later;
        for again in due {
            let floor = floors[again.request.model];
            if again.door {
                self.submit(now, again.request, floor, world);
            } else {
                self.launch(now, again.request, floor, false, &[], world);
            }
        }
    }

    /// An attempt ran to its end.
    pub fn finished(&mut self, now: u64, job: &Job, world: &mut World<'_>) {
        if job.silent {
            world.tally.wasted += f64::from(job.tokens);
            return;
        }
        let same = |flight: &Flight| flight.request.id == job.id && flight.attempt == job.attempt;
        let Some(n) = self.flights.iter().position(same) else {
            world.tally.wasted += f64::from(job.tokens);
            return;
        };
        let flight = self.flights.swap_remove(n);
        let ms = now - flight.started;
        let before = flight.request.produced.map_or(0.0, |(tokens, _)| tokens);
        let tokens = (job.tokens - before).max(1.0) as u32;
        let at = Millis(now);
        self.router.finished(at, flight.seat, AttemptOutcome::Finished, ms, tokens, 0);
        let request = flight.request;
        self.drop_others(now, request.id, world);
        if self.arm.admission {
            self.admission.finished(at, request.id, Completion { ok: true, ms });
        }
        if let Some(sample) = request.sample {
            world.done.push((sample, job.version, job.tokens));
            return;
        }
        let took = now - (request.deadline - request.patience);
        world.tally.took(request.class, took);
        let counts = world.tally.of(request.class);
        if now <= request.deadline {
            counts.on_time += 1;
        } else {
            counts.late += 1;
        }
    }

    /// An endpoint crashed with these attempts in it.
    pub fn crashed(&mut self, now: u64, jobs: &[Job], world: &mut World<'_>) {
        let number = self.number;
        for job in jobs.iter().filter(|job| job.entry == number) {
            let same = |f: &Flight| f.request.id == job.id && f.attempt == job.attempt;
            if let Some(n) = self.flights.iter().position(same) {
                self.keep(n, job, world);
                self.lose(now, n, AttemptOutcome::Failed, Outcome::Unknown, world);
            }
        }
    }

    /// Keeps the tokens of a lost attempt that had arrived, if attempts are continued.
    ///
    /// What a silent connection carried did not arrive, and its tokens are in vain.
    fn keep(&mut self, n: usize, job: &Job, world: &mut World<'_>) {
        if self.arm.resume && !job.silent && job.done >= 1.0 {
            self.flights[n].request.produced = Some((job.done, job.version));
            return;
        }
        let before = self.flights[n].request.produced.map_or(0.0, |(tokens, _)| tokens);
        world.tally.wasted += f64::from((job.done - before).max(0.0));
    }

    fn room(&self, now: u64, model: usize) -> Capacity {
        let view = self.router.pool_capacity(Millis(now), &self.models[model], None);
        Capacity { slots: view.slots, load: view.load }
    }

    fn expect(&mut self, now: u64, request: &Request, floor: Version) -> Option<u64> {
        let model = self.models[request.model].clone();
        let want = want(&model, request, floor, &[], self.arm.prefix);
        self.router.choose(Millis(now), &want).ok().map(|choice| choice.expected_ms)
    }

    fn launch(
        &mut self,
        now: u64,
        mut request: Request,
        floor: Version,
        second: bool,
        tried: &[EndpointId],
        world: &mut World<'_>,
    ) -> bool {
        let at = Millis(now);
        let model = self.models[request.model].clone();
        let mut exclude = tried.to_vec();
        loop {
            let choice =
                self.router.choose(at, &want(&model, &request, floor, &exclude, self.arm.prefix));
            let Ok(choice) = choice else {
                if !second {
                    self.not_placed(now, request, world);
                }
                return false;
            };
            self.router.started(at, choice.endpoint, request.expected, Some(request.prefix));
            self.next += 1;
            request.attempts += 1;
            let job = world.job(self.number, self.next, &request);
            if world.engines[choice.endpoint.0 as usize].push(now, job) {
                let flight = Flight {
                    request,
                    attempt: self.next,
                    seat: choice.endpoint,
                    started: now,
                    expected_ms: choice.expected_ms,
                    heard: now,
                    second,
                };
                self.flights.push(flight);
                world.tally.runs += 1;
                world.tally.hits += u64::from(choice.reason == ChoiceReason::Cached);
                return true;
            }
            let down = world.engines[choice.endpoint.0 as usize].down > now;
            let ending = if down { AttemptOutcome::Failed } else { AttemptOutcome::Released };
            self.router.finished(at, choice.endpoint, ending, 0, 0, request.expected);
            exclude.push(choice.endpoint);
        }
    }

    /// No endpoint took the request, so that it did not run.
    fn not_placed(&mut self, now: u64, request: Request, world: &mut World<'_>) {
        if self.arm.admission {
            self.admission.finished(Millis(now), request.id, Completion { ok: false, ms: 0 });
        }
        self.refused(now, request, 300, world);
    }

    fn refused(&mut self, now: u64, mut request: Request, wait: u64, world: &mut World<'_>) {
        let come_back = now + wait;
        if request.sample.is_some() {
            // A trainer's sample comes back under a new id, as a new request does.
            request.id = RequestId(request.id.0, request.id.1.wrapping_add(1));
            self.again.push(Again { at: come_back, request, door: true });
            return;
        }
        let counts = world.tally.of(request.class);
        counts.refused += 1;
    }

    /// An attempt failed: try again if that is safe and in time.
    fn lose(
        &mut self,
        now: u64,
        n: usize,
        ending: AttemptOutcome,
        outcome: Outcome,
        world: &mut World<'_>,
    ) {
        if let Some(job) = world.find(&self.flights[n]).cloned() {
            self.keep(n, &job, world);
        }
        let flight = self.flights.swap_remove(n);
        let at = Millis(now);
        let ms = now - flight.started;
        self.router.finished(at, flight.seat, ending, ms, 0, flight.request.expected);
        world.engines[flight.seat.0 as usize].cancel(flight.request.id, flight.attempt);
        let id = flight.request.id;
        if self.flights.iter().any(|other| other.request.id == id) {
            return;
        }
        let request = flight.request;
        let expected = flight.expected_ms.min(request.deadline.saturating_sub(now) / 2);
        let retry = Retry {
            workspace: &Workspace(self.models[request.model].0.clone()),
            attempts: request.attempts.max(1),
            outcome,
            idempotent: true,
            deadline: Millis(request.deadline),
            expected_ms: expected,
        };
        if let Some(delay) = self.admission.may_retry(at, &retry) {
            self.again.push(Again { at: now + delay, request, door: false });
            return;
        }
        if self.arm.admission {
            self.admission.finished(at, request.id, Completion { ok: false, ms });
        }
        if request.sample.is_some() {
            let fresh = Request { attempts: 0, ..request };
            self.refused(now, fresh, 1_000, world);
        } else {
            world.tally.of(request.class).late += 1;
        }
    }

    fn drop_others(&mut self, now: u64, id: RequestId, world: &mut World<'_>) {
        while let Some(n) = self.flights.iter().position(|flight| flight.request.id == id) {
            let flight = self.flights.swap_remove(n);
            let ms = now - flight.started;
            let left = flight.request.expected;
            self.router.finished(Millis(now), flight.seat, AttemptOutcome::Released, ms, 0, left);
            let engine = &mut world.engines[flight.seat.0 as usize];
            world.tally.wasted += f64::from(engine.cancel(id, flight.attempt));
        }
    }
}

fn want<'a>(
    model: &'a Model,
    request: &Request,
    floor: Version,
    exclude: &'a [EndpointId],
    prefix: bool,
) -> RouteRequest<'a> {
    RouteRequest {
        model,
        class: request.class,
        prefix: prefix.then_some(request.prefix),
        prompt_tokens: request.prompt,
        output_tokens: request.expected,
        floor: Some(floor),
        exclude,
        suspect: false,
    }
}
