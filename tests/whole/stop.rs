//! Tests of graceful shutdown and planned stops.

use std::thread;

use chicoryford_wire::paths;
use serde_json::json;

use crate::fixture::Node;

#[test]
fn finishes_requests_in_progress_before_it_ends() {
    // Guards against a caller that gets half an answer. The process gets SIGTERM while it streams
    // an answer, and must not end before it has sent the last byte of the stream.
    let mut node = Node::with_template("{}");
    let prompt = json!([{"role": "user", "content": "a long one"}]);
    let body = json!({"model": "model", "messages": prompt, "max_tokens": 2_000, "stream": true});
    let mut stream = node.connect();
    let body = body.to_string();
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer caller-token\r\n\
         chicoryford-workspace: desk\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        paths::CHAT,
        body.len()
    );
    std::io::Write::write_all(&mut stream, head.as_bytes()).unwrap();
    let mut first = [0; 16];
    std::io::Read::read_exact(&mut stream, &mut first).unwrap();
    assert!(first.starts_with(b"HTTP/1.1 200"));
    let reader = thread::spawn(move || crate::fixture::read(stream));
    assert_eq!(node.stop(), Some(0));
    let answer = reader.join().unwrap();
    assert!(answer.body.contains("data: [DONE]"), "{answer:?}");
}

#[test]
fn refuses_new_work_while_a_stop_is_planned() {
    let node = Node::with_template("{}");
    let planned = node.client(&["stop", "plan", "--endpoint", "engine", "--id", "s", "--wait"]);
    assert!(planned.status.success(), "{planned:?}");
    let body = json!({"model": "model", "prompt": "x", "max_tokens": 4}).to_string();
    node.wait("new work is refused", || {
        let answer = node.post(paths::COMPLETIONS, "caller-token", &body);
        answer.status == 503 && answer.json()["error"]["outcome"] == "not_run"
    });
    assert!(node.client(&["stop", "status", "s"]).status.success());
    let cancelled = node.client(&["stop", "cancel", "s", "--wait"]);
    assert!(cancelled.status.success(), "{cancelled:?}");
    node.wait("new work is accepted again", || {
        node.post(paths::COMPLETIONS, "caller-token", &body).status == 200
    });
}
