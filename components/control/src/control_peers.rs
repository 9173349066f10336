//! The other control processes that gossip knows.
//!
//! A founder whose disk is lost starts with the settings of the first day. If replicas took the
//! other founders' places one by one, those it asks are as empty as itself, and it would found a
//! second deployment beside the running one: two leaders that do not know each other. The
//! replicas that now run are known by gossip, so the agreement is told of them and asks them too.

use std::collections::BTreeMap;
use std::sync::Arc;

use chicoryford_membership::Handle;
use chicoryford_types::Members;
use chicoryford_types::Node;

/// Looks for changes among the control processes that gossip knows.
#[derive(Clone)]
pub struct ControlPeers {
    members: Arc<Handle>,
    own: Node,
    known: BTreeMap<Node, String>,
}

impl ControlPeers {
    /// Watches all control processes but `own`.
    pub fn new(members: Arc<Handle>, own: Node) -> Self {
        Self { members, own, known: BTreeMap::new() }
    }

    /// Gives the addresses of all control_peers if they have changed since the last look.
    pub fn changed(&mut self) -> Option<&BTreeMap<Node, String>> {
        let found = control_nodes(&self.members.view(), &self.own);
        if found == self.known {
            return None;
        }
        self.known = found;
        Some(&self.known)
    }
}

/// Gives the nodes that have the control role, with the addresses at which they answer.
///
/// Those that are dead or have left count as well: a neighbour that is only cut off still has
/// its disk.
pub fn control_nodes(members: &Members, own: &Node) -> BTreeMap<Node, String> {
    let all = members.known.values().map(|known| &known.member);
    let others = all.filter(|member| member.roles.control && member.node != *own);
    others.map(|member| (member.node.clone(), member.address.clone())).collect()
}
