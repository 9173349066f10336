//! A model of steps that compete for few slots, with random loads. After each round, what the planner
//! assigned is compared with what the more urgent samples that still wait could have used.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Share;
use chicoryford_fleet::Step;
use chicoryford_fleet::plan::AfterRun;
use chicoryford_fleet::plan::Assignment;
use chicoryford_fleet::plan::EngineState;
use chicoryford_fleet::plan::Planner;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::run::RunStatus;
use chicoryford_fleet::speeds::EngineSpeed;
use chicoryford_fleet::speeds::SpeedState;
use chicoryford_types::Millis;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use support::planner::NOW;
use support::planner::assign;
use support::planner::engine;
use support::planner::planner;
use support::planner::report;
use support::planner::step;
use support::steps_config;

/// Expected tokens of samples that the planner takes for long, for short, and for long because it
/// has no hint. 20 tokens make an event.
const LONG: u64 = 3_000;
const SHORT: u64 = 200;
const UNKNOWN: u64 = 0;
/// Share of the fast slots that only long samples use, as one of so many.
const RESERVED_ONE_OF: u32 = 4;
/// Microseconds between events of the median engine.
const MEDIAN_US: u32 = 57_000;

/// Random loads for each test, and the most events of one.
const LOADS: u64 = 400;
const MAX_EVENTS: usize = 40;

/// An engine: its slots, its versions of two models, its service and its speed.
type EngineDraw = (u8, u8, u8);
/// An event and its parameters.
type EventDraw = (u8, u8, u8, u8);

/// What the test knows of a waiting sample.
#[derive(Clone, Debug, Default)]
struct Waiting {
    avoided: Option<String>,
    blocked_until: Millis,
}

struct OpenStep {
    step: Arc<Step>,
    due: Millis,
    held: Millis,
    ending: bool,
    waiting: BTreeMap<u32, Waiting>,
}

impl OpenStep {
    /// Returns the urgency, lowest first. Steps of the same due time are ordered by id.
    fn urgency(&self) -> (u32, Millis, &str) {
        (self.step.priority, self.due, &self.step.id)
    }
}

struct Model {
    planner: Planner,
    config: Config,
    engines: Vec<Endpoint>,
    steps: BTreeMap<String, OpenStep>,
    running: Vec<Assignment>,
    /// Models with completed samples; the lengths of the others are unknown.
    learned: BTreeSet<String>,
    /// Engine crashes and consecutive losses of each sample.
    crashes: BTreeMap<(String, u32), u64>,
    opened: usize,
    now: Millis,
}

/// Returns a configuration with a route to one service of engines and a route to two.
fn config() -> Config {
    let mut config = steps_config();
    let mut both = config.routes[0].clone();
    both.name = "both".to_owned();
    both.prefix = "/t/".to_owned();
    both.shares.push(Share { service: "more".to_owned(), weight: 1 });
    config.routes.push(both);
    config
}

fn drawn_engine(number: usize, (slots, versions, place): EngineDraw) -> Endpoint {
    let mut one = engine(&format!("e{number}"), u32::from(slots % 8) + 1, 1);
    let versions = [("m", versions % 3), ("n", versions / 3 % 3)];
    let held = versions.iter().filter(|(_, version)| *version > 0);
    one.announcement.models =
        held.map(|(model, version)| ((*model).to_owned(), u64::from(*version))).collect();
    if place.is_multiple_of(5) {
        one.announcement.service = "more".to_owned();
    }
    one
}

impl Model {
    fn new(engine_speeds: bool, two_speeds: bool, draws: &[EngineDraw]) -> Self {
        let numbered = draws.iter().take(8).enumerate();
        let engines: Vec<Endpoint> = numbered.map(|(n, draw)| drawn_engine(n, *draw)).collect();
        let policy = Policy { engine_speeds, ..Policy::default() };
        let mut planner = planner(&[], &[]).with_policy(policy);
        learn_lengths(&mut planner);
        engines.iter().for_each(|engine| planner.update_engine(engine));
        // Engines without a record count as equal to the median.
        let fast =
            engines.iter().zip(draws).filter(|(_, draw)| two_speeds && draw.2.is_multiple_of(3));
        make_fast(&mut planner, fast.map(|(engine, _)| engine.announcement.id.as_str()), NOW);
        Self {
            planner,
            config: config(),
            engines,
            steps: BTreeMap::new(),
            running: Vec::new(),
            learned: BTreeSet::from(["m".to_owned()]),
            crashes: BTreeMap::new(),
            opened: 0,
            now: NOW,
        }
    }

    fn apply(&mut self, (kind, a, b, c): EventDraw) {
        match kind % 12 {
            0..=3 => self.open(a, b, c),
            4 | 5 => (0..=b % 4).for_each(|_| self.complete(a)),
            6 => self.end(a, b),
            7 => self.change_status(a, b),
            8 => self.load(a, b),
            9 => self.toggle_ending(a),
            _ => self.now = self.now + u64::from(b) * 2,
        }
        self.round();
    }

    fn open(&mut self, a: u8, b: u8, c: u8) {
        let hints = (0..=b % 12).map(|number| match (c >> (number % 4)) % 4 {
            0 => LONG,
            1 if c > 200 => UNKNOWN,
            _ => SHORT,
        });
        let hints: Vec<u64> = hints.collect();
        let mut one = Step::clone(&step(&format!("s{}", self.opened), &hints));
        one.priority = u32::from(a % 2);
        one.due_ms = [6_000, 7_500, 9_000][usize::from(a / 2 % 3)];
        one.min_version = u64::from(a / 6 % 2) + 1;
        one.model = if (a / 12).is_multiple_of(4) { "n" } else { "m" }.to_owned();
        for (index, sample) in one.samples.iter_mut().enumerate() {
            let to_both = (a / 48 + index as u8 / 4) % 2 == 1;
            sample.path = if to_both { "/t/1" } else { "/s/1" }.to_owned();
            sample.group = if b >= 128 { format!("g{}", index / 2) } else { String::new() };
        }
        self.opened += 1;
        let step = Arc::new(one);
        let held = if b % 16 == 15 { self.now + 100 } else { Millis::default() };
        self.planner.open_step(step.clone(), self.now, held, |_| false);
        let waiting = (0..hints.len() as u32).map(|index| (index, Waiting::default())).collect();
        let due = self.now + step.due_ms;
        let id = step.id.clone();
        self.steps.insert(id, OpenStep { step, due, held, ending: false, waiting });
    }

    /// Completes a sample and closes its step after the last one.
    fn complete(&mut self, a: u8) {
        if self.running.is_empty() {
            return;
        }
        let run = self.running.remove(usize::from(a) % self.running.len());
        let hint = run.step.samples[run.index as usize].expected_tokens;
        let events = vec!["x"; if hint == UNKNOWN { 10 } else { hint as usize / 20 }];
        self.planner.record_report("a", &report(&run, RunStatus::Scoring, &events), self.now);
        if hint != UNKNOWN {
            self.learned.insert(run.step.model.clone());
        }
        self.settle(&run);
    }

    fn settle(&mut self, run: &Assignment) {
        let step = &run.step.id;
        self.planner.settle(step, run.index);
        let is_running = self.running.iter().any(|one| one.step.id == *step);
        if !is_running && self.steps[step].waiting.is_empty() {
            self.planner.close_step(step, self.now);
            self.steps.remove(step);
        }
    }

    fn end(&mut self, a: u8, b: u8) {
        if self.running.is_empty() {
            return;
        }
        let run = self.running.remove(usize::from(a) % self.running.len());
        let ends = [RunEnd::Taken, RunEnd::Full, RunEnd::Broken, RunEnd::Crashed, RunEnd::Failed];
        self.end_run(&run, ends[usize::from(b % 5)]);
    }

    fn end_run(&mut self, run: &Assignment, end: RunEnd) {
        let (step, index) = (&run.step.id, run.index);
        if self.planner.record_run_end(step, index, end, self.now) == AfterRun::GiveUp {
            self.settle(run);
            return;
        }
        let crashes = self.crashes.entry((step.clone(), index)).or_default();
        *crashes += u64::from(end == RunEnd::Crashed);
        // After three crashes and after each further one a sample waits for 4 s.
        let delay_ms = if *crashes < 3 { 0 } else { 4_000 };
        let is_delayed = end == RunEnd::Crashed;
        let blocked_until = if is_delayed { self.now + delay_ms } else { Millis::default() };
        let avoided = (end == RunEnd::Taken).then(|| run.endpoint.clone());
        let waiting = &mut self.steps.get_mut(step).expect("it is open").waiting;
        waiting.insert(index, Waiting { avoided, blocked_until });
    }

    fn change_status(&mut self, a: u8, b: u8) {
        if let Some(engine) = pick(&mut self.engines, a) {
            let is_ready = b.is_multiple_of(2);
            engine.status = if is_ready { EndpointStatus::Ready } else { EndpointStatus::Draining };
            self.planner.update_engine(engine);
        }
    }

    /// Starts or ends a load of weights.
    fn load(&mut self, a: u8, b: u8) {
        let Some(engine) = pick(&mut self.engines, a) else { return };
        let id = engine.announcement.id.clone();
        let model = if b.is_multiple_of(4) { "n" } else { "m" }.to_owned();
        let known = self.planner.engine_mut(&id).expect("it is known");
        if let Some(model) = known.loading.clone() {
            known.end_load(self.now);
            *engine.announcement.models.entry(model).or_default() += 1;
            self.planner.update_engine(engine);
        } else {
            known.loading = Some(model);
        }
    }

    fn toggle_ending(&mut self, a: u8) {
        let at = usize::from(a) % self.steps.len().max(1);
        if let Some(planned) = self.steps.values_mut().nth(at) {
            planned.ending = !planned.ending;
            self.planner.set_ending(&planned.step.id, planned.ending);
        }
    }

    /// Has a round of the planner, as the leader has it.
    fn round(&mut self) {
        self.planner.slow_runs(self.now);
        self.assign();
        for one in self.planner.reserve_faster_engines(&self.config, self.now) {
            let is_moved = |run: &Assignment| run.step.id == one.step && run.index == one.index;
            let at = self.running.iter().position(is_moved).expect("it is running");
            let run = self.running.remove(at);
            self.end_run(&run, RunEnd::Taken);
        }
        self.assign();
    }

    fn assign(&mut self) {
        let assigned = self.planner.assign(&self.config, self.now);
        for run in &assigned {
            self.planner.set_host(&run.step.id, run.index, "a");
            let planned = self.steps.get_mut(&run.step.id).expect("it is open");
            planned.waiting.remove(&run.index).expect("it was waiting");
        }
        self.check(&assigned);
        self.running.extend(assigned);
    }

    /// Checks what each waiting sample could use when its step had its turn: the slots that are free
    /// now, and those that less urgent steps got after it.
    fn check(&self, assigned: &[Assignment]) {
        let mut order: Vec<&OpenStep> = self.steps.values().collect();
        order.sort_by(|one, other| one.urgency().cmp(&other.urgency()));
        order.retain(|planned| planned.held <= self.now && !planned.ending);
        // The short samples that wait, in order.
        let mut shorts: Vec<(&OpenStep, u32, &Waiting)> = Vec::new();
        for planned in order {
            let later: Vec<&Assignment> = assigned
                .iter()
                .filter(|run| self.steps[&run.step.id].urgency() > planned.urgency())
                .collect();
            let is_due = |(_, one): &(&u32, &Waiting)| one.blocked_until <= self.now;
            let waiting: Vec<_> = planned.waiting.iter().filter(is_due).collect();
            for (index, one) in &waiting {
                self.check_sample(planned, **index, one, &later, &shorts);
            }
            let is_short = |index: u32| !self.is_long(&planned.step, index);
            let short = waiting.iter().filter(|(index, _)| is_short(**index));
            shorts.extend(short.map(|(index, one)| (planned, **index, *one)));
        }
    }

    fn check_sample(
        &self,
        planned: &OpenStep,
        index: u32,
        sample: &Waiting,
        later: &[&Assignment],
        shorts: &[(&OpenStep, u32, &Waiting)],
    ) {
        let id = &planned.step.samples[index as usize].id;
        let step = &planned.step;
        let given = |engine: &EngineState| {
            later.iter().filter(|run| run.endpoint == engine.endpoint.announcement.id).count()
        };
        let free = |engine: &EngineState| {
            let slots = engine.endpoint.announcement.slots;
            slots.saturating_sub(engine.load() - given(engine) as u32)
        };
        let eligible: Vec<&EngineState> =
            self.planner.engines().filter(|engine| self.is_eligible(engine, step, index)).collect();
        let (fast, others): (Vec<&EngineState>, Vec<&EngineState>) =
            eligible.into_iter().partition(|engine| self.planner.is_fast(engine));
        let is_usable = |engine: &EngineState| may_use(engine, sample) && free(engine) > 0;
        let usable = others.iter().find(|engine| is_usable(engine));
        assert!(usable.is_none(), "{id} could run on {usable:?}");
        if self.is_long(step, index) {
            let usable = fast.iter().find(|engine| is_usable(engine));
            assert!(usable.is_none(), "the long {id} could run on {usable:?}");
            return;
        }
        // Only long samples get the last quarter of the fast slots, and short ones neither get the
        // fast slots for which more urgent short ones of the model wait.
        let total: u32 = fast.iter().map(|engine| engine.endpoint.announcement.slots).sum();
        let reserved = if others.is_empty() { 0 } else { total / RESERVED_ONE_OF };
        let is_wanted = |engine: &EngineState| {
            let same_model = shorts.iter().filter(|(first, _, _)| first.step.model == step.model);
            let mut able = same_model.filter(|(_, _, first)| may_use(engine, first));
            able.any(|(first, index, _)| self.is_eligible(engine, &first.step, *index))
        };
        let usable = fast.iter().find(|engine| is_usable(engine) && !is_wanted(engine));
        let all_free: u32 = fast.iter().map(|engine| free(engine)).sum();
        assert!(usable.is_none() || all_free <= reserved, "{id} could run on {usable:?}");
        for run in later.iter().filter(|run| run.step.model == step.model) {
            let mut wanted = fast.iter().filter(|engine| may_use(engine, sample));
            let is_on_wanted = wanted.any(|one| one.endpoint.announcement.id == run.endpoint);
            let is_long = self.is_long(&run.step, run.index);
            assert!(is_long || !is_on_wanted, "{} got a slot before {id}: {run:?}", run.step.id);
        }
    }

    /// Returns whether an engine may run a sample, whether or not it has a free slot.
    fn is_eligible(&self, engine: &EngineState, step: &Step, index: u32) -> bool {
        let announcement = &engine.endpoint.announcement;
        let path = &step.samples[index as usize].path;
        let route = self.config.find(&step.host, path).expect("it has a route");
        engine.is_ready(self.now)
            && engine.loading.as_ref() != Some(&step.model)
            && announcement.models.get(&step.model) >= Some(&step.min_version)
            && route.leads_to(&announcement.service)
    }

    fn is_long(&self, step: &Step, index: u32) -> bool {
        let hint = step.samples[index as usize].expected_tokens;
        hint != SHORT || !self.learned.contains(&step.model)
    }
}

/// Returns whether an engine is not the one from which the sample was moved.
fn may_use(engine: &EngineState, sample: &Waiting) -> bool {
    sample.avoided.as_ref() != Some(&engine.endpoint.announcement.id)
}

fn pick<T>(all: &mut [T], draw: u8) -> Option<&mut T> {
    let at = usize::from(draw) % all.len().max(1);
    all.get_mut(at)
}

/// Records engines as twice as fast as the others.
fn make_fast<'a>(planner: &mut Planner, ids: impl Iterator<Item = &'a str>, now: Millis) {
    let speed = EngineSpeed { started_ms: 0, pace_us: MEDIAN_US / 2 };
    let engines = ids.map(|id| (id.to_owned(), speed)).collect();
    planner.restore_speeds(&SpeedState { median_us: MEDIAN_US, engines }, now);
}

/// Completes 100 samples, from which the planner learns the lengths of the model "m".
fn learn_lengths(planner: &mut Planner) {
    planner.update_engine(&engine("first", 100, 1));
    planner.open_step(step("first", &[LONG; 100]), NOW, Millis::default(), |_| false);
    for run in assign(planner, NOW) {
        planner.record_report("a", &report(&run, RunStatus::Scoring, &["x"; 150]), NOW);
        planner.settle("first", run.index);
    }
    planner.close_step("first", NOW);
    planner.remove_engine("first");
}

/// Checks random loads with engines of one or two speeds.
fn check_loads(engine_speeds: bool, two_speeds: bool) {
    fn holds(engine_speeds: bool, two_speeds: bool, load: (Vec<EngineDraw>, Vec<EventDraw>)) {
        let mut model = Model::new(engine_speeds, two_speeds, &load.0);
        load.1.into_iter().for_each(|event| model.apply(event));
    }
    let property = match (engine_speeds, two_speeds) {
        (false, _) => |load| holds(false, true, load),
        (true, false) => |load| holds(true, false, load),
        (true, true) => |load| holds(true, true, load),
    };
    let property: fn((Vec<EngineDraw>, Vec<EventDraw>)) = property;
    let size = Gen::new(MAX_EVENTS);
    QuickCheck::new().rng(size).tests(LOADS).quickcheck(property);
}

/// Guards against a sample that starts before one of a more urgent step that could use its slot,
/// where all engines count as equal.
#[test]
fn no_sample_starts_before_a_more_urgent_one_without_speeds() {
    check_loads(false, false);
}

/// Guards against the same fault where the speeds are used and no engine differs.
#[test]
fn no_sample_starts_before_a_more_urgent_one_on_engines_of_one_speed() {
    check_loads(true, false);
}

/// Guards against the same fault where some engines are fast and a share of their slots is reserved
/// for long samples.
#[test]
fn no_sample_starts_before_a_more_urgent_one_on_engines_of_two_speeds() {
    check_loads(true, true);
}

/// Returns a model with a fast engine of eight slots, which alone has the second version, two of
/// which are reserved, and another engine of two slots.
fn fast_and_other() -> Model {
    let mut model = Model::new(true, true, &[(7, 8, 3), (1, 4, 1)]);
    assert_eq!(model.planner.fast_engine_count(), 1);
    let hints = [SHORT; 20];
    model.learned.insert("n".to_owned());
    model.planner.open_step(with("warm", "n", 1, &hints), NOW, Millis::default(), |_| false);
    for _ in 0..20 {
        for run in assign(&mut model.planner, NOW) {
            model.planner.record_report("a", &report(&run, RunStatus::Scoring, &["x"; 10]), NOW);
            model.planner.settle("warm", run.index);
        }
    }
    model.planner.close_step("warm", NOW);
    model
}

fn with(id: &str, model: &str, min_version: u64, hints: &[u64]) -> Arc<Step> {
    let model = model.to_owned();
    Arc::new(Step { model, min_version, ..Step::clone(&step(id, hints)) })
}

/// Opens a step of short samples that only the fast engine may run, and returns how many start.
fn started_later(model: &mut Model, count: usize) -> usize {
    let later = with("later", "m", 2, &vec![SHORT; count]);
    model.planner.open_step(later, model.now + 100, Millis::default(), |_| false);
    assign(&mut model.planner, model.now).iter().filter(|run| run.step.id == "later").count()
}

/// Guards against a short sample that gets a reserved slot while one of a more urgent step waits for
/// it, and against one that waits although no such sample could start in its place.
#[test]
fn reserved_slots_are_withheld_only_while_a_more_urgent_sample_could_use_them() {
    let open = |model: &mut Model, step: Arc<Step>| {
        model.planner.open_step(step, NOW, Millis::default(), |_| false);
        assign(&mut model.planner, model.now)
    };
    let mut model = fast_and_other();
    assert_eq!(open(&mut model, with("urgent", "m", 1, &[SHORT; 9])).len(), 8);
    assert_eq!(started_later(&mut model, 2), 0, "a more urgent sample waits");

    let mut model = fast_and_other();
    assert_eq!(open(&mut model, with("urgent", "n", 1, &[SHORT; 9])).len(), 8);
    assert_eq!(started_later(&mut model, 2), 2, "the other sample is of another model");

    let mut model = fast_and_other();
    let run = open(&mut model, with("urgent", "m", 2, &[SHORT])).remove(0);
    assert_eq!(run.endpoint, "e0");
    model.planner.record_run_end("urgent", 0, RunEnd::Taken, NOW);
    assert_eq!(started_later(&mut model, 8), 8, "the other sample avoids the engine");

    let mut model = fast_and_other();
    for _ in 0..3 {
        assert_eq!(open(&mut model, with("urgent", "m", 2, &[SHORT])).len(), 1);
        model.planner.record_run_end("urgent", 0, RunEnd::Crashed, model.now);
        model.now = model.now + 2_000;
        // Otherwise the engine itself would get no runs.
        model.planner.remove_engine("e0");
        model.planner.update_engine(&model.engines[0]);
        make_fast(&mut model.planner, ["e0"].into_iter(), model.now);
    }
    assert_eq!(started_later(&mut model, 8), 8, "the other sample is delayed after crashes");
}

/// Guards against a short sample that gets a withheld slot because its group has a run there.
#[test]
fn a_withheld_slot_is_not_preferred_for_a_group() {
    let mut model = fast_and_other();
    let mut second = engine("f", 20, 2);
    second.announcement.service = "more".to_owned();
    model.planner.update_engine(&second);
    // Without further engines, the fast ones would determine the median.
    for id in ["o1", "o2"] {
        let mut one = engine(id, 1, 1);
        one.announcement.service = "more".to_owned();
        model.planner.update_engine(&one);
    }
    make_fast(&mut model.planner, ["e0", "f"].into_iter(), NOW);
    let urgent = with("urgent", "m", 1, &[SHORT; 9]);
    model.planner.open_step(urgent, NOW, Millis::default(), |_| false);
    let mut later = Step::clone(&with("later", "m", 2, &[LONG, SHORT, SHORT]));
    for sample in &mut later.samples {
        (sample.path, sample.group) = ("/t/1".to_owned(), "g".to_owned());
    }
    model.planner.open_step(Arc::new(later), NOW + 1, Millis::default(), |_| false);
    // The second engine has the higher load.
    model.planner.engine_mut("f").unwrap().running.insert("n".to_owned(), 18);
    let runs = model.planner.assign(&model.config, NOW);
    let places: Vec<(u32, &str)> = runs
        .iter()
        .filter(|run| run.step.id == "later")
        .map(|run| (run.index, run.endpoint.as_str()))
        .collect();
    assert_eq!(places, [(0, "e0"), (1, "f"), (2, "f")]);
}
