//! Measures the decisions of routing, admission and suspects against simpler rules, on small fake
//! endpoints. Prints the seed and the figures; docs/ROUTING.md and docs/ADMISSION.md quote them.

mod arm;
mod bench;
mod engine;
mod entry;
mod gauges;
mod leases;
mod request;
mod run;
mod subsets;
mod suspicion;
mod tally;
mod trainer;

use chicoryford_types::Class;
use clap::Parser;
use clap::ValueEnum;

use crate::arm::ARMS;
use crate::arm::FAULTS;
use crate::arm::Fault;
use crate::arm::RULES;
use crate::run::Plan;
use crate::tally::Tally;

/// What is measured.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum What {
    /// Rules under load and faults.
    Faults,
    /// What a decision costs.
    Cost,
    /// Ways to draw subsets.
    Subsets,
    /// Both errors of the rule on requests that crash endpoints.
    Suspects,
    /// Ways to share a limit over entries.
    Leases,
    /// Gates that watch one or several resources.
    Gauges,
}

#[derive(Parser)]
#[command(about = "Measures the decisions against simpler rules")]
struct Options {
    /// What is measured.
    #[arg(value_enum, default_value = "faults")]
    what: What,
    /// The seed of the first run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds each line sums up.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Seconds of virtual time in each run.
    #[arg(long, default_value_t = 240)]
    seconds: u64,
    /// Loads, in percent of what the engines can do.
    #[arg(long, value_delimiter = ',', default_values_t = [50, 80, 100, 150])]
    loads: Vec<u32>,
    /// Only this arm.
    #[arg(long)]
    arm: Option<String>,
    /// The rules of routing alone, instead of the whole table.
    #[arg(long)]
    rules: bool,
    /// Only without fault.
    #[arg(long)]
    calm: bool,
}

fn main() {
    let options = Options::parse();
    match options.what {
        What::Faults => faults(&options),
        What::Cost => {
            bench::routing();
            bench::admission();
        }
        What::Subsets => subsets::run(),
        What::Suspects => suspicion::run(options.seed),
        What::Leases => leases::run(options.seed),
        What::Gauges => gauges::run(options.seed),
    }
}

fn faults(options: &Options) {
    println!("seed={} seeds={} seconds={}", options.seed, options.seeds, options.seconds);
    println!(
        "{:>4} {:<7} {:<16} {:>8} {:>8} {:>7} {:>7} {:>6} {:>5} {:>4} {:>7} {:>6} {:>7} {:>6}",
        "load",
        "fault",
        "rule",
        "urgent%",
        "normal%",
        "u.late",
        "u.ref",
        "idle%",
        "lag",
        "max",
        "wasted%",
        "steps",
        "hedges",
        "broken"
    );
    for load in &options.loads {
        for fault in FAULTS {
            if options.calm && fault != Fault::None {
                continue;
            }
            let arms: &[arm::Arm] = if options.rules { &RULES } else { &ARMS };
            for &arm in arms {
                if options.arm.as_ref().is_some_and(|name| name != arm.name) {
                    continue;
                }
                let tallies: Vec<Tally> =
                    (0..options.seeds).map(|n| measure(options, *load, n, arm, fault)).collect();
                print(*load, fault, arm.name, &tallies);
            }
        }
    }
}

fn measure(options: &Options, load: u32, n: u64, arm: arm::Arm, fault: Fault) -> Tally {
    let plan = Plan {
        engines: 20,
        entries: 5,
        trainers: 2,
        ms: options.seconds * 1_000,
        load: f64::from(load) / 100.0,
        seed: options.seed + n,
    };
    run::run(plan, arm, fault)
}

fn print(load: u32, fault: Fault, rule: &str, tallies: &[Tally]) {
    let mean =
        |of: &dyn Fn(&Tally) -> f64| tallies.iter().map(of).sum::<f64>() / tallies.len() as f64;
    let urgent = Class::Urgent as usize;
    println!(
        "{load:>4} {:<7} {rule:<16} {:>8.3} {:>8.2} {:>6.0} {:>6.0} {:>7} {:>7} {:>6.2} {:>5.2} {:>4} {:>7.2} {:>6} {:>7} {:>6} {:>5.1}",
        format!("{fault:?}").to_lowercase(),
        100.0 * mean(&|t| t.on_time(Class::Urgent)),
        100.0 * mean(&|t| t.on_time(Class::Normal)),
        mean(&|t| t.took[1].value_at_quantile(0.5) as f64),
        mean(&|t| t.took[1].value_at_quantile(0.99) as f64),
        tallies.iter().map(|t| t.class[urgent].late).sum::<u64>(),
        tallies.iter().map(|t| t.class[urgent].refused).sum::<u64>(),
        100.0 * mean(&|t| t.idle),
        mean(&|t| t.lag),
        tallies.iter().map(|t| t.lag_most).max().unwrap_or(0),
        100.0 * mean(&|t| t.wasted / t.tokens.max(1.0)),
        tallies.iter().map(|t| t.steps).sum::<u64>(),
        tallies.iter().map(|t| t.hedges).sum::<u64>(),
        tallies.iter().map(|t| t.broken).sum::<u64>(),
        100.0 * mean(&|t| t.hits as f64 / t.runs.max(1) as f64),
    );
}
