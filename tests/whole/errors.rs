//! Tests that malformed, too large, unauthenticated and slow requests get their documented errors,
//! and that the daemon still serves other requests.

use std::io::Write;

use chicoryford_wire::paths;
use serde_json::json;

use crate::fixture::Node;
use crate::fixture::read;

const TIGHT_BOUNDS: &str = "{body: 4096, read_ms: 500}";

fn valid_request() -> String {
    json!({"model": "model", "prompt": "a crate", "max_tokens": 4}).to_string()
}

fn check_still_serves(node: &Node) {
    let answer = node.post(paths::COMPLETIONS, "caller-token", &valid_request());
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn errors_on_malformed_json() {
    let node = Node::with_template(TIGHT_BOUNDS);
    let answer = node.post(paths::COMPLETIONS, "caller-token", "{\"model\": ");
    assert_eq!((answer.status, answer.code().as_str()), (400, "bad_request"));
    assert_eq!(answer.json()["error"]["outcome"], "not_run");
    check_still_serves(&node);
}

#[test]
fn errors_on_a_body_over_the_bound() {
    let node = Node::with_template(TIGHT_BOUNDS);
    let answer = node.post(paths::COMPLETIONS, "caller-token", &"x".repeat(5_000));
    assert_eq!((answer.status, answer.code().as_str()), (413, "too_large"));
    check_still_serves(&node);
}

#[test]
fn errors_on_unknown_tokens_and_tokens_without_access() {
    let node = Node::with_template(TIGHT_BOUNDS);
    let unknown = node.post(paths::COMPLETIONS, "guess", &valid_request());
    assert_eq!((unknown.status, unknown.code().as_str()), (401, "unauthenticated"));
    // A caller that the workspace's template does not name has no access to it.
    let stranger = node.post(paths::COMPLETIONS, "stranger-token", &valid_request());
    assert_eq!((stranger.status, stranger.code().as_str()), (403, "forbidden"));
    let operator = node.post(paths::OPERATE, "caller-token", "\"nothing\"");
    assert_eq!((operator.status, operator.code().as_str()), (403, "forbidden"));
    check_still_serves(&node);
}

#[test]
fn refuses_operators_the_commands_of_processes() {
    // Guards against a label that is printed twice because an operator closes a session by hand
    // while its entry is still running. The operators' path must not accept every command of the
    // replicated state.
    let node = Node::with_template(TIGHT_BOUNDS);
    let command = json!({"close_session": {"session": 1}}).to_string();
    let answer = node.post(paths::OPERATE, "operator-token", &command);
    assert_eq!((answer.status, answer.code().as_str()), (403, "forbidden"));
}

#[test]
fn errors_on_a_body_that_does_not_arrive() {
    // Guards against clients that use up all connections by sending a head and then one byte a
    // second, or nothing. The time to read a body must be limited.
    let node = Node::with_template(TIGHT_BOUNDS);
    let mut stream = node.connect();
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer caller-token\r\n\
         chicoryford-workspace: desk\r\ncontent-length: 100\r\nconnection: close\r\n\r\n{{",
        paths::COMPLETIONS
    );
    stream.write_all(head.as_bytes()).unwrap();
    let answer = read(stream);
    assert_eq!((answer.status, answer.code().as_str()), (400, "bad_request"));
    check_still_serves(&node);
}

#[test]
fn closes_a_connection_whose_head_does_not_arrive() {
    let node = Node::with_template(TIGHT_BOUNDS);
    let silent = node.connect();
    let mut slow = node.connect();
    slow.write_all(b"POST / HT").unwrap();
    // The read must end because the server closes the connection, not because the test's read times
    // out.
    let statuses = [read(silent).status, read(slow).status];
    assert!(statuses.iter().all(|status| [0, 408].contains(status)), "{statuses:?}");
    check_still_serves(&node);
}
