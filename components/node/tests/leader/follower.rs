//! Processes that follow a simulated leader, with the real link.

use std::rc::Rc;

use chicoryford_node::link::Link;
use chicoryford_node::link::Member;
use chicoryford_node::view::View;

use crate::fleet::Fleet;
use crate::fleet::wait_until;

/// Connects a process that stores nothing and is no replica. Returns its link once it follows.
pub async fn follow(fleet: &Fleet, node: &str, view: Rc<View>) -> Rc<Link> {
    let member = Member {
        node: node.to_owned(),
        data_centre: "here".to_owned(),
        address: fleet.links,
        replica: false,
        depot: None,
        runner: None,
    };
    let link = Link::new(member, view, vec![fleet.links]);
    let linked = link.clone();
    actix_rt::spawn(async move { linked.run().await });
    wait_until("the process follows", || link.is_connected()).await;
    link
}
