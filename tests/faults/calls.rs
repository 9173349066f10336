//! Callers whose entry, agent or connection goes away in the middle of a call.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use chicoryford_standin::caller::CallerSettings;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::engine::Fault;
use chicoryford_standin::record::unix;
use chicoryford_standin::records::CallLine;

use crate::standins::Calling;
use crate::standins::Engine;
use crate::standins::TEMPLATE;
use crate::standins::check_calls;
use crate::standins::printed;
use crate::standins::printer;
use crate::system::System;

/// Callers of the packing line: each label may be printed once at most.
pub fn packing(seconds: f64) -> CallerSettings {
    CallerSettings {
        name: "packing".to_owned(),
        service: true,
        repeatable: false,
        deadline_ms: 8_000,
        rate: 25.0,
        seconds,
        ..CallerSettings::default()
    }
}

/// Callers at the desk, whose requests may be repeated.
pub fn desk(seconds: f64) -> CallerSettings {
    CallerSettings {
        name: "desk".to_owned(),
        deadline_ms: 20_000,
        rate: 20.0,
        seconds,
        ..CallerSettings::default()
    }
}

/// Checks the printers' own records against what their callers were told.
pub fn check_labels(records: &[PathBuf], calls: &[CallLine]) {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for key in printed(records) {
        *runs.entry(key).or_default() += 1;
    }
    let doubled: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(doubled.is_empty(), "printed more than once: {doubled:?}");
    let mut answered = 0;
    for call in calls {
        let ran = runs.contains_key(&call.key);
        match call.fate.as_str() {
            "on_time" | "late" => {
                assert!(ran, "answered, but never printed: {call:?}");
                answered += 1;
            }
            "not_run" => assert!(!ran, "refused as not run, but printed: {call:?}"),
            fate => assert_eq!(fate, "unknown", "{call:?}"),
        }
    }
    assert!(answered > 0, "nobody was answered");
}

/// Checks that every call got its whole answer.
pub fn check_answered(calls: &[CallLine]) {
    let is_answered = |call: &&CallLine| ["on_time", "late"].contains(&call.fate.as_str());
    let missed: Vec<_> = calls.iter().filter(|call| !is_answered(call)).collect();
    assert!(missed.is_empty(), "{} of {}: {missed:?}", missed.len(), calls.len());
    assert!(!calls.is_empty());
}

#[test]
fn a_label_is_printed_once_at_most_when_entry_and_agent_die() {
    // Symptom: two crates carry the same label. Sequence: calls are under way; the entry that took
    // them is killed, callers send them again through the other; then the agent beside the printer
    // is killed with calls in progress, and starts without a memory; then both are at once. Cause:
    // the claim on the key was held by a process that can die.
    let mut system = System::start(3);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-1")];
    let records = [printer(&mut system, "labels", 300)];
    system.wait_endpoints(&entries, 1);
    system.apply(&entries, TEMPLATE);
    let calling = Calling::start(&system, &entries, packing(12.0));
    for killed in [&["e1"][..], &["agent-labels"], &["e1", "agent-labels"], &["e2"]] {
        let before = printed(&records).len();
        system.wait("labels are printed", || printed(&records).len() > before + 15);
        killed.iter().for_each(|name| system.kill(name));
        thread::sleep(Duration::from_millis(500));
        killed.iter().for_each(|name| system.restart(name));
    }
    let (_, calls) = calling.finish();
    check_labels(&records, &calls);
    system.check_logs();
}

#[test]
fn connections_that_go_silent_do_not_condemn_their_endpoint() {
    // Symptom: callers wait for ever, or a working endpoint gets no more work. Sequence: all
    // connections to an engine go silent, new ones work. Cause: silence was waited out, or blamed
    // on the endpoint.
    let mut system = System::start(1);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-1")];
    let mut start = |name| Engine::start(&mut system, name, EngineSettings::default());
    let engines = [start("engine-1"), start("engine-2")];
    system.wait_endpoints(&entries, 2);
    system.apply(&entries, TEMPLATE);
    let calling = Calling::start(&system, &entries, desk(12.0));
    for engine in &engines {
        let works = || engine.engine.state().running > 0;
        system.wait("the engine works", works);
        engine.engine.fail(Fault::Silent);
        let silent = unix();
        let is_new = |line: &chicoryford_standin::records::EngineLine| {
            line.event == "end" && line.at > silent && line.how == "stop"
        };
        system.wait("the engine works on new connections", || engine.lines().iter().any(is_new));
    }
    let (_, calls) = calling.finish();
    check_answered(&calls);
    let [one, two] = &engines;
    check_calls(&[one, two], &system.path("desk.jsonl"));
    system.wait_endpoints(&entries, 2);
    system.check_logs();
}
