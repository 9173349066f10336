//! Long random runs of the replicated state: duplicates, concurrent changes, resends, expired
//! sessions, new leaders whose clocks are behind, and a second replica that is restored from
//! snapshots.
//!
//! `CHICORYFORD_SEED` and `CHICORYFORD_RUNS` select another seed and number of runs.

mod commands;
mod coverage;
mod oracle;
mod replicas;

use std::env;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use crate::commands::Script;
use crate::replicas::Replicas;

const SEED: u64 = 20_261_202;
const RUNS: u64 = 120;
const LENGTH: usize = 1_000;

fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run(script: Script) -> TestResult {
    let mut replicas = Replicas::default();
    for (number, op) in script.0.iter().enumerate() {
        if let Err(fault) = replicas.step(op) {
            return TestResult::error(format!("at event {number}: {fault}"));
        }
    }
    match replicas.finish() {
        Ok(()) => TestResult::passed(),
        Err(fault) => TestResult::error(fault),
    }
}

#[test]
fn upholds_invariants_in_random_runs() {
    let (seed, runs) = (env_number("CHICORYFORD_SEED", SEED), env_number("CHICORYFORD_RUNS", RUNS));
    println!("seed={seed} runs={runs} length<={LENGTH}");
    let random = Gen::from_size_and_seed(LENGTH, seed);
    QuickCheck::new().rng(random).tests(runs).quickcheck(run as fn(Script) -> TestResult);
    coverage::report();
}
