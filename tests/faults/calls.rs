//! Calls whose entry, agent or connection fails while they are in progress.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use chicoryford_standin::caller::CallerSettings;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::engine::Fault;
use chicoryford_standin::record::unix;
use chicoryford_standin::records::CallLine;

use crate::standins::CallerRun;
use crate::standins::Engine;
use crate::standins::TEMPLATE;
use crate::standins::check_calls;
use crate::standins::printed_keys;
use crate::standins::start_printer;
use crate::system::System;

/// Returns the settings of a caller whose requests aren't idempotent: a label is printed at most
/// once.
pub fn packing_settings(seconds: f64) -> CallerSettings {
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

/// Returns the settings of a caller whose requests may be retried.
pub fn desk_settings(seconds: f64) -> CallerSettings {
    CallerSettings {
        name: "desk".to_owned(),
        deadline_ms: 20_000,
        rate: 20.0,
        seconds,
        ..CallerSettings::default()
    }
}

/// Checks the printers' own records against the answers that their callers got.
pub fn check_labels(records: &[PathBuf], calls: &[CallLine]) {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for key in printed_keys(records) {
        *runs.entry(key).or_default() += 1;
    }
    let duplicates: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(duplicates.is_empty(), "printed more than once: {duplicates:?}");
    let mut answered = 0;
    for call in calls {
        let ran = runs.contains_key(&call.key);
        match call.fate.as_str() {
            "on_time" | "late" => {
                assert!(ran, "answered but never printed: {call:?}");
                answered += 1;
            }
            "not_run" => assert!(!ran, "refused with outcome not_run but printed: {call:?}"),
            fate => assert_eq!(fate, "unknown", "{call:?}"),
        }
    }
    assert!(answered > 0, "no call was answered");
}

/// Checks that every call got its complete answer.
pub fn check_answered(calls: &[CallLine]) {
    let is_answered = |call: &&CallLine| ["on_time", "late"].contains(&call.fate.as_str());
    let unanswered: Vec<_> = calls.iter().filter(|call| !is_answered(call)).collect();
    assert!(
        unanswered.is_empty(),
        "{} of {} calls got no answer: {unanswered:?}",
        unanswered.len(),
        calls.len()
    );
    assert!(!calls.is_empty());
}

#[test]
fn a_label_is_printed_once_at_most_when_entry_and_agent_die() {
    // Guards against printing one label twice when an entry and an agent are killed, alone and
    // together, with calls in progress. Callers retry through the other entry, and the agent
    // restarts without its in-memory state. A label is printed twice if the claim on its idempotency
    // key is held only by a process that can die.
    let mut system = System::start(3);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
    let records = [start_printer(&mut system, "labels", 300)];
    system.wait_endpoints(&entries, 1);
    system.apply(&entries, TEMPLATE);
    let caller = CallerRun::start(&system, &entries, packing_settings(12.0));
    for killed in [&["e1"][..], &["agent-labels"], &["e1", "agent-labels"], &["e2"]] {
        let before = printed_keys(&records).len();
        system.wait("labels are printed", || printed_keys(&records).len() > before + 15);
        killed.iter().for_each(|name| system.kill(name));
        thread::sleep(Duration::from_millis(500));
        killed.iter().for_each(|name| system.restart(name));
    }
    let (_, calls) = caller.finish();
    check_labels(&records, &calls);
    system.check_logs();
}

#[test]
fn connections_that_go_silent_do_not_condemn_their_endpoint() {
    // Guards against callers that wait forever and against a working endpoint that gets no more
    // work when all open connections to its engine go silent while new ones work. This happens if a
    // silent connection has no timeout, or if its silence counts as a failure of the endpoint.
    let mut system = System::start(1);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
    let mut start = |name| Engine::start(&mut system, name, EngineSettings::default());
    let engines = [start("engine-1"), start("engine-2")];
    system.wait_endpoints(&entries, 2);
    system.apply(&entries, TEMPLATE);
    let caller = CallerRun::start(&system, &entries, desk_settings(12.0));
    for engine in &engines {
        let is_running = || engine.engine.state().running > 0;
        system.wait("the engine runs a request", is_running);
        engine.engine.fail(Fault::Silent);
        let silent_since = unix();
        let is_new = |line: &chicoryford_standin::records::EngineLine| {
            line.event == "end" && line.at > silent_since && line.how == "stop"
        };
        system.wait("the engine answers on new connections", || engine.lines().iter().any(is_new));
    }
    let (_, calls) = caller.finish();
    check_answered(&calls);
    let [one, two] = &engines;
    check_calls(&[one, two], &system.path("desk.jsonl"));
    system.wait_endpoints(&entries, 2);
    system.check_logs();
}
