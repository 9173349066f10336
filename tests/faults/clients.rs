//! Tests of the operators' client with three control processes and up to two entries.

use std::process::Output;

use chicoryford_standin::engine::EngineSettings;
use serde_json::Value;

use crate::standins::Engine;
use crate::standins::TEMPLATE;
use crate::system::System;

/// Exit codes, as `chicoryford --help` lists them.
const FAILED: i32 = 1;
const CONFLICT: i32 = 3;
const NOT_RUN: i32 = 4;
const TIMED_OUT: i32 = 5;

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

fn output_text(output: &Output) -> String {
    let both = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&both).into_owned()
}

/// Runs the client and returns its output as JSON, or null if it failed.
fn run_json(system: &System, at: &str, arguments: &[&str]) -> Value {
    let output = system.client(&[system.address(at)], &[arguments, &["--output", "json"]].concat());
    serde_json::from_slice(&output.stdout).unwrap_or_default()
}

/// Returns the names of all control processes, or only those of the voters.
fn replicas(system: &System, at: &str, voters_only: bool) -> Vec<String> {
    let status = run_json(system, at, &["control", "status"]);
    let all = status["replicas"].as_array().cloned().unwrap_or_default();
    let wanted = all.iter().filter(|replica| !voters_only || replica["voter"] == true);
    wanted.filter_map(|replica| replica["node"].as_str().map(str::to_owned)).collect()
}

#[test]
fn can_replace_and_remove_control_processes_and_hand_over() {
    let mut system = System::start(3);
    let joining = system.start_joining("c4").to_string();
    let at = [system.address("c1")];
    system.wait("the new process is added", || {
        exit_code(&system.client(&at, &["control", "add", "c4", &joining])) == 0
    });
    // The leader promotes the process by itself. An operator's own promotion would get the same
    // answer.
    system.wait("the new process votes", || replicas(&system, "c1", true).len() == 4);
    system.wait("the new process is removed", || {
        exit_code(&system.client(&at, &["control", "remove", "c4"])) == 0
            || !replicas(&system, "c1", false).contains(&"c4".to_owned())
    });
    system.wait("three processes remain", || replicas(&system, "c1", false).len() == 3);

    system.kill("c3");
    let address = system.start_joining("c5").to_string();
    system.wait("the replacement is ordered", || {
        exit_code(&system.client(&at, &["control", "replace", "c3", "c5", &address])) == 0
    });
    system.wait("the new process votes in place of the lost one", || {
        replicas(&system, "c1", true) == ["c1", "c2", "c5"]
    });
    let unknown = system.client(&at, &["control", "remove", "nobody"]);
    assert_ne!(exit_code(&unknown), 0, "{unknown:?}");

    let leader = system.leader(&at).unwrap();
    let next = if leader == "c2" { "c1" } else { "c2" };
    system.wait("leadership is handed over", || {
        system.client(&at, &["control", "hand-over", next]);
        system.leader(&at).as_deref() == Some(next)
    });
    system.check_logs();
}

#[test]
fn says_how_a_command_ended_by_its_exit_code() {
    let mut system = System::start(3);
    let at = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
    let _engine = Engine::start(&mut system, "engine-1", EngineSettings::default());
    system.wait_endpoints(&at, 1);
    system.apply(&at, TEMPLATE);
    let client = |arguments: &[&str]| system.client(&at, arguments);

    for process in ["c1", "e1", "agent-engine-1"] {
        let dump = run_json(&system, "e2", &["dump", process]);
        assert_eq!(dump["process"]["settings"]["node"], process, "{dump}");
        assert!(!dump.to_string().contains("-token\""), "the dump of {process} contains a secret");
    }
    assert_eq!(exit_code(&client(&["dump", "nobody"])), FAILED);

    let got = String::from_utf8(client(&["template", "get", "desk"]).stdout).unwrap();
    let (mine, theirs) = (system.path("mine.yaml"), system.path("theirs.yaml"));
    std::fs::write(&mine, got.replace("urgent", "normal")).unwrap();
    std::fs::write(&theirs, got.replace("urgent", "batch")).unwrap();
    let (mine, theirs) = (mine.display().to_string(), theirs.display().to_string());
    let applied = client(&["apply", "--wait", &theirs]);
    assert_eq!(exit_code(&applied), 0, "{applied:?}");
    let refused = client(&["apply", &mine]);
    assert_eq!(exit_code(&refused), CONFLICT, "{refused:?}");
    let lines: Vec<String> = output_text(&refused).lines().map(str::to_owned).collect();
    let marked = |mark: char| lines.iter().filter(|line| line.starts_with(mark)).count();
    // The header of the diff has one line of each kind as well.
    assert_eq!(
        (marked('-'), marked('+')),
        (2, 2),
        "the diff must hold only the winner's change: {lines:#?}"
    );
    assert!(lines.iter().any(|line| line.starts_with('+') && line.contains("batch")), "{lines:#?}");
    assert_eq!(exit_code(&client(&["template", "rollback", "desk", "--to", "99"])), FAILED);
    let rolled = client(&["template", "rollback", "desk", "--to", "1", "--wait"]);
    assert_eq!(exit_code(&rolled), 0, "{rolled:?}");
    let kept = run_json(&system, "e1", &["template", "history", "desk"]);
    assert_eq!(kept.as_array().map(Vec::len), Some(3));

    system.check_logs();
}

#[test]
fn says_who_is_behind_and_whether_anything_ran() {
    // Guards against an operator's client that waits forever, or that reports an accepted change as
    // not run. An agent is frozen while a change is accepted; later no process answers at all. The
    // wait must time out and name the processes that are behind, and a missing connection must be
    // reported as not run.
    let mut system = System::start(3);
    let at = [system.start_entry("e1", "dc-1")];
    let _engine = Engine::start(&mut system, "engine-1", EngineSettings::default());
    system.wait_endpoints(&at, 1);
    system.apply(&at, TEMPLATE);
    system.daemon_mut("agent-engine-1").process.freeze().unwrap();
    let plan = ["stop", "plan", "--endpoint", "other", "--id", "s", "--wait"];
    let waited = system.client(&at, &[&plan[..], &["--wait-timeout", "0"]].concat());
    assert_eq!(exit_code(&waited), TIMED_OUT, "{waited:?}");
    assert!(output_text(&waited).contains("agent-engine-1"), "{waited:?}");
    system.daemon_mut("agent-engine-1").process.thaw().unwrap();
    let again = ["stop", "cancel", "s", "--wait"];
    assert_eq!(exit_code(&system.client(&at, &again)), 0);
    system.check_logs();
    for name in ["e1", "c1", "c2", "c3"] {
        system.kill(name);
    }
    let nobody = system.client(&at, &["--timeout", "0", "stop", "cancel", "s"]);
    assert_eq!(exit_code(&nobody), NOT_RUN, "{nobody:?}");
}
