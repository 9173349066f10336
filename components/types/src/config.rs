//! The accepted configuration, which every process has a copy of, and the changes to it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentre;
use crate::ids::Endpoint;
use crate::ids::Fingerprint;
use crate::ids::Model;
use crate::ids::Node;
use crate::ids::StopId;
use crate::ids::Version;
use crate::ids::Workspace;
use crate::position::Position;
use crate::template::Template;
use crate::time::Unix;

/// All accepted configuration at one position.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Config {
    /// The position of the last change applied.
    pub at: Position,
    /// The template of each workspace, with its version number.
    pub templates: BTreeMap<Workspace, Versioned>,
    /// The planned stops that are in force.
    pub stops: BTreeMap<StopId, Stop>,
    /// Contents that were running at an endpoint when it crashed, with the number of such crashes.
    /// A suspect runs in isolation until it either finishes or crashes an endpoint by itself
    /// (docs/SUSPECTS.md).
    pub suspects: BTreeMap<Fingerprint, u32>,
    /// Contents that are refused because they crash endpoints.
    pub convictions: BTreeMap<Fingerprint, Conviction>,
    /// The newest published weights of each model.
    pub weights: BTreeMap<Model, Published>,
}

/// A template with its version number, which increases by one with each accepted change.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Versioned {
    /// The number of accepted changes of the template; the first version is one.
    pub version: u64,
    /// The template.
    pub template: Template,
}

/// A planned stop.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Stop {
    /// What stops.
    pub target: StopTarget,
    /// Milliseconds from the start of the stop after which work in progress may be given up.
    pub deadline_ms: u64,
    /// The reason, for display only.
    pub reason: String,
    /// When it was accepted, for display only.
    pub accepted: Unix,
}

/// The target of a planned stop.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopTarget {
    /// One endpoint.
    Endpoint(Endpoint),
    /// One process of the system.
    Node(Node),
    /// All endpoints and processes of a data centre.
    DataCentre(DataCentre),
}

/// Why a fingerprint is refused, and until when.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Conviction {
    /// How many endpoints the content crashed.
    pub crashes: u32,
    /// When the conviction expires, by the wall clock of the leader that accepted it.
    pub until: Unix,
}

/// The newest weights of a model.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Published {
    /// The version.
    pub version: Version,
    /// Where they are in the weight store.
    pub source: String,
    /// When they were published, for display only.
    pub accepted: Unix,
}

/// One change of configuration.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Change {
    /// A template was added or replaced.
    Template(Box<Versioned>),
    /// A template was removed.
    TemplateRemoved(Workspace),
    /// A stop was planned.
    Stop(StopId, Stop),
    /// A stop was cancelled or has ended.
    StopRemoved(StopId),
    /// A fingerprint was in progress at an endpoint that crashed. The number counts its crashes so
    /// far.
    Suspected(Fingerprint, u32),
    /// A suspected fingerprint finished without a crash.
    Cleared(Fingerprint),
    /// A fingerprint was convicted.
    Convicted(Fingerprint, Conviction),
    /// A fingerprint was pardoned, or its conviction expired.
    Pardoned(Fingerprint),
    /// Weights were published.
    Weights(Model, Published),
}

/// An update for a follower of the configuration.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Delta {
    /// The changes between two positions.
    Changes {
        /// The position that the follower must be at.
        from: Position,
        /// The position that the follower is at after applying them.
        to: Position,
        /// The changes, each with its position.
        changes: Vec<(Position, Change)>,
    },
    /// The whole configuration, because the changes in between are no longer stored.
    Snapshot(Box<Config>),
}

impl Config {
    /// Applies a change if its position is after the current one, and returns whether it did.
    ///
    /// A change at or before the current position is a duplicate; applying it would revert newer
    /// changes.
    pub fn apply(&mut self, at: Position, change: Change) -> bool {
        if at <= self.at {
            return false;
        }
        self.at = at;
        match change {
            Change::Template(versioned) => {
                self.templates.insert(versioned.template.workspace.clone(), *versioned);
            }
            Change::TemplateRemoved(workspace) => {
                self.templates.remove(&workspace);
            }
            Change::Stop(id, stop) => {
                self.stops.insert(id, stop);
            }
            Change::StopRemoved(id) => {
                self.stops.remove(&id);
            }
            Change::Suspected(fingerprint, crashes) => {
                self.suspects.insert(fingerprint, crashes);
            }
            Change::Cleared(fingerprint) => {
                self.suspects.remove(&fingerprint);
            }
            Change::Convicted(fingerprint, conviction) => {
                self.suspects.remove(&fingerprint);
                self.convictions.insert(fingerprint, conviction);
            }
            Change::Pardoned(fingerprint) => {
                self.convictions.remove(&fingerprint);
            }
            Change::Weights(model, published) => {
                self.weights.insert(model, published);
            }
        }
        true
    }
}
