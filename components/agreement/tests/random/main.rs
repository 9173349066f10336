//! Randomised runs of several replicas (docs/AGREEMENT.md tells how to run longer ones).

mod chaos;
mod disk;
mod judge;
mod mutation;
mod named;
mod world;

use std::env;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::world::Plan;
use crate::world::World;

const SEED: u64 = 2_026;
const EVENTS: u64 = 1_200_000;
const RUN: u64 = 50_000;

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            seed: u64::arbitrary(g),
            replicas: *g.choose(&[3, 3, 5, 5, 7]).unwrap(),
            events: RUN,
            loss: *g.choose(&[0, 2, 6]).unwrap(),
            calm: *g.choose(&[60, 250, 1_000]).unwrap(),
            ..Self::default()
        }
    }
}

fn number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn keeps_its_promises(plan: Plan) -> bool {
    let mut world = World::new(plan);
    world.run();
    let judge = &world.judge;
    println!(
        "seed={} replicas={} loss={} calm={} events={} acks={} reads={} leaders={} symptom={:?}",
        world.plan.seed,
        world.plan.replicas,
        world.plan.loss,
        world.plan.calm,
        world.events,
        judge.acks,
        judge.reads,
        judge.leaders(),
        judge.symptom,
    );
    if judge.symptom.is_some() {
        world.show();
    }
    judge.symptom.is_none()
}

/// Runs one plan again: `CHICORYFORD_PLAN=seed,replicas,loss,calm`.
#[test]
fn keeps_its_promises_in_the_plan_asked_for() {
    let Ok(text) = env::var("CHICORYFORD_PLAN") else { return };
    let numbers: Vec<u64> = text.split(',').map(|part| part.parse().unwrap()).collect();
    let [seed, replicas, loss, calm] = numbers[..] else { panic!("seed,replicas,loss,calm") };
    let (replicas, loss) = (replicas as usize, loss as u32);
    assert!(keeps_its_promises(Plan { seed, replicas, loss, calm, ..Plan::default() }));
}

#[test]
fn keeps_its_promises_in_randomised_runs() {
    let seed = number("CHICORYFORD_SEED", SEED);
    let runs = number("CHICORYFORD_EVENTS", EVENTS).div_ceil(RUN);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(runs)
        .quickcheck(keeps_its_promises as fn(Plan) -> bool);
}
