//! What is malformed, too large, unauthenticated or slow gets its documented error, and the
//! daemon goes on serving.

use std::io::Write;

use chicoryford_wire::paths;
use serde_json::json;

use crate::fixture::Node;
use crate::fixture::read;

const TIGHT: &str = "{body: 4096, read_ms: 500}";

fn sound() -> String {
    json!({"model": "model", "prompt": "a crate", "max_tokens": 4}).to_string()
}

fn still_serves(node: &Node) {
    let answer = node.post(paths::COMPLETIONS, "caller-token", &sound());
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn errors_on_malformed_json() {
    let node = Node::with_template(TIGHT);
    let answer = node.post(paths::COMPLETIONS, "caller-token", "{\"model\": ");
    assert_eq!((answer.status, answer.code().as_str()), (400, "bad_request"));
    assert_eq!(answer.json()["error"]["outcome"], "not_run");
    still_serves(&node);
}

#[test]
fn errors_on_a_body_over_the_bound() {
    let node = Node::with_template(TIGHT);
    let answer = node.post(paths::COMPLETIONS, "caller-token", &"x".repeat(5_000));
    assert_eq!((answer.status, answer.code().as_str()), (413, "too_large"));
    still_serves(&node);
}

#[test]
fn errors_on_tokens_that_are_unknown_or_of_others() {
    let node = Node::with_template(TIGHT);
    let unknown = node.post(paths::COMPLETIONS, "guess", &sound());
    assert_eq!((unknown.status, unknown.code().as_str()), (401, "unauthenticated"));
    // A caller whom the workspace's template does not name reaches nothing in it.
    let stranger = node.post(paths::COMPLETIONS, "stranger-token", &sound());
    assert_eq!((stranger.status, stranger.code().as_str()), (403, "forbidden"));
    let operator = node.post(paths::OPERATE, "caller-token", "\"nothing\"");
    assert_eq!((operator.status, operator.code().as_str()), (403, "forbidden"));
    still_serves(&node);
}

#[test]
fn refuses_operators_the_commands_of_processes() {
    // Symptom: a label is printed twice. Sequence: an operator closes a session by hand while its
    // entry still works. Cause: the operators' path took every command of the replicated state.
    let node = Node::with_template(TIGHT);
    let command = json!({"close_session": {"session": 1}}).to_string();
    let answer = node.post(paths::OPERATE, "operator-token", &command);
    assert_eq!((answer.status, answer.code().as_str()), (403, "forbidden"));
}

#[test]
fn errors_on_a_body_that_does_not_come() {
    // Symptom: connections fill up and nobody is served. Sequence: clients send a head and then
    // a byte a second, or nothing. Cause: no bound on the time of a body.
    let node = Node::with_template(TIGHT);
    let mut stream = node.connect();
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer caller-token\r\n\
         chicoryford-workspace: desk\r\ncontent-length: 100\r\nconnection: close\r\n\r\n{{",
        paths::COMPLETIONS
    );
    stream.write_all(head.as_bytes()).unwrap();
    let answer = read(stream);
    assert_eq!((answer.status, answer.code().as_str()), (400, "bad_request"));
    still_serves(&node);
}

#[test]
fn closes_a_connection_whose_head_does_not_come() {
    let node = Node::with_template(TIGHT);
    let silent = node.connect();
    let mut slow = node.connect();
    slow.write_all(b"POST / HT").unwrap();
    // The read ends because the server closes the connection, not because the test gives up.
    let statuses = [read(silent).status, read(slow).status];
    assert!(statuses.iter().all(|status| [0, 408].contains(status)), "{statuses:?}");
    still_serves(&node);
}
