//! Endpoints as their agents announce and report them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Endpoint;
use crate::ids::Model;
use crate::ids::Version;

/// What an endpoint is.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine, which generates tokens.
    #[default]
    Engine,
    /// A plain service, which answers a call.
    Service,
}

/// What an agent announces of its endpoint; it changes seldom.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EndpointInfo {
    /// The endpoint's name.
    pub name: Endpoint,
    /// What it is.
    pub kind: EndpointKind,
    /// The models that it serves, each with the version it reported last.
    pub models: BTreeMap<Model, Version>,
    /// How many attempts it can run at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
    /// Whether the endpoint answered its agent's last probe.
    pub healthy: bool,
    /// Where its engine gives its weights to other engines; none if it does not offer that.
    #[serde(default)]
    pub gives: Option<String>,
}

/// How loaded an endpoint was when its agent last asked it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct LoadReport {
    /// The endpoint.
    pub name: Endpoint,
    /// Counts the agent's reports, so that a late one does not replace a newer one.
    pub seq: u64,
    /// How old the figures were when the report left the agent, in milliseconds.
    pub age_ms: u64,
    /// Attempts running.
    pub running: u32,
    /// Attempts waiting in the endpoint's queue.
    pub waiting: u32,
    /// Tokens generated a second over the last seconds.
    pub rate: u32,
    /// The share of cache memory in use, in thousandths.
    pub memory: u32,
    /// The share of prefill capacity in use, in thousandths; zero if not reported.
    pub prefill: u32,
    /// The share of the transfer link in use, in thousandths; zero if not reported.
    pub link: u32,
    /// Hashes of prompt prefixes that entered the cache since the last report.
    pub cached: Vec<u64>,
    /// Hashes of prompt prefixes that left the cache since the last report.
    pub evicted: Vec<u64>,
    /// The weight version in use, for each model.
    pub versions: BTreeMap<Model, Version>,
}
