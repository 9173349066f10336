//! Workspaces, the keys that callers present for them, and what a key opens.
//!
//! A configuration without workspaces is open to all callers. With workspaces, each request needs a
//! key of one of them, but for routes that are open. Keys come and go with configurations, so a key
//! that was taken away is refused by each process from the moment at which the configuration is in
//! force there. docs/SECURITY.md tells which process holds what of a key.

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
    /// Its name, which endpoints are told.
    pub name: String,
    /// Digests of its keys.
    pub keys: Vec<Digest>,
    /// The rank of its requests and steps, zero first; it goes before that of their route.
    pub urgency: Option<u32>,
}

/// The workspaces of a configuration.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "Vec<Workspace>", into = "Vec<Workspace>")]
pub struct Workspaces {
    all: Vec<Workspace>,
    /// The place of the workspace that holds a key.
    ring: Keyring<u32>,
}

/// What a key opens on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access<'a> {
    /// The request is let in without a workspace.
    Open,
    /// The request is one of this workspace's.
    Workspace(&'a Workspace),
    /// No workspace holds the key, or none was presented.
    Unknown,
}

/// How long keys that were in force are believed by a process that hears no leader.
///
/// A key may have been taken away meanwhile, and the process cannot know. To go on serves the callers
/// whose keys still hold; to stop keeps out the one whose key does not. The operator chooses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StaleKeyPolicy {
    /// Whether callers with keys are refused after the limit.
    pub strict: bool,
    /// Milliseconds of the leader's silence.
    pub limit_ms: u64,
}

impl StaleKeyPolicy {
    /// Tells whether keys are believed after so long a silence.
    pub fn allows(&self, silent_ms: u64) -> bool {
        !self.strict || silent_ms <= self.limit_ms
    }
}

/// Gives the identity of a workspace's step, by the identity that its trainer gave it.
///
/// Two workspaces may give the same one, and a caller who asks with another workspace's key must see
/// no more than of a step that never was. So the workspace is a part of the identity, and no place
/// that looks a step up can forget to compare it. A trainer's identity has no slash, so no two pairs
/// come to the same.
pub fn step_id(workspace: Option<&str>, id: &str) -> String {
    match workspace {
        Some(workspace) => format!("{workspace}/{id}"),
        None => id.to_owned(),
    }
}

impl From<Vec<Workspace>> for Workspaces {
    fn from(all: Vec<Workspace>) -> Self {
        let keys = all.iter().zip(0..).flat_map(|(workspace, place)| {
            workspace.keys.iter().map(move |digest| (*digest, place))
        });
        Self { ring: Keyring::new(keys), all }
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
    /// Tells whether requests need no key because there are no workspaces.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Gives the workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.all.iter()
    }

    /// Decides what a key opens on a route.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        if self.is_empty() || route.open {
            return Access::Open;
        }
        self.holder(key).map_or(Access::Unknown, Access::Workspace)
    }

    /// Decides for whom steps are read and ended: the workspace that holds the key. Without a known
    /// key these are the steps of routes that are open, if there are any.
    pub fn step_access<'a>(&'a self, routes: &[Route], key: Option<&str>) -> Access<'a> {
        let open = || routes.iter().any(|route| route.open && route.kind == RouteKind::Step);
        match self.holder(key) {
            Some(workspace) => Access::Workspace(workspace),
            None if self.is_empty() || open() => Access::Open,
            None => Access::Unknown,
        }
    }

    /// Gives the workspace that holds a key.
    pub fn holder(&self, key: Option<&str>) -> Option<&Workspace> {
        let place = self.ring.holder(key?)?;
        self.all.get(*place as usize)
    }

    /// Tells whether the workspaces can be told apart by their names and keys.
    ///
    /// # Errors
    ///
    /// The [`ConfigError`] names the workspaces, never a key.
    pub fn check(&self) -> Result<(), ConfigError> {
        let mut names: BTreeSet<&str> = BTreeSet::new();
        let mut holders: BTreeMap<Digest, &str> = BTreeMap::new();
        for workspace in &self.all {
            let name = workspace.name.as_str();
            if !names.insert(name) {
                return Err(ConfigError::DuplicateWorkspace { name: name.to_owned() });
            }
            for key in &workspace.keys {
                let first = *holders.entry(*key).or_insert(name);
                if first != name {
                    return Err(ConfigError::SharedKey {
                        first: first.to_owned(),
                        second: name.to_owned(),
                    });
                }
            }
        }
        Ok(())
    }
}
