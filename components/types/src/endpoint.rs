//! Endpoints, as their agents announce them, and their load reports.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Endpoint;
use crate::ids::Model;
use crate::ids::Version;

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine, which generates tokens.
    #[default]
    Engine,
    /// A plain service, which answers calls.
    Service,
}

/// The properties of an endpoint that its agent announces; they change rarely.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EndpointInfo {
    /// The endpoint's name.
    pub name: Endpoint,
    /// The kind of the endpoint.
    pub kind: EndpointKind,
    /// The models that it serves, each with the version that it last reported.
    pub models: BTreeMap<Model, Version>,
    /// How many attempts it can run concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new work.
    pub draining: bool,
    /// Whether the endpoint answered its agent's last probe.
    pub healthy: bool,
    /// Where other engines can fetch weights from its engine; `None` if it does not offer that.
    #[serde(default)]
    pub gives: Option<String>,
}

/// The load of an endpoint when its agent last queried it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct LoadReport {
    /// The endpoint.
    pub name: Endpoint,
    /// The sequence number of the report, so that a delayed one does not replace a newer one.
    pub seq: u64,
    /// The age of the values when the agent sent the report, in milliseconds.
    pub age_ms: u64,
    /// The number of running attempts.
    pub running: u32,
    /// The number of attempts in the endpoint's queue.
    pub waiting: u32,
    /// Tokens generated per second, averaged over the last seconds.
    pub rate: u32,
    /// The share of cache memory in use, in thousandths.
    pub memory: u32,
    /// The share of prefill capacity in use, in thousandths; zero if not reported.
    pub prefill: u32,
    /// The share of the transfer link in use, in thousandths; zero if not reported.
    pub link: u32,
    /// Hashes of the prompt prefixes that were added to the cache since the last report.
    pub cached: Vec<u64>,
    /// Hashes of the prompt prefixes that were evicted from the cache since the last report.
    pub evicted: Vec<u64>,
    /// The weight version in use for each model.
    pub versions: BTreeMap<Model, Version>,
}
