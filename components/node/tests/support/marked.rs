//! Endpoints that the leader has marked as unreachable.

use std::collections::BTreeMap;

use chicoryford_fleet::reachability::UnreachableSet;
use chicoryford_node::message::Update;

/// Creates the leader's update by which an endpoint is marked as unreachable.
pub fn marked(id: &str, probe_ms: u64) -> Update {
    let endpoints = BTreeMap::from([(id.to_owned(), 0)]);
    Update::Unreachable(UnreachableSet { endpoints, probe_ms })
}
