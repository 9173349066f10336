//! Long random runs of the real ledger, stores, placement and audits, with holders that die,
//! restart, fill up and corrupt bodies. At most two copies of a body are lost between repairs.
//! Within that limit no body may be lost, and each sample must reach the trainer exactly once, with
//! the same bytes however often the trainer pulls.
//!
//! `CHICORYFORD_SEED` and `CHICORYFORD_RUNS` select another seed and a longer run. Each of the last
//! tests disables one protection, and the same seed must detect it.

mod world;

use std::env;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use world::Op;
use world::Protections;
use world::World;

const SEED: u64 = 20_261_202;
const RUNS: u64 = 150;
const LENGTH: usize = 400;

fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns the first fault of all runs, if there is one.
fn first_fault(protections: Protections) -> Option<String> {
    let (seed, runs) = (env_number("CHICORYFORD_SEED", SEED), env_number("CHICORYFORD_RUNS", RUNS));
    let mut random = Gen::from_size_and_seed(LENGTH, seed);
    let mut counts = world::Counts::default();
    for run in 0..runs {
        let mut world = World::new(protections);
        for event in 0..LENGTH {
            let op = Op::arbitrary(&mut random);
            if let Err(fault) = world.step(op) {
                return Some(format!("run {run}, event {event}: {fault}"));
            }
        }
        if let Err(fault) = world.finish() {
            return Some(format!("run {run}, at the end: {fault}"));
        }
        counts.add(&world.counts);
    }
    println!("seed={seed} runs={runs} length={LENGTH} {counts:?}");
    assert!(counts.all_occurred(), "a case never occurred: {counts:?}");
    None
}

#[test]
fn loses_no_body_while_two_holders_die_between_repairs() {
    assert_eq!(first_fault(Protections::default()), None);
}

#[test]
fn detects_missing_repairs() {
    let fault = first_fault(Protections { repair: false, ..Protections::default() });
    println!("{fault:?}");
    assert!(fault.is_some());
}

#[test]
fn detects_missing_digest_checks() {
    let fault = first_fault(Protections { verify: false, ..Protections::default() });
    println!("{fault:?}");
    assert!(fault.is_some());
}

#[test]
fn detects_bodies_with_only_two_holders() {
    let fault = first_fault(Protections { copies: 2, ..Protections::default() });
    println!("{fault:?}");
    assert!(fault.is_some());
}

#[test]
fn detects_unnoticed_restarts() {
    let fault = first_fault(Protections { incarnations: false, ..Protections::default() });
    println!("{fault:?}");
    assert!(fault.is_some());
}
