//! Processes that restart after many missed changes, planned restarts, and the loss of a whole
//! data centre.

use std::thread;
use std::time::Duration;

use chicoryford_standin::engine::EngineSettings;

use crate::calls::check_answered;
use crate::calls::desk_settings;
use crate::operator::Operator;
use crate::operator::in_force;
use crate::standins::CallerRun;
use crate::standins::Engine;
use crate::standins::TEMPLATE;
use crate::standins::TrainerRun;
use crate::standins::check_calls;
use crate::steps::trainer_settings;
use crate::system::System;

const STOP_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn processes_catch_up_after_hundreds_of_changes() {
    // Guards against a restarted process that uses an old configuration or never gets the new one.
    // A control process, an entry and an agent are killed, 400 changes are accepted, and they are
    // restarted one after the other. This fails if the missed changes are no longer stored, or if
    // an old state is taken for the current one.
    let mut system = System::start(3);
    let entry = system.start_entry("e1", "dc-1");
    let engine = Engine::start(&mut system, "engine-1", EngineSettings::default());
    system.wait_endpoints(&[entry], 1);
    let mut operator = Operator::new();
    let all = system.addresses(&["c1", "c2", "c3"]);
    operator.change(&system, &all, "first");
    let missing = ["c3", "e1", "agent-engine-1"];
    missing.iter().for_each(|name| system.kill(name));
    let left = system.addresses(&["c1", "c2"]);
    for i in 0..400 {
        operator.change(&system, &left, &format!("missed-{i}"));
    }
    for name in missing {
        system.restart(name);
        let at = system.address(name);
        let mut highest = in_force(&system, at);
        system.wait("the restarted process has the last change in force", || {
            let now = in_force(&system, at);
            assert!(now >= highest, "{name} moved back from {highest:?} to {now:?}");
            highest = now;
            now.0 >= operator.last
        });
    }
    operator.change(&system, &all, "last");
    operator.check(&system, &all);
    assert_eq!(engine.crashes(), 0);
    system.check_logs();
}

#[test]
fn a_leader_that_is_asked_to_stop_cuts_nothing() {
    // Guards against calls that fail when a control VM is restarted. Three times, the current
    // leader is asked to stop and restarted, under load and changes. It must hand over its
    // leadership before it ends, and calls must not depend on it.
    let mut system = System::start(3);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
    let engine = Engine::start(&mut system, "engine-1", EngineSettings::default());
    system.wait_endpoints(&entries, 1);
    system.apply(&entries, TEMPLATE);
    let caller = CallerRun::start(&system, &entries, desk_settings(8.0));
    let mut operator = Operator::new();
    let names = ["c1", "c2", "c3"];
    let all = system.addresses(&names);
    for round in 0..3 {
        let leader = system.leader(&all).unwrap();
        assert!(
            system.daemon_mut(&leader).process.stop(STOP_TIMEOUT).unwrap(),
            "{leader} did not exit with code 0"
        );
        operator.change(&system, &all, &format!("round-{round}"));
        system.restart(&leader);
        let at = system.address(&leader);
        system.wait("the restarted process has the last change in force", || {
            in_force(&system, at).0 >= operator.last
        });
    }
    operator.check(&system, &all);
    check_answered(&caller.finish().1);
    check_calls(&[&engine], &system.path("desk.jsonl"));
    system.check_logs();
}

#[test]
fn the_loss_of_a_data_centre_loses_no_sample_and_no_answer() {
    // Guards against steps that never end and calls without an answer when a data centre is lost. A
    // control process, an entry and the agents of one data centre are killed together and not
    // restarted. No state may exist only there, and calls must not be routed there for long.
    let mut system = System::start(3);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-2")];
    let settings = EngineSettings::default;
    let engines = [("dc-1", 1), ("dc-1", 2), ("dc-2", 3), ("dc-2", 4)].map(|(data_centre, i)| {
        Engine::start_in(&mut system, data_centre, &format!("engine-{i}"), settings())
    });
    system.wait_endpoints(&entries, engines.len());
    system.apply(&entries, TEMPLATE);
    let all: Vec<&Engine> = engines.iter().collect();
    let trainer = TrainerRun::start(&system, &entries, trainer_settings(16.0));
    let caller = CallerRun::start(&system, &entries, desk_settings(12.0));
    thread::sleep(Duration::from_secs(3));
    for lost in ["c3", "e2", "agent-engine-3", "agent-engine-4"] {
        system.kill(lost);
    }
    check_answered(&caller.finish().1);
    check_calls(&all, &system.path("desk.jsonl"));
    let report = trainer.check(&all);
    assert!(report.steps > 1, "{report:?}");
    system.check_logs();
}
