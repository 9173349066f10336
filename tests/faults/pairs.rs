//! Two concurrent faults.

use std::thread;
use std::time::Duration;

use crate::calls::check_answered;
use crate::calls::check_labels;
use crate::calls::desk_settings;
use crate::calls::packing_settings;
use crate::standins::CallerRun;
use crate::standins::Engine;
use crate::standins::TrainerRun;
use crate::standins::check_calls;
use crate::standins::start_printer;
use crate::steps::start_engines;
use crate::steps::trainer_settings;
use crate::system::System;

#[test]
fn callers_and_trainers_survive_the_leader_and_an_entry_together() {
    // Guards against lost or duplicated samples, duplicated labels and unanswered callers when the
    // leader of the control processes and an entry that owns steps and calls are killed at the same
    // moment and restarted. Recovery from one failure must not depend on the other process.
    let mut system = System::start(3);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
    let records = [start_printer(&mut system, "labels", 100)];
    system.wait_endpoints(&entries, 1);
    let engines = start_engines_with_printer(&mut system, 3);
    let all: Vec<&Engine> = engines.iter().collect();
    let trainer = TrainerRun::start(&system, &entries, trainer_settings(18.0));
    let callers = [desk_settings(12.0), packing_settings(8.0)]
        .map(|settings| CallerRun::start(&system, &entries, settings));
    thread::sleep(Duration::from_secs(3));
    let leader = system.leader(&system.addresses(&["c1", "c2", "c3"])).unwrap();
    system.kill(&leader);
    system.kill("e1");
    thread::sleep(Duration::from_secs(4));
    system.restart("e1");
    system.restart(&leader);
    let [desk, packing] = callers.map(|caller| caller.finish().1);
    check_answered(&desk);
    check_calls(&all, &system.path("desk.jsonl"));
    check_labels(&records, &packing);
    trainer.check(&all);
    system.check_logs();
}

/// Starts engines in a system whose only endpoint so far is a printer.
fn start_engines_with_printer(system: &mut System, count: usize) -> Vec<Engine> {
    let start = |i| Engine::start(system, &format!("engine-{i}"), Default::default());
    let engines: Vec<Engine> = (1..=count).map(start).collect();
    let at = system.addresses(&["e1", "e2"]);
    system.wait_endpoints(&at, count + 1);
    system.apply(&at, crate::standins::TEMPLATE);
    engines
}

#[test]
fn samples_keep_their_versions_when_an_agent_dies_during_a_swap() {
    // Guards against samples that name a version that did not produce them, and against an engine
    // that stays at an old version. Each agent in turn is killed while its engine swaps weights,
    // and restarts without its in-memory state. The version must be read from the engine, not from
    // the agent's record of the order or from the order itself.
    let mut system = System::start(3);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
    let engines = start_engines(&mut system, &["e1", "e2"], 3);
    let trainer = TrainerRun::start(&system, &entries, trainer_settings(16.0));
    for (number, engine) in engines.iter().enumerate() {
        system.wait("a swap is under way", || engine.engine.state().swapping > 0);
        let agent = format!("agent-engine-{}", number + 1);
        system.kill(&agent);
        thread::sleep(Duration::from_secs(1));
        system.restart(&agent);
    }
    let all: Vec<&Engine> = engines.iter().collect();
    let report = trainer.check(&all);
    system.wait("all engines run the newest version", || {
        engines.iter().all(|engine| engine.version() == report.version)
    });
    system.check_logs();
}
