//! Identities of replicas and the set of members.

use std::collections::BTreeMap;
use std::fmt;

use chicoryford_types::Incarnation;
use chicoryford_types::Node;
use serde::Deserialize;
use serde::Serialize;

/// Identifies a replica: a node together with the incarnation of its data folder.
///
/// A node that lost its disk returns with a new folder and therefore as a different replica. Under
/// the old identity it would vote and acknowledge as if it still had its earlier votes and entries,
/// which could lead to two leaders in one epoch or to a lost entry.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ReplicaId {
    /// The node.
    pub node: Node,
    /// The incarnation of its data folder, drawn when the folder is created and stored in it.
    pub incarnation: Incarnation,
}

impl ReplicaId {
    /// Creates the identity of a node with the given incarnation of its data folder.
    pub fn new(node: impl Into<Node>, incarnation: Incarnation) -> Self {
        Self { node: node.into(), incarnation }
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.node, self.incarnation)
    }
}

/// A node that takes part in the bootstrap of a deployment.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Founder {
    /// The node.
    pub node: Node,
    /// The HTTP address of the node.
    pub address: String,
}

/// The membership data of a replica.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ReplicaInfo {
    /// The HTTP address of its node.
    pub address: String,
    /// Whether it votes and counts towards the quorum. A non-voter is still catching up.
    pub voter: bool,
    /// The replica that it replaces once it has caught up.
    #[serde(default)]
    pub replaces: Option<ReplicaId>,
}

/// The members of the consensus group.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Membership {
    /// The members by identity. Serialized as pairs because not every codec supports maps with
    /// structured keys.
    #[serde(with = "pairs", rename = "seats")]
    pub replicas: BTreeMap<ReplicaId, ReplicaInfo>,
}

impl Membership {
    /// Returns whether a replica is a voter.
    pub fn is_voter(&self, id: &ReplicaId) -> bool {
        self.replicas.get(id).is_some_and(|info| info.voter)
    }

    /// Returns whether a replica is a member.
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.replicas.contains_key(id)
    }

    /// Returns the voters.
    pub fn voters(&self) -> impl Iterator<Item = &ReplicaId> {
        self.replicas.iter().filter(|(_, info)| info.voter).map(|(id, _)| id)
    }

    /// Returns the number of voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether a majority of the voters satisfies a predicate.
    pub fn has_majority(&self, predicate: impl Fn(&ReplicaId) -> bool) -> bool {
        self.voters().filter(|id| predicate(id)).count() >= self.quorum()
    }

    /// Returns the greatest value that a majority of the voters has reached.
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
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(replicas.iter())
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(
        deserializer: D,
    ) -> Result<BTreeMap<ReplicaId, ReplicaInfo>, D::Error> {
        let pairs = Vec::<(ReplicaId, ReplicaInfo)>::deserialize(deserializer)?;
        Ok(pairs.into_iter().collect())
    }
}
