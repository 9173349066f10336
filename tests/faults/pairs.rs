//! Two faults at once.

use std::thread;
use std::time::Duration;

use crate::calls::check_answered;
use crate::calls::check_labels;
use crate::calls::desk;
use crate::calls::packing;
use crate::standins::Calling;
use crate::standins::Engine;
use crate::standins::Training;
use crate::standins::check_calls;
use crate::standins::printer;
use crate::steps::engines;
use crate::steps::training;
use crate::system::System;

#[test]
fn callers_and_trainers_survive_the_leader_and_an_entry_together() {
    // Symptom: samples are lost or doubled, labels doubled, callers left without an answer.
    // Sequence: the leader of the control processes and an entry that owns steps and calls are
    // killed at the same moment, and start again. Cause: what takes over from the one relies on
    // the other.
    let mut system = System::start(3);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-1")];
    let records = [printer(&mut system, "labels", 100)];
    system.wait_endpoints(&entries, 1);
    let engines = engines_beside(&mut system, 3);
    let all: Vec<&Engine> = engines.iter().collect();
    let training = Training::start(&system, &entries, training(18.0));
    let callers = [desk(12.0), packing(8.0)].map(|s| Calling::start(&system, &entries, s));
    thread::sleep(Duration::from_secs(3));
    let leader = system.leader(&system.addresses(&["c1", "c2", "c3"])).unwrap();
    system.kill(&leader);
    system.kill("e1");
    thread::sleep(Duration::from_secs(4));
    system.restart("e1");
    system.restart(&leader);
    let [desk, packing] = callers.map(|calling| calling.finish().1);
    check_answered(&desk);
    check_calls(&all, &system.path("desk.jsonl"));
    check_labels(&records, &packing);
    training.check(&all);
    system.check_logs();
}

/// Starts engines where the printer is an endpoint already.
fn engines_beside(system: &mut System, count: usize) -> Vec<Engine> {
    let start = |i| Engine::start(system, &format!("engine-{i}"), Default::default());
    let engines: Vec<Engine> = (1..=count).map(start).collect();
    let at = system.addresses(&["e1", "e2"]);
    system.wait_endpoints(&at, count + 1);
    system.apply(&at, crate::standins::TEMPLATE);
    engines
}

#[test]
fn samples_keep_their_versions_when_an_agent_dies_during_a_swap() {
    // Symptom: samples name a version that did not produce them, or an engine stays at an old one.
    // Sequence: an agent is killed while its engine swaps weights, and starts again without a
    // memory; the same happens at the next engine. Cause: the agent's memory of the order, or the
    // order itself, was taken for what the engine runs.
    let mut system = System::start(3);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-1")];
    let engines = engines(&mut system, &["e1", "e2"], 3);
    let training = Training::start(&system, &entries, training(16.0));
    for (number, engine) in engines.iter().enumerate() {
        system.wait("a swap is under way", || engine.engine.state().swapping > 0);
        let agent = format!("agent-engine-{}", number + 1);
        system.kill(&agent);
        thread::sleep(Duration::from_secs(1));
        system.restart(&agent);
    }
    let all: Vec<&Engine> = engines.iter().collect();
    let report = training.check(&all);
    system.wait("all engines run the newest version", || {
        engines.iter().all(|engine| engine.version() == report.version)
    });
    system.check_logs();
}
