//! Tests of the operators' client: exit codes, conflicts and history.

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

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

fn output_text(output: &Output) -> String {
    let both = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&both).into_owned()
}

fn run_client(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chicoryford")).args(arguments).output().unwrap()
}

#[test]
fn errors_on_a_file_that_cannot_be_used() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("t.yaml");
    std::fs::write(&file, "workspace: desk\nmodles: [m]\n").unwrap();
    let checked = run_client(&["template", "check", &file.display().to_string()]);
    assert_eq!(exit_code(&checked), 2);
    assert!(output_text(&checked).contains("did you mean `models`?"), "{checked:?}");
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
    assert_eq!(exit_code(&output), 2);
    assert!(output_text(&output).contains("node.yaml:"), "{output:?}");
}

#[test]
fn errors_on_an_unreachable_address() {
    let output = run_client(&["--address", "127.0.0.1:1", "--timeout", "0", "status"]);
    assert_eq!(exit_code(&output), 4);
    assert_eq!(exit_code(&run_client(&["status"])), 2, "a missing address must be a usage error");
}

#[test]
fn distinguishes_a_lost_answer_from_a_command_that_did_not_run() {
    // Guards against an operator who assumes that a stop was not cancelled although it may have
    // been. The request arrives, but the connection breaks before the answer. A lost answer must
    // not be reported as not run.
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = stream.unwrap().read(&mut [0; 4_096]);
        }
    });
    let output = run_client(&["--address", &address, "--timeout", "0", "stop", "cancel", "s"]);
    assert_eq!(exit_code(&output), 6, "{output:?}");
    assert!(output_text(&output).contains("send it again with --change"), "{output:?}");
}

/// Starts a server that answers like an entry of a deployment of 390 processes, and returns its
/// address. It reports `behind` lagging processes in its first answer and none afterwards.
fn large_deployment(behind: usize) -> String {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let mut lagging = behind;
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut bytes = [0; 4_096];
            let count = stream.read(&mut bytes).unwrap();
            let head = String::from_utf8_lossy(&bytes[..count]).into_owned();
            let answer = if head.contains(paths::IN_FORCE) {
                assert!(head.contains("at=2.7"), "{head}");
                let report = in_force(std::mem::take(&mut lagging));
                serde_json::to_string(&report).unwrap()
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
    let names = (0..behind.min(100)).map(|i| Node(format!("agent-{i}")));
    InForce {
        everywhere: behind == 0,
        lagging: names.collect(),
        behind,
        processes: 390,
        ..InForce::default()
    }
}

#[test]
fn can_wait_for_more_processes_than_an_answer_names() {
    // Guards against `--wait` reporting a change as not in force everywhere although it is. In a
    // deployment of hundreds of processes, each control process knows only the processes that
    // follow it and names at most 100 of the others as lagging. The client must not combine these
    // truncated lists by itself.
    let address = large_deployment(250);
    let cancel = ["--address", &address, "stop", "cancel", "s", "--wait"];
    let output = run_client(&cancel);
    assert_eq!(exit_code(&output), 0, "{output:?}");
    let address = large_deployment(250);
    let cancel = ["--address", &address, "stop", "cancel", "s", "--wait", "--wait-timeout", "0"];
    let output = run_client(&cancel);
    assert_eq!(exit_code(&output), 5, "{output:?}");
    let text = output_text(&output);
    assert!(text.contains("250 of 390 processes are behind: agent-0, "), "{text}");
    assert!(text.contains("agent-99 and 150 more"), "{text}");
}

#[test]
fn can_apply_compare_and_roll_back() {
    let node = fixture::Node::with_template("{}");
    let second = node.write("second.yaml", &TEMPLATE.replace("urgent", "normal"));
    assert_eq!(exit_code(&node.client(&["template", "diff", &second, "--exit-code"])), 1);
    let applied = node.client(&["apply", "--wait", &second]);
    assert_eq!(exit_code(&applied), 0, "{applied:?}");
    assert_eq!(exit_code(&node.client(&["template", "diff", &second, "--exit-code"])), 0);
    assert!(output_text(&node.client(&["apply", &second])).contains("unchanged"));
    let rolled = node.client(&["template", "rollback", "desk", "--to", "1", "--wait"]);
    assert_eq!(exit_code(&rolled), 0, "{rolled:?}");
    let history = output_text(&node.client(&["template", "history", "desk", "--output", "json"]));
    let history: Vec<serde_json::Value> = serde_json::from_str(&history).unwrap();
    assert_eq!(history.len(), 3);
    assert!(output_text(&node.client(&["template", "get", "desk"])).contains("desk: urgent"));
}

#[test]
fn errors_on_a_conflict_with_the_winners_diff() {
    // Guards against a change that is overwritten by an operator who has never seen it. Two
    // operators get version 1, edit it and apply their edits. The second edit must be refused.
    let node = fixture::Node::with_template("{}");
    let first = node.client(&["template", "get", "desk"]);
    let got = String::from_utf8(first.stdout).unwrap();
    let mine = node.write("mine.yaml", &got.replace("urgent", "normal"));
    let theirs = node.write("theirs.yaml", &got.replace("urgent", "batch"));
    assert_eq!(exit_code(&node.client(&["apply", "--wait", &theirs])), 0);
    let refused = node.client(&["apply", &mine]);
    assert_eq!(exit_code(&refused), 3, "{refused:?}");
    assert!(output_text(&refused).contains("batch"), "{refused:?}");
}

#[test]
fn can_send_a_change_again_after_a_lost_answer() {
    // Guards against a retry that is refused as a conflict or applied twice. A change is accepted,
    // its answer is lost, and the operator sends it again. The retry must be recognised by its
    // change id.
    let node = fixture::Node::start("{}");
    let file = node.write("desk.yaml", TEMPLATE);
    let id = format!("{}.again", chicoryford_kernel::unix().0);
    let arguments = ["apply", &file, "--change", &id, "--output", "json", "--base", "0"];
    let (first, second) = (node.client(&arguments), node.client(&arguments));
    assert_eq!((exit_code(&first), exit_code(&second)), (0, 0), "{second:?}");
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
        assert_eq!(exit_code(&output), 0, "{arguments:?}: {output:?}");
        let shown = output_text(&output);
        let shows = |token: &&&str| shown.contains(**token);
        assert_eq!(TOKENS.iter().find(shows), None, "the output of {arguments:?} contains a token");
    }
}
