//! Trainers' steps while swaps fail and the entries that own the steps die.

use std::thread;
use std::time::Duration;

use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::engine::Fault;
use chicoryford_standin::trainer::TrainerSettings;

use crate::standins::Engine;
use crate::standins::TEMPLATE;
use crate::standins::Training;
use crate::standins::weight_store;
use crate::system::System;

/// The bound on staleness of [`TEMPLATE`].
const FRESHNESS: u64 = 2;

/// A trainer that publishes often.
pub fn training(seconds: f64) -> TrainerSettings {
    TrainerSettings {
        freshness: Some(FRESHNESS),
        publish_ms: 1_500,
        source: weight_store(),
        max_tokens: 128,
        seconds,
        ..TrainerSettings::default()
    }
}

/// Starts engines and waits until all entries see them.
pub fn engines(system: &mut System, entries: &[&str], count: usize) -> Vec<Engine> {
    let start = |i| Engine::start(system, &format!("engine-{i}"), EngineSettings::default());
    let engines: Vec<Engine> = (1..=count).map(start).collect();
    let at = system.addresses(entries);
    system.wait_endpoints(&at, count);
    system.apply(&at, TEMPLATE);
    engines
}

#[test]
fn samples_name_their_versions_while_swaps_fail() {
    // Symptom: a sample names a version that did not produce it, or is older than its bound.
    // Sequence: swaps fail, are lost or report a failure although they worked, engine after
    // engine, and the next version is published before the last one is everywhere. Cause: what was
    // ordered, or what the engine answered, was taken for what it runs.
    let mut system = System::start(1);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-1")];
    let engines = engines(&mut system, &["e1", "e2"], 4);
    let training = Training::start(&system, &entries, training(12.0));
    let faults = [Fault::SwapFail, Fault::SwapTorn, Fault::SwapLost];
    for (engine, fault) in engines.iter().cycle().zip(faults.iter().cycle()).take(16) {
        engine.engine.fail(*fault);
        thread::sleep(Duration::from_millis(600));
    }
    let all: Vec<&Engine> = engines.iter().collect();
    let report = training.check(&all);
    assert!(report.version > 2, "{report:?}");
    let swaps: usize = engines.iter().map(|engine| engine.swaps().len()).sum();
    assert!(swaps > 0);
    system.check_logs();
}

#[test]
fn a_step_outlives_the_entries_that_own_it() {
    // Symptom: a step never ends, or samples come twice. Sequence: the entry that owns a step is
    // killed in the middle, and later the other one; the trainer asks whoever answers. Cause: what
    // was finished, or handed out, was known to the killed process alone.
    let mut system = System::start(3);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-1")];
    let engines = engines(&mut system, &["e1", "e2"], 3);
    let training = Training::start(&system, &entries, training(20.0));
    for entry in ["e1", "e2"] {
        thread::sleep(Duration::from_secs(3));
        system.kill(entry);
        thread::sleep(Duration::from_secs(5));
        system.restart(entry);
    }
    let all: Vec<&Engine> = engines.iter().collect();
    let report = training.check(&all);
    assert!(report.steps > 1, "{report:?}");
    system.check_logs();
}
