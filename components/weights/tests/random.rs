//! Randomised rollouts in which publications, failures, and changes of leaders and members
//! interleave.

mod fleet;

use std::env;
use std::panic::catch_unwind;

use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_weights::Event;
use chicoryford_weights::PlannerSettings;
use chicoryford_weights::Protections;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use fleet::Fleet;
use fleet::Timings;

const RUNS: u64 = 100;
const SIZE: usize = 20;
const RECOVERY_MS: u64 = 300_000;

#[derive(Clone, Debug)]
enum Step {
    Publish(u8),
    Leader,
    Broken(usize),
    Repaired(usize),
    Restart(usize),
    Wait(u64),
}

#[derive(Clone, Debug)]
struct Plan {
    samplers: usize,
    failures: f64,
    lost: f64,
    seed: u64,
    relay: bool,
    steps: Vec<Step>,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = usize::arbitrary(g) % 64;
        match usize::arbitrary(g) % 10 {
            0 | 1 => Self::Publish(u8::arbitrary(g)),
            2 => Self::Leader,
            3 => Self::Broken(n),
            4 => Self::Repaired(n),
            5 => Self::Restart(n),
            _ => Self::Wait(u64::arbitrary(g) % 6_000),
        }
    }
}

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            samplers: 1 + usize::arbitrary(g) % 48,
            failures: f64::from(u8::arbitrary(g) % 30) / 100.0,
            lost: f64::from(u8::arbitrary(g) % 20) / 100.0,
            seed: u64::arbitrary(g),
            relay: bool::arbitrary(g),
            steps: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        Box::new((0..self.steps.len()).map(move |n| {
            let mut plan = whole.clone();
            plan.steps.remove(n);
            plan
        }))
    }
}

fn apply_step(fleet: &mut Fleet, step: &Step, epoch: &mut u64) {
    let n = fleet.engines.len();
    let nth = |k: usize| k % n;
    match *step {
        Step::Publish(version) => fleet.publish(u64::from(version)),
        Step::Leader => {
            *epoch += 1;
            fleet.send(Event::NewEpoch(Epoch(*epoch)));
            fleet.announce();
        }
        Step::Broken(k) | Step::Repaired(k) | Step::Restart(k) => {
            let Some(engine) = fleet.engines.values_mut().nth(nth(k)) else { return };
            engine.status.sequence += 1;
            engine.status.ready = !matches!(step, Step::Broken(_));
            if matches!(step, Step::Restart(_)) {
                engine.status.incarnation = Incarnation(engine.status.incarnation.0 + 1);
            }
            fleet.announce();
        }
        Step::Wait(ms) => fleet.run(ms),
    }
}

fn check_plan(plan: &Plan, protections: Protections) -> TestResult {
    let relay = plan.relay;
    let settings = PlannerSettings { relay, protections, ..PlannerSettings::default() };
    let timings = Timings { failures: plan.failures, lost: plan.lost, ..Timings::default() };
    let mut fleet = Fleet::new(plan.samplers, settings, timings, plan.seed);
    let mut epoch = 1;
    for step in &plan.steps {
        apply_step(&mut fleet, step, &mut epoch);
    }
    if fleet.planner.violations() > 0 {
        return TestResult::error("an invariant was violated");
    }
    for n in 0..plan.samplers {
        apply_step(&mut fleet, &Step::Repaired(n), &mut epoch);
    }
    fleet.timings.failures = 0.0;
    fleet.timings.lost = 0.0;
    fleet.publish(1_000);
    let took = fleet.until_complete(1_000, RECOVERY_MS);
    if fleet.planner.violations() > 0 {
        return TestResult::error("an invariant was violated");
    }
    if took.is_none() || fleet.holders(1_000) < plan.samplers {
        return TestResult::error(format!(
            "{} of {} have the newest version",
            fleet.holders(1_000),
            plan.samplers
        ));
    }
    TestResult::from_bool(fleet.max_store_fetches <= 8)
}

fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns the number of passed runs, or the failure.
fn run_all(run: fn(Plan) -> TestResult) -> Result<u64, String> {
    let seed = env_number("CHICORYFORD_SEED", 1);
    let runs = env_number("CHICORYFORD_RUNS", RUNS);
    println!("seed {seed}, {runs} runs");
    let rng = Gen::from_size_and_seed(SIZE, seed);
    let result = QuickCheck::new().rng(rng).tests(runs).max_tests(runs).quicktest(run);
    result.map_err(|failed| format!("{failed:?}"))
}

#[test]
fn can_bring_all_samplers_up_to_date_after_random_steps() {
    let run = |plan| check_plan(&plan, Protections::default());
    assert_eq!(run_all(run), Ok(env_number("CHICORYFORD_RUNS", RUNS)));
}

/// Returns the run in which a disabled protection was detected. Failing plans are not shrunk,
/// because without the protection a run may never end.
fn detected_in(protections: Protections) -> Option<u64> {
    let mut rng = Gen::from_size_and_seed(SIZE, env_number("CHICORYFORD_SEED", 1));
    let found = (1..=RUNS).find(|_| {
        let plan = Plan::arbitrary(&mut rng);
        catch_unwind(|| check_plan(&plan, protections).is_failure()).unwrap_or(true)
    });
    println!("{protections:?}: detected in run {found:?}");
    found
}

#[test]
fn can_detect_an_unbounded_share_out_of_service() {
    assert!(detected_in(Protections { share: false, ..Protections::default() }).is_some());
}

#[test]
fn can_detect_a_load_of_an_older_version() {
    assert!(detected_in(Protections { newer: false, ..Protections::default() }).is_some());
}

#[test]
fn can_detect_two_orders_at_one_endpoint() {
    assert!(detected_in(Protections { single: false, ..Protections::default() }).is_some());
}

#[test]
fn can_detect_unbounded_store_fetches() {
    assert!(detected_in(Protections { store: false, ..Protections::default() }).is_some());
}
