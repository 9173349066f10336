//! Randomised simulations of several replicas (docs/AGREEMENT.md describes how to run longer ones).

mod checker;
mod disk;
mod faults;
mod mutation;
mod planned;
mod regressions;
mod simulation;

use std::env;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::simulation::Plan;
use crate::simulation::Simulation;

const SEED: u64 = 2_026;
const EVENTS: u64 = 1_200_000;
const RUN_EVENTS: u64 = 50_000;

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            seed: u64::arbitrary(g),
            replicas: *g.choose(&[3, 3, 5, 5, 7]).unwrap(),
            max_events: RUN_EVENTS,
            loss_percent: *g.choose(&[0, 2, 6]).unwrap(),
            fault_interval_ms: *g.choose(&[60, 250, 1_000]).unwrap(),
            ..Self::default()
        }
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn upholds_invariants(plan: Plan) -> bool {
    let mut sim = Simulation::new(plan);
    sim.run();
    let checker = &sim.checker;
    println!(
        "seed={} replicas={} loss={} calm={} events={} acks={} reads={} leaders={} symptom={:?}",
        sim.plan.seed,
        sim.plan.replicas,
        sim.plan.loss_percent,
        sim.plan.fault_interval_ms,
        sim.events,
        checker.acks,
        checker.reads,
        checker.leaders(),
        checker.symptom,
    );
    if checker.symptom.is_some() {
        sim.show();
    }
    checker.symptom.is_none()
}

/// Repeats a single plan: `CHICORYFORD_PLAN=seed,replicas,loss,calm`.
#[test]
fn upholds_invariants_in_the_requested_plan() {
    let Ok(text) = env::var("CHICORYFORD_PLAN") else { return };
    let numbers: Vec<u64> = text.split(',').map(|part| part.parse().unwrap()).collect();
    let [seed, replicas, loss, fault_interval_ms] = numbers[..] else {
        panic!("CHICORYFORD_PLAN must be seed,replicas,loss,calm")
    };
    let (replicas, loss_percent) = (replicas as usize, loss as u32);
    assert!(upholds_invariants(Plan {
        seed,
        replicas,
        loss_percent,
        fault_interval_ms,
        ..Plan::default()
    }));
}

#[test]
fn upholds_invariants_in_randomised_runs() {
    let seed = env_number("CHICORYFORD_SEED", SEED);
    let runs = env_number("CHICORYFORD_EVENTS", EVENTS).div_ceil(RUN_EVENTS);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(runs)
        .quickcheck(upholds_invariants as fn(Plan) -> bool);
}
