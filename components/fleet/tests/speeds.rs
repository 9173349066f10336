//! Tests of the planner on engines of several speeds: which samples the fast ones get, how speeds are
//! estimated, and what the next leader knows of them.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::ApplyOutcome;
use chicoryford_fleet::Command;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Stamped;
use chicoryford_fleet::State;
use chicoryford_fleet::Step;
use chicoryford_fleet::plan::Assignment;
use chicoryford_fleet::plan::Planner;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::run::RunStatus;
use chicoryford_fleet::speeds::SpeedChange;
use chicoryford_fleet::speeds::SpeedChanges;
use chicoryford_fleet::speeds::SpeedState;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::planner::NOW;
use support::planner::assign;
use support::planner::engine;
use support::planner::planner;
use support::planner::report;
use support::planner::step;
use support::steps_config;

/// Milliseconds between events of the fast engines and of the others.
const FAST_MS: f64 = 26.0;
const OTHER_MS: f64 = 57.0;
/// The trainers' due time, less a second for scoring, listing and reading.
const WHOLE_WITHIN_MS: u64 = 6_500;
/// Milliseconds between two rounds of the planner that no event started.
const ROUND_MS: u64 = 50;

fn policy(engine_speeds: bool) -> Policy {
    Policy { engine_speeds, ..Policy::default() }
}

fn with_speeds(engines: &[Endpoint]) -> Planner {
    planner(engines, &[]).with_policy(policy(true))
}

/// Returns the id of the engine with this number.
fn name(number: usize) -> String {
    format!("e{number:04}")
}

fn engines(count: usize) -> Vec<Endpoint> {
    (0..count).map(|number| engine(&name(number), 6, 1)).collect()
}

/// A run and the events that it has generated and reported.
struct ActiveRun {
    run: Assignment,
    events: f64,
    reported: usize,
    starts: Millis,
    reports_at: Millis,
}

/// A planner with engines that generate events, and steps with samples of known lengths.
struct Simulation {
    planner: Planner,
    runs: Vec<ActiveRun>,
    paces: BTreeMap<String, f64>,
    lengths: BTreeMap<String, Vec<usize>>,
    /// When the last sample of each step was whole, in milliseconds after its submission.
    whole: BTreeMap<String, u64>,
    opened: BTreeMap<String, Millis>,
    now: Millis,
    moves: usize,
}

impl Simulation {
    fn new(engine_speeds: bool, paces: &[f64]) -> Self {
        let engines = engines(paces.len());
        let ids = engines.iter().map(|engine| engine.announcement.id.clone());
        Self {
            planner: planner(&engines, &[]).with_policy(policy(engine_speeds)),
            runs: Vec::new(),
            paces: ids.zip(paces.iter().copied()).collect(),
            lengths: BTreeMap::new(),
            whole: BTreeMap::new(),
            opened: BTreeMap::new(),
            now: NOW,
            moves: 0,
        }
    }

    fn open(&mut self, step: Arc<Step>, lengths: Vec<usize>) {
        self.lengths.insert(step.id.clone(), lengths);
        self.opened.insert(step.id.clone(), self.now);
        self.planner.open_step(step, self.now, Millis::default(), |_| false);
    }

    /// Advances the time by 10 ms: runs generate events, hosts report them every 250 ms and at the
    /// end, and the planner has its rounds.
    fn tick(&mut self) {
        self.now = self.now + 10;
        let mut is_done = false;
        for mut one in std::mem::take(&mut self.runs) {
            let pace = self.paces.get(&one.run.endpoint).copied().unwrap_or(f64::INFINITY);
            one.events += if self.now > one.starts { 10.0 / pace } else { 0.0 };
            let length = self.lengths[&one.run.step.id][one.run.index as usize];
            let events = (one.events as usize).min(length);
            if events == length || self.now >= one.reports_at {
                let status = if events == length { RunStatus::Scoring } else { RunStatus::Running };
                let output = vec!["x"; events - one.reported];
                let (gap_ms, from) = (pace as u32, one.reported as u32);
                let gap_ms = if from > 0 && !output.is_empty() { gap_ms } else { 0 };
                let sent = RunReport { gap_ms, from, ..report(&one.run, status, &output) };
                self.planner.record_report("a", &sent, self.now);
                (one.reported, one.reports_at) = (events, self.now + 250);
            }
            if events < length {
                self.runs.push(one);
            } else {
                is_done = true;
                let (step, index) = (one.run.step.id.clone(), one.run.index);
                self.planner.settle(&step, index).expect("it has no result yet");
                let after = self.now.since(self.opened[&step]);
                self.whole.entry(step).and_modify(|last| *last = after).or_insert(after);
            }
        }
        if is_done || self.now.0.is_multiple_of(ROUND_MS) {
            self.round();
        }
    }

    /// Has a round of the planner, as the leader has it.
    fn round(&mut self) {
        for (step, index) in self.planner.slow_runs(self.now) {
            self.end(&step, index);
        }
        self.start();
        for one in self.planner.reserve_faster_engines(&steps_config(), self.now) {
            self.end(&one.step, one.index);
            self.moves += 1;
        }
        self.start();
    }

    fn end(&mut self, step: &str, index: u32) {
        self.planner.record_run_end(step, index, RunEnd::Taken, self.now);
        self.runs.retain(|one| one.run.step.id != step || one.run.index != index);
    }

    fn start(&mut self) {
        for run in assign(&mut self.planner, self.now) {
            let (events, starts) = (run.output.events.len(), self.now + 50);
            let reports_at = self.now + 250;
            self.runs.push(ActiveRun {
                run,
                events: events as f64,
                reported: events,
                starts,
                reports_at,
            });
        }
    }

    fn run_until(&mut self, until: Millis) {
        while self.now < until {
            self.tick();
        }
    }

    /// Opens `steps` steps of each of four trainers, every four seconds within 300 ms of each other.
    fn run_trainers(&mut self, seed: u64, steps: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let normal = |rng: &mut SmallRng| (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        for (number, trainer) in (0..steps).flat_map(|number| (0..4).map(move |t| (number, t))) {
            self.run_until(NOW + 4_000 * number + 100 * trainer);
            let mean = [8.0, 13.0, 17.0, 22.0][trainer as usize];
            let lengths = (0..100).map(|_| {
                let factor = if rng.random_bool(0.08) { 5.0 } else { 1.0 };
                let length = mean * factor * (0.4 * normal(&mut rng)).exp();
                (length as usize).clamp(1, 160)
            });
            let lengths: Vec<usize> = lengths.collect();
            let mut hint = |length: &usize| *length as f64 * 20.0 * (0.5 * normal(&mut rng)).exp();
            let hints: Vec<u64> = lengths.iter().map(|length| hint(length) as u64).collect();
            self.open(step(&format!("t{trainer}n{number}"), &hints), lengths);
        }
        self.run_until(self.now + 14_000);
    }

    /// Returns the steps whose last sample was whole too late, and when.
    fn late(&self) -> BTreeMap<&str, u64> {
        assert_eq!(self.whole.len(), self.opened.len(), "all steps are whole");
        let late = self.whole.iter().filter(|(_, ms)| **ms > WHOLE_WITHIN_MS);
        late.map(|(step, ms)| (step.as_str(), *ms)).collect()
    }
}

/// 11 of 44 engines are fast.
fn two_speeds() -> Vec<f64> {
    (0..44).map(|number| if number % 4 == 0 { FAST_MS } else { OTHER_MS }).collect()
}

/// Guards against late steps because the longest samples run on slow engines while short ones occupy
/// the fast ones.
#[test]
fn four_trainers_within_300_ms_are_in_time_on_engines_of_two_speeds() {
    for seed in 1..=4 {
        let mut with = Simulation::new(true, &two_speeds());
        with.run_trainers(seed, 8);
        eprintln!("{seed}: {} moves, {:?}", with.moves, with.whole.values().max());
        assert_eq!(with.late(), BTreeMap::new(), "seed {seed}, {} moves", with.moves);
        let mut without = Simulation::new(false, &two_speeds());
        without.run_trainers(seed, 8);
        eprintln!("{seed}: {:?}", without.late().len());
        assert!(!without.late().is_empty(), "seed {seed}: the load does not show the failure");
    }
}
