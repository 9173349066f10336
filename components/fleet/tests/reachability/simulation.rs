//! A simulation of processes with their pickers, and of their leader, while endpoints are
//! unreachable.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_fleet::pick::AttemptOutcome;
use chicoryford_fleet::pick::Picker;
use chicoryford_fleet::pick::Target;
use chicoryford_fleet::reachability::Report;
use chicoryford_fleet::reachability::UnreachableSet;
use chicoryford_types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture::Leader;
use crate::fixture::desk;
use crate::fixture::picker_with;

/// Milliseconds between two evaluations of the leader.
pub const TICK_MS: u64 = 20;
/// Milliseconds until a message has arrived at a member or at the leader.
const MESSAGE_MS: u64 = 3;
/// Milliseconds after which a connection attempt fails.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Milliseconds after which a connection that is not established is reported.
const REPORT_AFTER_MS: u64 = 50;
/// Seeds of the draws of the simulated crowds, whose totals are compared.
pub const SEEDS: std::ops::Range<u64> = 1..6;

/// What a simulated process is about to do.
enum Event {
    /// A request arrives at a process.
    Request { process: usize },
    /// A request that has no answer yet starts a second attempt.
    Hedge { request: usize },
    /// An endpoint answers an attempt.
    Answer { request: usize, target: Target, began: u64 },
    /// A connection is still not established when it has to be reported.
    Slow { process: usize, target: Target },
    /// A connection attempt fails.
    Failure { request: usize, target: Target },
    /// A report arrives at the leader.
    Report { process: usize, report: Report },
    /// The leader's set arrives at a process.
    Set { process: usize, set: UnreachableSet },
    /// The leader updates its marks.
    Tick,
    /// Another process leads, and knows nothing yet.
    NewLeader,
}

struct Request {
    process: usize,
    /// Milliseconds for which an endpoint works on it.
    work_ms: u64,
    tried: BTreeSet<String>,
    answered: bool,
}

/// A load on a service whose first endpoints are unreachable for a while.
pub struct Load {
    pub endpoints: usize,
    pub unreachable: usize,
    /// The time in milliseconds in which these endpoints are unreachable.
    pub outage: std::ops::Range<u64>,
    /// Number of processes that send requests of 25 ms, and how many each sends per second.
    pub entries: (usize, f64),
    /// Number of processes that send scorers' calls of 80 ms, and how many each sends per second.
    pub hosts: (usize, f64),
    /// Whether requests that are not answered in time get a second attempt.
    pub hedging: bool,
    /// When another process becomes the leader.
    pub new_leader_at: Option<u64>,
    pub until: u64,
}

#[derive(Default)]
pub struct Totals {
    /// Attempts at unreachable endpoints.
    pub hits: usize,
    /// The marked endpoints after each tick.
    pub marked: Vec<(u64, usize)>,
}

/// Simulates processes with their pickers, and the leader.
pub struct Simulation {
    load: Load,
    now: u64,
    /// Events by time and order of creation.
    queue: BTreeMap<(u64, u64), Event>,
    created: u64,
    pickers: Vec<Picker>,
    leader: Leader,
    requests: Vec<Request>,
    rng: SmallRng,
    totals: Totals,
}

impl Simulation {
    /// Runs a load with draws by this seed.
    pub fn run(load: Load, shared_reachability: bool, seed: u64) -> Totals {
        let processes = load.entries.0 + load.hosts.0;
        let pickers = (0..processes).map(|number| {
            picker_with(shared_reachability, load.endpoints, seed * 1_000 + number as u64)
        });
        let mut simulation = Self {
            now: 0,
            queue: BTreeMap::new(),
            created: 0,
            pickers: pickers.collect(),
            leader: Leader::new(desk(load.endpoints)),
            requests: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            totals: Totals::default(),
            load,
        };
        simulation.schedule(0, Event::Tick);
        if let Some(at) = simulation.load.new_leader_at {
            simulation.schedule(at, Event::NewLeader);
        }
        for process in 0..processes {
            let delay = simulation.next_arrival(process);
            simulation.schedule(delay, Event::Request { process });
        }
        while let Some(((at, _), event)) = simulation.queue.pop_first() {
            if at >= simulation.load.until {
                break;
            }
            simulation.now = at;
            simulation.handle(event);
        }
        simulation.totals
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.created += 1;
        self.queue.insert((self.now + delay, self.created), event);
    }

    fn is_host(&self, process: usize) -> bool {
        process >= self.load.entries.0
    }

    /// Draws the milliseconds until the next request of a process.
    fn next_arrival(&mut self, process: usize) -> u64 {
        let rate = if self.is_host(process) { self.load.hosts.1 } else { self.load.entries.1 };
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        (-draw.ln() * 1_000.0 / rate) as u64 + 1
    }

    fn is_down(&self, id: &str) -> bool {
        let number: usize = id[1..].parse().unwrap();
        number < self.load.unreachable && self.load.outage.contains(&self.now)
    }

    fn handle(&mut self, event: Event) {
        let now = Millis(self.now);
        match event {
            Event::Request { process } => {
                let delay = self.next_arrival(process);
                self.schedule(delay, Event::Request { process });
                let work_ms = if self.is_host(process) { 80 } else { 25 };
                let (tried, request) = (BTreeSet::new(), self.requests.len());
                self.requests.push(Request { process, work_ms, tried, answered: false });
                self.attempt(request);
                if self.load.hedging {
                    let usual = self.pickers[process].median_ms("route").unwrap_or(0.0);
                    self.schedule((usual * 3.0).max(60.0) as u64, Event::Hedge { request });
                }
            }
            Event::Hedge { request } => {
                if !self.requests[request].answered {
                    self.attempt(request);
                }
            }
            Event::Answer { request, target, began } => {
                let process = self.requests[request].process;
                let ms = self.now - began;
                // The other attempt of the request is cancelled when this one is answered.
                let outcome = if self.requests[request].answered {
                    AttemptOutcome::Dropped(ms)
                } else {
                    AttemptOutcome::Answered(ms)
                };
                self.requests[request].answered = true;
                self.pickers[process].record_outcome(&target.id, "route", outcome, now);
            }
            Event::Slow { process, target } => {
                let report =
                    self.pickers[process].reachability().record_failure(&target.id, 1, now);
                self.report(process, report);
            }
            Event::Failure { request, target } => {
                let process = self.requests[request].process;
                let answered = self.requests[request].answered;
                let outcome = if answered {
                    AttemptOutcome::Dropped(CONNECT_TIMEOUT_MS)
                } else {
                    AttemptOutcome::Failed
                };
                self.pickers[process].record_outcome(&target.id, "route", outcome, now);
                let report =
                    self.pickers[process].reachability().record_failure(&target.id, 1, now);
                self.report(process, report);
                if !answered {
                    self.attempt(request);
                }
            }
            Event::Report { process, report } => {
                let (reporter, id) = (format!("p{process}"), &report.endpoint);
                if report.reached {
                    self.leader.tracker.record_reachable(&reporter, id, report.started_ms, now);
                } else {
                    self.leader.report(&reporter, id, self.now);
                }
            }
            Event::Set { process, set } => {
                self.pickers[process].reachability().replace_set(&set, now);
            }
            Event::Tick => {
                self.leader.tracker.update(&self.leader.registry, self.pickers.len(), now);
                if let Some(set) = self.leader.tracker.take_broadcast(self.pickers.len(), now) {
                    for process in 0..self.pickers.len() {
                        self.schedule(MESSAGE_MS, Event::Set { process, set: set.clone() });
                    }
                }
                self.totals.marked.push((self.now, self.leader.tracker.marked_count()));
                for picker in &mut self.pickers {
                    picker.reachability().record_leader(now);
                }
                self.schedule(TICK_MS, Event::Tick);
            }
            Event::NewLeader => {
                self.leader = Leader::new(self.leader.endpoints.clone());
                for process in 0..self.pickers.len() {
                    let set = UnreachableSet::default();
                    self.pickers[process].reachability().replace_set(&set, now);
                    let reports = self.pickers[process].reachability().reports_for_new_leader(now);
                    reports.into_iter().for_each(|report| self.report(process, Some(report)));
                }
            }
        }
    }

    fn report(&mut self, process: usize, report: Option<Report>) {
        if let Some(report) = report {
            self.schedule(MESSAGE_MS, Event::Report { process, report });
        }
    }

    /// Makes an attempt of a request at an endpoint that it has not tried.
    fn attempt(&mut self, request: usize) {
        let now = Millis(self.now);
        let Request { process, work_ms, tried, .. } = &self.requests[request];
        let (process, work_ms) = (*process, *work_ms);
        let picker = &mut self.pickers[process];
        let fits = |id: &str| !tried.contains(id);
        let probe =
            if tried.is_empty() { picker.pick_probe("desk", "route", fits, now) } else { None };
        let target = match probe {
            Some(target) => target,
            None => match picker.pick("desk", "route", fits, now) {
                Ok(target) => target,
                Err(_) => return,
            },
        };
        self.requests[request].tried.insert(target.id.clone());
        if self.is_down(&target.id) {
            self.totals.hits += 1;
            self.schedule(REPORT_AFTER_MS, Event::Slow { process, target: target.clone() });
            self.schedule(CONNECT_TIMEOUT_MS, Event::Failure { request, target });
        } else {
            let report = self.pickers[process].reachability().record_success(&target.id, 1);
            self.report(process, report);
            self.schedule(work_ms, Event::Answer { request, target, began: self.now });
        }
    }
}

/// A spike of callers at 20 entries, 12 times as many as usual, and the scorers' calls of 3 hosts.
/// Second attempts are withheld, as they are while a service is slow.
pub fn crowd() -> Load {
    Load {
        endpoints: 11,
        unreachable: 4,
        outage: 1_000..6_000,
        entries: (20, 10.8),
        hosts: (3, 30.0),
        hedging: false,
        new_leader_at: None,
        until: 8_000,
    }
}

pub fn hits(load: impl Fn() -> Load, shared_reachability: bool) -> usize {
    SEEDS.map(|seed| Simulation::run(load(), shared_reachability, seed).hits).sum()
}
