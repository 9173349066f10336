//! Measures the cost of one round of the leader by the number of engines: timeouts of the registry,
//! the search for slow runs, the selection of weight loads, and the assignment of the samples of a
//! step.
//!
//! `cargo bench -p chicoryford-fleet --bench round`; docs/SCALE.md has the figures.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Registry;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Step;
use chicoryford_fleet::endpoint;
use chicoryford_fleet::order_lease::OrderLease;
use chicoryford_fleet::plan::EngineState;
use chicoryford_fleet::plan::Planner;
use chicoryford_fleet::plan::SampleOutput;
use chicoryford_fleet::run::Cost;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::run::RunStatus;
use chicoryford_fleet::swap;
use chicoryford_fleet::swap::ModelDemand;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;

use support::announcement;
use support::steps_config;

/// Numbers of engines: a few, those of fleets with 30, 100, 300 and 1,000 VMs, and twice as many.
const ENGINES: [usize; 6] = [46, 300, 1_000, 3_000, 10_000, 20_000];
/// Samples per step, as submitted by trainers of the largest deployment.
const SAMPLES: usize = 144;
/// Timed rounds.
const ROUNDS: u32 = 50;
const NOW: Millis = Millis(1_000);
const MODELS: [&str; 3] = ["one", "two", "three"];

fn engine(number: usize) -> Endpoint {
    let announcement = Announcement {
        service: "engines".to_owned(),
        slots: 6,
        models: MODELS.iter().map(|model| ((*model).to_owned(), 4)).collect(),
        ..announcement(&format!("i-{number:010x}"), 1)
    };
    Endpoint { announcement, status: EndpointStatus::Ready }
}

fn step(id: &str) -> Arc<Step> {
    let sample = |index: usize| Sample {
        id: format!("{id}{index}"),
        path: "/s/1".to_owned(),
        expected_tokens: index as u64,
        group: format!("g{}", index / 8),
        ..Sample::default()
    };
    Arc::new(Step {
        id: id.to_owned(),
        host: "h".to_owned(),
        model: MODELS[0].to_owned(),
        due_ms: 7_500,
        age_ms: 40_000,
        attempts: 3,
        samples: (0..SAMPLES).map(sample).collect(),
        ..Step::default()
    })
}

/// Starts the samples of a step and reports their pace: without measured paces, no run can be slow.
fn run_step(planner: &mut Planner, config: &Config) {
    planner.open_step(step("running"), NOW, Millis::default(), |_| false);
    for run in planner.assign(config, NOW) {
        let report = RunReport {
            run: run.run,
            step: run.step.id.clone(),
            index: run.index,
            endpoint: run.endpoint,
            status: RunStatus::Running,
            from: 0,
            output: SampleOutput { events: vec!["x".to_owned()], ..SampleOutput::default() },
            gap_ms: 40,
            cost: Cost::default(),
            remaining_ms: 40_000,
        };
        planner.set_host(&report.step, report.index, "h");
        planner.record_report("h", &report, NOW);
    }
}

/// Returns the microseconds per call.
fn time(mut work: impl FnMut()) -> f64 {
    let began = Instant::now();
    for _ in 0..ROUNDS {
        work();
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn main() {
    // Test runners call every target with these arguments to list its tests.
    if std::env::args().any(|argument| argument == "--list" || argument == "--test") {
        return;
    }
    println!("engines  registry us  slow runs us  weights us  {SAMPLES} samples us");
    for count in ENGINES {
        let engines: Vec<Endpoint> = (0..count).map(engine).collect();
        let known = engines.iter().cloned();
        let mut registry = Registry::from_known(endpoint::Settings::default(), known, NOW);
        let mut planner = Planner::new(Epoch(1));
        engines.iter().for_each(|engine| planner.update_engine(engine));
        let demands = MODELS.map(|model| ModelDemand {
            model: model.to_owned(),
            version: 4,
            tokens: 1_000,
            peak_samples: 2 * SAMPLES,
            starved: 0,
        });
        let (order_lease, policy) = (
            OrderLease { last_orders: BTreeMap::new(), ..OrderLease::default() },
            Policy::default(),
        );
        let config = steps_config();
        run_step(&mut planner, &config);
        let ticks = time(|| drop(registry.tick(NOW)));
        let slow = time(|| drop(planner.slow_runs(NOW)));
        let weights = time(|| {
            let engines: Vec<&EngineState> = planner.engines().collect();
            drop(swap::select_loads(&engines, &demands, &order_lease, policy, |_| false, NOW));
        });
        let mut number = 0;
        let assigned = time(|| {
            let id = format!("s{number}");
            number += 1;
            planner.open_step(step(&id), NOW, Millis::default(), |_| false);
            planner.assign(&config, NOW);
            planner.close_step(&id, NOW);
        });
        println!("{count:7}  {ticks:11.1}  {slow:12.1}  {weights:10.1}  {assigned:14.1}");
    }
}
