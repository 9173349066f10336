//! Trainers' steps while swaps fail and the entries that own the steps are killed.

use std::thread;
use std::time::Duration;

use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::engine::Fault;
use chicoryford_standin::trainer::TrainerSettings;

use crate::standins::Engine;
use crate::standins::TEMPLATE;
use crate::standins::TrainerRun;
use crate::standins::start_weight_store;
use crate::system::System;

/// The staleness bound of [`TEMPLATE`], in versions.
const FRESHNESS: u64 = 2;

/// Returns the settings of a trainer that publishes a version every 1.5 seconds.
pub fn trainer_settings(seconds: f64) -> TrainerSettings {
    TrainerSettings {
        freshness: Some(FRESHNESS),
        publish_ms: 1_500,
        source: start_weight_store(),
        max_tokens: 128,
        seconds,
        ..TrainerSettings::default()
    }
}

/// Starts engines, waits until all entries see them, and applies [`TEMPLATE`].
pub fn start_engines(system: &mut System, entries: &[&str], count: usize) -> Vec<Engine> {
    let start = |i| Engine::start(system, &format!("engine-{i}"), EngineSettings::default());
    let engines: Vec<Engine> = (1..=count).map(start).collect();
    let at = system.addresses(entries);
    system.wait_endpoints(&at, count);
    system.apply(&at, TEMPLATE);
    engines
}

#[test]
fn samples_name_their_versions_while_swaps_fail() {
    // Guards against a sample that names a version that did not produce it, or that is staler than
    // its bound. Swaps fail, are lost, or report a failure although they succeeded, on one engine
    // after another, and the next version is published before the last one is loaded everywhere.
    // The version must be what the engine runs, not what was ordered or what the engine answered.
    let mut system = System::start(1);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
    let engines = start_engines(&mut system, &["e1", "e2"], 4);
    let trainer = TrainerRun::start(&system, &entries, trainer_settings(12.0));
    let faults = [Fault::SwapFail, Fault::SwapTorn, Fault::SwapLost];
    for (engine, fault) in engines.iter().cycle().zip(faults.iter().cycle()).take(16) {
        engine.engine.fail(*fault);
        thread::sleep(Duration::from_millis(600));
    }
    let all: Vec<&Engine> = engines.iter().collect();
    let report = trainer.check(&all);
    assert!(report.version > 2, "{report:?}");
    let swaps: usize = engines.iter().map(|engine| engine.swaps().len()).sum();
    assert!(swaps > 0);
    system.check_logs();
}

#[test]
fn a_step_outlives_the_entries_that_own_it() {
    // Guards against a step that never ends, and against samples that are delivered twice. The
    // entry that owns a step is killed in the middle of it, later the other entry; the trainer uses
    // whichever entry answers. The state of finished and delivered samples must not exist only in
    // the killed process.
    let mut system = System::start(3);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
    let engines = start_engines(&mut system, &["e1", "e2"], 3);
    let trainer = TrainerRun::start(&system, &entries, trainer_settings(20.0));
    for entry in ["e1", "e2"] {
        thread::sleep(Duration::from_secs(3));
        system.kill(entry);
        thread::sleep(Duration::from_secs(5));
        system.restart(entry);
    }
    let all: Vec<&Engine> = engines.iter().collect();
    let report = trainer.check(&all);
    assert!(report.steps > 1, "{report:?}");
    system.check_logs();
}
