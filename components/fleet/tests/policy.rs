//! Tests that each switch disables only its mechanism, and that settings may contain some of the
//! switches.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Step;
use chicoryford_fleet::copies::StoreId;
use chicoryford_fleet::copies::Stores;
use chicoryford_fleet::pick::AttemptOutcome;
use chicoryford_fleet::pick::Picker;
use chicoryford_fleet::plan::Planner;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;

use support::steps_config;

/// The address of a store, which these tests do not use.
fn address() -> SocketAddr {
    "10.0.0.1:7".parse().unwrap()
}

fn endpoint(id: &str, service: &str) -> Endpoint {
    let announcement = Announcement {
        id: id.to_owned(),
        started_ms: 0,
        service: service.to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "z".to_owned(),
        slots: 2,
        draining: false,
        models: BTreeMap::from([("m".to_owned(), 1)]),
        sequence: 1,
    };
    Endpoint { announcement, status: EndpointStatus::Ready }
}

/// Returns those picks right after the failure of one of two endpoints that chose the failed one.
fn after_a_failure(policy: Policy) -> Vec<String> {
    let mut picker = Picker::new(7).with_policy(policy);
    picker.observe(&endpoint("a", "desk"));
    picker.observe(&endpoint("b", "desk"));
    let failed = picker.pick("desk", "route", |_| true, Millis(0)).unwrap().id;
    picker.record_outcome(&failed, "route", AttemptOutcome::Failed, Millis(1));
    let picks = (0..2).map(|_| picker.pick("desk", "route", |_| true, Millis(2)).unwrap().id);
    picks.filter(|id| *id == failed).collect()
}

#[test]
fn without_penalties_a_failed_endpoint_is_picked_again_at_once() {
    assert!(after_a_failure(Policy::default()).is_empty());
    let off = Policy { penalties: false, ..Policy::default() };
    assert_eq!(after_a_failure(off).len(), 1, "the two attempts use both endpoints");
}

/// Returns the samples that start first when two slots are free.
fn first_started(policy: Policy) -> Vec<u32> {
    let mut planner = Planner::new(Epoch(1)).with_policy(policy);
    planner.update_engine(&endpoint("e", "engines"));
    let sample = |expected: u64| Sample {
        id: format!("s{expected}"),
        path: "/s/1".to_owned(),
        expected_tokens: expected,
        ..Sample::default()
    };
    let step = Step {
        id: "step".to_owned(),
        host: "h".to_owned(),
        model: "m".to_owned(),
        due_ms: 7_500,
        age_ms: 40_000,
        samples: [5, 1, 9, 3].into_iter().map(sample).collect(),
        ..Step::default()
    };
    planner.open_step(Arc::new(step), Millis(0), Millis::default(), |_| false);
    planner.assign(&steps_config(), Millis(1)).iter().map(|assignment| assignment.index).collect()
}

#[test]
fn without_longest_first_samples_start_in_the_order_of_their_step() {
    assert_eq!(first_started(Policy::default()), [2, 0]);
    let off = Policy { longest_first: false, ..Policy::default() };
    assert_eq!(first_started(off), [0, 1]);
}

#[test]
fn without_near_copies_parts_are_spread_evenly() {
    let first = |policy: Policy| {
        let mut stores = Stores::new("y", Millis(0)).with_policy(policy);
        for (node, data_centre) in [("a", "x"), ("b", "y")] {
            let id = StoreId { node: node.to_owned(), identity: 1 };
            stores.connected(id, data_centre.to_owned(), address(), Millis(0));
        }
        stores.choose(&Default::default(), &Default::default())[0].node.clone()
    };
    assert_eq!(first(Policy::default()), "b");
    assert_eq!(first(Policy { near_copies: false, ..Policy::default() }), "a");
}
