//! Tests of TLS for the daemon, its own requests and the client.

use crate::fixture::Node;
use crate::fixture::TEMPLATE;

#[test]
fn can_speak_https_everywhere() {
    // The daemon sees the engine, and the template is accepted and comes into force. This needs the
    // connections of the agent, the control role, the follower and the client.
    let node = Node::with_tls();
    let file = node.write("desk.yaml", TEMPLATE);
    let applied = node.client(&["apply", "--wait", &file]);
    assert!(applied.status.success(), "{applied:?}");
    let plain = node.post("/healthz", "operator-token", "");
    assert_ne!(plain.status, 200, "plain HTTP must not be served next to HTTPS");
}
