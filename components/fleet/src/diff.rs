//! Differences between two configurations, without keys of workspaces.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_types::Digest;

use crate::check::LimitField;
use crate::check::RouteField;
use crate::config::Config;
use crate::config::Limits;
use crate::config::Route;
use crate::config::Service;
use crate::config::Share;
use crate::workspace::Workspace;

/// The part of a configuration that differs.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// The version.
    Version,
    /// The route with this host and prefix, by which requests are matched.
    Route(String, String),
    /// The service with this name.
    Service(String),
    /// The limits.
    Limits,
    /// The workspace with this name.
    Workspace(String),
}

/// A field that differs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Field {
    /// The version.
    Version,
    /// A field of a route.
    Route(RouteField),
    /// The models of a service.
    Models,
    /// The maximum number of connections of an endpoint of a service.
    Connections,
    /// A limit.
    Limit(LimitField),
    /// The keys of a workspace.
    Keys,
    /// The priority of a workspace.
    Urgency,
}

/// How a subject differs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Only the new configuration has it.
    Added,
    /// Only the old configuration has it.
    Removed,
    /// Both have it, with different values of a field. The values are for display.
    Changed {
        /// The field.
        field: Field,
        /// Its value in the old configuration.
        before: String,
        /// Its value in the new configuration.
        after: String,
    },
}

/// A difference.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Difference {
    /// What differs.
    pub subject: Subject,
    /// How it differs.
    pub change: Change,
}

/// The fields of a subject with their values for display.
type Fields = Vec<(Field, String)>;

/// Returns the differences between two configurations, by subject.
pub fn differences(before: &Config, after: &Config) -> Vec<Difference> {
    let (old, new) = (subjects(before), subjects(after));
    let all: BTreeSet<&Subject> = old.keys().chain(new.keys()).collect();
    let mut differences = Vec::new();
    for subject in all {
        let mut add = |change| differences.push(Difference { subject: subject.clone(), change });
        match (old.get(subject), new.get(subject)) {
            (Some(_), None) => add(Change::Removed),
            (None, _) => add(Change::Added),
            (Some(old), Some(new)) => {
                for ((field, before), (_, after)) in old.iter().zip(new) {
                    if before != after {
                        let (before, after) = (before.clone(), after.clone());
                        add(Change::Changed { field: *field, before, after });
                    }
                }
            }
        }
        differences.extend(key_difference(subject, before, after));
    }
    differences
}

/// Compares the keys of a workspace. The values are numbers of keys: a key must not be printed, and
/// its digest would allow others to test guesses.
fn key_difference(subject: &Subject, before: &Config, after: &Config) -> Option<Difference> {
    let Subject::Workspace(name) = subject else { return None };
    let keys = |config: &Config| -> Option<BTreeSet<Digest>> {
        let found = config.workspaces.iter().find(|workspace| workspace.name == *name)?;
        Some(found.keys.iter().copied().collect())
    };
    let (old, new) = (keys(before)?, keys(after)?);
    let (added, removed) = (new.difference(&old).count(), old.difference(&new).count());
    let before = format!("{} keys", old.len());
    let after = format!("{} keys ({added} added, {removed} removed)", new.len());
    let change = Change::Changed { field: Field::Keys, before, after };
    (added + removed > 0).then(|| Difference { subject: subject.clone(), change })
}

fn subjects(config: &Config) -> BTreeMap<Subject, Fields> {
    let version = vec![(Field::Version, config.version.to_string())];
    let mut subjects = BTreeMap::from([(Subject::Version, version)]);
    let route = |route: &Route| {
        (Subject::Route(route.host.clone(), route.prefix.clone()), route_fields(route))
    };
    subjects.extend(config.routes.iter().map(route));
    // Of several services with the same name, the first counts.
    let services = config.services.iter().rev();
    subjects.extend(services.map(|s| (Subject::Service(s.name.clone()), service_fields(s))));
    subjects.extend(config.limits.iter().map(|limits| (Subject::Limits, limit_fields(limits))));
    let workspace = |one: &Workspace| (Subject::Workspace(one.name.clone()), workspace_fields(one));
    subjects.extend(config.workspaces.iter().map(workspace));
    subjects
}

// The structs are destructured so that a new field cannot be forgotten here.
fn route_fields(route: &Route) -> Fields {
    let Route {
        name,
        host,
        prefix,
        kind,
        timeout_ms,
        target_ms,
        priority,
        shares,
        attempts,
        resumable,
        due_ms,
        age_ms,
        single_version,
        open,
    } = route;
    let fields = [
        (RouteField::Name, name.clone()),
        (RouteField::Host, host.clone()),
        (RouteField::Prefix, prefix.clone()),
        (RouteField::Kind, format!("{kind:?}").to_lowercase()),
        (RouteField::Timeout, optional_ms(*timeout_ms)),
        (RouteField::Target, format!("{target_ms} ms")),
        (RouteField::Priority, priority.to_string()),
        (RouteField::Shares, shares_text(shares)),
        (RouteField::Attempts, attempts.to_string()),
        (RouteField::Resumable, resumable.to_string()),
        (RouteField::Due, optional_ms(*due_ms)),
        (RouteField::Age, optional_ms(*age_ms)),
        (RouteField::SingleVersion, single_version.to_string()),
        (RouteField::Open, open.to_string()),
    ];
    fields.into_iter().map(|(field, value)| (Field::Route(field), value)).collect()
}

fn service_fields(service: &Service) -> Fields {
    let Service { name: _, models, connections } = service;
    vec![(Field::Models, models.join(" ")), (Field::Connections, connections.to_string())]
}

fn limit_fields(limits: &Limits) -> Fields {
    let Limits { head, body, read_ms, idle_ms } = limits;
    let fields = [
        (LimitField::Head, format!("{head} bytes")),
        (LimitField::Body, format!("{body} bytes")),
        (LimitField::Read, format!("{read_ms} ms")),
        (LimitField::Idle, format!("{idle_ms} ms")),
    ];
    fields.into_iter().map(|(field, value)| (Field::Limit(field), value)).collect()
}

fn workspace_fields(workspace: &Workspace) -> Fields {
    // Keys are compared by `key_difference`.
    let Workspace { name: _, keys: _, urgency } = workspace;
    vec![(Field::Urgency, urgency.map_or_else(|| "unset".to_owned(), |u| u.to_string()))]
}

fn optional_ms(ms: Option<u64>) -> String {
    ms.map_or_else(|| "unset".to_owned(), |ms| format!("{ms} ms"))
}

fn shares_text(shares: &[Share]) -> String {
    let texts: Vec<_> = shares.iter().map(|s| format!("{} {}", s.service, s.weight)).collect();
    texts.join(", ")
}
