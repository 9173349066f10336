//! TLS as a setting: the daemon, its own calls and the client.

use crate::fixture::Node;
use crate::fixture::TEMPLATE;

#[test]
fn can_speak_https_everywhere() {
    // The engine is seen and the template accepted and in force, so that the agent, the control
    // role, the follower and the client all got through.
    let node = Node::with_tls();
    let file = node.write("desk.yaml", TEMPLATE);
    let applied = node.client(&["apply", "--wait", &file]);
    assert!(applied.status.success(), "{applied:?}");
    let plain = node.post("/healthz", "operator-token", "");
    assert_ne!(plain.status, 200, "plain HTTP must not be served beside HTTPS");
}
