//! Processes as they announce themselves to each other.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::EndpointInfo;
use crate::ids::DataCentre;
use crate::ids::Incarnation;
use crate::ids::Node;
use crate::ids::Region;
use crate::position::Position;

/// The roles that a process has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Roles {
    /// It serves callers and trainers.
    pub entry: bool,
    /// It holds a replica of the control log.
    pub control: bool,
    /// It stands beside an endpoint.
    pub agent: bool,
}

/// What a process announces of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// The process.
    pub node: Node,
    /// Grows with each restart, so that a restarted process is not taken for the old one.
    pub incarnation: Incarnation,
    /// Where it answers HTTP.
    pub address: String,
    /// Where it takes gossip, by UDP.
    pub gossip: String,
    /// Where it stands.
    pub region: Region,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// What it does.
    pub roles: Roles,
    /// The endpoint beside it, if it is an agent.
    pub endpoint: Option<EndpointInfo>,
    /// The configuration that it has in force.
    pub position: Position,
    /// Counts its announcements within the incarnation; the greatest holds.
    pub announced: u64,
}

/// How the others see a process.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It answers.
    #[default]
    Alive,
    /// It did not answer, directly or through others; it may yet refute this.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It said that it leaves.
    Left,
}

/// A member and its standing.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Known {
    /// What it announced.
    pub member: Member,
    /// How it stands.
    pub standing: Standing,
}

/// Everyone that this process knows, at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Members {
    /// The members by name.
    pub known: BTreeMap<Node, Known>,
}

impl Members {
    /// Gives those that stand well enough to be sent work: alive, or suspected but not yet dead.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.known.values().filter(|k| k.standing <= Standing::Suspect).map(|k| &k.member)
    }
}
