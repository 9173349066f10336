//! Tests of `chicoryford explain`, which merges the log events of one sample from several logs.

use std::process::Command;
use std::process::Output;

const CONTROL: &str = "\
time=100.000 level=INFO target=t event=step_accepted step=s1 model=m samples=2
time=100.010 level=INFO target=t event=run_started step=s1 index=1 sample=a1 endpoint=i-1 host=store-1
time=100.011 level=INFO target=t event=run_started step=s1 index=0 sample=a0 endpoint=i-2 host=store-1
time=103.500 level=INFO target=t event=run_ended step=s1 index=1 end=Broken next=Again events=4
time=103.510 level=INFO target=t event=run_ended step=s1 index=0 end=Full next=Again events=0
time=104.000 level=INFO target=t event=step_closed step=s1 stopped=2
time=104.500 level=INFO target=t event=step_accepted step=s2 model=m samples=2
";
const STORE: &str = "\
time=103.400 level=INFO target=t event=run_broken sample=a1 endpoint=i-1 error=\"the reply was \\\"cut\\\" short\"
no log line
";

fn explain(id: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let (control, store) = (folder.path().join("control-1.log"), folder.path().join("store-1.log"));
    std::fs::write(&control, CONTROL).unwrap();
    std::fs::write(&store, STORE).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_chicoryford"));
    command.arg("explain").arg(id).arg(control).arg(store).output().unwrap()
}

#[test]
fn lists_the_events_of_a_sample_in_order_with_gaps() {
    let output = explain("a1");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    let events = [
        "step_accepted",
        "run_started",
        "nothing for 3.4 s",
        "run_broken",
        "run_ended",
        "step_closed",
    ];
    assert_eq!(lines.len(), events.len(), "{text}");
    for (line, event) in lines.iter().zip(events) {
        assert!(line.contains(event), "{line} has no {event}");
    }
    assert!(lines[3].contains("store-1") && lines[4].contains("control-1"), "{text}");
    assert!(!text.contains("a0") && !text.contains("s2"), "{text}");
}

#[test]
fn errors_on_an_unknown_id() {
    let output = explain("none");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("none"));
}
