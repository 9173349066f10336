//! Processes, as they announce themselves to each other.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::EndpointInfo;
use crate::ids::DataCentre;
use crate::ids::Incarnation;
use crate::ids::Node;
use crate::ids::Region;
use crate::position::Position;

/// The roles of a process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Roles {
    /// The process serves callers and trainers.
    pub entry: bool,
    /// The process has a replica of the control log.
    pub control: bool,
    /// The process runs next to an endpoint and serves it.
    pub agent: bool,
}

/// The announcement of a process.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// The name of the process.
    pub node: Node,
    /// Increases with each restart, so that a restarted process is not mistaken for the old one.
    pub incarnation: Incarnation,
    /// The address of its HTTP server.
    pub address: String,
    /// The UDP address at which it receives gossip.
    pub gossip: String,
    /// The region in which it runs.
    pub region: Region,
    /// The data centre in which it runs.
    pub data_centre: DataCentre,
    /// Its roles.
    pub roles: Roles,
    /// The endpoint that it serves, if it is an agent.
    pub endpoint: Option<EndpointInfo>,
    /// The position of the configuration that it has in force.
    pub position: Position,
    /// The number of the announcement within the incarnation. The greatest is the valid one.
    pub announced: u64,
}

/// The state of a process as seen by the other processes.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It responds to probes.
    #[default]
    Alive,
    /// It did not respond to direct or indirect probes, but can still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it is leaving.
    Left,
}

/// A member and its standing.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Known {
    /// Its latest announcement.
    pub member: Member,
    /// Its state.
    pub standing: Standing,
}

/// A snapshot of all members that this process has a record of.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Members {
    /// The members by name.
    pub known: BTreeMap<Node, Known>,
}

impl Members {
    /// Returns the members that may be sent work: those that are alive or suspected, but not dead.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.known.values().filter(|k| k.standing <= Standing::Suspect).map(|k| &k.member)
    }
}
