//! Ways to share a workspace's limit over entries: how much of it callers can use when they come
//! unevenly and move.

use chicoryford_admission::shares::even_share;
use chicoryford_admission::shares::split_by_demand;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ENTRIES: usize = 6;
const LIMIT: u32 = 600;
const PERIODS: usize = 10_000;
/// Periods after which the demand moves to other entries.
const MOVES: usize = 20;

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Even,
    After,
    Before,
}

/// Prints the ways beside each other.
pub fn run(seed: u64) {
    println!("{:<28} {:>6} {:>10} {:>10}", "way", "load%", "used%", "over limit");
    for load in [50_u32, 80, 100, 150] {
        show("even", Way::Even, load, seed);
        show("by demand after the gate", Way::After, load, seed);
        show("by demand before the gate", Way::Before, load, seed);
    }
}

fn show(name: &str, way: Way, load: u32, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut weights = [1.0_f64; ENTRIES];
    let mut shares: Vec<u32> = (0..ENTRIES).map(|n| even_share(LIMIT, 6, n as u32)).collect();
    let (mut used, mut could, mut over) = (0_u64, 0_u64, 0_u64);
    for period in 0..PERIODS {
        if period % MOVES == 0 {
            weights = std::array::from_fn(|_| rng.random_range(0.05_f64..1.0).powi(3));
        }
        let sum: f64 = weights.iter().sum();
        let total = f64::from(LIMIT * load / 100);
        let asked: Vec<u64> = weights.iter().map(|w| (w / sum * total) as u64).collect();
        let admitted: Vec<u64> =
            asked.iter().zip(&shares).map(|(a, s)| (*a).min(u64::from(*s))).collect();
        let all: u64 = admitted.iter().sum();
        used += all;
        could += asked.iter().sum::<u64>().min(u64::from(LIMIT));
        over += u64::from(all > u64::from(LIMIT));
        shares = match way {
            Way::Even => shares,
            Way::After => split_by_demand(LIMIT, &admitted),
            Way::Before => split_by_demand(LIMIT, &asked),
        };
    }
    let share = 100.0 * used as f64 / could as f64;
    println!("{name:<28} {load:>6} {share:>10.2} {over:>10}");
}
