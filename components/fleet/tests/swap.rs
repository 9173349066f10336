//! Which engines take new weights.

use std::collections::BTreeMap;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Policy;
use chicoryford_fleet::order_lease::OrderLease;
use chicoryford_fleet::plan::EngineState;
use chicoryford_fleet::plan::Planner;
use chicoryford_fleet::swap::ModelDemand;
use chicoryford_fleet::swap::WeightLoad;
use chicoryford_fleet::swap::assign_engines;
use chicoryford_fleet::swap::select_loads;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;

fn claim(model: &str, version: u64, demand: u64) -> ModelDemand {
    ModelDemand { model: model.to_owned(), version, tokens: demand, peak_samples: 288, starved: 0 }
}

fn plan(versions: &[(u64, u64)]) -> Planner {
    let mut plan = Planner::new(Epoch(1));
    for (number, (one, two)) in versions.iter().enumerate() {
        let said = Announcement {
            id: format!("e{number:02}"),
            started_ms: 0,
            service: "engines".to_owned(),
            address: "10.0.0.1:80".parse().unwrap(),
            data_centre: "z".to_owned(),
            slots: 8,
            draining: false,
            models: BTreeMap::from([("one".to_owned(), *one), ("two".to_owned(), *two)]),
            sequence: 1,
        };
        plan.update_engine(&Endpoint { announcement: said, status: EndpointStatus::Ready });
    }
    plan
}

fn wish(plan: &Planner, claims: &[ModelDemand]) -> Vec<WeightLoad> {
    let seats: Vec<&EngineState> = plan.engines().collect();
    select_loads(&seats, claims, &OrderLease::default(), Policy::default(), Millis(1))
}

#[test]
fn engines_are_divided_by_demand_and_each_model_keeps_two() {
    let engines: Vec<String> = (0..9).map(|n| n.to_string()).collect();
    let engines: Vec<&str> = engines.iter().map(String::as_str).collect();
    let claims = [claim("one", 1, 1), claim("two", 1, 100)];
    let owners = assign_engines(&engines, &claims);
    let of = |model: &str| owners.values().filter(|owner| **owner == model).count();
    assert_eq!((of("one"), of("two")), (2, 7));
    assert!(assign_engines(&engines, &[]).is_empty());
    let claims = [claim("one", 1, 1), claim("two", 1, 1)];
    assert_eq!(assign_engines(&engines[..1], &claims).len(), 1);
}

/// The load: 3,000 engines before three trainers with two steps of 144 samples open at a time. Each
/// version of a model that all its engines took would be a thousand loads, for a few hundred runs.
#[test]
fn a_model_has_no_more_engines_than_its_samples_need() {
    let engines: Vec<String> = (0..3_000).map(|n| format!("e{n:04}")).collect();
    let engines: Vec<&str> = engines.iter().map(String::as_str).collect();
    let mut claims = ["one", "two", "three"].map(|model| claim(model, 2, 1_000));
    claims[2].peak_samples = 0;
    let owners = assign_engines(&engines, &claims);
    let of = |model: &str| owners.values().filter(|owner| **owner == model).count();
    assert_eq!((of("one"), of("two"), of("three")), (144, 144, 2));
}

/// The load: a version every four seconds, loads of about one second, two at once of nine.
#[test]
fn no_more_engines_load_at_once_than_the_store_serves() {
    let mut plan = plan(&[(1, 1); 9]);
    let claims = [claim("one", 3, 1)];
    let first = wish(&plan, &claims);
    assert_eq!(first.len(), 2);
    plan.engine_mut(&first[0].endpoint).unwrap().loading = Some("one".to_owned());
    let second = wish(&plan, &claims);
    assert_eq!(second.len(), 1);
    assert_ne!(first[0].endpoint, second[0].endpoint);
}

/// The load: two trainers name versions in turn; engines two versions behind serve no step at all.
#[test]
fn engines_that_can_serve_nothing_go_before_those_that_serve_the_current_step() {
    let plan = plan(&[(4, 1), (2, 1), (3, 1), (4, 1), (4, 1), (4, 1), (4, 1), (4, 1), (4, 1)]);
    let first = wish(&plan, &[claim("one", 5, 1)]);
    let names: Vec<&str> = first.iter().map(|wish| wish.endpoint.as_str()).collect();
    assert_eq!(names, ["e01", "e02"]);
}

/// Symptom: a step waits for seconds although engines are idle.
/// Sequence: two models need loads at the same time; samples of one wait because none of its
/// engines is new enough.
/// Cause: loads went by version number and not by who waits.
#[test]
fn a_model_whose_samples_wait_goes_first() {
    let plan = plan(&[(1, 8); 9]);
    let starved = ModelDemand { starved: 5, ..claim("two", 10, 1) };
    let first = wish(&plan, &[claim("one", 3, 1), starved]);
    assert!(first.iter().all(|wish| wish.model == "two"), "{first:?}");
}

#[test]
fn nothing_is_loaded_that_is_there() {
    assert!(wish(&plan(&[(3, 3); 9]), &[claim("one", 3, 1), claim("two", 2, 1)]).is_empty());
}
