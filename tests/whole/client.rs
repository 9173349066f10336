//! The operators' client: exit codes, conflicts, history.

use std::io::Read;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;
use std::thread;

use crate::fixture::Node;
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

#[test]
fn can_apply_compare_and_roll_back() {
    let node = Node::with_template("{}");
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
    let node = Node::with_template("{}");
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
    let node = Node::start("{}");
    let file = node.write("desk.yaml", TEMPLATE);
    let id = format!("{}.again", chicoryford_kernel::unix().0);
    let arguments = ["apply", &file, "--change", &id, "--output", "json", "--base", "0"];
    let (first, second) = (node.client(&arguments), node.client(&arguments));
    assert_eq!((code(&first), code(&second)), (0, 0), "{second:?}");
    assert_eq!(first.stdout, second.stdout);
}

#[test]
fn can_show_the_system() {
    let node = Node::with_template("{}");
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
