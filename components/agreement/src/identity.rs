//! Who the replicas are.

use std::collections::BTreeMap;
use std::fmt;

use chicoryford_types::Incarnation;
use chicoryford_types::Node;
use serde::Deserialize;
use serde::Serialize;

/// Identifies a replica: a node together with the incarnation of its data folder.
///
/// A node whose disk was lost comes back with a new folder and hence as another replica. If it
/// came back as the same one, it would vote and acknowledge as if it remembered what it had
/// promised, and two leaders of one epoch or a lost entry could follow.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ReplicaId {
    /// The node.
    pub node: Node,
    /// The incarnation of its data folder, drawn when the folder is made and kept in it.
    pub incarnation: Incarnation,
}

impl ReplicaId {
    /// Joins a node and the incarnation of its data folder.
    pub fn new(node: impl Into<Node>, incarnation: Incarnation) -> Self {
        Self { node: node.into(), incarnation }
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.node, self.incarnation)
    }
}

/// One of the nodes with which a deployment first starts.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Founder {
    /// The node.
    pub node: Node,
    /// Where it answers HTTP.
    pub address: String,
}

/// The place of a replica among the members.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ReplicaInfo {
    /// Where its node answers HTTP.
    pub address: String,
    /// Whether it votes and is counted; one that does not is still catching up.
    pub voter: bool,
    /// The replica whose place it takes once it has caught up.
    #[serde(default)]
    pub replaces: Option<ReplicaId>,
}

/// The members of the agreement.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Membership {
    /// The seats, by replica, as pairs because not every codec has maps with structured keys.
    #[serde(with = "pairs", rename = "seats")]
    pub replicas: BTreeMap<ReplicaId, ReplicaInfo>,
}

impl Membership {
    /// Tells whether a replica votes.
    pub fn is_voter(&self, id: &ReplicaId) -> bool {
        self.replicas.get(id).is_some_and(|info| info.voter)
    }

    /// Tells whether a replica has a seat.
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.replicas.contains_key(id)
    }

    /// Gives the voters.
    pub fn voters(&self) -> impl Iterator<Item = &ReplicaId> {
        self.replicas.iter().filter(|(_, info)| info.voter).map(|(id, _)| id)
    }

    /// Gives how many voters make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Tells whether a majority of the voters passes a test.
    pub fn has_majority(&self, pass: impl Fn(&ReplicaId) -> bool) -> bool {
        self.voters().filter(|id| pass(id)).count() >= self.quorum()
    }

    /// Gives the greatest value that a majority of the voters has reached.
    pub fn majority_value<T: Ord + Default>(&self, value: impl Fn(&ReplicaId) -> T) -> T {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.quorum() - 1).unwrap_or_default()
    }
}

mod pairs {
    use std::collections::BTreeMap;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    use super::ReplicaId;
    use super::ReplicaInfo;

    pub fn serialize<S: Serializer>(
        replicas: &BTreeMap<ReplicaId, ReplicaInfo>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.collect_seq(replicas.iter())
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(
        from: D,
    ) -> Result<BTreeMap<ReplicaId, ReplicaInfo>, D::Error> {
        let pairs = Vec::<(ReplicaId, ReplicaInfo)>::deserialize(from)?;
        Ok(pairs.into_iter().collect())
    }
}
