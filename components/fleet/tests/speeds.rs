//! Tests of the planner on engines of several speeds: which samples the fast ones get, how speeds
//! are estimated, and what the next leader knows of them.

mod support;

use std::collections::BTreeMap;
use std::ops::Range;
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
use chicoryford_fleet::observed_loads::ObservedLoads;
use chicoryford_fleet::plan::Assignment;
use chicoryford_fleet::plan::Planner;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::plan::RunMove;
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

fn with_status(number: usize, status: EndpointStatus) -> Endpoint {
    Endpoint { status, ..engine(&name(number), 6, 1) }
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
    moves: Vec<RunMove>,
    /// The time, engine, step and sample of each run.
    started: Vec<(Millis, String, String, u32)>,
    /// Engines that are lost at some time.
    lost: Option<(Millis, Vec<String>)>,
    /// An engine that is slower by a factor for some time.
    slowed: Option<(String, Range<Millis>, f64)>,
    /// The share by which each reported pace is off, at most, in either direction.
    reading_error: f64,
    readings: SmallRng,
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
            moves: Vec::new(),
            started: Vec::new(),
            lost: None,
            slowed: None,
            reading_error: 0.0,
            readings: SmallRng::seed_from_u64(7),
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
        if let Some((_, lost)) = self.lost.take_if(|(at, _)| *at <= self.now) {
            self.lose(&lost);
        }
        for mut one in std::mem::take(&mut self.runs) {
            let pace = self.pace(&one.run.endpoint);
            one.events += if self.now > one.starts { 10.0 / pace } else { 0.0 };
            let length = self.lengths[&one.run.step.id][one.run.index as usize];
            let events = (one.events as usize).min(length);
            if events == length || self.now >= one.reports_at {
                let status = if events == length { RunStatus::Scoring } else { RunStatus::Running };
                let output = vec!["x"; events - one.reported];
                let error = self.reading_error * (2.0 * self.readings.random::<f64>() - 1.0);
                let (gap_ms, from) = ((pace * (1.0 + error)) as u32, one.reported as u32);
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

    fn pace(&self, engine: &str) -> f64 {
        let slowed = self.slowed.as_ref();
        let slowed = slowed.filter(|(id, when, _)| id == engine && when.contains(&self.now));
        self.paces[engine] * slowed.map_or(1.0, |(_, _, factor)| *factor)
    }

    /// Loses engines with their runs.
    fn lose(&mut self, engines: &[String]) {
        for id in engines {
            let mut silent = engine(id, 6, 1);
            silent.status = EndpointStatus::Silent;
            self.planner.update_engine(&silent);
        }
        for one in self.runs.extract_if(.., |one| engines.contains(&one.run.endpoint)) {
            let (step, index) = (&one.run.step.id, one.run.index);
            self.planner.record_run_end(step, index, RunEnd::Broken, self.now);
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
            self.moves.push(one);
        }
        self.start();
    }

    fn end(&mut self, step: &str, index: u32) {
        self.planner.record_run_end(step, index, RunEnd::Taken, self.now);
        self.runs.retain(|one| one.run.step.id != step || one.run.index != index);
    }

    fn start(&mut self) {
        for run in assign(&mut self.planner, self.now) {
            self.started.push((self.now, run.endpoint.clone(), run.step.id.clone(), run.index));
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

    /// Opens `steps` steps of each of four trainers, every four seconds within 300 ms of each
    /// other.
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

/// Guards against late steps because the longest samples run on slow engines while short ones
/// occupy the fast ones.
#[test]
fn four_trainers_within_300_ms_are_in_time_on_engines_of_two_speeds() {
    for seed in 1..=2 {
        let mut with = Simulation::new(true, &two_speeds());
        with.run_trainers(seed, 6);
        assert_eq!(with.late(), BTreeMap::new(), "seed {seed}");
        assert!(with.moves.len() < 15 * with.opened.len(), "{} moves", with.moves.len());
        let mut without = Simulation::new(false, &two_speeds());
        without.run_trainers(seed, 6);
        assert!(without.late().len() >= 4, "seed {seed}: the load does not show the failure");
        assert_eq!(without.moves, [], "seed {seed}");
    }
}

/// Guards against a fleet that waits for fast engines which no longer exist.
#[test]
fn long_samples_use_the_other_engines_when_most_fast_engines_are_lost() {
    let run = |engine_speeds: bool| {
        let mut simulation = Simulation::new(engine_speeds, &two_speeds());
        simulation.lost = Some((NOW + 9_000, (4..44).step_by(4).map(name).collect()));
        simulation.run_trainers(3, 5);
        simulation
    };
    let (with, without) = (run(true), run(false));
    let worst = |simulation: &Simulation| *simulation.whole.values().max().unwrap();
    assert!(worst(&with) <= worst(&without), "{} and {}", worst(&with), worst(&without));
    assert!(with.late().len() < without.late().len(), "{:?}", with.late());
    let early = |step: &str| ["n0", "n1"].iter().any(|number| step.ends_with(number));
    assert!(!with.late().keys().any(|step| early(step)), "{:?}", with.late());
}

/// Guards against different decisions, and with them other risks, in fleets whose engines have the
/// same speed, also if their readings vary by 15% and one of them is slow for a while.
#[test]
fn engines_alike_get_the_same_assignments_as_without_speeds() {
    let paces: Vec<f64> = (0..44).map(|number| 40.0 + f64::from(number * 7 % 11) * 0.4).collect();
    let varied: Vec<f64> = (0..44).map(|number| 37.0 + f64::from(number * 7 % 11) * 0.6).collect();
    let run = |engine_speeds: bool, paces: &[f64], is_noisy: bool| {
        let mut simulation = Simulation::new(engine_speeds, paces);
        if is_noisy {
            simulation.reading_error = 0.15;
            simulation.slowed = Some((name(3), NOW + 2_000..NOW + 8_000, 2.5));
        }
        simulation.run_trainers(5, 3);
        assert_eq!(simulation.planner.fast_engine_count(), 0);
        let state = State::default();
        let changes = simulation.planner.speed_changes(&state.speeds, &known(&engines(44)));
        assert_eq!(changes, None, "nothing is written");
        (simulation.moves.len(), simulation.started)
    };
    for (paces, is_noisy) in [(&paces, false), (&varied, true)] {
        assert_eq!(run(true, paces, is_noisy), run(false, paces, is_noisy));
    }
}

/// Guards against a fast engine that is avoided, or no longer counts as fast, after it was slow for
/// a while; and against runs that stay on it meanwhile.
#[test]
fn an_engine_that_was_slow_for_six_seconds_is_used_again() {
    let mut simulation = Simulation::new(true, &two_speeds());
    let (slow, from, until) = (name(0), NOW + 8_000, NOW + 14_000);
    simulation.slowed = Some((slow.clone(), from..until, 4.0));
    simulation.run_trainers(6, 5);
    let started = |from: Millis, until: Millis| {
        let on_it = simulation.started.iter().filter(|(_, engine, _, _)| *engine == slow);
        on_it.filter(|(at, ..)| (from..until).contains(at)).count()
    };
    let before = started(NOW + 4_000, from);
    let after = started(until + 2_000, until + 6_000);
    assert!(before >= 6 && after >= 6, "{before} runs before, {after} after");
    let left = simulation.moves.iter().filter(|one| one.from == slow && one.is_slowed).count();
    assert!(left >= 3, "{left} runs left it");
    assert_eq!(simulation.planner.fast_engine_count(), 11);
    assert_eq!(simulation.late(), BTreeMap::new());
}

/// A planner with a run on each engine, whose pace is reported four times a second.
struct Measured {
    planner: Planner,
    runs: Vec<Assignment>,
    events: Vec<usize>,
    now: Millis,
}

impl Measured {
    /// Starts a sample on each engine.
    fn new(count: usize) -> Self {
        let mut planner = with_speeds(&engines(count));
        planner.open_step(step("warm", &vec![400; count]), NOW, Millis::default(), |_| false);
        let mut runs = assign(&mut planner, NOW);
        runs.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        assert!(runs.iter().enumerate().all(|(number, run)| run.endpoint == name(number)));
        let mut measured = Self { planner, runs, events: vec![0; count], now: NOW };
        (0..count).for_each(|number| measured.report(number, 0, 1));
        measured
    }

    fn report(&mut self, number: usize, gap_ms: u32, events: usize) {
        let from = self.events[number] as u32;
        self.events[number] += events;
        let sent = report(&self.runs[number], RunStatus::Running, &vec!["x"; events]);
        self.planner.record_report("a", &RunReport { gap_ms, from, ..sent }, self.now);
    }

    /// Advances the time by 250 ms and reports the pace of each engine.
    fn advance(&mut self, paces: &[f64]) {
        self.now = self.now + 250;
        for (number, pace) in paces.iter().enumerate() {
            self.report(number, *pace as u32, (250.0 / pace).round() as usize);
        }
        self.planner.slow_runs(self.now);
    }

    /// Completes all samples. The planner learns that 20 tokens make an event, and that samples may
    /// be as long as 160 events, from 100 samples.
    fn complete(mut self) -> (Planner, Millis) {
        for run in &self.runs {
            let count = if run.index == 0 { 160 } else { 20 };
            let sent = report(run, RunStatus::Scoring, &vec!["x"; count]);
            self.planner.record_report("a", &sent, self.now);
            self.planner.settle("warm", run.index);
        }
        self.planner.close_step("warm", self.now);
        let mut planner = self.planner;
        // Most of the learned lengths are those of ordinary samples.
        planner.open_step(step("usual", &[400; 96]), self.now, Millis::default(), |_| false);
        for _ in 0..5 {
            for run in assign(&mut planner, self.now) {
                let sent = report(&run, RunStatus::Scoring, &["x"; 20]);
                planner.record_report("a", &sent, self.now);
                planner.settle("usual", run.index);
            }
        }
        planner.close_step("usual", self.now);
        (planner, self.now)
    }
}

/// Returns a planner that has measured engines with these paces for a second.
fn measured(paces: &[f64]) -> Measured {
    let mut measured = Measured::new(paces.len());
    (0..4).for_each(|_| measured.advance(paces));
    measured
}

const ONE_FAST: [f64; 4] = [FAST_MS, OTHER_MS, OTHER_MS, OTHER_MS];

/// Returns the number of runs on the first engine.
fn on_first(runs: &[Assignment], step: &str) -> usize {
    runs.iter().filter(|run| run.endpoint == name(0) && run.step.id == step).count()
}

/// Tokens of a sample that takes more than a quarter of the time of its step, and of one that does
/// not.
const LONG: u64 = 3_000;
const SHORT: u64 = 200;

/// Guards against short samples on the fast engines while the longest ones of the same step run on
/// the others.
#[test]
fn short_samples_leave_the_fast_engines_to_long_ones() {
    let (mut planner, now) = measured(&ONE_FAST).complete();
    let samples = [LONG, LONG, SHORT, SHORT, SHORT, SHORT, SHORT, SHORT];
    planner.open_step(step("a", &samples), now, Millis::default(), |_| false);
    let runs = assign(&mut planner, now);
    let fast: Vec<u32> =
        runs.iter().filter(|run| run.endpoint == name(0)).map(|run| run.index).collect();
    assert_eq!((runs.len(), fast), (8, vec![0, 1]));
}

/// Guards against long samples that wait or start on slow engines because the short samples of an
/// earlier step have filled all engines; and against idle fast engines while short samples wait.
#[test]
fn a_burst_of_short_samples_leaves_a_share_of_the_fast_slots_free() {
    let (mut planner, now) = measured(&ONE_FAST).complete();
    planner.open_step(step("a", &[SHORT; 40]), now, Millis::default(), |_| false);
    let runs = assign(&mut planner, now);
    assert_eq!((runs.len(), on_first(&runs, "a")), (23, 5));
    planner.open_step(step("b", &[LONG, SHORT]), now + 10, Millis::default(), |_| false);
    let visits = planner.visits();
    let runs = assign(&mut planner, now + 10);
    assert_eq!((runs.len(), on_first(&runs, "b")), (1, 1));
    assert!(planner.visits() - visits <= 8, "the step without long samples is not looked at");
}

/// Guards against long samples that are treated as short because their trainer gives no hints, and
/// because completed samples without hints distort what is expected of the others.
#[test]
fn samples_without_a_hint_count_as_long_and_do_not_distort_the_others() {
    let (mut planner, now) = measured(&ONE_FAST).complete();
    planner.open_step(step("none", &[0; 500]), now, Millis::default(), |_| false);
    let first = assign(&mut planner, now);
    assert_eq!(on_first(&first, "none"), 6, "all slots are used");
    let mut runs = first;
    while !runs.is_empty() {
        for run in &runs {
            planner.record_report("a", &report(run, RunStatus::Scoring, &["x"; 150]), now);
            planner.settle("none", run.index);
        }
        runs = assign(&mut planner, now);
    }
    planner.close_step("none", now);
    planner.open_step(step("a", &[SHORT; 8]), now, Millis::default(), |_| false);
    assert_eq!(on_first(&assign(&mut planner, now), "a"), 0, "these are still short");
}

/// Guards against long runs that stay on slow engines because the first completed samples of a
/// model, which are short, limit what is expected of them.
#[test]
fn a_few_short_samples_do_not_limit_the_expected_length() {
    for (completed, moves) in [(40, 1), (120, 0)] {
        let mut planner = measured(&ONE_FAST).planner;
        let now = NOW + 1_000;
        planner.close_step("warm", now);
        planner.open_step(step("first", &vec![400; completed]), now, Millis::default(), |_| false);
        for _ in 0..completed.div_ceil(20) {
            for run in assign(&mut planner, now) {
                planner.record_report("a", &report(&run, RunStatus::Scoring, &["x"; 20]), now);
                planner.settle("first", run.index);
            }
        }
        let mut draining = engine(&name(0), 6, 1);
        draining.status = EndpointStatus::Draining;
        planner.update_engine(&draining);
        planner.open_step(step("a", &[LONG]), now, Millis::default(), |_| false);
        assert_eq!(assign(&mut planner, now).len(), 1);
        planner.update_engine(&engine(&name(0), 6, 1));
        let found = planner.reserve_faster_engines(&steps_config(), now).len();
        assert_eq!(found, moves, "{completed} completed samples");
    }
}

/// Guards against samples that wait while the only engines with their model, all of them fast, have
/// free slots that are reserved for long samples.
#[test]
fn a_model_that_only_fast_engines_have_uses_all_of_their_slots() {
    let (mut planner, now) = measured(&ONE_FAST).complete();
    let mut only = engine(&name(0), 6, 1);
    only.announcement.models.insert("n".to_owned(), 1);
    planner.update_engine(&only);
    let of_n = |id: &str, samples: &[u64]| {
        Arc::new(Step { model: "n".to_owned(), ..(*step(id, samples)).clone() })
    };
    // The lengths of the second model are known as well.
    planner.open_step(of_n("warm", &[SHORT; 6]), now, Millis::default(), |_| false);
    for run in assign(&mut planner, now) {
        planner.record_report("a", &report(&run, RunStatus::Scoring, &["x"; 20]), now);
        planner.settle("warm", run.index);
    }
    planner.close_step("warm", now);
    planner.open_step(of_n("a", &[SHORT; 5]), now, Millis::default(), |_| false);
    assert_eq!(assign(&mut planner, now).len(), 5);
    // The remaining slot counts as reserved for the samples of the other model only.
    planner.open_step(step("b", &[SHORT; 40]), now, Millis::default(), |_| false);
    assert_eq!(on_first(&assign(&mut planner, now), "b"), 0);
    planner.open_step(of_n("c", &[SHORT; 2]), now, Millis::default(), |_| false);
    assert_eq!(assign(&mut planner, now).len(), 1);
}

/// Guards against urgent steps that end late because long samples of other steps occupy the fast
/// engines.
#[test]
fn long_samples_of_urgent_steps_get_the_fast_slots_first() {
    let (mut planner, now) = measured(&ONE_FAST).complete();
    let urgent =
        |id: &str, samples: &[u64]| Arc::new(Step { priority: 0, ..(*step(id, samples)).clone() });
    planner.open_step(step("a", &[LONG; 6]), now, Millis::default(), |_| false);
    planner.open_step(urgent("b", &[LONG; 4]), now + 10, Millis::default(), |_| false);
    let runs = assign(&mut planner, now + 10);
    assert_eq!((on_first(&runs, "a"), on_first(&runs, "b")), (2, 4));
    // The same holds for moves, though those of the other step would save more.
    for run in runs.iter().filter(|run| run.endpoint == name(0)) {
        planner.settle(&run.step.id, run.index);
    }
    planner.close_step("b", now + 20);
    let mut draining = engine(&name(0), 6, 1);
    draining.status = EndpointStatus::Draining;
    planner.update_engine(&draining);
    planner.open_step(urgent("c", &[1_200; 4]), now + 20, Millis::default(), |_| false);
    assert_eq!(assign(&mut planner, now + 20).len(), 4);
    planner.update_engine(&engine(&name(0), 6, 1));
    let moves = planner.reserve_faster_engines(&steps_config(), now + 100);
    let steps: Vec<&str> = moves.iter().map(|one| one.step.as_str()).collect();
    assert_eq!(steps, ["c", "c", "c", "c", "a", "a"]);
}

/// Returns a planner whose step "a" has a long sample on the second engine, and when it started.
fn long_run_elsewhere(change: impl Fn(&mut Step)) -> (Planner, Assignment, Millis) {
    let (mut planner, now) = measured(&ONE_FAST).complete();
    let mut draining = engine(&name(0), 6, 1);
    draining.status = EndpointStatus::Draining;
    planner.update_engine(&draining);
    let mut one = Step::clone(&step("a", &[LONG]));
    change(&mut one);
    planner.open_step(Arc::new(one), now, Millis::default(), |_| false);
    let run = assign(&mut planner, now).remove(0);
    assert_eq!(run.endpoint, name(1));
    planner.record_report("a", &report(&run, RunStatus::Running, &["x"; 4]), now + 250);
    (planner, run, now + 250)
}

/// Guards against a long run that stays on a slow engine while a fast one has free slots, and
/// against the loss of its output when it moves.
#[test]
fn a_long_run_moves_to_the_fast_engine_and_resumes_there() {
    let (mut planner, run, now) = long_run_elsewhere(|_| {});
    planner.update_engine(&engine(&name(0), 6, 1));
    let moves = planner.reserve_faster_engines(&steps_config(), now);
    assert_eq!(moves.len(), 1);
    let one = &moves[0];
    assert_eq!((one.step.as_str(), one.index, one.sample.as_str()), ("a", 0, "a0"));
    assert_eq!((&one.from, &one.to), (&run.endpoint, &name(0)));
    assert!((2_500..5_000).contains(&one.saved_ms) && !one.is_slowed, "{one:?}");
    planner.record_run_end("a", 0, RunEnd::Taken, now);
    let again = assign(&mut planner, now).remove(0);
    assert_eq!((&again.endpoint, again.output.events.len()), (&name(0), 4));
    assert!(planner.reserve_faster_engines(&steps_config(), now).is_empty());
}

/// Guards against a long run that stays on a slow engine because an idle engine, on which it would
/// gain too little, comes before a faster one with a higher load.
#[test]
fn a_run_moves_to_a_loaded_engine_if_idle_ones_are_too_slow_for_it() {
    let paces = [26.0, 42.0, 57.0, 57.0, 57.0, 57.0, 57.0];
    let (mut planner, now) = measured(&paces).complete();
    planner.update_engine(&with_status(1, EndpointStatus::Draining));
    planner.open_step(step("load", &[LONG; 5]), now, Millis::default(), |_| false);
    assert_eq!(on_first(&assign(&mut planner, now), "load"), 5);
    planner.update_engine(&with_status(0, EndpointStatus::Draining));
    planner.open_step(step("a", &[1_000]), now, Millis::default(), |_| false);
    assert_eq!(assign(&mut planner, now)[0].endpoint, name(2));
    planner.update_engine(&with_status(0, EndpointStatus::Ready));
    planner.update_engine(&with_status(1, EndpointStatus::Ready));
    let moves = planner.reserve_faster_engines(&steps_config(), now + 250);
    let places: Vec<(&str, &str)> =
        moves.iter().map(|one| (one.step.as_str(), one.to.as_str())).collect();
    assert_eq!(places, [("a", name(0).as_str())]);
}

/// Guards against two runs that are moved to the same slot while the first one waits until the log
/// has the calls of its scorer.
#[test]
fn a_reserved_slot_is_not_given_to_another_run() {
    let (mut planner, _, now) = long_run_elsewhere(|_| {});
    planner.update_engine(&engine(&name(0), 1, 1));
    assert_eq!(planner.reserve_faster_engines(&steps_config(), now).len(), 1);
    planner.record_run_end("a", 0, RunEnd::Taken, now);
    let mut draining = engine(&name(0), 1, 1);
    draining.status = EndpointStatus::Draining;
    planner.update_engine(&draining);
    planner.open_step(step("b", &[LONG]), now, Millis::default(), |_| false);
    // The first sample waits: its step is being ended.
    planner.set_ending("a", true);
    assert_eq!(assign(&mut planner, now).len(), 1);
    planner.update_engine(&engine(&name(0), 1, 1));
    assert!(planner.reserve_faster_engines(&steps_config(), now).is_empty());
}

/// Guards against moves that end in a pause for new weights, lose the output of a sample, or find
/// no engine that may run it.
#[test]
fn runs_do_not_move_to_engines_that_load_are_too_old_or_not_ready() {
    let moves = |planner: &mut Planner, now| planner.reserve_faster_engines(&steps_config(), now);
    let (mut planner, _, now) = long_run_elsewhere(|_| {});
    assert!(moves(&mut planner, now).is_empty(), "the engine is draining");
    planner.update_engine(&engine(&name(0), 6, 0));
    assert!(moves(&mut planner, now).is_empty(), "its weights are too old");
    planner.update_engine(&engine(&name(0), 6, 1));
    planner.engine_mut(&name(0)).unwrap().loading = Some("other".to_owned());
    assert!(moves(&mut planner, now).is_empty(), "it loads weights");
    planner.engine_mut(&name(0)).unwrap().loading = None;
    assert_eq!(moves(&mut planner, now).len(), 1);
    let (mut planner, _, now) = long_run_elsewhere(|step| step.single_version = true);
    planner.update_engine(&engine(&name(0), 6, 2));
    assert!(moves(&mut planner, now).is_empty(), "the sample would start again");
    planner.update_engine(&engine(&name(0), 6, 1));
    assert_eq!(moves(&mut planner, now).len(), 1);
}

/// Guards against runs that are ended although their samples may not start again yet: their step
/// waits for the reports of hosts, or is being ended.
#[test]
fn runs_of_steps_without_assignments_do_not_move() {
    let (mut planner, now) = measured(&ONE_FAST).complete();
    let held = now + 1_000;
    planner.open_step(step("a", &[LONG]), now, held, |_| false);
    let run = Assignment { run: 7, endpoint: name(1), ..long_run_elsewhere(|_| {}).1 };
    // The run was started by the previous leader.
    planner.record_report("a", &report(&run, RunStatus::Running, &["x"; 4]), now);
    assert_eq!(planner.reserve_faster_engines(&steps_config(), now + 500), []);
    planner.set_ending("a", true);
    assert_eq!(planner.reserve_faster_engines(&steps_config(), held), []);
    planner.set_ending("a", false);
    assert_eq!(planner.reserve_faster_engines(&steps_config(), held).len(), 1);
}

/// Guards against a sample that moves between engines of changing speed until its step ends.
#[test]
fn a_sample_moves_at_most_four_times() {
    let (mut planner, _, mut now) = long_run_elsewhere(|_| {});
    let mut count = 0;
    for _ in 0..10 {
        // The fast engine takes the run, stops, and is there again.
        planner.update_engine(&engine(&name(0), 6, 1));
        for one in planner.reserve_faster_engines(&steps_config(), now) {
            planner.record_run_end(&one.step, one.index, RunEnd::Taken, now);
            assert_eq!(assign(&mut planner, now).remove(0).endpoint, name(0));
            count += 1;
        }
        let mut draining = engine(&name(0), 6, 1);
        draining.status = EndpointStatus::Draining;
        planner.update_engine(&draining);
        planner.record_run_end("a", 0, RunEnd::Full, now);
        now = now + 1_000;
        assign(&mut planner, now);
    }
    assert_eq!(count, 4);
}

/// Guards against estimates that follow a pause of a host: the events that arrived meanwhile are
/// reported with a gap of nearly 0 ms.
#[test]
fn reports_with_a_gap_of_nearly_zero_do_not_halve_an_estimate() {
    let mut fleet = measured(&[57.0; 4]);
    let halved = |fleet: &mut Measured| {
        fleet.planner.slow_runs(fleet.now);
        fleet.planner.fast_engine_count() > 0
    };
    fleet.now = fleet.now + 250;
    fleet.report(0, 0, 40);
    assert!(!halved(&mut fleet), "a report without a gap");
    for (gap_ms, events) in [(1, 40), (1, 250), (5, 60), (10, 25)] {
        fleet.now = fleet.now + 2_000;
        fleet.report(0, gap_ms, events);
        assert!(!halved(&mut fleet), "{events} events with a gap of {gap_ms} ms");
        (0..12).for_each(|_| fleet.advance(&[57.0; 4]));
    }
}

/// Guards against runs that leave an engine, or an engine that counts as slow, because its runs
/// paused while it loaded weights.
#[test]
fn a_report_that_spans_a_load_of_weights_is_no_slowdown() {
    for (number, pace) in [(0, FAST_MS), (1, OTHER_MS)] {
        let mut fleet = measured(&ONE_FAST);
        let id = name(number);
        fleet.planner.engine_mut(&id).unwrap().loading = Some("m".to_owned());
        fleet.now = fleet.now + 1_000;
        let load = fleet.planner.engine_mut(&id).unwrap();
        load.end_load(fleet.now);
        // Each of several runs reports the pause and five events after it.
        fleet.now = fleet.now + 5 * pace as u64 + 100;
        (0..6).for_each(|_| fleet.report(number, 220, 5));
        assert_eq!(fleet.planner.slow_runs(fleet.now), [], "{id}");
        let moves = fleet.planner.reserve_faster_engines(&steps_config(), fleet.now);
        assert!(moves.iter().all(|one| one.from != id), "{moves:?}");
        assert_eq!(fleet.planner.fast_engine_count(), 1);
        // A pause without a load is still a slowdown.
        fleet.now = fleet.now + 2_000;
        (0..6).for_each(|_| fleet.report(number, 220, 5));
        let run = ("warm".to_owned(), fleet.runs[number].index);
        assert!(fleet.planner.slow_runs(fleet.now).contains(&run), "{id}");
    }
}

/// Guards against an engine that counts as fast because its first events arrived together, after a
/// pause of their host.
#[test]
fn a_burst_in_the_first_measurement_makes_no_engine_fast() {
    let mut fleet = Measured::new(4);
    fleet.now = fleet.now + 250;
    fleet.report(0, 10, 30);
    (1..4).for_each(|number| fleet.report(number, 57, 4));
    for _ in 0..4 {
        fleet.advance(&[OTHER_MS; 4]);
        assert_eq!(fleet.planner.fast_engine_count(), 0);
    }
}

/// Guards against an engine that counts as fast because several of its runs report the same burst
/// within the 250 ms between two reports of a run.
#[test]
fn a_burst_that_several_runs_report_is_one_measurement() {
    let report_burst = |fleet: &mut Measured, since_ms: u64| {
        for after_ms in [since_ms, 0, 60, 110, 65] {
            fleet.now = fleet.now + after_ms;
            fleet.report(0, 10, 25);
            fleet.planner.slow_runs(fleet.now);
            assert_eq!(fleet.planner.fast_engine_count(), 0);
        }
        for _ in 0..8 {
            fleet.advance(&[OTHER_MS; 4]);
            assert_eq!(fleet.planner.fast_engine_count(), 0);
        }
    };
    let mut fleet = measured(&[OTHER_MS; 4]);
    [250, 100, 1_000].iter().for_each(|since_ms| report_burst(&mut fleet, *since_ms));
    // The same holds for the first measurement.
    let mut fleet = Measured::new(4);
    fleet.now = fleet.now + 250;
    (1..4).for_each(|number| fleet.report(number, 57, 4));
    fleet.now = fleet.now + 250;
    (1..4).for_each(|number| fleet.report(number, 57, 4));
    report_burst(&mut fleet, 0);
}

/// Guards against a new leader that takes an engine for slow, or moves runs away from it, because
/// the engine loads weights on an order of the previous leader.
#[test]
fn a_load_that_the_previous_leader_ordered_is_no_slowdown() {
    let order = |ms: u64, loaded_ms: Option<u64>| {
        let mut loads = ObservedLoads::default();
        loads.record_order(&name(0), Millis(NOW.0 + 9_000 - ms));
        if let Some(ms) = loaded_ms {
            let (before, after) = (engine(&name(0), 6, 1), engine(&name(0), 6, 2));
            loads.record_endpoint(&before, &after, Millis(NOW.0 + 9_000 - ms));
        }
        loads
    };
    // Whether the engine counts as slow after the reports of a second, and before and after these
    // its endpoint is announced with this version.
    let is_slow = |loads: &ObservedLoads, before: u64, after: u64| {
        let mut fleet = Measured::new(4);
        fleet.now = NOW + 9_000;
        fleet.planner.inherit_loads(loads);
        fleet.planner.update_engine(&engine(&name(0), 6, before));
        for _ in 0..4 {
            fleet.now = fleet.now + 250;
            (1..4).for_each(|number| fleet.report(number, 57, 4));
            fleet.report(0, 220, 1);
        }
        fleet.planner.update_engine(&engine(&name(0), 6, after));
        fleet.report(0, 220, 5);
        let run = ("warm".to_owned(), fleet.runs[0].index);
        let is_moved = fleet.planner.slow_runs(fleet.now).contains(&run);
        let changes = fleet.planner.speed_changes(&SpeedState::default(), &known(&engines(4)));
        assert_eq!(changes.is_some(), is_moved);
        is_moved
    };
    assert!(is_slow(&ObservedLoads::default(), 1, 1), "there was no order");
    assert!(!is_slow(&order(800, None), 1, 1), "it still loads");
    assert!(!is_slow(&order(800, None), 1, 2), "the load has ended");
    assert!(!is_slow(&order(3_000, None), 1, 1), "it may still load");
    assert!(is_slow(&order(7_000, None), 1, 1), "an order is repeated earlier");
    assert!(is_slow(&order(800, Some(0)), 2, 2), "the load ended a second ago");
    assert!(is_slow(&order(800, None), 2, 2), "the load ended at the beginning");
}

/// Guards against a first report to a new leader that counts as slowness because it contains the end
/// of a load that the process has observed.
#[test]
fn a_report_that_spans_an_observed_load_is_no_slowdown() {
    let (before, after) = (engine(&name(0), 6, 1), engine(&name(0), 6, 2));
    for (loaded_ms, is_slow) in [(300, false), (2_000, true)] {
        let mut fleet = measured(&[OTHER_MS; 4]);
        fleet.now = fleet.now + 2_000;
        let mut loads = ObservedLoads::default();
        loads.record_order(&name(0), NOW);
        loads.record_endpoint(&before, &after, Millis(fleet.now.0 - loaded_ms));
        fleet.planner.inherit_loads(&loads);
        (0..6).for_each(|_| fleet.report(0, 220, 5));
        let run = ("warm".to_owned(), fleet.runs[0].index);
        assert_eq!(fleet.planner.slow_runs(fleet.now).contains(&run), is_slow, "{loaded_ms}");
    }
}

/// Guards against a fast engine that is not recognised until a step is over.
#[test]
fn a_fast_engine_is_recognised_within_a_second() {
    let mut fleet = measured(&[57.0; 4]);
    assert_eq!(fleet.planner.fast_engine_count(), 0);
    (0..4).for_each(|_| fleet.advance(&ONE_FAST));
    assert_eq!(fleet.planner.fast_engine_count(), 1);
}

/// Guards against a fast engine that no longer counts as fast, or is never tried again, after six
/// seconds at a quarter of its speed. Its runs report the same slowdown.
#[test]
fn a_slowdown_changes_the_usual_pace_little_and_is_forgotten_without_measurements() {
    let mut fleet = measured(&ONE_FAST);
    for _ in 0..24 {
        fleet.advance(&[4.0 * FAST_MS, OTHER_MS, OTHER_MS, OTHER_MS]);
        (0..5).for_each(|_| fleet.report(0, 4 * FAST_MS as u32, 2));
        fleet.planner.slow_runs(fleet.now);
        assert_eq!(fleet.planner.fast_engine_count(), 1);
    }
    let (mut planner, now) = fleet.complete();
    let mut starts_on_it = |now: Millis| {
        planner.open_step(step("a", &[LONG]), now, Millis::default(), |_| false);
        let runs = assign(&mut planner, now);
        planner.close_step("a", now);
        on_first(&runs, "a") == 1
    };
    assert!(!starts_on_it(now), "it is slower than the others");
    assert!(starts_on_it(now + 8_000));
}

/// Guards against a run that is ended before its order was sent, and is then ordered although
/// another one has replaced it.
#[test]
fn a_run_that_was_assigned_in_the_same_round_does_not_move() {
    let (mut planner, now) = measured(&ONE_FAST).complete();
    let mut draining = engine(&name(0), 6, 1);
    draining.status = EndpointStatus::Draining;
    planner.update_engine(&draining);
    planner.open_step(step("a", &[LONG]), now, Millis::default(), |_| false);
    assert_eq!(planner.assign(&steps_config(), now).len(), 1);
    planner.update_engine(&engine(&name(0), 6, 1));
    assert!(planner.reserve_faster_engines(&steps_config(), now).is_empty());
    planner.set_host("a", 0, "a");
    assert_eq!(planner.reserve_faster_engines(&steps_config(), now).len(), 1);
}

/// Guards against noise that is taken for a difference of hardware, in either direction.
#[test]
fn noise_changes_neither_which_engines_are_fast_nor_the_others() {
    let mut rng = SmallRng::seed_from_u64(1);
    for (paces, fast) in [(vec![40.0; 12], 0), ([vec![FAST_MS; 4], vec![OTHER_MS; 12]].concat(), 4)]
    {
        let mut fleet = measured(&paces);
        for _ in 0..400 {
            let noisy =
                paces.iter().map(|pace| pace * if rng.random_bool(0.15) { 2.5 } else { 1.0 });
            fleet.advance(&noisy.collect::<Vec<f64>>());
            assert_eq!(fleet.planner.fast_engine_count(), fast);
            let changes = fleet.planner.speed_changes(&SpeedState::default(), &known(&engines(16)));
            assert_eq!(changes.map_or(0, |changes| changes.changes.len()), fast);
        }
    }
}

/// Guards against equal engines that count as fast or slow because reports contain whole
/// milliseconds.
#[test]
fn engines_with_a_few_milliseconds_between_events_are_not_classed() {
    for paces in [[1.0, 2.0, 2.0, 2.0], [2.0, 1.0, 1.0, 1.0], [3.0, 2.0, 2.0, 2.0]] {
        let fleet = measured(&paces);
        assert_eq!(fleet.planner.fast_engine_count(), 0);
        let changes = fleet.planner.speed_changes(&SpeedState::default(), &known(&engines(4)));
        assert_eq!(changes, None, "none of them is fast or slow: {paces:?}");
    }
}

/// Guards against an engine that is avoided for good because its first measurement was wrong.
#[test]
fn an_engine_that_seems_slow_is_tried_again() {
    let (mut planner, now) = measured(&[40.0, 40.0, 40.0, 160.0]).complete();
    let mut on_slow = |now: Millis| {
        planner.open_step(step("a", &[SHORT; 9]), now, Millis::default(), |_| false);
        let runs = assign(&mut planner, now);
        planner.close_step("a", now);
        runs.iter().filter(|run| run.endpoint == name(3)).count()
    };
    assert_eq!(on_slow(now), 0);
    assert!(on_slow(now + 120_000) > 0);
}

/// Guards against an engine whose speed is taken for that of its predecessor.
#[test]
fn an_engine_restarted_under_its_id_has_an_unknown_speed() {
    let mut fleet = measured(&ONE_FAST);
    assert_eq!(fleet.planner.fast_engine_count(), 1);
    let mut restarted = engine(&name(0), 6, 1);
    restarted.announcement.started_ms = 9;
    fleet.planner.update_engine(&restarted);
    fleet.planner.slow_runs(fleet.now);
    assert_eq!(fleet.planner.fast_engine_count(), 0);
    let changes = fleet.planner.speed_changes(&SpeedState::default(), &known(&engines(4)));
    assert_eq!(changes, None, "there is nothing to record");
    // A record of its predecessor is not restored.
    let recorded = SpeedState::default();
    let mut state = State { speeds: recorded, endpoints: known(&engines(4)), ..State::default() };
    apply(&mut state, Command::Speeds(changes_of(&[(0, Some(26_000))])));
    let mut next = Planner::new(Epoch(2)).with_policy(policy(true));
    next.update_engine(&restarted);
    engines(4)[1..].iter().for_each(|engine| next.update_engine(engine));
    next.restore_speeds(&state.speeds, NOW);
    assert_eq!(next.fast_engine_count(), 0);
}

fn known(engines: &[Endpoint]) -> BTreeMap<String, Endpoint> {
    engines.iter().map(|engine| (engine.announcement.id.clone(), engine.clone())).collect()
}

fn apply(state: &mut State, command: Command) -> ApplyOutcome {
    state.apply(Stamped { at: state.clock + 1, command })
}

fn changes_of(paces: &[(usize, Option<u32>)]) -> SpeedChanges {
    let change = |(number, pace_us): &(usize, Option<u32>)| SpeedChange {
        endpoint: name(*number),
        started_ms: 0,
        pace_us: *pace_us,
    };
    SpeedChanges { median_us: 57_000, changes: paces.iter().map(change).collect() }
}

/// Guards against long samples on slow engines after a change of leader, until all engines have
/// been measured again.
#[test]
fn a_new_leader_knows_the_recorded_speeds_before_its_first_round() {
    let fleet = measured(&ONE_FAST);
    let mut state = State { endpoints: known(&engines(4)), ..State::default() };
    let changes = fleet.planner.speed_changes(&state.speeds, &state.endpoints).unwrap();
    assert_eq!(changes.changes.len(), 1, "the others equal the median");
    assert_eq!(apply(&mut state, Command::Speeds(changes)), ApplyOutcome::Changed);
    assert_eq!(fleet.planner.speed_changes(&state.speeds, &state.endpoints), None);
    let mut next = planner(&engines(4), &[step("a", &[LONG; 2])]).with_policy(policy(true));
    next.restore_speeds(&state.speeds, NOW);
    let runs = assign(&mut next, NOW);
    assert_eq!(on_first(&runs, "a"), 2);
    // The first measurements are those of the fast engine.
    for at in [250, 500, 750] {
        let sent = RunReport { gap_ms: 26, ..report(&runs[0], RunStatus::Running, &["x"; 10]) };
        next.record_report("a", &sent, NOW + at);
        next.slow_runs(NOW + at);
        assert_eq!(next.fast_engine_count(), 1);
    }
    let mut off = planner(&engines(4), &[]);
    off.restore_speeds(&state.speeds, NOW);
    assert_eq!(off.fast_engine_count(), 0, "the setting is off");
}

/// Guards against writes that repeat what the log contains, exceed the size of a command, or record
/// endpoints whose removal would not remove the record.
#[test]
fn only_changes_of_speeds_are_recorded() {
    let mut fleet = measured(&ONE_FAST);
    let endpoints = known(&engines(4));
    let of = |fleet: &Measured, recorded: &SpeedState| {
        fleet.planner.speed_changes(recorded, &endpoints).map(|changes| changes.changes)
    };
    let mut state = State { endpoints: endpoints.clone(), ..State::default() };
    apply(&mut state, Command::Speeds(changes_of(&[(0, Some(27_500))])));
    assert_eq!(of(&fleet, &state.speeds), None, "it differs by less than a tenth");
    apply(&mut state, Command::Speeds(changes_of(&[(0, Some(20_000))])));
    assert_eq!(of(&fleet, &state.speeds).unwrap()[0].pace_us, Some(26_000));
    (0..400).for_each(|_| fleet.advance(&[OTHER_MS; 4]));
    assert_eq!(of(&fleet, &state.speeds).unwrap()[0].pace_us, None, "it equals the median");
    assert_eq!(fleet.planner.speed_changes(&state.speeds, &BTreeMap::new()), None);
    let many: Vec<f64> =
        (0..1_300).map(|number| if number < 600 { FAST_MS } else { OTHER_MS }).collect();
    let changes = measured(&many).planner.speed_changes(&state.speeds, &known(&engines(1_300)));
    assert_eq!(changes.unwrap().changes.len(), 500);
}

/// Guards against recorded speeds that outlive their engines.
#[test]
fn recorded_speeds_are_dropped_with_their_endpoint_or_after_a_restart() {
    let all = engines(4);
    let mut state = State::default();
    apply(&mut state, Command::Know { live: all[..3].to_vec(), gone: Vec::new() });
    let changes = changes_of(&[(0, Some(1)), (1, Some(2)), (2, Some(3)), (3, Some(4))]);
    apply(&mut state, Command::Speeds(changes));
    assert_eq!(state.speeds.engines.len(), 3, "the last one is not known");
    let announcement = Announcement { started_ms: 5, ..all[1].announcement.clone() };
    let restarted = Endpoint { announcement, ..all[1].clone() };
    apply(&mut state, Command::Know { live: vec![restarted], gone: vec![name(2)] });
    assert_eq!(state.speeds.engines.keys().collect::<Vec<_>>(), [&name(0)]);
    let late = changes_of(&[(0, None), (1, Some(2))]);
    assert_eq!(apply(&mut state, Command::Speeds(late.clone())), ApplyOutcome::Changed);
    assert!(state.speeds.engines.is_empty(), "that speed is of the time before the restart");
    assert_eq!(apply(&mut state, Command::Speeds(late)), ApplyOutcome::Held);
}

/// Guards against rounds that examine every engine for each sample or each move. Rounds follow each
/// event of a sample, hundreds a second.
#[test]
fn the_work_of_a_round_with_moves_is_bounded_by_the_number_of_engines() {
    for size in [1_000, 3_000] {
        let paces: Vec<f64> =
            (0..size).map(|number| if number % 4 == 0 { FAST_MS } else { OTHER_MS }).collect();
        let (mut planner, now) = measured(&paces).complete();
        for id in ["a", "b"] {
            let samples = vec![LONG; size * 2];
            planner.open_step(step(id, &samples), now, Millis::default(), |_| false);
        }
        let before = planner.visits();
        let runs = assign(&mut planner, now);
        assert_eq!(runs.len(), size * 4);
        assert!(planner.visits() - before <= 3 * size as u64, "one pass for each step");
        for run in runs.iter().filter(|run| run.endpoint.ends_with('0')) {
            planner.settle(&run.step.id, run.index);
        }
        let before = planner.visits();
        let moves = planner.reserve_faster_engines(&steps_config(), now + 250);
        assert!(moves.len() > size / 10, "{} moves", moves.len());
        // A tenth of the engines are free, and half of these are fast.
        let slots = size as u64 / 20 * 6;
        assert!(planner.visits() - before <= 2 * (size as u64 + slots), "two passes for all moves");
    }
}

/// Guards against rounds that collect and sort free slots although no run would gain from them, and
/// against passes for each step or sample where steps differ in their versions and models.
#[test]
fn rounds_without_moves_examine_each_engine_once_and_others_the_slots_for_each_kind() {
    let size = 100;
    let paces: Vec<f64> =
        (0..size).map(|number| if number % 4 == 0 { FAST_MS } else { OTHER_MS }).collect();
    let (mut planner, now) = measured(&paces).complete();
    let with_models = |number: usize, status: EndpointStatus| {
        let mut both = engine(&name(number), 6, 2);
        both.announcement.models.insert("n".to_owned(), 2);
        both.status = status;
        both
    };
    let of = |id: &str, model: &str, min_version: u64, samples: &[u64]| {
        let (model, plain) = (model.to_owned(), step(id, samples));
        Arc::new(Step { model, min_version, ..Step::clone(&plain) })
    };
    for number in 0..size {
        planner.update_engine(&with_models(number, EndpointStatus::Ready));
    }
    // The lengths of the second model become known as well.
    planner.open_step(of("warm", "n", 1, &[400; 4]), now, Millis::default(), |_| false);
    for run in assign(&mut planner, now) {
        planner.record_report("a", &report(&run, RunStatus::Scoring, &["x"; 160]), now);
        planner.settle("warm", run.index);
    }
    planner.close_step("warm", now);
    for number in (0..size).step_by(4) {
        planner.update_engine(&with_models(number, EndpointStatus::Draining));
    }
    planner.open_step(of("short", "m", 1, &[SHORT; 50]), now, Millis::default(), |_| false);
    assert_eq!(assign(&mut planner, now).len(), 50);
    for number in (0..size).step_by(4) {
        planner.update_engine(&with_models(number, EndpointStatus::Ready));
    }
    let before = planner.visits();
    assert_eq!(planner.reserve_faster_engines(&steps_config(), now + 250), []);
    assert_eq!(planner.visits() - before, size as u64, "no run would gain");
    for number in (0..size).step_by(4) {
        planner.update_engine(&with_models(number, EndpointStatus::Draining));
    }
    for trainer in 0..8 {
        let (model, version) = ([("m", 1), ("m", 2), ("n", 1), ("n", 2)])[trainer % 4];
        let long = of(&format!("t{trainer}"), model, version, &[LONG; 10]);
        planner.open_step(long, now, Millis::default(), |_| false);
    }
    assert_eq!(assign(&mut planner, now).len(), 80);
    for number in (0..size).step_by(4) {
        planner.update_engine(&with_models(number, EndpointStatus::Ready));
    }
    let before = planner.visits();
    assert_eq!(planner.reserve_faster_engines(&steps_config(), now + 250).len(), 80);
    let (kinds, slots) = (4, size as u64 / 4 * 6);
    assert_eq!(planner.visits() - before, 2 * size as u64 + (1 + kinds) * slots);
}

/// Guards against a last result that is listed at the wrong time: the new leader has not measured
/// the fast engine yet, or its last pace is that of a slowdown long ago.
#[test]
fn the_expected_end_of_a_step_follows_from_the_expected_pace() {
    let mut state = State { endpoints: known(&engines(4)), ..State::default() };
    apply(&mut state, Command::Speeds(changes_of(&[(0, Some(26_000))])));
    let (mut planner, now) = measured(&[OTHER_MS; 4]).complete();
    planner.update_engine(&engine(&name(0), 6, 1));
    let mut restarted = engine(&name(0), 6, 1);
    restarted.announcement.started_ms = 1;
    planner.update_engine(&restarted);
    let mut speeds = state.speeds.clone();
    speeds.engines.get_mut(&name(0)).unwrap().started_ms = 1;
    planner.restore_speeds(&speeds, now);
    let mut hints = vec![SHORT; 20];
    hints[0] = LONG;
    let last = Step { wanted_groups: 20, ..(*step("a", &hints)).clone() };
    planner.open_step(Arc::new(last), now, Millis::default(), |_| false);
    let runs = assign(&mut planner, now);
    let run = runs.iter().find(|run| run.index == 0).unwrap();
    assert_eq!(run.endpoint, name(0));
    for other in runs.iter().filter(|run| run.index != 0) {
        planner.settle("a", other.index);
    }
    planner.record_report("a", &report(run, RunStatus::Running, &["x"; 120]), now);
    // 40 of 160 events are left: 1,040 ms at 26 ms, 2,280 ms at 57 ms. A read that ends shortly
    // before that is answered early, so that the next one has begun by then.
    let end = now + 40 * 26 + 80;
    let at = planner.list_at("a", now, Some(Millis(end.0 - 100)));
    assert_eq!(at, Millis(end.0 - 700));
}
