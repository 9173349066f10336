//! Long random runs of the real ledger, stores, placement and audits, with holders that die,
//! restart, fill up and turn faulty. At most two copies of anything are lost between repairs;
//! within that nothing may be lost, and each sample must reach the trainer once, with the same
//! bytes however often it pulls.
//!
//! `CHICORYFORD_SEED` and `CHICORYFORD_RUNS` choose another seed and a longer run. The mutations
//! at the foot turn one protection off each, and the same seed must notice.

mod world;

use std::env;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use world::Op;
use world::Rules;
use world::World;

const SEED: u64 = 20_261_202;
const RUNS: u64 = 150;
const LENGTH: usize = 400;

fn setting(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Gives the first fault of all runs, if there is one.
fn first_fault(rules: Rules) -> Option<String> {
    let (seed, runs) = (setting("CHICORYFORD_SEED", SEED), setting("CHICORYFORD_RUNS", RUNS));
    let mut random = Gen::from_size_and_seed(LENGTH, seed);
    let mut counts = world::Counts::default();
    for run in 0..runs {
        let mut world = World::new(rules);
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
    assert!(counts.all_met(), "a case never came: {counts:?}");
    None
}

#[test]
fn loses_nothing_while_two_holders_go_between_repairs() {
    assert_eq!(first_fault(Rules::default()), None);
}

#[test]
fn notices_that_nothing_is_repaired() {
    let fault = first_fault(Rules { repair: false, ..Rules::default() });
    println!("{fault:?}");
    assert!(fault.is_some());
}

#[test]
fn notices_that_digests_are_not_checked() {
    let fault = first_fault(Rules { verify: false, ..Rules::default() });
    println!("{fault:?}");
    assert!(fault.is_some());
}

#[test]
fn notices_that_a_body_has_two_holders_only() {
    let fault = first_fault(Rules { copies: 2, ..Rules::default() });
    println!("{fault:?}");
    assert!(fault.is_some());
}

#[test]
fn notices_that_a_restart_is_not_seen() {
    let fault = first_fault(Rules { incarnations: false, ..Rules::default() });
    println!("{fault:?}");
    assert!(fault.is_some());
}
