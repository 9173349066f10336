//! Tests of the selection of engines that load new weights.

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
use chicoryford_fleet::swap::assign_classes;
use chicoryford_fleet::swap::assign_engines;
use chicoryford_fleet::swap::select_loads;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;

fn demand(model: &str, version: u64, tokens: u64) -> ModelDemand {
    ModelDemand { model: model.to_owned(), version, tokens, peak_samples: 288, starved: 0 }
}

fn planner(versions: &[(u64, u64)]) -> Planner {
    let mut planner = Planner::new(Epoch(1));
    for (number, (one, two)) in versions.iter().enumerate() {
        let announcement = Announcement {
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
        planner.update_engine(&Endpoint { announcement, status: EndpointStatus::Ready });
    }
    planner
}

fn selected(planner: &Planner, demands: &[ModelDemand]) -> Vec<WeightLoad> {
    let engines: Vec<&EngineState> = planner.engines().collect();
    let policy = Policy::default();
    select_loads(&engines, demands, &OrderLease::default(), policy, |_| false, Millis(1))
}

/// Guards against steps that are always late because their model has no fast engine: divided
/// together, by their ids, the fast engines may all go to one model.
#[test]
fn each_model_gets_its_share_of_the_fast_engines() {
    let ids: Vec<String> = (0..44).map(|n| format!("e{n:02}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let demands = ["one", "two", "three", "four"].map(|model| demand(model, 2, 100));
    let (others, fast) = ids.split_at(33);
    let fast_engines = |assigned: &BTreeMap<&str, &str>, model: &str| {
        fast.iter().filter(|id| assigned.get(**id) == Some(&model)).count()
    };
    let together = assign_engines(&ids, &demands);
    assert_eq!(fast_engines(&together, "one"), 0);
    let assigned = assign_classes(fast, others, &demands);
    for demand in &demands {
        assert!(fast_engines(&assigned, &demand.model) >= 2, "{assigned:?}");
    }
    assert_eq!(assigned.len(), 44);
}

/// Guards against other decisions where no engine is fast.
#[test]
fn without_fast_engines_the_division_is_the_same() {
    let ids: Vec<String> = (0..44).map(|n| format!("e{n:02}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let demands = [demand("one", 1, 7), demand("two", 1, 100), demand("three", 1, 30)];
    assert_eq!(assign_classes(&[], &ids, &demands), assign_engines(&ids, &demands));
}

#[test]
fn engines_are_assigned_by_demand_and_each_model_gets_two() {
    let engines: Vec<String> = (0..9).map(|n| n.to_string()).collect();
    let engines: Vec<&str> = engines.iter().map(String::as_str).collect();
    let demands = [demand("one", 1, 1), demand("two", 1, 100)];
    let assigned = assign_engines(&engines, &demands);
    let of = |model: &str| assigned.values().filter(|owner| **owner == model).count();
    assert_eq!((of("one"), of("two")), (2, 7));
    assert!(assign_engines(&engines, &[]).is_empty());
    let demands = [demand("one", 1, 1), demand("two", 1, 1)];
    assert_eq!(assign_engines(&engines[..1], &demands).len(), 1);
}

/// Three trainers with two open steps of 144 samples each share 3,000 engines. Loading each version
/// of a model on all its engines would take a thousand loads for a few hundred runs.
#[test]
fn a_model_has_no_more_engines_than_its_samples_need() {
    let engines: Vec<String> = (0..3_000).map(|n| format!("e{n:04}")).collect();
    let engines: Vec<&str> = engines.iter().map(String::as_str).collect();
    let mut demands = ["one", "two", "three"].map(|model| demand(model, 2, 1_000));
    demands[2].peak_samples = 0;
    let assigned = assign_engines(&engines, &demands);
    let of = |model: &str| assigned.values().filter(|owner| **owner == model).count();
    assert_eq!((of("one"), of("two"), of("three")), (144, 144, 2));
}

/// A new version every four seconds, loads of about one second, and at most two concurrent loads on
/// nine engines.
#[test]
fn concurrent_loads_are_limited() {
    let mut planner = planner(&[(1, 1); 9]);
    let demands = [demand("one", 3, 1)];
    let first = selected(&planner, &demands);
    assert_eq!(first.len(), 2);
    planner.engine_mut(&first[0].endpoint).unwrap().loading = Some("one".to_owned());
    let second = selected(&planner, &demands);
    assert_eq!(second.len(), 1);
    assert_ne!(first[0].endpoint, second[0].endpoint);
}

/// Two trainers publish versions in turn. Engines two versions behind cannot serve any step.
#[test]
fn engines_that_serve_no_step_load_before_those_that_serve_the_current_step() {
    let planner =
        planner(&[(4, 1), (2, 1), (3, 1), (4, 1), (4, 1), (4, 1), (4, 1), (4, 1), (4, 1)]);
    let first = selected(&planner, &[demand("one", 5, 1)]);
    let names: Vec<&str> = first.iter().map(|load| load.endpoint.as_str()).collect();
    assert_eq!(names, ["e01", "e02"]);
}

/// Guards against a step that waits for seconds while engines are idle. Two models need loads at
/// the same time and samples of one wait because none of its engines is new enough, but loads were
/// ordered by version number instead of waiting samples.
#[test]
fn a_model_with_starved_samples_loads_first() {
    let planner = planner(&[(1, 8); 9]);
    let starved = ModelDemand { starved: 5, ..demand("two", 10, 1) };
    let first = selected(&planner, &[demand("one", 3, 1), starved]);
    assert!(first.iter().all(|load| load.model == "two"), "{first:?}");
}

#[test]
fn versions_that_engines_hold_are_not_loaded_again() {
    assert!(
        selected(&planner(&[(3, 3); 9]), &[demand("one", 3, 1), demand("two", 2, 1)]).is_empty()
    );
}
