//! One run: engines, entries, callers and trainers, in steps of virtual time.

use chicoryford_types::Class;
use chicoryford_types::DataCentre;
use chicoryford_types::Endpoint;
use chicoryford_types::EndpointInfo;
use chicoryford_types::Known;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::RequestId;
use chicoryford_types::Roles;
use chicoryford_types::Standing;
use chicoryford_types::Version;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::arm::Arm;
use crate::arm::Fault;
use crate::engine;
use crate::engine::Engine;
use crate::entry::Entry;
use crate::entry::World;
use crate::request;
use crate::request::Request;
use crate::tally::Tally;
use crate::trainer;
use crate::trainer::Trainer;

/// The sizes of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Engines.
    pub engines: usize,
    /// Entries.
    pub entries: usize,
    /// Trainers.
    pub trainers: usize,
    /// Milliseconds of virtual time.
    pub ms: u64,
    /// The load offered, as a share of what the engines can do.
    pub load: f64,
    /// The seed.
    pub seed: u64,
}

/// Milliseconds of one step of virtual time.
const STEP_MS: u64 = 10;
/// Milliseconds at the start that are not counted.
const WARM_MS: u64 = 30_000;
/// The shares of the offered load.
const SHARES: [(Class, f64); 3] =
    [(Class::Batch, 0.45), (Class::Normal, 0.35), (Class::Urgent, 0.2)];
/// Milliseconds until a failing or returning engine is announced as such.
const NOTICE_MS: u64 = 1_000;
/// Milliseconds for which an engine is down or frozen.
const OUT_MS: u64 = 8_000;
/// Milliseconds that a swap of weights takes an engine out.
const SWAP_MS: u64 = 400;

struct Run {
    arm: Arm,
    fault: Fault,
    plan: Plan,
    rng: SmallRng,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    trainers: Vec<Trainer>,
    models: Vec<Model>,
    names: Vec<String>,
    due: [f64; 3],
    swaps: Vec<(u64, usize, usize)>,
    healthy: Vec<bool>,
    victim: usize,
    tally: Tally,
}

/// Runs one arm under one fault.
pub fn run(plan: Plan, arm: Arm, fault: Fault) -> Tally {
    let mut run = Run::new(plan, arm, fault);
    run.announce(0);
    let mut now = 0;
    while now < plan.ms {
        now += STEP_MS;
        run.step(now);
    }
    run.end()
}

impl Run {
    fn new(plan: Plan, arm: Arm, fault: Fault) -> Self {
        let names: Vec<String> = (0..=plan.trainers).map(|n| format!("model-{n}")).collect();
        let models: Vec<Model> = names.iter().map(|name| Model::from(name.as_str())).collect();
        let batch = plan.load * capacity(plan) * SHARES[0].1 / plan.trainers as f64;
        let step = (trainer::GROUPS * trainer::SAMPLES) as f64 * cost(trainer::MEAN, true);
        let train_ms = (step / batch) as u64;
        Self {
            arm,
            fault,
            plan,
            rng: SmallRng::seed_from_u64(plan.seed),
            engines: (0..plan.engines).map(|n| Engine::new(models.len(), n as u64 * 23)).collect(),
            entries: (0..plan.entries)
                .map(|n| Entry::new(n, arm, &models, plan.seed + n as u64))
                .collect(),
            trainers: (0..plan.trainers).map(|n| Trainer::new(n, train_ms)).collect(),
            models,
            names,
            due: [0.0; 3],
            swaps: Vec::new(),
            healthy: vec![true; plan.engines],
            victim: 0,
            tally: Tally::default(),
        }
    }

    fn step(&mut self, now: u64) {
        if now == WARM_MS {
            self.tally = Tally::default();
            for trainer in &mut self.trainers {
                trainer.idle = 0;
                trainer.lag = (0, 0);
                trainer.lag_most = 0;
            }
        }
        self.inject(now);
        self.swap(now);
        self.report(now);
        self.train(now);
        self.call(now);
        self.work(now);
        self.serve(now);
    }

    /// Crashes or freezes one engine in twenty at a time.
    fn inject(&mut self, now: u64) {
        let out = matches!(self.fault, Fault::Crash | Fault::Freeze);
        if out && now.is_multiple_of(OUT_MS + 2 * NOTICE_MS) {
            self.victim = self.rng.random_range(0..self.engines.len());
            if self.fault == Fault::Freeze {
                self.engines[self.victim].frozen = now + OUT_MS;
            } else {
                let jobs = self.engines[self.victim].crash(now + OUT_MS);
                self.each(|entry, world| entry.crashed(now, &jobs, world));
            }
        }
        let since = NOTICE_MS;
        let mut changed = false;
        for (n, engine) in self.engines.iter().enumerate() {
            let until = engine.down.max(engine.frozen);
            let healthy = until <= now || until - now > OUT_MS - since;
            changed |= healthy != self.healthy[n];
            self.healthy[n] = healthy;
        }
        if changed {
            self.announce(now);
        }
    }

    /// Lets engines take new weights, a quarter of them at a time.
    fn swap(&mut self, now: u64) {
        let mut later = Vec::new();
        for (at, n, model) in std::mem::take(&mut self.swaps) {
            let engine = &mut self.engines[n];
            if at > now || engine.down > now || engine.frozen > now {
                later.push((at.max(now), n, model));
                continue;
            }
            engine.swapping = now + SWAP_MS;
            if self.fault == Fault::Swap && self.rng.random_range(0..3) == 0 {
                later.push((now + 5_000, n, model));
            } else {
                engine.versions[model] = self.trainers[model - 1].version;
            }
        }
        self.swaps = later;
    }

    fn report(&mut self, now: u64) {
        let lag = if self.fault == Fault::Lag { 3_000 } else { 200 };
        for (n, engine) in self.engines.iter_mut().enumerate() {
            engine.report(now, lag, &endpoint(n).0, &self.names);
            while engine.reports.front().is_some_and(|(at, _)| *at <= now) {
                let Some((_, report)) = engine.reports.pop_front() else { break };
                for entry in &mut self.entries {
                    entry.router.observe_report(Millis(now), &report);
                }
            }
        }
    }

    fn train(&mut self, now: u64) {
        let longest = self.arm.longest;
        let mut samples = Vec::new();
        for trainer in &mut self.trainers {
            if trainer.publish(now) {
                let spread = (SWAP_MS * 4) / self.plan.engines as u64;
                for n in 0..self.plan.engines {
                    self.swaps.push((now + n as u64 * spread, n, trainer.number + 1));
                }
                samples.extend(trainer.expel(now, &mut self.rng));
            }
            trainer.tick(now, STEP_MS);
            samples.extend(trainer.open(now, &mut self.rng, longest));
        }
        self.send(now, samples);
    }

    fn call(&mut self, now: u64) {
        let mut requests = Vec::new();
        for (class, share) in &SHARES[1..] {
            let (mean, deadline) = match class {
                Class::Urgent => (60.0, 8_000),
                _ => (150.0, 20_000),
            };
            let rate = self.plan.load * capacity(self.plan) * share / cost(mean, false);
            let due = &mut self.due[*class as usize];
            *due += rate * STEP_MS as f64 * 2.0 * self.rng.random::<f64>();
            while *due >= 1.0 {
                *due -= 1.0;
                let class = *class;
                requests.push(Request {
                    id: RequestId(self.rng.random(), self.rng.random()),
                    class,
                    model: 0,
                    tokens: request::tokens(&mut self.rng, mean, 0.5, mean * 4.0),
                    expected: mean as u32,
                    prompt: 500,
                    prefix: request::prefix(&mut self.rng) << 8,
                    deadline: now + deadline,
                    patience: deadline,
                    sample: None,
                    produced: None,
                    attempts: 0,
                });
                self.tally.of(class).asked += 1;
            }
        }
        self.send(now, requests);
    }

    fn send(&mut self, now: u64, requests: Vec<Request>) {
        let floors = self.floors();
        for request in requests {
            let n = self.rng.random_range(0..self.entries.len());
            let floor = floors[request.model];
            self.one(n, |entry, world| entry.submit(now, request, floor, world));
        }
    }

    fn work(&mut self, now: u64) {
        for n in 0..self.engines.len() {
            let jobs = self.engines[n].tick(now, STEP_MS as f32);
            for job in jobs {
                self.tally.tokens += f64::from(job.tokens);
                self.one(job.entry, |entry, world| entry.finished(now, &job, world));
            }
        }
    }

    fn serve(&mut self, now: u64) {
        let floors = self.floors();
        self.each(|entry, world| entry.poll(now, &floors, world));
        if now.is_multiple_of(100) {
            self.each(|entry, world| entry.watch(now, &floors, world));
        }
    }

    /// The oldest version that may still produce a sample in bound by the time it is delivered.
    fn floors(&self) -> Vec<Version> {
        let mut floors = vec![Version(0)];
        let slack = trainer::BOUND - 1;
        floors.extend(self.trainers.iter().map(|t| Version(t.version.0.saturating_sub(slack))));
        floors
    }

    fn one(&mut self, n: usize, act: impl FnOnce(&mut Entry, &mut World<'_>)) {
        let missing: Vec<Vec<u32>> = self.trainers.iter().map(|t| t.missing.clone()).collect();
        let mut done = Vec::new();
        let mut world = World {
            engines: &mut self.engines,
            tally: &mut self.tally,
            done: &mut done,
            missing: &missing,
            silent: if self.fault == Fault::Silent { 50 } else { 0 },
        };
        act(&mut self.entries[n], &mut world);
        for (sample, version, tokens) in done {
            let trainer = &mut self.trainers[sample.trainer];
            let fresh = trainer.version.0 <= version.0 + trainer::BOUND;
            if sample.step == trainer.step && fresh && trainer.missing[sample.group] > 0 {
                trainer.take(sample.group, version);
            } else {
                self.tally.wasted += f64::from(tokens);
            }
        }
    }

    fn each(&mut self, mut act: impl FnMut(&mut Entry, &mut World<'_>)) {
        for n in 0..self.entries.len() {
            self.one(n, &mut act);
        }
    }

    fn announce(&mut self, now: u64) {
        let mut members = Members::default();
        for n in 0..self.engines.len() {
            let versions = self.engines[n].versions.iter();
            let member = Member {
                node: Node(format!("agent-{n:03}")),
                data_centre: DataCentre(format!("dc-{}", n % 3)),
                roles: Roles { agent: true, ..Roles::default() },
                endpoint: Some(EndpointInfo {
                    name: endpoint(n),
                    models: self.models.iter().cloned().zip(versions.copied()).collect(),
                    slots: engine::SLOTS,
                    healthy: self.healthy[n],
                    ..EndpointInfo::default()
                }),
                ..Member::default()
            };
            let known = Known { member, standing: Standing::Alive };
            members.known.insert(known.member.node.clone(), known);
        }
        for n in 0..self.plan.entries {
            let node = Node(format!("entry-{n}"));
            let roles = Roles { entry: true, ..Roles::default() };
            let member = Member { node: node.clone(), roles, ..Member::default() };
            members.known.insert(node, Known { member, standing: Standing::Alive });
        }
        for entry in &mut self.entries {
            entry.router.observe_members(Millis(now), &members);
        }
    }

    fn end(mut self) -> Tally {
        let time = (self.plan.ms - WARM_MS) as f64 * self.trainers.len() as f64;
        let idle: u64 = self.trainers.iter().map(|t| t.idle).sum();
        let lag: u64 = self.trainers.iter().map(|t| t.lag.0).sum();
        let count: u64 = self.trainers.iter().map(|t| t.lag.1).sum();
        self.tally.idle = idle as f64 / time;
        self.tally.lag = lag as f64 / count.max(1) as f64;
        self.tally.lag_most = self.trainers.iter().map(|t| t.lag_most).max().unwrap_or(0);
        self.tally.steps = count / (trainer::GROUPS * trainer::SAMPLES) as u64;
        for entry in &self.entries {
            self.tally.broken += entry.router.counts().broken + entry.admission.counts().broken;
        }
        self.tally
    }
}

fn endpoint(n: usize) -> Endpoint {
    Endpoint(format!("endpoint-{n:03}"))
}

/// Milliseconds of a slot at a full engine that `tokens` cost, prefill included.
fn cost(tokens: f32, shared: bool) -> f64 {
    // Most of a group's samples, and some callers, find their prefix cached.
    let prefill = if shared { 0.15 } else { 0.6 } * 500.0 * engine::PREFILL_MS;
    f64::from((tokens * engine::TOKEN_MS + prefill) * (1.0 + engine::SLOWDOWN))
}

/// Slots that all engines have together: milliseconds of slots in a millisecond.
fn capacity(plan: Plan) -> f64 {
    plan.engines as f64 * f64::from(engine::SLOTS)
}
