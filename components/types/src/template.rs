//! Templates: what operators say of a workspace.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::digest::Digest;
use crate::ids::Model;
use crate::ids::Principal;
use crate::ids::Workspace;
use crate::request::Class;

/// The template of one workspace. Fields that are left out take their defaults.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Template {
    /// The workspace that the template describes.
    pub workspace: Workspace,
    /// A name for people.
    pub title: String,
    /// Models and services that the workspace may use.
    pub models: Vec<Model>,
    /// Callers that may send requests to the workspace, each with its class.
    pub callers: BTreeMap<Principal, Class>,
    /// Trainers that may open steps.
    pub trainers: Vec<Principal>,
    /// How fresh samples must be.
    pub freshness: Freshness,
    /// Bounds on what the workspace may use at once.
    pub limits: Limits,
    /// How often requests are tried again.
    pub retries: Retries,
    /// Whether requests may run more than once unless they say otherwise.
    pub repeatable: bool,
    /// The service that scores samples before they are delivered, if any.
    pub scorer: Option<Model>,
    /// The workspace's share of batch capacity against other trainers.
    pub weight: u32,
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for Template {
    fn default() -> Self {
        Self {
            workspace: Workspace::default(),
            title: String::new(),
            models: Vec::new(),
            callers: BTreeMap::new(),
            trainers: Vec::new(),
            freshness: Freshness::default(),
            limits: Limits::default(),
            retries: Retries::default(),
            repeatable: true,
            scorer: None,
            weight: 1,
            deadline_ms: 30_000,
        }
    }
}

impl Template {
    /// Takes the digest of the template's content, for compare-and-set.
    ///
    /// # Panics
    ///
    /// Never: a template has no content that JSON cannot carry.
    pub fn digest(&self) -> Digest {
        Digest::of(&serde_json::to_vec(self).expect("a template is plain data"))
    }
}

/// How fresh samples must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Freshness {
    /// A sample's oldest version may lag the trainer's newest by at most this many versions.
    pub versions: u64,
}

impl Default for Freshness {
    fn default() -> Self {
        Self { versions: 2 }
    }
}

/// Bounds on what a workspace may use at once, over all entries together.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests a second.
    pub rate: u32,
    /// Requests in progress.
    pub running: u32,
    /// Tokens that one request may ask for.
    pub tokens: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { rate: 1_000, running: 1_000, tokens: 32_768 }
    }
}

/// How often requests are tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retries {
    /// Attempts of one request at most, the first included.
    pub attempts: u32,
    /// Retries as a share of successes, in percent.
    pub percent: u32,
}

impl Default for Retries {
    fn default() -> Self {
        Self { attempts: 3, percent: 20 }
    }
}
