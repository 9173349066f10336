//! Processes that come back after much has passed them by, planned restarts, and the loss of all
//! that a data centre held.

use std::thread;
use std::time::Duration;

use chicoryford_standin::engine::EngineSettings;

use crate::calls::check_answered;
use crate::calls::desk;
use crate::operator::Operator;
use crate::operator::in_force;
use crate::standins::Calling;
use crate::standins::Engine;
use crate::standins::TEMPLATE;
use crate::standins::Training;
use crate::standins::check_calls;
use crate::steps::training;
use crate::system::System;

const STOP: Duration = Duration::from_secs(60);

#[test]
fn processes_catch_up_after_hundreds_of_changes() {
    // Symptom: a process that comes back works by an old configuration, or never has the new one.
    // Sequence: a control process, an entry and an agent are killed; 400 changes are accepted;
    // they start again, each without the others' help. Cause: the changes in between were no
    // longer kept, or an old state was taken for the present one.
    let mut system = System::start(3);
    let entry = system.entry("e1", "dc-1");
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
        system.wait("it is at the last change", || {
            let now = in_force(&system, at);
            assert!(now >= highest, "{name} went back from {highest:?} to {now:?}");
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
    // Symptom: callers or trainers notice that a control VM is restarted. Sequence: each control
    // process in turn is asked to stop, the leader first, and starts again, under load and
    // changes. Cause: a leader that left without handing over, or requests that need it.
    let mut system = System::start(3);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-1")];
    let engine = Engine::start(&mut system, "engine-1", EngineSettings::default());
    system.wait_endpoints(&entries, 1);
    system.apply(&entries, TEMPLATE);
    let calling = Calling::start(&system, &entries, desk(8.0));
    let mut operator = Operator::new();
    let names = ["c1", "c2", "c3"];
    let all = system.addresses(&names);
    for round in 0..3 {
        let leader = system.leader(&all).unwrap();
        assert!(system.of(&leader).process.stop(STOP).unwrap(), "{leader} did not end with 0");
        operator.change(&system, &all, &format!("round-{round}"));
        system.restart(&leader);
        let at = system.address(&leader);
        system.wait("it is back", || in_force(&system, at).0 >= operator.last);
    }
    operator.check(&system, &all);
    check_answered(&calling.finish().1);
    check_calls(&[&engine], &system.path("desk.jsonl"));
    system.check_logs();
}

#[test]
fn the_loss_of_a_data_centre_loses_no_sample_and_no_answer() {
    // Symptom: a step never ends, or callers get nothing, when a data centre is lost. Sequence: a
    // control process, an entry and the agents of one data centre are killed at once, and stay
    // away. Cause: what only they knew was needed, or callers were sent to them for too long.
    let mut system = System::start(3);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-2")];
    let settings = EngineSettings::default;
    let engines = [("dc-1", 1), ("dc-1", 2), ("dc-2", 3), ("dc-2", 4)].map(|(centre, i)| {
        Engine::start_in(&mut system, centre, &format!("engine-{i}"), settings())
    });
    system.wait_endpoints(&entries, engines.len());
    system.apply(&entries, TEMPLATE);
    let all: Vec<&Engine> = engines.iter().collect();
    let training = Training::start(&system, &entries, training(16.0));
    let calling = Calling::start(&system, &entries, desk(12.0));
    thread::sleep(Duration::from_secs(3));
    for lost in ["c3", "e2", "agent-engine-3", "agent-engine-4"] {
        system.kill(lost);
    }
    check_answered(&calling.finish().1);
    check_calls(&all, &system.path("desk.jsonl"));
    let report = training.check(&all);
    assert!(report.steps > 1, "{report:?}");
    system.check_logs();
}
