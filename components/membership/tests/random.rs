//! Randomised runs: faults of all kinds, alone and combined, then a period without faults, after
//! which all peers must agree.
//!
//! `CHICORYFORD_SEED` replaces the fixed seed and `CHICORYFORD_RUNS` the number of runs.

mod net;

use std::env;

use chicoryford_membership::SwimSettings;
use chicoryford_types::Incarnation;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use net::Network;

const RUNS: u64 = 60;
const SIZE: usize = 30;
/// Virtual time after the last fault until all peers must agree.
const SETTLE_MS: u64 = 180_000;

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize, bool),
    Freeze(usize, u64),
    Loss(u8),
    BlockPath(usize, usize),
    Partition(usize, usize),
    Heal,
    Wait(u64),
}

#[derive(Clone, Debug)]
struct Plan {
    peers: usize,
    data_centres: usize,
    seed: u64,
    faults: Vec<Fault>,
}

fn below(g: &mut Gen, n: usize) -> usize {
    usize::arbitrary(g) % n
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (below(g, 64), below(g, 64));
        match below(g, 14) {
            0 | 1 => Self::Kill(a),
            2 | 3 => Self::Restart(a, bool::arbitrary(g)),
            4 => Self::Freeze(a, 1_000 + below(g, 60_000) as u64),
            5 => Self::Loss(below(g, 30) as u8),
            6 => Self::BlockPath(a, b),
            7 => Self::Partition(a, 1 + b),
            8 | 9 => Self::Heal,
            _ => Self::Wait(below(g, 20_000) as u64),
        }
    }
}

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            peers: 3 + below(g, 38),
            data_centres: 1 + below(g, 4),
            seed: u64::arbitrary(g),
            faults: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        let shorter = (0..self.faults.len()).map(move |n| {
            let mut plan = whole.clone();
            plan.faults.remove(n);
            plan
        });
        Box::new(shorter)
    }
}

fn apply_fault(net: &mut Network, fault: &Fault, frozen: &mut Vec<(usize, u64)>) {
    let n = net.peers.len();
    match *fault {
        Fault::Kill(a) => net.kill(a % n),
        Fault::Restart(a, behind) => {
            let now = net.now.0;
            let incarnation = if behind { 1 } else { 10_000 + now };
            frozen.retain(|(peer, _)| *peer != a % n);
            net.restart(a % n, Incarnation(incarnation));
        }
        Fault::Freeze(a, ms) => {
            if net.peers[a % n].up && !net.peers[a % n].frozen {
                net.freeze(a % n);
                frozen.push((a % n, net.now.0 + ms));
            }
        }
        Fault::Loss(percent) => net.loss = f64::from(percent) / 100.0,
        Fault::BlockPath(a, b) => {
            net.blocked_paths.insert((a % n, b % n));
        }
        Fault::Partition(a, size) => (0..size).for_each(|k| net.partition[(a + k) % n] = 1),
        Fault::Heal => {
            net.loss = 0.0;
            net.blocked_paths.clear();
            net.partition.fill(0);
        }
        Fault::Wait(ms) => wait(net, ms, frozen),
    }
}

fn wait(net: &mut Network, ms: u64, frozen: &mut Vec<(usize, u64)>) {
    let end = net.now + ms;
    while net.now < end {
        net.run(100);
        let now = net.now.0;
        for (peer, _) in frozen.extract_if(.., |(_, until)| *until <= now) {
            net.thaw(peer);
        }
    }
}

/// Runs a plan, ends all faults, and returns an error that describes what does not hold.
fn run_plan(plan: &Plan, settings: SwimSettings) -> Result<(), String> {
    let mut net = Network::new(plan.peers, plan.data_centres, settings, plan.seed);
    let mut frozen = Vec::new();
    for fault in &plan.faults {
        apply_fault(&mut net, fault, &mut frozen);
        if net.violations() > 0 {
            return Err(format!("an invariant was violated at {:?}", net.now));
        }
    }
    apply_fault(&mut net, &Fault::Heal, &mut frozen);
    frozen.drain(..).for_each(|(peer, _)| net.thaw(peer));
    if !net.peers[..3.min(plan.peers)].iter().any(|peer| peer.up) {
        net.restart(0, Incarnation(1_000_000 + net.now.0));
    }
    net.run(SETTLE_MS);
    if net.violations() > 0 {
        return Err("an invariant was violated after the faults".to_owned());
    }
    if !net.all_agree() {
        return Err("running peers do not all see each other as alive".to_owned());
    }
    for of in (0..plan.peers).filter(|of| !net.peers[*of].up) {
        let observers = (0..plan.peers).filter(|at| net.peers[*at].up);
        let present = observers.map(|at| net.standing(of, at));
        if present.flatten().any(|standing| standing <= chicoryford_types::Standing::Suspect) {
            return Err(format!("the dead peer {of} is seen as present"));
        }
    }
    Ok(())
}

fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn holds(plan: Plan) -> TestResult {
    match run_plan(&plan, SwimSettings::default()) {
        Ok(()) => TestResult::passed(),
        Err(failure) => TestResult::error(failure),
    }
}

#[test]
fn can_agree_after_random_faults() {
    let seed = env_number("CHICORYFORD_SEED", 1);
    let runs = env_number("CHICORYFORD_RUNS", RUNS);
    println!("seed {seed}, {runs} runs");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, seed))
        .tests(runs)
        .quickcheck(holds as fn(Plan) -> TestResult);
}

/// Returns the number of the first plan that detects a disabled safety check.
fn first_detected(settings: &SwimSettings) -> Option<u64> {
    let mut random = Gen::from_size_and_seed(SIZE, 1);
    (1..=RUNS).find(|_| run_plan(&Plan::arbitrary(&mut random), settings.clone()).is_err())
}

#[test]
fn detects_a_missing_refutation() {
    let settings = SwimSettings { refutation: false, ..SwimSettings::default() };
    let quiet_plan = Plan { peers: 20, data_centres: 2, seed: 1, faults: Vec::new() };
    assert_eq!(run_plan(&quiet_plan, settings.clone()), Ok(()));
    let run = first_detected(&settings);
    println!("detected in run {run:?}");
    assert!(run.is_some());
}
