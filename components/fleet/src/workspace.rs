//! Workspaces, the keys of their callers, and the access that a key grants.
//!
//! A configuration without workspaces serves all callers. With workspaces, each request needs a key
//! of one of them, except on open routes. Keys are added and removed by configurations, so each
//! process rejects a removed key from the moment at which the configuration is in force there.
//! docs/SECURITY.md describes which process holds which part of a key.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_types::Digest;
use chicoryford_types::Keyring;
use serde::Deserialize;
use serde::Serialize;

use crate::config::ConfigError;
use crate::config::Route;
use crate::config::RouteKind;

/// A workspace.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Workspace {
    /// Its name, which is sent to endpoints.
    pub name: String,
    /// Digests of its keys.
    pub keys: Vec<Digest>,
    /// The priority of its requests and steps, zero first; it overrides that of their route.
    pub urgency: Option<u32>,
}

/// The workspaces of a configuration.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "Vec<Workspace>", into = "Vec<Workspace>")]
pub struct Workspaces {
    all: Vec<Workspace>,
    /// The index of the workspace that holds a key.
    keyring: Keyring<u32>,
}

/// The access that a key grants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access<'a> {
    /// The request is allowed without a workspace.
    Open,
    /// The request belongs to this workspace.
    Workspace(&'a Workspace),
    /// The key is missing or belongs to no workspace.
    Unknown,
}

/// Whether a process that has no contact with a leader continues to accept known keys.
///
/// A key may have been removed in the meantime without the process being informed. Accepting keys
/// continues to serve callers whose keys are still valid; rejecting them keeps out a caller whose
/// key was removed. The operator chooses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StaleKeyPolicy {
    /// Whether callers with keys are rejected after the limit.
    pub strict: bool,
    /// Milliseconds without contact to a leader after which keys are stale.
    pub limit_ms: u64,
}

impl StaleKeyPolicy {
    /// Returns whether keys are accepted after this many milliseconds without contact to a leader.
    pub fn allows(&self, silent_ms: u64) -> bool {
        !self.strict || silent_ms <= self.limit_ms
    }
}

/// Returns the id of a step within the fleet from the id that its trainer chose.
///
/// Two workspaces may choose the same id, and a caller with the key of another workspace must not
/// be able to tell that a step exists. The workspace is therefore part of the id, so that no lookup
/// of a step can omit the comparison. Ids chosen by trainers contain no slash, so different pairs
/// never result in the same id.
pub fn step_id(workspace: Option<&str>, id: &str) -> String {
    match workspace {
        Some(workspace) => format!("{workspace}/{id}"),
        None => id.to_owned(),
    }
}

/// Splits the id of a step within the fleet into the workspace, if there is one, and the id that the
/// trainer chose.
pub fn split_step_id(id: &str) -> (Option<&str>, &str) {
    match id.rsplit_once('/') {
        Some((workspace, id)) => (Some(workspace), id),
        None => (None, id),
    }
}

impl From<Vec<Workspace>> for Workspaces {
    fn from(all: Vec<Workspace>) -> Self {
        let keys = all.iter().zip(0..).flat_map(|(workspace, index)| {
            workspace.keys.iter().map(move |digest| (*digest, index))
        });
        Self { keyring: Keyring::new(keys), all }
    }
}

impl From<Workspaces> for Vec<Workspace> {
    fn from(workspaces: Workspaces) -> Self {
        workspaces.all
    }
}

impl PartialEq for Workspaces {
    fn eq(&self, other: &Self) -> bool {
        self.all == other.all
    }
}

impl Workspaces {
    /// Returns whether there are no workspaces, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns all workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.all.iter()
    }

    /// Returns the access that a key grants on a route.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        if self.is_empty() || route.open {
            return Access::Open;
        }
        self.holder(key).map_or(Access::Unknown, Access::Workspace)
    }

    /// Returns the access to steps for reading and ending them: that of the workspace that holds
    /// the key. Without a known key, this is access to the steps of open routes, if there are any.
    pub fn step_access<'a>(&'a self, routes: &[Route], key: Option<&str>) -> Access<'a> {
        let has_open_route =
            || routes.iter().any(|route| route.open && route.kind == RouteKind::Step);
        match self.holder(key) {
            Some(workspace) => Access::Workspace(workspace),
            None if self.is_empty() || has_open_route() => Access::Open,
            None => Access::Unknown,
        }
    }

    /// Returns the workspace that holds a key.
    pub fn holder(&self, key: Option<&str>) -> Option<&Workspace> {
        let index = self.keyring.holder(key?)?;
        self.all.get(*index as usize)
    }

    /// Returns the workspace that holds the key with this digest.
    pub fn digest_holder(&self, digest: &Digest) -> Option<&Workspace> {
        let index = self.keyring.digest_holder(digest)?;
        self.all.get(*index as usize)
    }

    /// Checks that workspaces have different names and no common keys.
    ///
    /// # Errors
    ///
    /// The [`ConfigError`] names the workspaces, never a key.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.errors().into_iter().next().map_or(Ok(()), |(_, error)| Err(error))
    }

    /// Returns the errors of [`Workspaces::check`], each with the index of its workspace.
    pub(crate) fn errors(&self) -> Vec<(usize, ConfigError)> {
        let mut errors = Vec::new();
        let mut names: BTreeSet<&str> = BTreeSet::new();
        let mut holders: BTreeMap<Digest, &str> = BTreeMap::new();
        for (index, workspace) in self.all.iter().enumerate() {
            let name = workspace.name.as_str();
            if !names.insert(name) {
                errors.push((index, ConfigError::DuplicateWorkspace { name: name.to_owned() }));
            }
            for key in &workspace.keys {
                let first = *holders.entry(*key).or_insert(name);
                if first != name {
                    let (first, second) = (first.to_owned(), name.to_owned());
                    errors.push((index, ConfigError::SharedKey { first, second }));
                }
            }
        }
        errors
    }
}
