//! Graceful shutdown and planned stops.

use std::thread;

use chicoryford_standin::engine::EngineSettings;
use chicoryford_wire::paths;
use serde_json::json;

use crate::cluster::Cluster;
use crate::fixture::Node;

#[test]
fn finishes_what_is_in_progress_before_it_ends() {
    // Symptom: a caller gets half an answer. Sequence: a stream is under way, the process gets
    // SIGTERM, it ends at once. Cause: the shutdown did not wait for the stream's last byte.
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
    let reading = thread::spawn(move || crate::fixture::read(stream));
    assert_eq!(node.stop(), Some(0));
    let answer = reading.join().unwrap();
    assert!(answer.body.contains("data: [DONE]"), "{answer:?}");
}

#[test]
fn finishes_the_samples_of_its_steps_before_it_ends() {
    // Symptom: each planned stop of an entry throws away the samples that its steps run, though
    // the grace is long; nothing is lost, but they are all made again elsewhere. Sequence: a
    // trainer opens a step and does not pull just then, samples run, the entry gets SIGTERM.
    // Cause: nothing counted as in progress in the moment of the signal, because the duty of
    // steps held up the end only from its next look on.
    let slow = EngineSettings { length: 800, ..EngineSettings::default() };
    let mut cluster = Cluster::start(slow);
    let spec = json!({
        "workspace": "desk", "step": 1, "model": "model", "samples": 4, "max_tokens": 500,
        "groups": [{"prompt": "a route"}], "budget_ms": 60_000,
    });
    cluster.wait("the step is open", || cluster.post(paths::STEP_OPEN, &spec).status == 200);
    let records = cluster.engine.clone();
    let of = |event: &str| {
        let kept = records.kept().into_iter();
        kept.filter(|line| line["event"] == event).collect::<Vec<_>>()
    };
    cluster.wait("all samples run", || of("start").len() == 4);
    assert!(cluster.stop("entry-0"));
    cluster.wait("the engine has nothing left", || of("end").len() == 4);
    let cut = |line: &&serde_json::Value| line["how"] != "stop" && line["how"] != "length";
    assert_eq!(of("end").iter().find(cut), None);
}

#[test]
fn takes_no_new_work_while_a_stop_is_planned() {
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
    node.wait("work is taken again", || {
        node.post(paths::COMPLETIONS, "caller-token", &body).status == 200
    });
}
