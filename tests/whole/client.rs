//! The operators' client: exit codes, conflicts, history.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;
use std::thread;

use chicoryford_config::in_force::InForce;
use chicoryford_state::Reply;
use chicoryford_types::Epoch;
use chicoryford_types::Node;
use chicoryford_types::Position;
use chicoryford_types::Revision;
use chicoryford_wire::paths;

use crate::fixture;
use crate::fixture::TEMPLATE;
use crate::fixture::TOKENS;

fn code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

fn said(output: &Output) -> String {
    let both = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&both).into_owned()
}

fn alone(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chicoryford")).args(arguments).output().unwrap()
}

#[test]
fn errors_on_a_file_that_cannot_be_used() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("t.yaml");
    std::fs::write(&file, "workspace: desk\nmodles: [m]\n").unwrap();
    let checked = alone(&["template", "check", &file.display().to_string()]);
    assert_eq!(code(&checked), 2);
    assert!(said(&checked).contains("did you mean `models`?"), "{checked:?}");
}

#[test]
fn errors_on_settings_that_cannot_be_used() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("node.yaml");
    std::fs::write(&file, "node: a\nentry: [\n").unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_chicoryfordd"))
        .args(["--check", "--settings", &file.display().to_string()])
        .output()
        .unwrap();
    assert_eq!(code(&output), 2);
    assert!(said(&output).contains("node.yaml:"), "{output:?}");
}

#[test]
fn errors_on_addresses_that_nobody_answers() {
    let output = alone(&["--address", "127.0.0.1:1", "--timeout", "0", "status"]);
    assert_eq!(code(&output), 4);
    assert_eq!(code(&alone(&["status"])), 2, "no address at all is a usage error");
}

#[test]
fn tells_a_lost_answer_from_one_that_did_not_run() {
    // Symptom: an operator believes that a stop was not cancelled, and plans on that. Sequence:
    // the request arrives, the connection breaks before the answer. Cause: a lost answer was
    // taken for "not run".
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = stream.unwrap().read(&mut [0; 4_096]);
        }
    });
    let output = alone(&["--address", &address, "--timeout", "0", "stop", "cancel", "s"]);
    assert_eq!(code(&output), 6, "{output:?}");
    assert!(said(&output).contains("send it again with --change"), "{output:?}");
}

/// Answers like an entry of a deployment of 390 processes, of which `behind` are behind when asked
/// first, and none when asked again.
fn large_deployment(behind: usize) -> String {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let mut left = behind;
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut bytes = [0; 4_096];
            let count = stream.read(&mut bytes).unwrap();
            let head = String::from_utf8_lossy(&bytes[..count]).into_owned();
            let answer = if head.contains(paths::IN_FORCE) {
                assert!(head.contains("at=2.7"), "{head}");
                let told = in_force(std::mem::take(&mut left));
                serde_json::to_string(&told).unwrap()
            } else {
                let at = Position { epoch: Epoch(2), revision: Revision(7) };
                serde_json::to_string(&Reply::Accepted { at, version: 0 }).unwrap()
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                answer.len()
            );
            stream.write_all((head + &answer).as_bytes()).unwrap();
        }
    });
    address
}

fn in_force(behind: usize) -> InForce {
    let named = (0..behind.min(100)).map(|i| Node(format!("agent-{i}")));
    InForce {
        everywhere: behind == 0,
        lagging: named.collect(),
        behind,
        processes: 390,
        ..InForce::default()
    }
}

#[test]
fn can_wait_for_more_processes_than_an_answer_names() {
    // Symptom: `--wait` says "not everywhere" of a change that is in force everywhere. Sequence:
    // a deployment of hundreds of processes; each control process knows of those that follow it
    // and names at most 100 of the others as lagging. Cause: the client put the lists together by
    // itself, and took no notice of one that was cut off.
    let address = large_deployment(250);
    let cancel = ["--address", &address, "stop", "cancel", "s", "--wait"];
    let output = alone(&cancel);
    assert_eq!(code(&output), 0, "{output:?}");
    let address = large_deployment(250);
    let cancel = ["--address", &address, "stop", "cancel", "s", "--wait", "--wait-timeout", "0"];
    let output = alone(&cancel);
    assert_eq!(code(&output), 5, "{output:?}");
    let said = said(&output);
    assert!(said.contains("250 of 390 processes are behind: agent-0, "), "{said}");
    assert!(said.contains("agent-99 and 150 more"), "{said}");
}

#[test]
fn can_apply_compare_and_roll_back() {
    let node = fixture::Node::with_template("{}");
    let second = node.write("second.yaml", &TEMPLATE.replace("urgent", "normal"));
    assert_eq!(code(&node.client(&["template", "diff", &second, "--exit-code"])), 1);
    let applied = node.client(&["apply", "--wait", &second]);
    assert_eq!(code(&applied), 0, "{applied:?}");
    assert_eq!(code(&node.client(&["template", "diff", &second, "--exit-code"])), 0);
    assert!(said(&node.client(&["apply", &second])).contains("unchanged"));
    let rolled = node.client(&["template", "rollback", "desk", "--to", "1", "--wait"]);
    assert_eq!(code(&rolled), 0, "{rolled:?}");
    let history = said(&node.client(&["template", "history", "desk", "--output", "json"]));
    let history: Vec<serde_json::Value> = serde_json::from_str(&history).unwrap();
    assert_eq!(history.len(), 3);
    assert!(said(&node.client(&["template", "get", "desk"])).contains("desk: urgent"));
}

#[test]
fn errors_on_a_conflict_with_the_winners_diff() {
    // Symptom: an operator's change is undone by a colleague who never saw it. Sequence: both get
    // version 1, both edit, both apply. Cause: the second was accepted over the first.
    let node = fixture::Node::with_template("{}");
    let first = node.client(&["template", "get", "desk"]);
    let got = String::from_utf8(first.stdout).unwrap();
    let mine = node.write("mine.yaml", &got.replace("urgent", "normal"));
    let theirs = node.write("theirs.yaml", &got.replace("urgent", "batch"));
    assert_eq!(code(&node.client(&["apply", "--wait", &theirs])), 0);
    let refused = node.client(&["apply", &mine]);
    assert_eq!(code(&refused), 3, "{refused:?}");
    assert!(said(&refused).contains("batch"), "{refused:?}");
}

#[test]
fn can_send_a_change_again_after_a_lost_answer() {
    // Symptom: a resend is told that it conflicts, or is applied twice. Sequence: a change is
    // accepted, its answer is lost, the operator sends it again. Cause: the resend was not
    // recognised by its change id.
    let node = fixture::Node::start("{}");
    let file = node.write("desk.yaml", TEMPLATE);
    let id = format!("{}.again", chicoryford_kernel::unix().0);
    let arguments = ["apply", &file, "--change", &id, "--output", "json", "--base", "0"];
    let (first, second) = (node.client(&arguments), node.client(&arguments));
    assert_eq!((code(&first), code(&second)), (0, 0), "{second:?}");
    assert_eq!(first.stdout, second.stdout);
}

#[test]
fn can_show_the_system() {
    let node = fixture::Node::with_template("{}");
    for arguments in [
        &["status"][..],
        &["endpoints"],
        &["template", "list"],
        &["weights", "status"],
        &["stop", "status"],
        &["control", "status"],
        &["dump", "all"],
        &["completions", "bash"],
    ] {
        let output = node.client(arguments);
        assert_eq!(code(&output), 0, "{arguments:?}: {output:?}");
        let shown = said(&output);
        let shows = |token: &&&str| shown.contains(**token);
        assert_eq!(TOKENS.iter().find(shows), None, "a token in {arguments:?}");
    }
}
