//! The processes that a replica with an empty disk asks before it founds a deployment.

use std::sync::Arc;

use chicoryford_control::control_peers::ControlPeers;
use chicoryford_control::control_peers::control_nodes;
use chicoryford_membership::Handle;
use chicoryford_types::Known;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Node;
use chicoryford_types::Roles;
use chicoryford_types::Standing;
use tokio::sync::watch;

fn known(node: &str, control: bool, standing: Standing) -> (Node, Known) {
    let node = Node::from(node);
    let roles = Roles { control, ..Roles::default() };
    let address = format!("{node}:1");
    (node.clone(), Known { member: Member { node, address, roles, ..Member::default() }, standing })
}

fn members() -> Members {
    let all = [
        known("a", true, Standing::Alive),
        known("c", true, Standing::Alive),
        known("d", true, Standing::Dead),
        known("entry", false, Standing::Alive),
    ];
    Members { known: all.into_iter().collect() }
}

#[test]
fn a_founder_with_an_empty_disk_asks_the_replacements_of_the_other_founders() {
    // Guards against two leaders, unaware of each other, that both accept changes. c and d replace
    // founders that failed. Later the disk of founder a is lost too, and a starts with its original
    // settings, which name only founders. If a asks only these, all of them are empty.
    let found = control_nodes(&members(), &Node::from("a"));
    let expected = [("c", "c:1"), ("d", "d:1")];
    let expected = expected.map(|(node, address)| (Node::from(node), address.to_owned()));
    assert_eq!(found, expected.into_iter().collect());
}

#[test]
fn reports_each_change_once() {
    let (view, watched) = watch::channel(Arc::new(Members::default()));
    let own = Arc::new(watch::Sender::new(Member::default()));
    let mut control_peers = ControlPeers::new(Arc::new(Handle::new(watched, own)), Node::from("a"));
    assert!(control_peers.changed().is_none());
    view.send_replace(Arc::new(members()));
    assert_eq!(control_peers.changed().map(|all| all.len()), Some(2));
    assert!(control_peers.changed().is_none());
}
