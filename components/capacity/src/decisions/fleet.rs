//! How long a version takes to all samplers, and what planning it costs, against their number.

#[path = "../../../weights/tests/fleet/mod.rs"]
mod fleets;

use std::time::Instant;

use chicoryford_weights::PlannerSettings;

use crate::data::Data;
use crate::data::Series;
use crate::data::Source;

use super::REPEATS;
use fleets::Fleet;
use fleets::Speeds;

const SIZES: [usize; 5] = [25, 100, 400, 800, 1_600];
/// A leader that has long led, so that its wait after an election does not count.
const WARM_MS: u64 = 4_000;
const LONGEST_MS: u64 = 600_000;

/// Measures both ways of fetching: relayed by holders, and all from the store.
pub fn measure(data: &mut Data) {
    for n in SIZES {
        for repeat in 0..REPEATS {
            one(data, n, true, data.seed + repeat);
            one(data, n, false, data.seed + repeat);
        }
    }
}

fn one(data: &mut Data, n: usize, relay: bool, seed: u64) {
    let settings = PlannerSettings { relay, ..PlannerSettings::default() };
    let mut fleet = Fleet::new(n, settings, Speeds::default(), seed);
    fleet.run(WARM_MS);
    let clock = Instant::now();
    fleet.publish(2);
    let took = fleet.until_complete(2, LONGEST_MS).unwrap_or(LONGEST_MS) as f64 / 1_000.0;
    let cpu = clock.elapsed().as_secs_f64();
    let name = if relay { "weights_relay" } else { "weights_store" };
    add(data, name, "s until all hold it", n, took);
    if relay {
        add(data, "weights_cpu", "s of processor time a version, fake fleet included", n, cpu);
        add(data, "weights_orders", "orders a version", n, fleet.orders as f64);
    }
}

fn add(data: &mut Data, name: &str, unit: &str, n: usize, y: f64) {
    let series = Series { name, variable: "samplers", unit, source: Source::InProcess };
    data.add(&series, n as f64, y);
}
