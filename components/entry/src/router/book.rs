//! The router's decisions: pure functions of what it knows, an event and the time.

use std::collections::BTreeMap;
use std::sync::Arc;

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Config;
use chicoryford_types::Endpoint;
use chicoryford_types::Failure;
use chicoryford_types::LoadReport;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Workspace;
use chicoryford_types::config::StopTarget;
use chicoryford_types::template::Limits;
use chicoryford_types::template::Retries;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::router::budget::Budget;
use crate::router::limit::Usage;
use crate::router::queue::Queue;
use crate::router::queue::Waiting;
use crate::router::seat::Pick;
use crate::router::seat::Seat;
use crate::router::seat::Verdict;
use crate::router::seat::Want;

/// The rest of an endpoint after its first failure, in milliseconds; it doubles with each more.
const REST: u64 = 250;
/// The longest rest, in milliseconds.
const REST_BOUND: u64 = 8_000;
/// The rest of an endpoint whose agent refused because it was full, in milliseconds.
const FULL_REST: u64 = 30;
/// When a request that found no endpoint may come back, in milliseconds.
const ABSENT_RETRY: u64 = 1_000;
/// When a request that found the queue full may come back, in milliseconds.
const FULL_RETRY: u64 = 500;

/// An answer to an attempt that asked for an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Which attempt.
    pub id: u64,
    /// The endpoint, or why there is none; always "not run".
    pub result: Result<Pick, Failure>,
}

/// What the router knows.
pub struct Book {
    /// The endpoints by name.
    pub seats: BTreeMap<Endpoint, Seat>,
    /// Entries that are alive, this one included; each holds an equal share of limits.
    pub entries: u32,
    /// What each workspace uses.
    pub usage: BTreeMap<Workspace, Usage>,
    /// Attempts that wait, by model.
    pub queues: BTreeMap<Model, Queue>,
    budgets: BTreeMap<Workspace, Budget>,
    config: Arc<Config>,
    bounds: Bounds,
    random: SmallRng,
    ticked: Millis,
}

/// Bounds on what this entry holds at once.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Requests in progress.
    pub running: usize,
    /// Attempts that wait for an endpoint.
    pub waiting: usize,
}

impl Book {
    /// Starts with no endpoints.
    pub fn new(bounds: Bounds, seed: u64) -> Self {
        Self {
            seats: BTreeMap::new(),
            entries: 1,
            usage: BTreeMap::new(),
            queues: BTreeMap::new(),
            budgets: BTreeMap::new(),
            config: Arc::default(),
            bounds,
            random: SmallRng::seed_from_u64(seed),
            ticked: Millis::default(),
        }
    }

    /// Takes in who is there.
    pub fn members(&mut self, members: &Members, now: Millis) -> Vec<Answer> {
        let mut before = std::mem::take(&mut self.seats);
        self.entries = members.present().filter(|m| m.roles.entry).count().max(1) as u32;
        for member in members.present() {
            let Some(info) = &member.endpoint else { continue };
            let pick = Pick {
                endpoint: info.name.clone(),
                agent: member.node.clone(),
                address: member.address.clone(),
                incarnation: member.incarnation,
            };
            let mut seat = before.remove(&info.name).unwrap_or_default();
            if seat.pick.incarnation != pick.incarnation {
                seat.failures = 0;
                seat.rests = Millis::default();
            }
            seat.info = info.clone();
            seat.place = member.data_centre.clone();
            seat.pick = pick;
            self.seats.insert(info.name.clone(), seat);
        }
        self.serve(now)
    }

    /// Takes in accepted configuration.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
    }

    /// Counts a request in.
    ///
    /// # Errors
    ///
    /// The refusal, if the workspace or this entry is at its limit.
    pub fn enter(&mut self, workspace: &Workspace, now: Millis) -> Result<(), Failure> {
        let total: usize = self.usage.values().map(|usage| usage.running as usize).sum();
        if total >= self.bounds.running {
            let detail = format!("{total} requests are in progress at this entry");
            return Err(Failure::not_run(Code::Overloaded, detail).retry_after(FULL_RETRY));
        }
        let limits = self.limits(workspace);
        let usage = self.usage.entry(workspace.clone()).or_default();
        usage.enter(&limits, self.entries, now)
    }

    /// Counts a request out.
    pub fn leave(&mut self, workspace: &Workspace, ran: bool) {
        if let Some(usage) = self.usage.get_mut(workspace) {
            usage.leave();
        }
        if ran {
            let retries = self.retries(workspace);
            self.budgets.entry(workspace.clone()).or_default().succeeded(&retries);
        }
    }

    /// Looks for an endpoint; the answer may come with a later event.
    pub fn ask(&mut self, id: u64, want: Want, now: Millis) -> Vec<Answer> {
        let budget = self.budgets.entry(want.workspace.clone()).or_default();
        if want.retry && !budget.take() {
            let detail = "the workspace's retry budget is used up";
            let failure = Failure::not_run(Code::Overloaded, detail).retry_after(FULL_RETRY);
            return vec![Answer { id, result: Err(failure) }];
        }
        let any = self.seats.values().any(|seat| self.may_serve(seat, &want));
        if !any {
            let detail = format!("no endpoint of {} is known to work", want.model);
            let failure = Failure::not_run(Code::NoEndpoint, detail).retry_after(ABSENT_RETRY);
            return vec![Answer { id, result: Err(failure) }];
        }
        let waits: usize = self.queues.values().map(Queue::len).sum();
        if waits >= self.bounds.waiting && want.class != Class::Urgent {
            let detail = format!("{waits} attempts wait for an endpoint");
            let failure = Failure::not_run(Code::Overloaded, detail).retry_after(FULL_RETRY);
            return vec![Answer { id, result: Err(failure) }];
        }
        self.queues.entry(want.model.clone()).or_default().push(Waiting { id, want });
        self.serve(now)
    }

    /// Takes in how an attempt ended.
    pub fn ended(&mut self, endpoint: &Endpoint, verdict: Verdict, now: Millis) -> Vec<Answer> {
        if let Some(seat) = self.seats.get_mut(endpoint) {
            seat.running = seat.running.saturating_sub(1);
            match verdict {
                Verdict::Ran(load) => {
                    seat.failures = 0;
                    if let Some(load) = load {
                        note(seat, load, now);
                    }
                }
                Verdict::Full => seat.rests = seat.rests.max(now + FULL_REST),
                Verdict::Leaving => seat.info.draining = true,
                Verdict::Failed => {
                    seat.failures += 1;
                    let rest = REST << seat.failures.min(6).saturating_sub(1);
                    seat.rests = now + rest.min(REST_BOUND);
                }
                Verdict::Dropped => {}
            }
        }
        self.serve(now)
    }

    /// Takes in a load report.
    pub fn load(&mut self, report: LoadReport, now: Millis) {
        if let Some(seat) = self.seats.get_mut(&report.name) {
            note(seat, report, now);
        }
    }

    /// Lets time pass: gives up attempts whose deadline came, and serves those that wait.
    pub fn tick(&mut self, now: Millis) -> Vec<Answer> {
        let elapsed = now.since(self.ticked);
        self.ticked = now;
        for budget in self.budgets.values_mut() {
            budget.restore(elapsed);
        }
        let mut answers = Vec::new();
        for (model, queue) in &mut self.queues {
            for waiting in queue.expire(now) {
                let detail = format!("no endpoint of {model} had room before the deadline");
                let failure = Failure::not_run(Code::DeadlineTooClose, detail);
                let result = Err(failure.retry_after(FULL_RETRY));
                answers.push(Answer { id: waiting.id, result });
            }
        }
        answers.extend(self.serve(now));
        answers
    }

    fn serve(&mut self, now: Millis) -> Vec<Answer> {
        let mut answers = Vec::new();
        let mut queues = std::mem::take(&mut self.queues);
        for queue in queues.values_mut() {
            while !queue.is_empty() {
                let taken = queue.take(|want| self.has_room(want, now));
                let Some(waiting) = taken else { break };
                let Some(pick) = self.choose(&waiting.want, now) else { break };
                answers.push(Answer { id: waiting.id, result: Ok(pick) });
            }
        }
        queues.retain(|_, queue| !queue.is_empty());
        self.queues = queues;
        answers
    }

    fn has_room(&self, want: &Want, now: Millis) -> bool {
        self.seats.values().any(|seat| self.may_serve(seat, want) && seat.has_room(now))
    }

    /// Chooses the endpoint with the least in flight, and counts the attempt there.
    fn choose(&mut self, want: &Want, now: Millis) -> Option<Pick> {
        let mut best: Option<(bool, u32, u32, Endpoint)> = None;
        for (name, seat) in &self.seats {
            if !self.may_serve(seat, want) || !seat.has_room(now) {
                continue;
            }
            let fill = seat.running * 1_000 / seat.info.slots.max(1);
            let rank = (want.avoid.contains(name), fill, self.random.random(), name.clone());
            if best.as_ref().is_none_or(|best| rank < *best) {
                best = Some(rank);
            }
        }
        let (_, _, _, name) = best?;
        let seat = self.seats.get_mut(&name)?;
        seat.running += 1;
        Some(seat.pick.clone())
    }

    fn may_serve(&self, seat: &Seat, want: &Want) -> bool {
        seat.serves(want) && !self.stops(seat)
    }

    fn stops(&self, seat: &Seat) -> bool {
        self.config.stops.values().any(|stop| match &stop.target {
            StopTarget::Endpoint(target) => *target == seat.info.name,
            StopTarget::Node(target) => *target == seat.pick.agent,
            StopTarget::DataCentre(target) => *target == seat.place,
        })
    }

    fn limits(&self, workspace: &Workspace) -> Limits {
        let versioned = self.config.templates.get(workspace);
        versioned.map(|versioned| versioned.template.limits).unwrap_or_default()
    }

    fn retries(&self, workspace: &Workspace) -> Retries {
        let versioned = self.config.templates.get(workspace);
        versioned.map(|versioned| versioned.template.retries).unwrap_or_default()
    }
}

/// Keeps a report unless a newer one of the same agent was there before.
fn note(seat: &mut Seat, report: LoadReport, now: Millis) {
    let newer = seat.load.as_ref().is_none_or(|(held, _)| report.seq >= held.seq);
    if !newer {
        return;
    }
    for (model, version) in &report.versions {
        seat.info.models.insert(model.clone(), *version);
    }
    seat.load = Some((report, now));
}
