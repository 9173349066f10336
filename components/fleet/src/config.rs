//! The configuration that operators submit: routes, services and limits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::workspace::Workspaces;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most for each of its caller's attempts.
    Once,
    /// Its reply is a series of events.
    Stream,
    /// It submits a step of a trainer.
    Step,
}

/// A part of a route's traffic.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Share {
    /// The service that gets it.
    pub service: String,
    /// Its weight beside the others'.
    pub weight: u64,
}

/// Where requests of a host and path go, and how they are treated.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The beginning of the path; it ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Milliseconds for which a request may be kept waiting.
    pub timeout_ms: Option<u64>,
    /// Milliseconds within which a reply is worth most.
    pub target_ms: u64,
    /// The rank, zero first.
    pub priority: u32,
    /// The services that share its traffic.
    pub shares: Vec<Share>,
    /// Endpoints to which one attempt of a caller may be sent.
    pub attempts: u32,
    /// Whether a stream may go on elsewhere after the last event received.
    pub resumable: bool,
    /// Milliseconds after a step's submission at which its results are due.
    pub due_ms: Option<u64>,
    /// Milliseconds after a step's submission at which a sample may be given up.
    pub age_ms: Option<u64>,
    /// Whether a sample must be made by one version of the weights.
    pub single_version: bool,
    /// Whether requests need no key, though there are workspaces.
    pub open: bool,
}

/// A service to which routes lead.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Service {
    /// The name under which its endpoints announce themselves.
    pub name: String,
    /// The models that its endpoints hold, if they are model engines.
    pub models: Vec<String>,
    /// Connections that one of its endpoints takes, from everybody together.
    pub connections: u64,
}

/// What callers may send, and how long they may take or stay idle.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: u64,
    /// Bytes of a request's body.
    pub body: u64,
    /// Milliseconds for the head.
    pub read_ms: u64,
    /// Milliseconds for which a connection may be idle.
    pub idle_ms: u64,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Config {
    /// Its version; the highest is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The limits.
    pub limits: Option<Limits>,
    /// The workspaces whose callers are served; without any, all callers are.
    pub workspaces: Workspaces,
    /// The document as it was submitted, which is what a read gives back. It shows keys, so only
    /// the replicas have it ([`Config::told`]).
    pub source: Bytes,
}

/// Why a configuration cannot be accepted.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// The document cannot be read.
    #[error("the configuration cannot be read: {0}")]
    Unreadable(String),
    /// A route leads to a service that is not listed.
    #[error("route {route:?} names the unknown service {service:?}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same place.
    #[error("routes {first:?} and {second:?} share the host and the prefix {prefix:?}")]
    DuplicateRoute {
        /// The route that stands first.
        first: String,
        /// The other.
        second: String,
        /// Their prefix.
        prefix: String,
    },
    /// All weights of a route are zero.
    #[error("the weights of route {route:?} add up to zero")]
    ZeroWeight {
        /// The route.
        route: String,
    },
    /// The timeout of a route is zero.
    #[error("the timeout of route {route:?} is zero")]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// Two workspaces hold the same key, so it is not known whose a request is. The key itself is
    /// not named: the error goes into logs and answers.
    #[error("workspaces {first:?} and {second:?} share a key")]
    SharedKey {
        /// The workspace that stands first.
        first: String,
        /// The other.
        second: String,
    },
    /// A workspace stands twice.
    #[error("workspace {name:?} stands twice")]
    DuplicateWorkspace {
        /// The name.
        name: String,
    },
    /// A prefix does not begin and end with a slash.
    #[error("the prefix {prefix:?} of route {route:?} does not begin and end with a slash")]
    BadPrefix {
        /// The route.
        route: String,
        /// The prefix.
        prefix: String,
    },
}

impl Config {
    /// Tells whether the configuration can be accepted.
    ///
    /// # Errors
    ///
    /// The first [`ConfigError`] found.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.workspaces.check()?;
        let known: BTreeSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut places: BTreeMap<(&str, &str), &str> = BTreeMap::new();
        for route in &self.routes {
            check_route(route, &known)?;
            let place = (route.host.as_str(), route.prefix.as_str());
            if let Some(first) = places.insert(place, &route.name) {
                return Err(ConfigError::DuplicateRoute {
                    first: first.to_owned(),
                    second: route.name.clone(),
                    prefix: route.prefix.clone(),
                });
            }
        }
        Ok(())
    }

    /// Gives the configuration as entries and stores are told it: without the document, which holds
    /// keys in full. What a process does not hold, neither its dump nor its memory can show.
    pub fn without_source(&self) -> Self {
        Self { source: Bytes::new(), ..self.clone() }
    }

    /// Gives the services to which requests other than steps go: their endpoints are called by entries
    /// and hosts, while samples go where the leader says.
    pub fn called_services(&self) -> BTreeSet<&str> {
        let called = self.routes.iter().filter(|route| route.kind != RouteKind::Step);
        let shares = called.flat_map(|route| &route.shares).filter(|share| share.weight > 0);
        shares.map(|share| share.service.as_str()).collect()
    }

    /// Finds the route with the longest prefix that begins a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let here = self.routes.iter().filter(|r| r.host == host && path.starts_with(&r.prefix));
        here.max_by_key(|route| route.prefix.len())
    }
}

fn check_route(route: &Route, known: &BTreeSet<&str>) -> Result<(), ConfigError> {
    let name = || route.name.clone();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(ConfigError::BadPrefix { route: name(), prefix: route.prefix.clone() });
    }
    if let Some(share) = route.shares.iter().find(|s| !known.contains(s.service.as_str())) {
        return Err(ConfigError::UnknownService { route: name(), service: share.service.clone() });
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        return Err(ConfigError::ZeroWeight { route: name() });
    }
    if route.timeout_ms == Some(0) {
        return Err(ConfigError::ZeroTimeout { route: name() });
    }
    Ok(())
}

impl Route {
    /// Gives the service for a draw between zero and one.
    pub fn service(&self, draw: f64) -> Option<&str> {
        let total: u64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw * total as f64;
        for share in self.shares.iter().filter(|share| share.weight > 0) {
            left -= share.weight as f64;
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.iter().rev().find(|share| share.weight > 0).map(|share| share.service.as_str())
    }

    /// Tells whether some of the route's traffic goes to a service.
    pub fn leads_to(&self, service: &str) -> bool {
        self.shares.iter().any(|share| share.weight > 0 && share.service == service)
    }
}
