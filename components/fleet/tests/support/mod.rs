//! What several tests of a fleet start from: endpoints as they announce themselves, and the route of
//! steps.

// Each test file is a program of its own and takes only what it needs.
#![allow(dead_code)]

use std::collections::BTreeMap;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Config;
use chicoryford_fleet::Route;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::Share;

/// An endpoint of the service "a" with the first version of the model "m".
pub fn said(id: &str, sequence: u64) -> Announcement {
    Announcement {
        id: id.to_owned(),
        started_ms: 0,
        service: "a".to_owned(),
        address: "10.0.0.1:80".parse().expect("it is an address"),
        data_centre: "z".to_owned(),
        slots: 4,
        draining: false,
        models: BTreeMap::from([("m".to_owned(), 1)]),
        sequence,
    }
}

/// One route, on which steps go to the service "engines".
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
