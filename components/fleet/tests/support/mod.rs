//! Shared test data: announcements of endpoints, a configuration with a route for steps, and a planner.

// Each test file is compiled as a separate program and uses only some of these functions.
#![allow(dead_code)]

pub mod planner;

use std::collections::BTreeMap;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Config;
use chicoryford_fleet::Route;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::Share;

/// Returns an announcement of an endpoint of the service "a" that has version 1 of the model "m".
pub fn announcement(id: &str, sequence: u64) -> Announcement {
    Announcement {
        id: id.to_owned(),
        started_ms: 0,
        service: "a".to_owned(),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        data_centre: "z".to_owned(),
        slots: 4,
        draining: false,
        models: BTreeMap::from([("m".to_owned(), 1)]),
        sequence,
    }
}

/// Returns a configuration with a single route, which sends steps to the service "engines".
pub fn steps_config() -> Config {
    let route = Route {
        name: "steps".to_owned(),
        host: "h".to_owned(),
        prefix: "/s/".to_owned(),
        kind: RouteKind::Step,
        timeout_ms: None,
        target_ms: 400,
        priority: 1,
        shares: vec![Share { service: "engines".to_owned(), weight: 1 }],
        attempts: 3,
        resumable: true,
        due_ms: Some(7_500),
        age_ms: Some(40_000),
        single_version: false,
        open: false,
    };
    Config { version: 1, routes: vec![route], ..Config::default() }
}
