//! A planner with engines and steps, and reports about its runs.

use std::collections::BTreeMap;
use std::sync::Arc;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Step;
use chicoryford_fleet::plan::Assignment;
use chicoryford_fleet::plan::Planner;
use chicoryford_fleet::plan::SampleOutput;
use chicoryford_fleet::run;
use chicoryford_fleet::run::RunReport;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;

use super::steps_config;

/// When the steps are opened.
pub const NOW: Millis = Millis(1_000);

/// Returns an engine of the service "engines" that has a version of the model "m".
pub fn engine(id: &str, slots: u32, version: u64) -> Endpoint {
    let announcement = Announcement {
        id: id.to_owned(),
        started_ms: 0,
        service: "engines".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "z".to_owned(),
        slots,
        draining: false,
        models: BTreeMap::from([("m".to_owned(), version)]),
        sequence: 1,
    };
    Endpoint { announcement, status: EndpointStatus::Ready }
}

/// Returns a step of the model "m" with a sample for each number of expected tokens.
pub fn step(id: &str, expected: &[u64]) -> Arc<Step> {
    let sample = |(index, expected): (usize, &u64)| Sample {
        id: format!("{id}{index}"),
        path: "/s/1".to_owned(),
        expected_tokens: *expected,
        tokens: *expected,
        ..Sample::default()
    };
    Arc::new(Step {
        id: id.to_owned(),
        host: "h".to_owned(),
        model: "m".to_owned(),
        min_version: 1,
        due_ms: 7_500,
        age_ms: 40_000,
        attempts: 3,
        priority: 1,
        samples: expected.iter().enumerate().map(sample).collect(),
        ..Step::default()
    })
}

/// Returns the planner of the first leader, with these engines and open steps.
pub fn planner(engines: &[Endpoint], steps: &[Arc<Step>]) -> Planner {
    let mut planner = Planner::new(Epoch(1));
    for engine in engines {
        planner.update_engine(engine);
    }
    for step in steps {
        planner.open_step(step.clone(), NOW, Millis::default(), |_| false);
    }
    planner
}

/// Assigns all samples that can start to the host "a".
pub fn assign(planner: &mut Planner, now: Millis) -> Vec<Assignment> {
    let assigned = planner.assign(&steps_config(), now);
    for one in &assigned {
        planner.set_host(&one.step.id, one.index, "a");
    }
    assigned
}

/// Returns a report of a run with all of its events.
pub fn report(run: &Assignment, status: run::RunStatus, events: &[&str]) -> RunReport {
    RunReport {
        run: run.run,
        step: run.step.id.clone(),
        index: run.index,
        endpoint: run.endpoint.clone(),
        status,
        from: 0,
        output: SampleOutput {
            events: events.iter().map(|event| (*event).to_owned()).collect(),
            last_id: Some(events.len().to_string()),
            versions: vec![1],
        },
        gap_ms: 0,
        cost: run::Cost::default(),
        remaining_ms: 40_000,
    }
}
