//! Random histories of engines that crash and restart, beside trainers that publish versions: no
//! model stays without an engine while there are engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Registry;
use chicoryford_fleet::endpoint::Settings;
use chicoryford_fleet::order_lease::OrderLease;
use chicoryford_fleet::plan::EngineState;
use chicoryford_fleet::plan::Planner;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::swap::ModelDemand;
use chicoryford_fleet::swap::select_loads;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::quickcheck;

/// Interval of the checks for due loads.
const TICK_MS: u64 = 50;
/// Interval of an engine's announcements.
const ANNOUNCE_MS: u64 = 1_200;
/// How long an engine is away after a crash.
const RESTART_MS: u64 = 400;
/// How long a load takes, and an order to an engine that is not there.
const LOAD_MS: u64 = 900;
const VAIN_ORDER_MS: u64 = 60;
/// Time within which a step must run on some engine: a sample that is at no engine for five seconds
/// is lost to its trainer.
const SERVED_WITHIN_MS: u64 = 5_000;
const CALM_MS: u64 = 20_000;
const MODELS: [&str; 3] = ["one", "two", "three"];

/// When engines crash, and which: a number of the address for each.
#[derive(Clone, Debug)]
struct History {
    engines: usize,
    models: usize,
    publish_ms: u64,
    crashes: Vec<(u64, usize)>,
    /// The addresses at which no engine restarts after its crash.
    lost: Vec<usize>,
    /// Whether an engine restarts under its previous id.
    keeps_id: bool,
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let engines = 1 + usize::arbitrary(g) % 12;
        let models = 1 + usize::arbitrary(g) % MODELS.len();
        let bursts = 1 + u64::arbitrary(g) % 4;
        let mut crashes = Vec::new();
        for burst in 0..bursts {
            for round in 0..u64::arbitrary(g) % 12 {
                let at = 1_000 + burst * 6_000 + round * RESTART_MS;
                let hit = 1 + usize::arbitrary(g) % engines;
                crashes.extend((0..hit).map(|_| (at, usize::arbitrary(g) % engines)));
            }
        }
        let publish_ms = 3_000 + u64::arbitrary(g) % 3_000;
        let lost = (0..usize::arbitrary(g) % engines).map(|_| usize::arbitrary(g) % engines);
        // One engine remains.
        let lost = lost.filter(|number| *number > 0).collect();
        Self { engines, models, publish_ms, crashes, lost, keeps_id: bool::arbitrary(g) }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let history = self.clone();
        let shrunk = self.crashes.shrink();
        Box::new(shrunk.map(move |crashes| Self { crashes, ..history.clone() }))
    }
}

/// An engine at an address.
struct Engine {
    id: String,
    starts: u64,
    up_at: u64,
    announced_at: Option<u64>,
    sequence: u64,
    versions: BTreeMap<String, u64>,
}

/// A load that was ordered.
struct Load {
    endpoint: String,
    model: String,
    version: u64,
    ends_at: u64,
    in_vain: bool,
}

struct World {
    engines: Vec<Engine>,
    registry: Registry,
    planner: Planner,
    loads: Vec<Load>,
    published: Vec<u64>,
    published_at: u64,
    keeps_id: bool,
    lost: Vec<usize>,
}

impl World {
    fn new(history: &History) -> Self {
        let engine = |number: usize| Engine {
            id: format!("e{number:02}-0"),
            starts: 1,
            up_at: 0,
            announced_at: None,
            sequence: 0,
            versions: MODELS.iter().map(|model| ((*model).to_owned(), 1)).collect(),
        };
        let known = std::iter::empty();
        Self {
            engines: (0..history.engines).map(engine).collect(),
            registry: Registry::from_known(Settings::default(), known, Millis(0)),
            planner: Planner::new(Epoch(1)),
            loads: Vec::new(),
            published: vec![1; history.models],
            published_at: 0,
            keeps_id: history.keeps_id,
            lost: history.lost.clone(),
        }
    }

    fn crash(&mut self, number: usize, now: u64) {
        let engine = &mut self.engines[number];
        engine.starts += 1;
        if !self.keeps_id {
            // Ids are random, so a new one is as often before the others as behind them.
            engine.id = format!("{:02}-{number:02}-{}", engine.starts * 37 % 100, engine.starts);
        }
        let up_at = if self.lost.contains(&number) { u64::MAX } else { now + RESTART_MS };
        (engine.up_at, engine.announced_at, engine.sequence) = (up_at, None, 0);
    }

    fn announce(&mut self, now: u64) {
        for (number, engine) in self.engines.iter_mut().enumerate() {
            let is_due = engine.announced_at.is_none_or(|at| now - at >= ANNOUNCE_MS);
            if engine.up_at > now || !is_due {
                continue;
            }
            engine.announced_at = Some(now);
            engine.sequence += 1;
            let announcement = Announcement {
                id: engine.id.clone(),
                started_ms: engine.starts,
                service: "engines".to_owned(),
                address: SocketAddr::from(([10, 0, 0, number as u8], 80)),
                data_centre: "z".to_owned(),
                slots: 8,
                draining: false,
                models: engine.versions.clone(),
                sequence: engine.sequence,
            };
            self.registry.announce(announcement, Millis(now));
            self.planner.update_engine(self.registry.get(&engine.id).unwrap());
        }
        let (changed, removed) = self.registry.tick(Millis(now));
        changed.iter().for_each(|endpoint| self.planner.update_engine(endpoint));
        removed.iter().for_each(|id| self.planner.remove_engine(id));
    }

    /// Ends loads whose time has come.
    fn end_loads(&mut self, now: u64) {
        let (done, loads) =
            std::mem::take(&mut self.loads).into_iter().partition(|load| load.ends_at <= now);
        self.loads = loads;
        let done: Vec<Load> = done;
        for Load { endpoint, model, version, in_vain, .. } in done {
            let is_there = |engine: &&mut Engine| engine.id == endpoint && engine.up_at <= now;
            match self.engines.iter_mut().find(is_there).filter(|_| !in_vain) {
                Some(engine) => {
                    engine.versions.insert(model.clone(), version);
                    engine.announced_at = None;
                }
                None => self.planner.penalize(Some(&endpoint), RunEnd::Moved, Millis(now)),
            }
            if let Some(engine) = self.planner.engine_mut(&endpoint) {
                engine.end_load(Millis(now));
            }
        }
    }

    fn start_loads(&mut self, now: u64) {
        let demand = |(index, version): (usize, &u64)| {
            let starved = usize::from(!self.is_served(MODELS[index], oldest_usable(*version), now));
            let tokens = 100 * (1 + index as u64);
            let model = MODELS[index].to_owned();
            ModelDemand { model, version: *version, tokens, peak_samples: 56, starved }
        };
        let demands: Vec<ModelDemand> = self.published.iter().enumerate().map(demand).collect();
        let engines: Vec<&EngineState> = self.planner.engines().collect();
        let lease = OrderLease::default();
        let loads =
            select_loads(&engines, &demands, &lease, Policy::default(), |_| false, Millis(now));
        for load in loads {
            let is_there = |engine: &Engine| engine.id == load.endpoint && engine.up_at <= now;
            let in_vain = !self.engines.iter().any(is_there);
            let ends_at = now + if in_vain { VAIN_ORDER_MS } else { LOAD_MS };
            if let Some(engine) = self.planner.engine_mut(&load.endpoint) {
                engine.loading = Some(load.model.clone());
            }
            let (endpoint, model, version) = (load.endpoint, load.model, load.version);
            self.loads.push(Load { endpoint, model, version, ends_at, in_vain });
        }
    }

    /// Returns whether an engine can run steps that need this version of a model.
    fn is_served(&self, model: &str, version: u64, now: u64) -> bool {
        let serves = |engine: &Engine| engine.up_at <= now && engine.versions[model] >= version;
        self.engines.iter().any(serves)
    }
}

/// Returns the oldest version that a step may use which was opened for this one.
fn oldest_usable(version: u64) -> u64 {
    version.saturating_sub(1).max(1)
}

/// Returns when and which model is without an engine for too long in the calm after the crashes.
fn first_unserved(history: &History) -> Option<(u64, &'static str)> {
    let mut world = World::new(history);
    let calm_from = history.crashes.iter().map(|(at, _)| *at).max().unwrap_or_default();
    let mut served_at = vec![0; history.models];
    let mut now = 0;
    while now < calm_from + CALM_MS {
        for (at, number) in &history.crashes {
            if (now..now + TICK_MS).contains(at) {
                world.crash(*number, now);
            }
        }
        if now - world.published_at >= history.publish_ms {
            // The trainers publish one after the other, each the next version.
            world.published_at = now;
            world.published.iter_mut().for_each(|version| *version += 1);
        }
        world.announce(now);
        world.end_loads(now);
        world.start_loads(now);
        for (index, model) in MODELS.iter().enumerate().take(history.models) {
            if world.is_served(model, oldest_usable(world.published[index]), now) {
                served_at[index] = now;
            }
            let since = calm_from.max(served_at[index]);
            if now.saturating_sub(since) >= SERVED_WITHIN_MS {
                return Some((now, model));
            }
        }
        now += TICK_MS;
    }
    None
}

/// Fifteen bursts in which a third of nine engines crash, as three trainers go on. Guards against a
/// model that gets no version any more because engines that no longer exist fill its share.
#[test]
fn each_model_is_served_after_bursts_of_crashes() {
    let times =
        (0..3).flat_map(|burst| (0..5).map(move |round| 5_000 + 6_000 * burst + 400 * round));
    let crashes = times.enumerate().flat_map(|(n, at)| (0..3).map(move |k| (at, (3 * n + k) % 9)));
    let crashes: Vec<(u64, usize)> = crashes.collect();
    for (models, keeps_id) in [(1, false), (2, false), (3, false), (2, true)] {
        let crashes = crashes.clone();
        let lost = vec![0, 4, 7];
        let history = History { engines: 9, models, publish_ms: 4_000, crashes, lost, keeps_id };
        assert_eq!(first_unserved(&history), None, "{models} models, same ids: {keeps_id}");
    }
}

quickcheck! {
    /// Whatever crashes and restarts, each model has an engine five seconds after the last crash.
    fn each_model_is_served_in_calm(history: History) -> bool {
        first_unserved(&history).is_none()
    }
}
