//! The samplers to which the leader sends orders, as listed in the membership view.

use std::collections::BTreeMap;

use chicoryford_control::orders::samplers;
use chicoryford_types::Endpoint;
use chicoryford_types::EndpointInfo;
use chicoryford_types::EndpointKind;
use chicoryford_types::Incarnation;
use chicoryford_types::Known;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Version;
use chicoryford_types::member::Standing;

fn agent(node: &str, incarnation: u64, info: EndpointInfo) -> Known {
    let member = Member {
        node: Node::from(node),
        incarnation: Incarnation(incarnation),
        address: format!("at-{node}"),
        endpoint: Some(info),
        ..Member::default()
    };
    Known { member, standing: Standing::Alive }
}

fn info(name: &str) -> EndpointInfo {
    EndpointInfo {
        name: Endpoint::from(name),
        models: BTreeMap::from([(Model::from("m"), Version(1))]),
        healthy: true,
        gives: Some(format!("http://{name}")),
        ..EndpointInfo::default()
    }
}

fn view(all: Vec<Known>) -> Members {
    let named = all.into_iter().map(|known| (known.member.node.clone(), known));
    Members { known: named.collect() }
}

#[test]
fn lists_engines_also_unhealthy_and_draining_ones() {
    let broken = EndpointInfo { healthy: false, ..info("b") };
    let leaving = EndpointInfo { draining: true, ..info("c") };
    let service = EndpointInfo { kind: EndpointKind::Service, ..info("d") };
    let gone = Known { standing: Standing::Dead, ..agent("5", 1, info("e")) };
    let all = vec![
        agent("1", 1, info("a")),
        agent("2", 1, broken),
        agent("3", 1, leaving),
        agent("4", 1, service),
        gone,
    ];
    let statuses = samplers(&view(all)).statuses();
    let seen: Vec<_> = statuses.iter().map(|s| (s.endpoint.0.as_str(), s.ready)).collect();
    assert_eq!(seen, [("a", true), ("b", false), ("c", false)]);
    assert_eq!(statuses[0].source.as_deref(), Some("http://a"));
}

/// Guards against a sampler that keeps old weights because the leader's orders to it get no reply.
/// An agent's VM is replaced under another name, and both announce the endpoint until the old one
/// is found dead. If the name that sorts last is used, orders are sent to the old one.
#[test]
fn uses_the_agent_that_started_last() {
    let all = vec![agent("new", 2, info("a")), agent("old", 1, info("a"))];
    let found = samplers(&view(all));
    assert_eq!(found.address(&Endpoint::from("a")), Some("at-new"));
}
