//! Measures in virtual time how long a version takes to reach all samplers, fetched from other
//! holders or only from the store, for increasing numbers of samplers, with and without failures.
//!
//! `cargo run --release -p chicoryford-weights --example measure_weights [seed]`

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::env;
use std::time::Instant;

use chicoryford_weights::PlannerSettings;

use fleet::Fleet;
use fleet::Timings;

const SIZES: [usize; 4] = [10, 100, 400, 1_600];
const TIMEOUT_MS: u64 = 3_600_000;

fn main() {
    let seed = env::args().nth(1).and_then(|word| word.parse().ok()).unwrap_or(1);
    println!("seed {seed}; store 8 fetches at once, 2 s a fetch, 2 s a relay, 0.3 s a swap");
    println!(
        "samplers  failures  share  rule    99%-ms  done-ms  missing  orders  most-out  broken  cpu-ms"
    );
    for percent in [25, 50] {
        for failures in [0.0, 0.05] {
            for n in SIZES {
                for relay in [false, true] {
                    measure(n, failures, percent, relay, seed);
                }
            }
        }
    }
    println!("load of how many ms lets 1,600 samplers be done in 24,000 ms, without failures:");
    for percent in [25, 50] {
        for feeds in [1, 2] {
            find_longest_load(percent, feeds, seed);
        }
    }
}

fn measure(n: usize, failures: f64, percent: u32, relay: bool, seed: u64) {
    let settings = PlannerSettings { relay, swap_percent: percent, ..PlannerSettings::default() };
    let timings = Timings { failures, ..Timings::default() };
    let mut fleet = Fleet::new(n, settings, timings, seed);
    // Starts with a settled leader, so that the delay after a change of leader does not count.
    fleet.run(4_000);
    let clock = Instant::now();
    fleet.publish(2);
    let began = fleet.now;
    while fleet.holders(2) * 100 < n * 99 && fleet.now.since(began) < TIMEOUT_MS {
        fleet.run(50);
    }
    let most_ms = fleet.now.since(began);
    let all_updated_ms = fleet.until_complete(2, TIMEOUT_MS);
    let cpu_ms = clock.elapsed().as_millis();
    println!(
        "{n:8}  {failures:8}  {percent:5}  {:5}  {most_ms:7}  {:7}  {:7}  {:6}  {:8}  {:6}  {cpu_ms:6}",
        if relay { "relay" } else { "store" },
        all_updated_ms.map_or("over".to_owned(), |ms| ms.to_string()),
        fleet.given_up.len(),
        fleet.orders,
        fleet.max_swapping,
        fleet.planner.violations(),
    );
}

/// Finds the longest load, fetch and swap together, with which 1,600 samplers are updated in 24 s.
fn find_longest_load(percent: u32, feeds: usize, seed: u64) {
    let (mut low, mut high) = (100, 8_000);
    while high - low > 50 {
        let load = (low + high) / 2;
        let settings =
            PlannerSettings { feeds, swap_percent: percent, ..PlannerSettings::default() };
        let fetch = load * 9 / 10;
        let timings = Timings {
            store_ms: fetch,
            relay_ms: fetch,
            swap_ms: load - fetch,
            ..Timings::default()
        };
        let mut fleet = Fleet::new(1_600, settings, timings, seed);
        fleet.run(4_000);
        fleet.publish(2);
        let holds = fleet.until_complete(2, 24_000).is_some();
        (low, high) = if holds { (load, high) } else { (low, load) };
    }
    println!("share {percent}%, {feeds} feeds a holder, 8 from the store: {low} ms");
}
