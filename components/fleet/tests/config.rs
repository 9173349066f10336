//! Tests of the check of configurations and of the choice of routes.

use chicoryford_fleet::Config;
use chicoryford_fleet::ConfigError;
use chicoryford_fleet::Route;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::Service;
use chicoryford_fleet::Share;

fn route(name: &str, prefix: &str, shares: &[(&str, u64)]) -> Route {
    let share =
        |(service, weight): &(&str, u64)| Share { service: (*service).to_owned(), weight: *weight };
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: Some(1_000),
        target_ms: 150,
        priority: 2,
        shares: shares.iter().map(share).collect(),
        attempts: 2,
        resumable: false,
        due_ms: None,
        age_ms: None,
        single_version: false,
        open: false,
    }
}

fn config(routes: Vec<Route>) -> Config {
    let service = |name: &str| Service { name: name.to_owned(), ..Service::default() };
    Config { version: 1, routes, services: vec![service("a"), service("b")], ..Config::default() }
}

#[test]
fn a_valid_configuration_is_accepted() {
    let routes =
        vec![route("one", "/x/", &[("a", 1)]), route("two", "/x/y/", &[("a", 0), ("b", 3)])];
    assert_eq!(config(routes).check(), Ok(()));
}

#[test]
fn each_error_is_reported() {
    let unknown = config(vec![route("one", "/x/", &[("c", 1)])]);
    let error = ConfigError::UnknownService { route: "one".to_owned(), service: "c".to_owned() };
    assert_eq!(unknown.check(), Err(error));
    let twice = config(vec![route("one", "/x/", &[("a", 1)]), route("two", "/x/", &[("b", 1)])]);
    assert!(matches!(twice.check(), Err(ConfigError::DuplicateRoute { .. })));
    let zero_weight = config(vec![route("one", "/x/", &[("a", 0), ("b", 0)])]);
    assert!(matches!(zero_weight.check(), Err(ConfigError::ZeroWeight { .. })));
    let mut zero_timeout = config(vec![route("one", "/x/", &[("a", 1)])]);
    zero_timeout.routes[0].timeout_ms = Some(0);
    assert!(matches!(zero_timeout.check(), Err(ConfigError::ZeroTimeout { .. })));
    for prefix in ["x/", "/x", ""] {
        let bad = config(vec![route("one", prefix, &[("a", 1)])]);
        assert!(matches!(bad.check(), Err(ConfigError::BadPrefix { .. })), "{prefix}");
    }
}

#[test]
fn the_longest_prefix_of_the_host_is_found() {
    let mut other = route("other", "/x/y/z/", &[("a", 1)]);
    other.host = "else.example".to_owned();
    let routes = vec![route("one", "/x/", &[("a", 1)]), route("two", "/x/y/", &[("b", 1)]), other];
    let config = config(routes);
    let found = |path: &str| config.find("desk.example", path).map(|route| route.name.as_str());
    assert_eq!(found("/x/1"), Some("one"));
    assert_eq!(found("/x/y/z/1"), Some("two"));
    assert_eq!(found("/x/y"), Some("one"), "the prefix ends with a slash");
    assert_eq!(found("/z/"), None);
    assert_eq!(config.find("no.example", "/x/1"), None);
}

#[test]
fn traffic_is_shared_by_weight() {
    let route = route("one", "/x/", &[("a", 1), ("c", 0), ("b", 3)]);
    let draws = (0..1_000).map(|n| route.service(f64::from(n) / 1_000.0).unwrap());
    let to_a = draws.filter(|service| *service == "a").count();
    assert_eq!(to_a, 250);
    assert_eq!(route.service(1.0), Some("b"), "rounding must not select a share without weight");
    assert!(route.leads_to("b") && !route.leads_to("c"));
}
