//! Accepted configuration as every process holds it, and the changes by which it moves on.

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
    /// The position of the last change in it.
    pub at: Position,
    /// The templates, each with its version number.
    pub templates: BTreeMap<Workspace, Versioned>,
    /// Planned stops that are in force.
    pub stops: BTreeMap<StopId, Stop>,
    /// Contents that ran at an endpoint that crashed, and how often. They run apart until one of
    /// them either finishes or crashes an endpoint by itself (docs/SUSPECTS.md).
    pub suspects: BTreeMap<Fingerprint, u32>,
    /// Requests that are refused because they crash endpoints.
    pub convictions: BTreeMap<Fingerprint, Conviction>,
    /// The newest published weights of each model.
    pub weights: BTreeMap<Model, Published>,
}

/// A template and the number of its version, which grows by one with each accepted change.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Versioned {
    /// Counts the template's accepted changes from one.
    pub version: u64,
    /// The template.
    pub template: Template,
}

/// A planned stop.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Stop {
    /// What stops.
    pub target: StopTarget,
    /// When work in progress may at last be given up, in milliseconds after the stop begins.
    pub deadline_ms: u64,
    /// Why, for people.
    pub reason: String,
    /// When it was accepted, for people.
    pub accepted: Unix,
}

/// What a planned stop stops.
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

/// Why and how long a fingerprint is refused.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Conviction {
    /// How many endpoints it crashed.
    pub crashes: u32,
    /// When it lapses, on the wall clock of the leader that accepted it.
    pub until: Unix,
}

/// The newest weights of a model.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Published {
    /// The version.
    pub version: Version,
    /// Where the weight store has them.
    pub source: String,
    /// When they were published, for people.
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
    /// A stop was cancelled or is over.
    StopRemoved(StopId),
    /// A fingerprint was in progress at an endpoint that crashed; this many crashes so far.
    Suspected(Fingerprint, u32),
    /// A suspected fingerprint ran to its end.
    Cleared(Fingerprint),
    /// A fingerprint was convicted.
    Convicted(Fingerprint, Conviction),
    /// A fingerprint was pardoned, or its conviction lapsed.
    Pardoned(Fingerprint),
    /// Weights were published.
    Weights(Model, Published),
}

/// What a follower that stands at `from` needs to stand at `to`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Delta {
    /// The changes in between.
    Changes {
        /// The position they apply to.
        from: Position,
        /// The position they lead to.
        to: Position,
        /// The changes, each with its position.
        changes: Vec<(Position, Change)>,
    },
    /// Everything, because the changes in between are no longer kept.
    Snapshot(Box<Config>),
}

impl Config {
    /// Applies one change, which must lie ahead of the present position.
    ///
    /// Returns whether it was applied: a change at or behind the present position is a repeat,
    /// and applying it would take the configuration back.
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
