//! The other control processes, as found by gossip.
//!
//! A founder whose disk is lost starts again with its original settings, which name only founders.
//! If all the other founders have been replaced one by one, the processes that it asks are as empty
//! as itself, and it would found a second deployment next to the running one, with two leaders
//! unaware of each other. The current replicas are found by gossip, so their nodes are passed to
//! the agreement, which asks them as well.

use std::collections::BTreeMap;
use std::sync::Arc;

use chicoryford_membership::Handle;
use chicoryford_types::Members;
use chicoryford_types::Node;

/// Detects changes in the set of control processes found by gossip.
#[derive(Clone)]
pub struct ControlPeers {
    members: Arc<Handle>,
    own: Node,
    last_seen: BTreeMap<Node, String>,
}

impl ControlPeers {
    /// Watches all control processes except `own`.
    pub fn new(members: Arc<Handle>, own: Node) -> Self {
        Self { members, own, last_seen: BTreeMap::new() }
    }

    /// Returns the addresses of all peers if they have changed since the last call.
    pub fn changed(&mut self) -> Option<&BTreeMap<Node, String>> {
        let found = control_nodes(&self.members.view(), &self.own);
        if found == self.last_seen {
            return None;
        }
        self.last_seen = found;
        Some(&self.last_seen)
    }
}

/// Returns the nodes with the control role, except `own`, with their addresses.
///
/// Nodes that are dead or have left are included: a peer that is only partitioned still has its
/// disk.
pub fn control_nodes(members: &Members, own: &Node) -> BTreeMap<Node, String> {
    let all = members.known.values().map(|known| &known.member);
    let others = all.filter(|member| member.roles.control && member.node != *own);
    others.map(|member| (member.node.clone(), member.address.clone())).collect()
}
