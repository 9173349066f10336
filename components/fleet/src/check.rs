//! Findings about a configuration before it is submitted: what would be refused, what can never
//! take effect, and which limits contradict each other.
//!
//! A finding contains no key of a workspace, because operators paste the output into issues.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use thiserror::Error;

use crate::config;
use crate::config::Config;
use crate::config::ConfigError;
use crate::config::Limits;
use crate::config::Route;
use crate::config::RouteKind;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// The configuration would be refused or ignored.
    Error,
    /// It would be accepted, but some of it probably does not do what its author expects.
    Warning,
}

/// A field of a route.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RouteField {
    /// [`Route::name`].
    Name,
    /// [`Route::host`].
    Host,
    /// [`Route::prefix`].
    Prefix,
    /// [`Route::kind`].
    Kind,
    /// [`Route::timeout_ms`].
    Timeout,
    /// [`Route::target_ms`].
    Target,
    /// [`Route::priority`].
    Priority,
    /// [`Route::shares`].
    Shares,
    /// [`Route::attempts`].
    Attempts,
    /// [`Route::resumable`].
    Resumable,
    /// [`Route::due_ms`].
    Due,
    /// [`Route::age_ms`].
    Age,
    /// [`Route::single_version`].
    SingleVersion,
    /// [`Route::open`].
    Open,
}

/// A field of the limits.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LimitField {
    /// [`Limits::head`].
    Head,
    /// [`Limits::body`].
    Body,
    /// [`Limits::read_ms`].
    Read,
    /// [`Limits::idle_ms`].
    Idle,
}

/// The part of a configuration that a finding is about. Indices are positions in the lists of the
/// configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// The version.
    Version,
    /// A field of a route.
    Route(usize, RouteField),
    /// The service of a share of a route.
    ShareService(usize, usize),
    /// The weight of a share of a route.
    ShareWeight(usize, usize),
    /// A service.
    Service(usize),
    /// A limit.
    Limit(LimitField),
    /// A workspace.
    Workspace(usize),
}

/// What is wrong.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Problem {
    /// The configuration would be refused.
    #[error(transparent)]
    Refused(#[from] ConfigError),
    /// The configuration would be ignored, because only a higher version replaces the one in force.
    #[error("version {version} is not above version {in_force}, which is in force; it is ignored")]
    OldVersion {
        /// The version.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// No request has such a host: hosts are compared without their port.
    #[error("no request matches route {route:?}: {host:?} is no host name without a port")]
    UnmatchableHost {
        /// The route.
        route: String,
        /// The host.
        host: String,
    },
    /// No request has a path with such a prefix.
    #[error("no request matches route {route:?}: no path contains `?`, `#` or a space")]
    UnmatchablePrefix {
        /// The route.
        route: String,
    },
    /// A share of a route gets no traffic.
    #[error("service {service:?} gets no traffic of route {route:?}: its weight is 0")]
    ZeroShare {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// A service gets no traffic of any route.
    #[error("no route leads to service {service:?}")]
    UnusedService {
        /// The service.
        service: String,
    },
    /// A service has the name of an earlier one, which is used instead.
    #[error("service {service:?} is listed twice; only the first entry is used")]
    ShadowedService {
        /// The service.
        service: String,
    },
    /// Samples are sent to a service whose engines are never ordered to load a version.
    #[error("route {route:?} sends samples to service {service:?}, which lists no models")]
    NoModels {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// No caller can belong to a workspace.
    #[error("workspace {workspace:?} has no keys, so no caller belongs to it")]
    NoKeys {
        /// The workspace.
        workspace: String,
    },
    /// Callers stop waiting before a reply is late.
    #[error("the timeout of route {route:?}, {timeout_ms} ms, is below its target, {target_ms} ms")]
    TimeoutBelowTarget {
        /// The route.
        route: String,
        /// The timeout.
        timeout_ms: u64,
        /// The target.
        target_ms: u64,
    },
    /// Results are due before a reply is late.
    #[error("the target of route {route:?}, {target_ms} ms, is above its due time, {due_ms} ms")]
    TargetAboveDue {
        /// The route.
        route: String,
        /// The target.
        target_ms: u64,
        /// The due time.
        due_ms: u64,
    },
    /// Samples are given up before they are due.
    #[error(
        "route {route:?} gives up samples after {age_ms} ms, before they are due at {due_ms} ms"
    )]
    AgeBelowDue {
        /// The route.
        route: String,
        /// The age at which samples are given up.
        age_ms: u64,
        /// The due time.
        due_ms: u64,
    },
    /// The results of a step are due when it is submitted.
    #[error("results of route {route:?} are due after 0 ms")]
    ZeroDue {
        /// The route.
        route: String,
    },
    /// No attempts are allowed, which is treated as one.
    #[error("route {route:?} allows 0 attempts, which is treated as 1")]
    ZeroAttempts {
        /// The route.
        route: String,
    },
    /// A field does not apply to routes of this kind.
    #[error("this field has no effect on route {route:?}, whose kind is {kind:?}")]
    NoEffect {
        /// The route.
        route: String,
        /// Its kind.
        kind: RouteKind,
    },
    /// A limit excludes every request.
    #[error("a limit of 0 excludes every request or connection that it applies to")]
    ZeroLimit,
    /// The kind of a route is unknown, so its requests run at most once.
    #[error("the kind of route {route:?} is unknown, so its requests are not repeated")]
    UnknownKind {
        /// The route.
        route: String,
    },
    /// A route has a service and shares, of which only the shares count.
    #[error("the single service of route {route:?} is ignored, because it also has shares")]
    IgnoredService {
        /// The route.
        route: String,
    },
}

impl Problem {
    /// Returns how serious the problem is.
    pub fn severity(&self) -> Severity {
        match self {
            Self::Refused(_) | Self::OldVersion { .. } => Severity::Error,
            _ => Severity::Warning,
        }
    }

    /// Returns the name of the kind of problem, for programs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Refused(_) => "refused",
            Self::OldVersion { .. } => "old_version",
            Self::UnmatchableHost { .. } => "unmatchable_host",
            Self::UnmatchablePrefix { .. } => "unmatchable_prefix",
            Self::ZeroShare { .. } => "zero_share",
            Self::UnusedService { .. } => "unused_service",
            Self::ShadowedService { .. } => "shadowed_service",
            Self::NoModels { .. } => "no_models",
            Self::NoKeys { .. } => "no_keys",
            Self::TimeoutBelowTarget { .. } => "timeout_below_target",
            Self::TargetAboveDue { .. } => "target_above_due",
            Self::AgeBelowDue { .. } => "age_below_due",
            Self::ZeroDue { .. } => "zero_due",
            Self::ZeroAttempts { .. } => "zero_attempts",
            Self::NoEffect { .. } => "no_effect",
            Self::ZeroLimit => "zero_limit",
            Self::UnknownKind { .. } => "unknown_kind",
            Self::IgnoredService { .. } => "ignored_service",
        }
    }
}

/// A finding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The part of the configuration.
    pub place: Place,
    /// What is wrong.
    pub problem: Problem,
}

/// Returns all findings about a configuration by itself. It has a finding with
/// [`Severity::Error`] if and only if [`Config::check`] refuses it.
pub fn check(config: &Config) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut add = |place, problem| findings.push(Finding { place, problem });
    check_routes(config, &mut add);
    for (index, route) in config.routes.iter().enumerate() {
        check_matching(index, route, &mut add);
        check_limits_of(index, route, &mut add);
    }
    check_services(config, &mut add);
    config.limits.iter().for_each(|limits| check_limits(limits, &mut add));
    check_workspaces(config, &mut add);
    findings
}

/// Returns whether a configuration would be ignored because another one is in force. An equal
/// version is ignored too, which does not matter if the configurations are equal.
pub fn check_version(config: &Config, in_force: &Config) -> Option<Finding> {
    let is_same = config.without_source() == in_force.without_source();
    let problem = Problem::OldVersion { version: config.version, in_force: in_force.version };
    let is_ignored = config.version <= in_force.version && !is_same;
    is_ignored.then_some(Finding { place: Place::Version, problem })
}

fn check_routes(config: &Config, add: &mut impl FnMut(Place, Problem)) {
    let known: BTreeSet<&str> = config.services.iter().map(|s| s.name.as_str()).collect();
    let mut prefixes: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    for (index, route) in config.routes.iter().enumerate() {
        for error in config::route_errors(route, &known) {
            add(place_of(index, route, &error), error.into());
        }
        let error = config::record_prefix(&mut prefixes, route);
        error.into_iter().for_each(|e| add(Place::Route(index, RouteField::Prefix), e.into()));
    }
}

fn place_of(index: usize, route: &Route, error: &ConfigError) -> Place {
    let field = match error {
        ConfigError::UnknownService { service, .. } => {
            let share = route.shares.iter().position(|share| share.service == *service);
            return Place::ShareService(index, share.unwrap_or_default());
        }
        ConfigError::ZeroTimeout { .. } => RouteField::Timeout,
        ConfigError::ZeroWeight { .. } => RouteField::Shares,
        _ => RouteField::Prefix,
    };
    Place::Route(index, field)
}

fn check_matching(index: usize, route: &Route, add: &mut impl FnMut(Place, Problem)) {
    let name = || route.name.clone();
    let is_host = |c: char| !c.is_whitespace() && !matches!(c, ':' | '/' | '?' | '#' | '@');
    if route.host.is_empty() || !route.host.chars().all(is_host) {
        let problem = Problem::UnmatchableHost { route: name(), host: route.host.clone() };
        add(Place::Route(index, RouteField::Host), problem);
    }
    if route.prefix.chars().any(|c| c.is_whitespace() || matches!(c, '?' | '#')) {
        let problem = Problem::UnmatchablePrefix { route: name() };
        add(Place::Route(index, RouteField::Prefix), problem);
    }
    // If all weights are 0, the configuration is refused.
    let has_traffic = route.shares.iter().any(|share| share.weight > 0);
    for (number, share) in route.shares.iter().enumerate() {
        if share.weight == 0 && has_traffic {
            let problem = Problem::ZeroShare { route: name(), service: share.service.clone() };
            add(Place::ShareWeight(index, number), problem);
        }
    }
}

fn check_limits_of(index: usize, route: &Route, add: &mut impl FnMut(Place, Problem)) {
    let name = || route.name.clone();
    let mut add = |field, problem| add(Place::Route(index, field), problem);
    let target_ms = route.target_ms;
    // A timeout of 0 is refused.
    if let Some(timeout_ms) = route.timeout_ms.filter(|ms| (1..target_ms).contains(ms)) {
        let problem = Problem::TimeoutBelowTarget { route: name(), timeout_ms, target_ms };
        add(RouteField::Timeout, problem);
    }
    if route.attempts == 0 {
        add(RouteField::Attempts, Problem::ZeroAttempts { route: name() });
    }
    if route.kind == RouteKind::Step {
        check_due_times(route, &mut add);
    }
    let is_step = route.kind == RouteKind::Step;
    let no_effect = [
        (RouteField::Due, route.due_ms.is_some() && !is_step),
        (RouteField::Age, route.age_ms.is_some() && !is_step),
        (RouteField::SingleVersion, route.single_version && !is_step),
    ];
    for (field, _) in no_effect.into_iter().filter(|(_, has_no_effect)| *has_no_effect) {
        add(field, Problem::NoEffect { route: name(), kind: route.kind });
    }
}

fn check_due_times(route: &Route, add: &mut impl FnMut(RouteField, Problem)) {
    let Some(due_ms) = route.due_ms else { return };
    let name = || route.name.clone();
    let target_ms = route.target_ms;
    if due_ms == 0 {
        add(RouteField::Due, Problem::ZeroDue { route: name() });
    } else if target_ms > due_ms {
        add(RouteField::Target, Problem::TargetAboveDue { route: name(), target_ms, due_ms });
    }
    if let Some(age_ms) = route.age_ms.filter(|age_ms| *age_ms < due_ms) {
        add(RouteField::Age, Problem::AgeBelowDue { route: name(), age_ms, due_ms });
    }
}

fn check_services(config: &Config, add: &mut impl FnMut(Place, Problem)) {
    let used: BTreeSet<&str> = config.routes.iter().flat_map(Route::services).collect();
    let mut seen: BTreeMap<&str, bool> = BTreeMap::new();
    for (index, service) in config.services.iter().enumerate() {
        let name = service.name.as_str();
        if seen.contains_key(name) {
            let problem = Problem::ShadowedService { service: name.to_owned() };
            add(Place::Service(index), problem);
            continue;
        }
        seen.insert(name, !service.models.is_empty());
        if !used.contains(name) {
            add(Place::Service(index), Problem::UnusedService { service: name.to_owned() });
        }
    }
    for (index, route) in config.routes.iter().enumerate() {
        if route.kind != RouteKind::Step {
            continue;
        }
        for (number, share) in route.shares.iter().enumerate() {
            if share.weight > 0 && seen.get(share.service.as_str()) == Some(&false) {
                let (route, service) = (route.name.clone(), share.service.clone());
                add(Place::ShareService(index, number), Problem::NoModels { route, service });
            }
        }
    }
}

fn check_limits(limits: &Limits, add: &mut impl FnMut(Place, Problem)) {
    let values = [
        (LimitField::Head, limits.head),
        (LimitField::Body, limits.body),
        (LimitField::Read, limits.read_ms),
        (LimitField::Idle, limits.idle_ms),
    ];
    for (field, _) in values.into_iter().filter(|(_, value)| *value == 0) {
        add(Place::Limit(field), Problem::ZeroLimit);
    }
}

fn check_workspaces(config: &Config, add: &mut impl FnMut(Place, Problem)) {
    for (index, error) in config.workspaces.errors() {
        add(Place::Workspace(index), error.into());
    }
    for (index, workspace) in config.workspaces.iter().enumerate() {
        if workspace.keys.is_empty() {
            let problem = Problem::NoKeys { workspace: workspace.name.clone() };
            add(Place::Workspace(index), problem);
        }
    }
}
