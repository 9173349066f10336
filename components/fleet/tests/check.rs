//! Tests of the findings about configurations and of their differences.

use bytes::Bytes;
use chicoryford_fleet::Config;
use chicoryford_fleet::ConfigError;
use chicoryford_fleet::Limits;
use chicoryford_fleet::Route;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::Service;
use chicoryford_fleet::Share;
use chicoryford_fleet::Workspace;
use chicoryford_fleet::check;
use chicoryford_fleet::check::LimitField;
use chicoryford_fleet::check::Place;
use chicoryford_fleet::check::RouteField;
use chicoryford_fleet::check::Severity;
use chicoryford_fleet::diff;
use chicoryford_fleet::diff::Change;
use chicoryford_fleet::diff::Difference;
use chicoryford_fleet::diff::Field;
use chicoryford_fleet::diff::Subject;
use chicoryford_types::Digest;

fn share(service: &str, weight: u64) -> Share {
    Share { service: service.to_owned(), weight }
}

fn route(name: &str, prefix: &str, kind: RouteKind, service: &str) -> Route {
    let is_step = kind == RouteKind::Step;
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout_ms: Some(1_000),
        target_ms: 150,
        priority: 2,
        shares: vec![share(service, 1)],
        attempts: 2,
        resumable: kind == RouteKind::Stream,
        due_ms: is_step.then_some(7_500),
        age_ms: is_step.then_some(30_000),
        single_version: is_step,
        open: false,
    }
}

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    let keys = keys.iter().map(|key| Digest::of(key.as_bytes())).collect();
    Workspace { name: name.to_owned(), keys, urgency: None }
}

/// A configuration without findings: route 0 is plain, 1 is a stream, 2 takes steps.
fn config() -> Config {
    let service = |name: &str| Service { name: name.to_owned(), ..Service::default() };
    let engines = Service { models: vec!["m".to_owned()], ..service("engines") };
    Config {
        version: 7,
        routes: vec![
            route("desk", "/d/", RouteKind::Idempotent, "desk"),
            route("chat", "/c/", RouteKind::Stream, "engines"),
            route("steps", "/r/", RouteKind::Step, "engines"),
        ],
        services: vec![service("desk"), engines],
        limits: Some(Limits { head: 16_384, body: 1_000, read_ms: 3_000, idle_ms: 15_000 }),
        workspaces: vec![workspace("alpha", &["k1", "k2"]), workspace("beta", &["k3"])].into(),
        source: Bytes::from_static(b"contains keys"),
    }
}

/// Changes the configuration without findings, and expects exactly one finding of this kind.
fn expect(kind: &str, severity: Severity, place: Place, change: impl Fn(&mut Config)) {
    let mut config = config();
    change(&mut config);
    let findings = check::check(&config);
    let [finding] = &findings[..] else { panic!("{kind}: {findings:?}") };
    assert_eq!((finding.problem.kind(), finding.place), (kind, place));
    assert_eq!(finding.problem.severity(), severity, "{kind}");
    let is_refused = config.check().is_err();
    assert_eq!(severity == Severity::Error, is_refused, "{kind}");
}

fn expect_warning(kind: &str, place: Place, change: impl Fn(&mut Config)) {
    expect(kind, Severity::Warning, place, change);
}

/// Guards against warnings that operators learn to ignore.
#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(check::check(&config()), []);
    assert_eq!(check::check(&Config::default()), []);
}

/// Guards against a document that passes the check and is refused when it is submitted.
#[test]
fn each_reason_for_a_refusal_is_found() {
    let field = |field| Place::Route(0, field);
    let refused = |place, change: fn(&mut Config)| {
        expect("refused", Severity::Error, place, change);
    };
    refused(field(RouteField::Prefix), |c| c.routes[0].prefix = "/d".to_owned());
    refused(field(RouteField::Timeout), |c| c.routes[0].timeout_ms = Some(0));
    refused(Place::ShareService(0, 1), |c| c.routes[0].shares.push(share("typo", 1)));
    refused(Place::Route(1, RouteField::Shares), |c| c.routes[1].shares[0].weight = 0);
    refused(Place::Route(1, RouteField::Prefix), |c| c.routes[1].prefix = "/d/".to_owned());
    refused(Place::Workspace(1), |c| {
        c.workspaces = vec![workspace("a", &["k"]), workspace("b", &["k"])].into();
    });
    refused(Place::Workspace(1), |c| {
        c.workspaces = vec![workspace("a", &["k"]), workspace("a", &["l"])].into();
    });
}

/// Guards against an author who corrects one error per run.
#[test]
fn all_errors_are_found_in_one_run() {
    let mut config = config();
    config.routes[0].prefix = "d".to_owned();
    config.routes[1].timeout_ms = Some(0);
    config.routes[2].shares = vec![share("x", 1), share("y", 1)];
    let findings = check::check(&config).into_iter();
    let errors = findings.filter(|f| f.problem.severity() == Severity::Error).count();
    assert_eq!(errors, 4);
    assert!(matches!(config.check(), Err(ConfigError::BadPrefix { .. })), "the first one");
}

/// Guards against a submission that is acknowledged and has no effect.
#[test]
fn a_version_that_would_be_ignored_is_found() {
    let in_force = config();
    let mut changed = config();
    changed.routes[0].priority = 0;
    let finding = check::check_version(&changed, &in_force).unwrap();
    assert_eq!((finding.place, finding.problem.kind()), (Place::Version, "old_version"));
    assert_eq!(finding.problem.severity(), Severity::Error);
    changed.version = 8;
    assert_eq!(check::check_version(&changed, &in_force), None);
    let same = Config { source: Bytes::from_static(b"other spaces"), ..config() };
    assert_eq!(check::check_version(&same, &in_force), None);
}

/// Guards against a route whose requests are refused although it is in force.
#[test]
fn routes_that_match_no_request_are_found() {
    let place = Place::Route(0, RouteField::Host);
    expect_warning("unmatchable_host", place, |c| c.routes[0].host = String::new());
    expect_warning("unmatchable_host", place, |c| c.routes[0].host = "desk.example:80".to_owned());
    let place = Place::Route(0, RouteField::Prefix);
    expect_warning("unmatchable_prefix", place, |c| c.routes[0].prefix = "/d?x/".to_owned());
}

/// Guards against a share or service that is believed to serve callers.
#[test]
fn entries_without_traffic_are_found() {
    expect_warning("zero_share", Place::ShareWeight(0, 1), |c| {
        c.routes[0].shares.push(share("engines", 0));
    });
    expect_warning("unused_service", Place::Service(2), |c| {
        c.services.push(Service { name: "spare".to_owned(), ..Service::default() });
    });
    expect_warning("shadowed_service", Place::Service(2), |c| {
        c.services.push(Service { connections: 5, ..c.services[0].clone() });
    });
    expect_warning("no_keys", Place::Workspace(1), |c| {
        c.workspaces = vec![workspace("a", &["k"]), workspace("b", &[])].into();
    });
}

/// Guards against samples that wait for engines to which no version is ever loaded.
#[test]
fn steps_for_a_service_without_models_are_found() {
    expect_warning("no_models", Place::ShareService(2, 0), |c| {
        c.routes[2].shares = vec![share("desk", 1)];
    });
}

/// Guards against limits of which one makes another meaningless.
#[test]
fn contradictory_limits_are_found() {
    let place = |index, field| Place::Route(index, field);
    expect_warning("timeout_below_target", place(0, RouteField::Timeout), |c| {
        c.routes[0].timeout_ms = Some(149);
    });
    expect_warning("target_above_due", place(2, RouteField::Target), |c| {
        c.routes[2].timeout_ms = None;
        c.routes[2].target_ms = 7_501;
    });
    expect_warning("age_below_due", place(2, RouteField::Age), |c| {
        c.routes[2].age_ms = Some(7_499);
    });
    expect_warning("zero_due", place(2, RouteField::Due), |c| c.routes[2].due_ms = Some(0));
    expect_warning("zero_attempts", place(1, RouteField::Attempts), |c| c.routes[1].attempts = 0);
    let limit = |field, set: fn(&mut Limits)| {
        expect_warning("zero_limit", Place::Limit(field), |c| c.limits.iter_mut().for_each(set));
    };
    limit(LimitField::Head, |l| l.head = 0);
    limit(LimitField::Body, |l| l.body = 0);
    limit(LimitField::Read, |l| l.read_ms = 0);
    limit(LimitField::Idle, |l| l.idle_ms = 0);
}

/// Guards against findings about limits that are equal, which do not contradict each other.
#[test]
fn equal_limits_are_accepted() {
    let mut config = config();
    config.routes[0].timeout_ms = Some(150);
    config.routes[2].target_ms = 900;
    config.routes[2].due_ms = Some(900);
    config.routes[2].age_ms = Some(900);
    assert_eq!(check::check(&config), []);
}

/// Guards against a field that is set on a route of a kind that ignores it.
#[test]
fn fields_without_effect_are_found() {
    let expect = |field, change: fn(&mut Route)| {
        let place = Place::Route(0, field);
        expect_warning("no_effect", place, |c| change(&mut c.routes[0]));
    };
    expect(RouteField::Due, |r| r.due_ms = Some(900));
    expect(RouteField::Age, |r| r.age_ms = Some(900));
    expect(RouteField::SingleVersion, |r| r.single_version = true);
}

fn changed(subject: Subject, field: Field, before: &str, after: &str) -> Difference {
    let (before, after) = (before.to_owned(), after.to_owned());
    Difference { subject, change: Change::Changed { field, before, after } }
}

/// Guards against a change that an operator does not see before it is submitted.
#[test]
fn differences_are_found_in_both_directions() {
    let before = config();
    assert_eq!(diff::differences(&before, &config()), []);
    let mut after = config();
    after.version = 8;
    after.routes[0].timeout_ms = None;
    after.routes.remove(1);
    after.services[1].models.push("n".to_owned());
    after.limits = after.limits.map(|limits| Limits { body: 2_000, ..limits });
    let desk = || Subject::Route("desk.example".to_owned(), "/d/".to_owned());
    let chat = || Subject::Route("desk.example".to_owned(), "/c/".to_owned());
    let engines = || Subject::Service("engines".to_owned());
    let timeout = Field::Route(RouteField::Timeout);
    let body = Field::Limit(LimitField::Body);
    let expected = [
        changed(Subject::Version, Field::Version, "7", "8"),
        Difference { subject: chat(), change: Change::Removed },
        changed(desk(), timeout, "1000 ms", "unset"),
        changed(engines(), Field::Models, "m", "m n"),
        changed(Subject::Limits, body, "1000 bytes", "2000 bytes"),
    ];
    assert_eq!(diff::differences(&before, &after), expected);
    let expected = [
        changed(Subject::Version, Field::Version, "8", "7"),
        Difference { subject: chat(), change: Change::Added },
        changed(desk(), timeout, "unset", "1000 ms"),
        changed(engines(), Field::Models, "m n", "m"),
        changed(Subject::Limits, body, "2000 bytes", "1000 bytes"),
    ];
    assert_eq!(diff::differences(&after, &before), expected);
}

/// Guards against a key, or a digest by which guesses can be tested, in the output.
#[test]
fn keys_are_compared_without_being_shown() {
    let mut after = config();
    after.workspaces = vec![workspace("alpha", &["k2", "k4", "k5"])].into();
    let alpha = Subject::Workspace("alpha".to_owned());
    let beta = Subject::Workspace("beta".to_owned());
    let differences = diff::differences(&config(), &after);
    let expected = [
        changed(alpha, Field::Keys, "2 keys", "3 keys (2 added, 1 removed)"),
        Difference { subject: beta, change: Change::Removed },
    ];
    assert_eq!(differences, expected);
    let text = format!("{differences:?}");
    for key in ["k1", "k2", "k4", "k5"] {
        assert!(!text.contains(&Digest::of(key.as_bytes()).to_string()));
    }
}
