//! Tests of how processes share which endpoints are unreachable.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Registry;
use chicoryford_fleet::endpoint::Settings;
use chicoryford_fleet::pick::AttemptOutcome;
use chicoryford_fleet::pick::Picker;
use chicoryford_fleet::pick::Target;
use chicoryford_fleet::reachability::LocalReachability;
use chicoryford_fleet::reachability::ReachabilityTracker;
use chicoryford_fleet::reachability::Reason;
use chicoryford_fleet::reachability::Report;
use chicoryford_fleet::reachability::UnreachableSet;
use chicoryford_types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Milliseconds between two evaluations of the leader.
const TICK_MS: u64 = 20;
/// Milliseconds until a message has arrived at a member or at the leader.
const MESSAGE_MS: u64 = 3;
/// Milliseconds after which a connection attempt fails.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Milliseconds after which a connection that is not established is reported.
const REPORT_AFTER_MS: u64 = 50;
/// Seeds of the draws of the simulated crowds, whose totals are compared.
const SEEDS: std::ops::Range<u64> = 1..6;

fn endpoint(id: &str, service: &str, started_ms: u64) -> Endpoint {
    let announcement = Announcement {
        id: id.to_owned(),
        started_ms,
        service: service.to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "z".to_owned(),
        slots: 6,
        draining: false,
        models: BTreeMap::new(),
        sequence: 1,
    };
    Endpoint { announcement, status: EndpointStatus::Ready }
}

fn registry(endpoints: &[Endpoint]) -> Registry {
    Registry::from_known(Settings::default(), endpoints.iter().cloned(), Millis(0))
}

/// Creates the endpoints "e0" to "eN" of the service "desk".
fn desk(count: usize) -> Vec<Endpoint> {
    (0..count).map(|number| endpoint(&format!("e{number}"), "desk", 1)).collect()
}

/// A leader with its endpoints.
struct Leader {
    tracker: ReachabilityTracker,
    registry: Registry,
    endpoints: Vec<Endpoint>,
}

impl Leader {
    fn new(endpoints: Vec<Endpoint>) -> Self {
        let registry = registry(&endpoints);
        Self { tracker: ReachabilityTracker::default(), registry, endpoints }
    }

    fn report(&mut self, reporter: &str, id: &str, now: u64) {
        let endpoint = self.registry.get(id).unwrap();
        self.tracker.record_unreachable(reporter, endpoint, 1, Millis(now));
    }

    /// Updates the marks and returns the ids of the marked endpoints.
    fn marked(&mut self, now: u64) -> Vec<String> {
        self.tracker.update(&self.registry, 2, Millis(now));
        let set = self.tracker.take_broadcast(2, Millis(now));
        let set = set.unwrap_or_else(|| self.tracker.published().clone());
        set.endpoints.into_keys().collect()
    }
}

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

/// A request in the simulation.
struct Request {
    process: usize,
    /// Milliseconds of work.
    work_ms: u64,
    tried: BTreeSet<String>,
    answered: bool,
}

/// A load on a service whose first endpoints are unreachable for a while.
struct Load {
    endpoints: usize,
    unreachable: usize,
    /// Milliseconds of the outage.
    outage: std::ops::Range<u64>,
    /// Number of processes that send requests of 25 ms, and how many each sends per second.
    entries: (usize, f64),
    /// Number of processes that send scorers' calls of 80 ms, and how many each sends per second.
    hosts: (usize, f64),
    /// Whether requests that are not answered in time get a second attempt.
    hedging: bool,
    /// When another process becomes the leader.
    new_leader_at: Option<u64>,
    until: u64,
}

/// The results of a simulation.
#[derive(Default)]
struct Totals {
    /// Attempts at unreachable endpoints.
    hits: usize,
    /// The marked endpoints after each tick.
    marked: Vec<(u64, usize)>,
}

/// Simulates processes with their pickers, and the leader.
struct Simulation {
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
    fn run(load: Load, shared_reachability: bool, seed: u64) -> Totals {
        let policy = Policy { shared_reachability, ..Policy::default() };
        let endpoints = desk(load.endpoints);
        let processes = load.entries.0 + load.hosts.0;
        let pickers = (0..processes).map(|number| {
            let mut picker = Picker::new(seed * 1_000 + number as u64).with_policy(policy);
            endpoints.iter().for_each(|endpoint| picker.observe(endpoint));
            picker
        });
        let mut simulation = Self {
            now: 0,
            queue: BTreeMap::new(),
            created: 0,
            pickers: pickers.collect(),
            leader: Leader::new(endpoints),
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
fn crowd() -> Load {
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

fn hits(load: impl Fn() -> Load, shared_reachability: bool) -> usize {
    SEEDS.map(|seed| Simulation::run(load(), shared_reachability, seed).hits).sum()
}

/// Guards against each of the processes finding out for itself, and again after each penalty, that
/// some endpoints are unreachable.
#[test]
fn a_crowd_makes_a_fifth_of_the_attempts_at_unreachable_endpoints() {
    let (off, on) = (hits(crowd, false), hits(crowd, true));
    assert!(on * 5 <= off, "{on} with shared reachability, {off} without");
}

/// Guards against knowledge that costs more than it saves while second attempts are made, which
/// already hide many of the unreachable endpoints.
#[test]
fn a_crowd_with_second_attempts_makes_fewer_attempts_at_unreachable_endpoints() {
    let load = || Load { hedging: true, ..crowd() };
    let (off, on) = (hits(load, false), hits(load, true));
    assert!(on * 2 <= off, "{on} with shared reachability, {off} without");
}

/// Guards against a process without a network that takes all endpoints away from the others.
#[test]
fn an_entry_that_is_cut_off_alone_marks_nothing() {
    let mut leader = Leader::new(desk(10));
    for second in 0..20 {
        for id in 0..10 {
            leader.report("a", &format!("e{id}"), second * 1_000);
        }
        assert!(leader.marked(second * 1_000 + 1).is_empty());
    }
}

/// Guards against each process discovering an unreachable endpoint for itself.
#[test]
fn two_reporters_mark_an_endpoint_for_all() {
    let mut leader = Leader::new(desk(4));
    leader.report("a", "e1", 0);
    leader.report("b", "e1", 900);
    assert_eq!(leader.marked(900), ["e1"]);
    let mut picker = picker(4, 1);
    picker.reachability().replace_set(leader.tracker.published(), Millis(901));
    for _ in 0..40 {
        assert_ne!(picker.pick("desk", "route", |_| true, Millis(901)).unwrap().id, "e1");
    }
    let last = picker.pick("desk", "route", |id| id == "e1", Millis(901)).unwrap();
    assert_eq!(last.id, "e1", "it is used if no other one passes the filter");
}

/// Guards against marking an endpoint because of two unrelated failures, such as lost packets.
#[test]
fn two_reports_more_than_a_second_apart_mark_nothing() {
    let mut leader = Leader::new(desk(4));
    leader.report("a", "e1", 0);
    leader.report("b", "e1", 1_001);
    assert!(leader.marked(1_001).is_empty());
}

/// Guards against an endpoint that stays without work after it can be reached again, and against
/// one that is used again although probes still fail.
#[test]
fn a_mark_ends_two_seconds_after_the_last_report() {
    let mut leader = Leader::new(desk(4));
    leader.report("a", "e1", 0);
    leader.report("b", "e1", 0);
    assert_eq!(leader.marked(0), ["e1"]);
    leader.report("a", "e1", 1_500);
    assert_eq!(leader.marked(3_499), ["e1"]);
    assert!(leader.marked(3_500).is_empty());
}

/// Guards against an endpoint that is avoided for seconds after somebody has reached it.
#[test]
fn a_mark_ends_at_once_when_a_process_reaches_the_endpoint() {
    let mut leader = Leader::new(desk(4));
    leader.report("a", "e1", 0);
    leader.report("b", "e1", 0);
    assert_eq!(leader.marked(0), ["e1"]);
    let reached = leader.tracker.record_reachable("c", "e1", 1, Millis(150)).unwrap();
    assert_eq!((reached.reason, reached.reporters), (Reason::Reached, vec!["c".to_owned()]));
    assert!(leader.marked(150).is_empty());
}

/// Guards against a member that still avoids an endpoint which it has just reached itself.
#[test]
fn a_successful_probe_ends_the_state_at_the_member_and_is_reported() {
    let mut picker = picker(4, 1);
    picker.reachability().replace_set(&set(&["e1"]), Millis(0));
    let probe = picker.pick_probe("desk", "route", |_| true, Millis(1_000)).unwrap();
    assert_eq!(probe.id, "e1");
    let report = picker.reachability().record_success("e1", 1).unwrap();
    assert!(report.reached);
    assert!(!picker.reachability().is_unreachable("e1", 1, Millis(1_000)));
    assert!(picker.reachability().record_success("e1", 1).is_none(), "it is reported once");
}

/// Guards against avoiding a healthy endpoint for half of the time while some of the processes are
/// cut off from it.
#[test]
fn processes_that_are_cut_off_mark_nothing_that_others_reach() {
    let mut leader = Leader::new(desk(4));
    let mut marked_ms = 0;
    for now in (0..5_000).step_by(100) {
        if now % 1_000 == 0 {
            leader.report("a", "e1", now);
            leader.report("b", "e1", now);
        }
        if now % 1_000 == 500 {
            leader.tracker.record_reachable("c", "e1", 1, Millis(now));
        }
        marked_ms += if leader.marked(now).is_empty() { 0 } else { 100 };
    }
    assert!(marked_ms <= 500, "{marked_ms}");
}

/// Guards against taking most of a service away because of reporters that are cut off.
#[test]
fn never_more_than_half_of_a_service_is_marked() {
    let mut leader = Leader::new(desk(11));
    for id in 0..11 {
        leader.report("a", &format!("e{id}"), 0);
        leader.report("b", &format!("e{id}"), 0);
    }
    assert_eq!(leader.marked(0).len(), 5);
    // Four of the others stop, so that seven are ready.
    let mut endpoints = desk(11);
    endpoints[7..].iter_mut().for_each(|one| one.status = EndpointStatus::Gone);
    leader.registry = registry(&endpoints);
    assert_eq!(leader.marked(500).len(), 3);
}

/// Guards against a set that keeps the endpoint of another service unmarked or marked.
#[test]
fn the_limit_is_per_service() {
    let mut endpoints = desk(2);
    endpoints.extend([endpoint("x0", "label", 1), endpoint("x1", "label", 1)]);
    let mut leader = Leader::new(endpoints);
    for id in ["e0", "e1", "x0", "x1"] {
        leader.report("a", id, 0);
        leader.report("b", id, 0);
    }
    assert_eq!(leader.marked(0), ["e0", "x0"]);
}

/// Guards against avoiding an endpoint that has restarted under its id, and against marking it
/// because of reports about its previous start.
#[test]
fn a_newer_start_clears_the_state() {
    let mut leader = Leader::new(desk(4));
    leader.report("a", "e1", 0);
    leader.report("b", "e1", 0);
    assert_eq!(leader.marked(0), ["e1"]);
    let mut picker = picker(4, 1);
    picker.reachability().replace_set(leader.tracker.published(), Millis(1));
    assert!(picker.reachability().is_unreachable("e1", 1, Millis(1)));
    assert!(!picker.reachability().is_unreachable("e1", 2, Millis(1)));

    let mut endpoints = desk(4);
    endpoints[1].announcement.started_ms = 2;
    leader.registry = registry(&endpoints);
    assert!(leader.marked(200).is_empty());
    // Both processes have not learned of the restart.
    leader.report("a", "e1", 250);
    leader.report("b", "e1", 250);
    assert!(leader.marked(400).is_empty());
    // A connection that was established before the restart says nothing about the new start.
    let endpoint = leader.registry.get("e1").unwrap();
    leader.tracker.record_unreachable("a", endpoint, 2, Millis(500));
    leader.tracker.record_unreachable("b", endpoint, 2, Millis(500));
    assert_eq!(leader.marked(500), ["e1"]);
    assert!(leader.tracker.record_reachable("c", "e1", 1, Millis(510)).is_none());
    assert_eq!(leader.marked(700), ["e1"]);
}

/// Guards against a flood of broadcasts to hundreds of members while many endpoints change.
#[test]
fn the_set_is_broadcast_at_most_ten_times_a_second() {
    let mut leader = Leader::new(desk(400));
    let mut broadcasts = 0;
    for now in 0..200 {
        leader.report("a", &format!("e{now}"), now * 5);
        leader.report("b", &format!("e{now}"), now * 5);
        leader.tracker.update(&leader.registry, 2, Millis(now * 5));
        broadcasts += usize::from(leader.tracker.take_broadcast(2, Millis(now * 5)).is_some());
    }
    assert!((5..=10).contains(&broadcasts), "{broadcasts}");
}

/// Guards against an overloaded leader: before the set is broadcast, each process reports an
/// endpoint once a second, and afterwards only its failed probes.
#[test]
fn reports_of_400_entries_about_one_of_10_000_endpoints_stay_within_the_bound() {
    // Each entry tries the endpoint all the time, and the leader learns of it only after 2 s.
    let (until, leader_reads_from) = (10_000, 2_000);
    let mut leader = Leader::new(desk(10_000));
    let mut members: Vec<LocalReachability> = (0..400).map(member).collect();
    let (mut before, mut after) = (BTreeMap::<u64, usize>::new(), BTreeMap::<u64, usize>::new());
    let mut broadcast_at = None;
    for now in (0..until).step_by(20) {
        for (number, member) in members.iter_mut().enumerate() {
            if member.is_probe_due(Millis(now)) {
                member.start_probe(vec!["e0"], Millis(now));
            }
            member.record_leader(Millis(now));
            if member.record_failure("e0", 1, Millis(now)).is_some() {
                let counts = if broadcast_at.is_some() { &mut after } else { &mut before };
                *counts.entry(now / 1_000).or_default() += 1;
                if now >= leader_reads_from {
                    leader.report(&format!("p{number}"), "e0", now);
                }
            }
        }
        leader.tracker.update(&leader.registry, members.len(), Millis(now));
        if let Some(set) = leader.tracker.take_broadcast(members.len(), Millis(now)) {
            broadcast_at.get_or_insert(now);
            members.iter_mut().for_each(|member| member.replace_set(&set, Millis(now)));
        }
    }
    assert!(broadcast_at.is_some_and(|at| (2_000..2_100).contains(&at)), "{broadcast_at:?}");
    assert!(before.values().all(|count| *count <= 400), "{before:?}");
    let peak = after.values().max().copied().unwrap_or(0);
    // All processes together probe once per second, and once more per 100 processes. The probes are
    // random, so the number in one second varies by about its square root.
    let per_second = 1 + members.len() / 100;
    let seconds = ((until - leader_reads_from) / 1_000) as usize;
    let total: usize = after.values().sum();
    assert!(peak <= 3 * per_second, "only probes are reported: {after:?}");
    let designed = per_second * seconds;
    assert!((designed / 2..=designed * 3 / 2).contains(&total), "{total} of {designed}: {after:?}");
    assert_eq!(leader.marked(until), ["e0"], "the probes renew the mark");
}

/// Guards against processes that keep the probe interval of two processes, because a new leader
/// marked the endpoint while only two were connected to it.
#[test]
fn the_probe_interval_follows_the_number_of_processes() {
    let mut leader = Leader::new(desk(4));
    leader.report("a", "e1", 0);
    leader.report("b", "e1", 0);
    assert_eq!(leader.marked(0), ["e1"]);
    assert_eq!(leader.tracker.published().probe_ms, 2_000);
    let set = leader.tracker.take_broadcast(400, Millis(200)).expect("a broadcast");
    // Five probes per second are made by 400 processes.
    assert_eq!(set.probe_ms, 80_000);
    assert!(leader.tracker.take_broadcast(450, Millis(400)).is_none(), "it changed little");
    leader.tracker.record_reachable("c", "e1", 1, Millis(500));
    assert!(
        leader.tracker.take_broadcast(400, Millis(600)).is_some_and(|s| s.endpoints.is_empty())
    );
    assert!(leader.tracker.take_broadcast(2, Millis(800)).is_none(), "there is nothing to probe");
}

/// Guards against processes whose reports do not count after they were cut off for a moment.
#[test]
fn reports_of_a_process_that_reaches_the_endpoint_again_count_again() {
    let mut leader = Leader::new(desk(4));
    leader.report("a", "e1", 0);
    leader.tracker.record_reachable("c", "e1", 1, Millis(100));
    leader.tracker.record_reachable("a", "e1", 1, Millis(200));
    leader.report("a", "e1", 1_500);
    leader.report("b", "e1", 1_500);
    assert_eq!(leader.marked(1_500), ["e1"]);
}

/// Guards against a leader that counts all endpoints of the fleet 50 times a second while any of
/// them is reported.
#[test]
fn marks_are_limited_again_at_most_twice_a_second() {
    let mut leader = Leader::new(desk(11));
    for id in 0..5 {
        leader.report("a", &format!("e{id}"), 0);
        leader.report("b", &format!("e{id}"), 0);
    }
    assert_eq!(leader.marked(0).len(), 5);
    let mut endpoints = desk(11);
    endpoints[7..].iter_mut().for_each(|one| one.status = EndpointStatus::Gone);
    leader.registry = registry(&endpoints);
    assert_eq!(leader.marked(480).len(), 5);
    assert_eq!(leader.marked(500).len(), 3);
}

/// Guards against many broadcasts that make each process probe early, because each of them
/// draws a new time.
#[test]
fn broadcasts_do_not_hasten_probes() {
    let mut members: Vec<LocalReachability> = (0..400).map(member).collect();
    let set = UnreachableSet { probe_ms: 80_000, ..set(&["e1"]) };
    for now in (0..10_000).step_by(100) {
        members.iter_mut().for_each(|member| member.replace_set(&set, Millis(now)));
    }
    let due = members.iter().filter(|member| member.is_probe_due(Millis(9_999))).count();
    // 400 processes with an interval of 80 s make five probes per second.
    assert!((25..=100).contains(&due), "{due}");
    let set = UnreachableSet { probe_ms: 1_000, ..set };
    members.iter_mut().for_each(|member| member.replace_set(&set, Millis(10_000)));
    let due = members.iter().filter(|member| member.is_probe_due(Millis(11_000))).count();
    assert_eq!(due, 400, "a shorter interval applies at once");
}

/// Guards against failures that a new leader counts as if they had just happened.
#[test]
fn failures_of_more_than_a_second_ago_are_not_repeated_to_a_new_leader() {
    let mut member = member(1);
    member.record_failure("e0", 1, Millis(0));
    assert!(member.reports_for_new_leader(Millis(1_001)).is_empty());
}

/// Guards against marks that lapse between two probes while few processes probe many endpoints, so
/// that requests find out again and again that they are unreachable.
#[test]
fn marks_of_many_endpoints_are_renewed_by_few_processes() {
    let (marked, until) = (20, 60_000);
    let mut leader = Leader::new(desk(2 * marked));
    let ids: Vec<String> = (0..marked).map(|number| format!("e{number}")).collect();
    let mut members: Vec<LocalReachability> = (0..4).map(member).collect();
    for id in &ids {
        leader.report("p0", id, 0);
        leader.report("p1", id, 0);
    }
    let mut lapsed = 0;
    for now in (0..until).step_by(TICK_MS as usize) {
        let transitions = leader.tracker.update(&leader.registry, members.len(), Millis(now));
        lapsed += transitions.iter().filter(|one| one.reason == Reason::Expired).count();
        if let Some(set) = leader.tracker.take_broadcast(members.len(), Millis(now)) {
            members.iter_mut().for_each(|member| member.replace_set(&set, Millis(now)));
        }
        for (number, member) in members.iter_mut().enumerate() {
            member.record_leader(Millis(now));
            if !member.is_probe_due(Millis(now)) {
                continue;
            }
            let known = ids.iter().filter(|id| member.is_unreachable(id, 1, Millis(now)));
            let known = known.map(String::as_str).collect();
            let Some(probed) = member.start_probe(known, Millis(now)) else { continue };
            if member.record_failure(&probed, 1, Millis(now)).is_some() {
                leader.report(&format!("p{number}"), &probed, now);
            }
        }
    }
    assert!(lapsed <= 2, "{lapsed} marks lapsed");
}

/// Guards against a leader whose link is full of sets while many endpoints change.
#[test]
fn large_sets_are_broadcast_less_often() {
    let members = 400;
    let mut leader = Leader::new(desk(2_000));
    let mut sent = Vec::new();
    for now in (0..5_000).step_by(5) {
        let id = format!("e{}", now / 5);
        leader.report("a", &id, now);
        leader.report("b", &id, now);
        leader.tracker.update(&leader.registry, members, Millis(now));
        let set = leader.tracker.take_broadcast(members, Millis(now));
        sent.extend(set.map(|set| set.endpoints.len() * members));
    }
    // What the last set costs counts for the time after it.
    sent.pop();
    let total: usize = sent.iter().sum();
    assert!((1..=5 * 100_000).contains(&total), "{total} entries in 5 s");
}

/// Guards against a process that probes more often than once a second, in a fleet of any size.
#[test]
fn a_process_probes_at_most_once_a_second() {
    let mut picker = picker(4, 1);
    let mut probes = Vec::new();
    for now in 0..10_000 {
        if now % 100 == 0 {
            // The set changes all the time.
            let ids: &[&str] = if now % 200 == 0 { &["e1", "e2"] } else { &["e1"] };
            picker.reachability().replace_set(&set(ids), Millis(now));
        }
        if let Some(target) = picker.pick_probe("desk", "route", |_| true, Millis(now)) {
            picker.record_outcome(&target.id, "route", AttemptOutcome::Failed, Millis(now));
            probes.push(now);
        }
    }
    assert!(probes.len() >= 5, "{probes:?}");
    assert!(probes.windows(2).all(|two| two[1] - two[0] >= 1_000), "{probes:?}");
}

/// Guards against a new leader under which callers have to find out again.
#[test]
fn a_new_leader_learns_the_set_within_a_second() {
    for seed in SEEDS {
        let load = Load { new_leader_at: Some(3_000), ..crowd() };
        let totals = Simulation::run(load, true, seed);
        let before = totals.marked.iter().rfind(|(at, _)| *at < 3_000).unwrap();
        let after = totals.marked.iter().find(|(at, _)| *at >= 4_000).unwrap();
        assert!(before.1 >= 3, "{before:?}");
        assert!(after.1 >= before.1.min(3), "{before:?} {after:?}");
    }
}

/// Guards against a new leader that must wait until callers find out again, and against reports of
/// endpoints that have been reached or were last tried long ago.
#[test]
fn a_member_repeats_its_recent_reports_to_a_new_leader() {
    let mut member = member(1);
    member.record_failure("e0", 1, Millis(0));
    member.record_failure("e1", 1, Millis(1_500));
    member.record_failure("e2", 1, Millis(1_500));
    assert!(member.record_success("e2", 1).is_some(), "it is reported, as the failure was");
    let repeated = member.reports_for_new_leader(Millis(2_500));
    assert_eq!(repeated, [Report { endpoint: "e1".to_owned(), started_ms: 1, reached: false }]);
}

/// Guards against a member that is cut off from the leader and avoids endpoints which have been
/// reachable for a long time.
#[test]
fn a_member_drops_the_set_three_seconds_after_the_leaders_last_message() {
    let mut picker = picker(4, 1);
    picker.reachability().replace_set(&set(&["e1"]), Millis(0));
    picker.reachability().record_leader(Millis(2_000));
    assert!(picker.reachability().is_unreachable("e1", 1, Millis(5_000)));
    assert!(!picker.reachability().is_unreachable("e1", 1, Millis(5_001)));
    assert!(picker.pick_probe("desk", "route", |_| true, Millis(5_001)).is_none());
    let report = picker.reachability().record_failure("e1", 1, Millis(5_001));
    assert!(report.is_some(), "it reports what it finds out again");
}

/// Guards against effects of the setting while it is off.
#[test]
fn nothing_is_avoided_reported_or_probed_when_it_is_off() {
    let mut picker = Picker::new(1);
    desk(4).iter().for_each(|endpoint| picker.observe(endpoint));
    picker.reachability().replace_set(&set(&["e1"]), Millis(0));
    assert!(!picker.reachability().is_unreachable("e1", 1, Millis(0)));
    assert!(picker.pick_probe("desk", "route", |_| true, Millis(2_000)).is_none());
    assert!(picker.reachability().record_failure("e1", 1, Millis(0)).is_none());
}

/// Creates a picker with the endpoints of the desk, in a process that shares reachability.
fn picker(endpoints: usize, seed: u64) -> Picker {
    let policy = Policy { shared_reachability: true, ..Policy::default() };
    let mut picker = Picker::new(seed).with_policy(policy);
    desk(endpoints).iter().for_each(|endpoint| picker.observe(endpoint));
    picker
}

fn member(number: usize) -> LocalReachability {
    let mut member = LocalReachability::new(number as u64);
    member.set_enabled(true);
    member
}

fn set(ids: &[&str]) -> UnreachableSet {
    let endpoints = ids.iter().map(|id| ((*id).to_owned(), 1)).collect();
    UnreachableSet { endpoints, probe_ms: 1_000 }
}
