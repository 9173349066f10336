//! Tests of a request and a step's samples on the path through entry, agent and engine.

use chicoryford_types::Sample;
use chicoryford_wire::paths;
use serde_json::json;

use crate::fixture::Node;

#[test]
fn can_answer_a_request_with_the_versions_that_produced_it() {
    let node = Node::with_template("{}");
    let body = json!({"model": "model", "prompt": "tonight's ferry?", "max_tokens": 16});
    let answer = node.post(paths::COMPLETIONS, "caller-token", &body.to_string());
    assert_eq!(answer.status, 200, "{answer:?}");
    let answer = answer.json();
    let tokens = answer["usage"]["completion_tokens"].as_u64().unwrap();
    assert!(tokens > 0);
    assert_eq!(answer["chicoryford"]["spans"], json!([{"from": 0, "to": tokens, "version": 1}]));
}

#[test]
fn can_stream_a_chat_to_its_explicit_end() {
    let node = Node::with_template("{}");
    let messages = json!([{"role": "user", "content": "et al.?"}]);
    let body = json!({"model": "model", "messages": messages, "max_tokens": 8, "stream": true});
    let answer = node.post(paths::CHAT, "caller-token", &body.to_string());
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.body.contains("data: [DONE]"), "{answer:?}");
}

#[test]
fn can_deliver_a_step_once() {
    let node = Node::with_template("{}");
    let spec = json!({
        "workspace": "desk", "step": 1, "model": "model", "samples": 2, "max_tokens": 16,
        "groups": [{"prompt": "a route"}, {"prompt": "another"}], "budget_ms": 60_000,
    });
    node.wait("the step is open", || {
        node.post(paths::STEP_OPEN, "trainer-token", &spec.to_string()).status == 200
    });
    let mut samples: Vec<Sample> = Vec::new();
    let mut cursor = 1;
    node.wait("all samples are delivered", || {
        let pull = json!({"workspace": "desk", "cursor": cursor, "groups": 2, "newest": 1});
        let answer = node.post(paths::STEP_PULL, "trainer-token", &pull.to_string());
        if answer.status != 200 || answer.json()["samples"].is_null() {
            return false;
        }
        // Guards against a trainer that gets other samples when it pulls again after a lost answer,
        // and so trains twice. A pull must be idempotent.
        let again = node.post(paths::STEP_PULL, "trainer-token", &pull.to_string());
        assert_eq!(again.body, answer.body);
        let batch: Vec<Sample> = serde_json::from_value(answer.json()["samples"].clone()).unwrap();
        samples.extend(batch);
        let ack = json!({"workspace": "desk", "cursor": cursor});
        let acked = node.post(paths::STEP_ACK, "trainer-token", &ack.to_string());
        assert_eq!(acked.status, 200, "{acked:?}");
        cursor += 1;
        samples.len() >= 4
    });
    let mut ids: Vec<_> = samples.iter().map(|s| (s.group, s.number)).collect();
    ids.sort();
    ids.dedup();
    assert_eq!((samples.len(), ids.len()), (4, 4));
    assert!(samples.iter().all(Sample::is_attributed), "{samples:?}");
}
