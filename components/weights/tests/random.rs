//! Randomised rollouts: versions, failures, leaders and members change at any moment.

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
use fleet::Speeds;

const RUNS: u64 = 100;
const SIZE: usize = 20;
const CALM_MS: u64 = 300_000;

#[derive(Clone, Debug)]
enum Turn {
    Publish(u8),
    Leader,
    Broken(usize),
    Mended(usize),
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
    turns: Vec<Turn>,
}

impl Arbitrary for Turn {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = usize::arbitrary(g) % 64;
        match usize::arbitrary(g) % 10 {
            0 | 1 => Self::Publish(u8::arbitrary(g)),
            2 => Self::Leader,
            3 => Self::Broken(n),
            4 => Self::Mended(n),
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
            turns: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        Box::new((0..self.turns.len()).map(move |n| {
            let mut plan = whole.clone();
            plan.turns.remove(n);
            plan
        }))
    }
}

fn take(fleet: &mut Fleet, turn: &Turn, epoch: &mut u64) {
    let n = fleet.engines.len();
    let nth = |k: usize| k % n;
    match *turn {
        Turn::Publish(version) => fleet.publish(u64::from(version)),
        Turn::Leader => {
            *epoch += 1;
            fleet.tell(Event::NewEpoch(Epoch(*epoch)));
            fleet.announce();
        }
        Turn::Broken(k) | Turn::Mended(k) | Turn::Restart(k) => {
            let Some(engine) = fleet.engines.values_mut().nth(nth(k)) else { return };
            engine.offer.sequence += 1;
            engine.offer.ready = !matches!(turn, Turn::Broken(_));
            if matches!(turn, Turn::Restart(_)) {
                engine.offer.incarnation = Incarnation(engine.offer.incarnation.0 + 1);
            }
            fleet.announce();
        }
        Turn::Wait(ms) => fleet.run(ms),
    }
}

fn holds(plan: &Plan, protections: Protections) -> TestResult {
    let relay = plan.relay;
    let settings = PlannerSettings { relay, protections, ..PlannerSettings::default() };
    let speeds = Speeds { failures: plan.failures, lost: plan.lost, ..Speeds::default() };
    let mut fleet = Fleet::new(plan.samplers, settings, speeds, plan.seed);
    let mut epoch = 1;
    for turn in &plan.turns {
        take(&mut fleet, turn, &mut epoch);
    }
    if fleet.planner.violations() > 0 {
        return TestResult::error("a promise was broken");
    }
    for n in 0..plan.samplers {
        take(&mut fleet, &Turn::Mended(n), &mut epoch);
    }
    fleet.speeds.failures = 0.0;
    fleet.speeds.lost = 0.0;
    fleet.publish(1_000);
    let took = fleet.until_complete(1_000, CALM_MS);
    if fleet.planner.violations() > 0 {
        return TestResult::error("a promise was broken");
    }
    if took.is_none() || fleet.holders(1_000) < plan.samplers {
        return TestResult::error(format!(
            "{} of {} have the newest version",
            fleet.holders(1_000),
            plan.samplers
        ));
    }
    TestResult::from_bool(fleet.most_store <= 8)
}

fn number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Gives the number of runs that held, or what the failing one showed.
fn check(run: fn(Plan) -> TestResult) -> Result<u64, String> {
    let seed = number("CHICORYFORD_SEED", 1);
    let runs = number("CHICORYFORD_RUNS", RUNS);
    println!("seed {seed}, {runs} runs");
    let rng = Gen::from_size_and_seed(SIZE, seed);
    let result = QuickCheck::new().rng(rng).tests(runs).max_tests(runs).quicktest(run);
    result.map_err(|failed| format!("{failed:?}"))
}

#[test]
fn can_bring_all_samplers_up_to_date_after_random_turns() {
    let run = |plan| holds(&plan, Protections::default());
    assert_eq!(check(run), Ok(number("CHICORYFORD_RUNS", RUNS)));
}

/// Tells in which run a protection that is off was noticed. Failing plans are not made smaller:
/// without protections each of them can go on without end.
fn noticed(protections: Protections) -> Option<u64> {
    let mut rng = Gen::from_size_and_seed(SIZE, number("CHICORYFORD_SEED", 1));
    let found = (1..=RUNS).find(|_| {
        let plan = Plan::arbitrary(&mut rng);
        catch_unwind(|| holds(&plan, protections).is_failure()).unwrap_or(true)
    });
    println!("{protections:?}: noticed in run {found:?}");
    found
}

#[test]
fn the_run_notices_when_the_share_is_not_bounded() {
    assert!(noticed(Protections { share: false, ..Protections::default() }).is_some());
}

#[test]
fn the_run_notices_when_older_versions_are_loaded() {
    assert!(noticed(Protections { newer: false, ..Protections::default() }).is_some());
}

#[test]
fn the_run_notices_when_an_endpoint_has_two_orders() {
    assert!(noticed(Protections { single: false, ..Protections::default() }).is_some());
}

#[test]
fn the_run_notices_when_the_store_is_not_bounded() {
    assert!(noticed(Protections { store: false, ..Protections::default() }).is_some());
}
