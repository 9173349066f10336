//! Templates: the operators' configuration of workspaces.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::digest::Digest;
use crate::ids::Model;
use crate::ids::Principal;
use crate::ids::Workspace;
use crate::request::Class;

/// The template of a workspace. Omitted fields have their default values.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Template {
    /// The workspace that the template applies to.
    pub workspace: Workspace,
    /// A display name.
    pub title: String,
    /// The models and services that the workspace may use.
    pub models: Vec<Model>,
    /// The callers that may send requests to the workspace, each with its priority class.
    pub callers: BTreeMap<Principal, Class>,
    /// The trainers that may open steps.
    pub trainers: Vec<Principal>,
    /// The freshness bound on samples.
    pub freshness: Freshness,
    /// The limits on the workspace's concurrent use.
    pub limits: Limits,
    /// The limits on retries.
    pub retries: Retries,
    /// Whether requests may run more than once, unless they specify otherwise.
    pub repeatable: bool,
    /// The service that scores samples before delivery, if any.
    pub scorer: Option<Model>,
    /// The weight of the workspace when batch capacity is shared between trainers.
    pub weight: u32,
    /// The default deadline of a request, in milliseconds.
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
    /// Computes the digest of the template's content, for compare-and-set.
    ///
    /// # Panics
    ///
    /// Never: every template can be represented as JSON.
    pub fn digest(&self) -> Digest {
        Digest::of(&serde_json::to_vec(self).expect("a template can be serialized"))
    }
}

/// The freshness bound on samples.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Freshness {
    /// The maximum number of versions by which a sample's oldest version may lag the trainer's
    /// newest.
    pub versions: u64,
}

impl Default for Freshness {
    fn default() -> Self {
        Self { versions: 2 }
    }
}

/// The limits on a workspace's concurrent use, over all entries in total.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests per second.
    pub rate: u32,
    /// Requests in progress.
    pub running: u32,
    /// The maximum number of tokens of one request.
    pub tokens: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { rate: 1_000, running: 1_000, tokens: 32_768 }
    }
}

/// The limits on retries.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retries {
    /// The maximum number of attempts of a request, including the first.
    pub attempts: u32,
    /// The maximum number of retries, as a percentage of successful requests.
    pub percent: u32,
}

impl Default for Retries {
    fn default() -> Self {
        Self { attempts: 3, percent: 20 }
    }
}
