//! Control processes that are killed, frozen, replaced or out of disk space.

use std::fs;
use std::net::SocketAddr;

use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::raw;
use chicoryford_standin::raw::Question;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Model;
use chicoryford_types::Order;
use chicoryford_types::Version;
use chicoryford_types::order::OrderAction;
use chicoryford_types::order::OrderReply;
use chicoryford_wire::paths;
use serde_json::Value;

use crate::operator::ChangeOutcome;
use crate::operator::Operator;
use crate::operator::in_force;
use crate::standins::Engine;
use crate::standins::start_weight_store;
use crate::system::System;

const FIVE: [&str; 5] = ["c1", "c2", "c3", "c4", "c5"];

/// Returns `all` without `one`.
fn others<'a>(all: &[&'a str], one: &str) -> Vec<&'a str> {
    all.iter().copied().filter(|name| *name != one).collect()
}

/// Waits until all of `names` have the operator's last accepted change in force.
fn wait_in_force(system: &System, names: &[&str], operator: &Operator) {
    system.wait("all processes have the last change in force", || {
        names.iter().all(|name| in_force(system, system.address(name)).0 >= operator.last)
    });
}

#[test]
fn loses_nothing_when_any_two_of_five_are_killed() {
    // Guards against losing an accepted change, and against applying one that was refused as not
    // run. Two of five control processes are killed, the leader among them, while changes continue;
    // a third is killed; all are restarted. This fails if a change is acknowledged before a
    // majority has synced it, or if a minority accepts a change or keeps one that it refused.
    let mut system = System::start(5);
    let mut operator = Operator::new();
    let all = system.addresses(&FIVE);
    for i in 0..5 {
        operator.change(&system, &all, &format!("before-{i}"));
    }
    let leader = system.leader(&all).unwrap();
    let mut left = others(&FIVE, &leader);
    let second = left.remove(0);
    system.kill(&leader);
    system.kill(second);
    let three = system.addresses(&left);
    for i in 0..10 {
        operator.change(&system, &three, &format!("with-three-{i}"));
    }
    let third = left.remove(0);
    system.kill(third);
    let two = system.addresses(&left);
    let mut number = 0;
    system.wait("a minority refuses a change", || {
        number += 1;
        let outcome = operator.try_change(&system, two[number % 2], &format!("refused-{number}"));
        assert!(!matches!(outcome, ChangeOutcome::Accepted(..)), "a minority accepted {outcome:?}");
        outcome == ChangeOutcome::NotRun("no_quorum".to_owned())
    });
    for name in [leader.as_str(), second, third] {
        system.restart(name);
    }
    // Changes with an unknown outcome may still be accepted, so the operator reads the version in
    // force before its next change.
    operator.check(&system, &all);
    operator.read_newest(&system, &all);
    operator.change(&system, &all, "after");
    wait_in_force(&system, &FIVE, &operator);
    operator.check(&system, &all);
    system.check_logs();
}

#[test]
fn a_leader_back_from_a_freeze_takes_nothing_back() {
    // Guards against the return of an old configuration or old weights. The leader is frozen for
    // longer than its lease while 500 changes and new weights are accepted, and resumes with the
    // assumption that it still leads. Orders and answers of an earlier epoch must be refused.
    let mut system = System::start(3);
    let engine = Engine::start(&mut system, "engine", EngineSettings::default());
    let names = ["c1", "c2", "c3"];
    let all = system.addresses(&names);
    system.wait_endpoints(&all, 1);
    let mut operator = Operator::new();
    operator.change(&system, &all, "first");
    let old: Value = system.get(all[0], paths::CONTROL_STATUS);
    let leader = system.leader(&all).unwrap();
    let store = start_weight_store();
    publish_weights(&system, &all, 2, &store);
    system.wait("version 2 runs", || engine.version() == 2);
    system.daemon_mut(&leader).process.freeze().unwrap();
    let two = system.addresses(&others(&names, &leader));
    for i in 0..500 {
        operator.change(&system, &two, &format!("change-{i}"));
    }
    publish_weights(&system, &two, 3, &store);
    system.wait("version 3 runs", || engine.version() == 3);
    system.daemon_mut(&leader).process.thaw().unwrap();
    let mut highest = in_force(&system, system.address(&leader));
    system.wait("the old leader has the last change in force", || {
        let now = in_force(&system, system.address(&leader));
        assert!(now >= highest, "{now:?} after {highest:?}");
        highest = now;
        now.0 >= operator.last
    });
    let epoch = Epoch(old["epoch"].as_u64().unwrap());
    let refused = send_order(&system, "agent-engine", epoch, 2);
    assert!(matches!(refused, Some(OrderReply::Fenced(newer)) if newer > epoch), "{refused:?}");
    assert_eq!(engine.version(), 3);
    assert_eq!(engine.swaps(), [2, 3]);
    operator.change(&system, &all, "last");
    wait_in_force(&system, &names, &operator);
    let positions: Vec<_> = all.iter().map(|at| in_force(&system, *at)).collect();
    assert!(positions.iter().all(|position| *position == positions[0]), "{positions:?}");
    operator.check(&system, &all);
    system.check_logs();
}

/// Sends an order to an agent as a leader of `epoch` would.
fn send_order(system: &System, agent: &str, epoch: Epoch, version: u64) -> Option<OrderReply> {
    let address = system.address(agent);
    let members = system.get(address, paths::MEMBERS);
    let incarnation = members["known"][agent]["member"]["incarnation"].as_u64()?;
    let (model, version) = (Model::from("model"), Version(version));
    let action = OrderAction::Load { model, version, sources: Vec::new() };
    let order = Order { epoch, number: 1_000, agent: Incarnation(incarnation), action };
    let body = rmp_serde::to_vec_named(&order).unwrap();
    let question =
        Question { path: paths::ORDER, token: "process-token", body: &body, ..Question::default() };
    rmp_serde::from_slice(&raw::ask_bytes(address, &question)).ok()
}

fn publish_weights(system: &System, at: &[SocketAddr], version: u64, store: &str) {
    let version = version.to_string();
    let done = system.client(at, &["weights", "publish", "model", &version, store]);
    assert!(done.status.success(), "{done:?}");
}

#[test]
fn survives_the_loss_of_another_right_after_a_repair() {
    // Guards against losing accepted changes in two losses that do not overlap. A VM is lost with
    // its disk and replaced, and another one is lost immediately afterwards. The replacement must
    // not count towards majorities before it holds what the lost process held.
    let mut system = System::start(3);
    let names = ["c1", "c2", "c3"];
    let all = system.addresses(&names);
    let mut operator = Operator::new();
    for i in 0..20 {
        operator.change(&system, &all, &format!("before-{i}"));
    }
    let leader = system.leader(&all).unwrap();
    let lost = others(&names, &leader)[0].to_owned();
    system.kill(&lost);
    fs::remove_dir_all(system.path(&lost)).unwrap();
    let address = system.start_joining("c4").to_string();
    let kept = system.addresses(&others(&names, &lost));
    let replaced = system.client(&kept, &["control", "replace", &lost, "c4", &address]);
    assert!(replaced.status.success(), "{replaced:?}");
    system.wait("the new process has a vote", || {
        let status = system.get(system.address("c4"), paths::CONTROL_STATUS);
        status["voter"] == true
    });
    system.kill(&leader);
    let two = [others(&others(&names, &lost), &leader)[0], "c4"];
    let at = system.addresses(&two);
    for i in 0..5 {
        operator.change(&system, &at, &format!("after-{i}"));
    }
    wait_in_force(&system, &two, &operator);
    operator.check(&system, &at);
    system.check_logs();
}

#[test]
fn a_full_disk_stops_one_and_not_the_others() {
    // Guards against losing an accepted change, and against refusing all changes, when the disk of
    // one control process fills up during a stream of changes. A failed write must not be
    // acknowledged as synced, and the failed process must not block the others.
    let mut system = System::start(3);
    let names = ["c1", "c2", "c3"];
    let all = system.addresses(&names);
    let mut operator = Operator::new();
    operator.change(&system, &all, "first");
    let full = system.leader(&all).unwrap();
    system.kill(&full);
    system.restart_on_full_disk(&full, 100_000);
    let left = others(&names, &full);
    let long = "x".repeat(2_000);
    let mut number = 0;
    system.wait("the process with the full disk reports its failure", || {
        for _ in 0..20 {
            operator.change(&system, &all, &format!("{number} {long}"));
            number += 1;
        }
        let status = system.get(system.address(&full), paths::CONTROL_STATUS);
        status["role"] == "failed"
    });
    let status = system.get(system.address(&full), paths::CONTROL_STATUS);
    let failure = status["storage"]["failure"].as_str().unwrap_or_default().to_owned();
    assert!(
        failure.to_lowercase().contains("file too large"),
        "the reported failure is {failure:?}"
    );
    for i in 0..10 {
        operator.change(&system, &system.addresses(&left), &format!("later-{i}"));
    }
    wait_in_force(&system, &left, &operator);
    system.kill(&full);
    system.restart(&full);
    wait_in_force(&system, &names, &operator);
    operator.check(&system, &all);
    system.check_logs();
}
