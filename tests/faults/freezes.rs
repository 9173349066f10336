//! Processes that stand still and go on, as after a pause of their VM or a silent partition.

use std::thread;
use std::time::Duration;

use crate::calls::check_answered;
use crate::calls::check_labels;
use crate::calls::desk;
use crate::calls::packing;
use crate::standins::Calling;
use crate::standins::Engine;
use crate::standins::TEMPLATE;
use crate::standins::Training;
use crate::standins::check_calls;
use crate::standins::printed;
use crate::standins::printer;
use crate::steps::engines;
use crate::steps::training;
use crate::system::System;

const PAUSE: Duration = Duration::from_secs(8);

#[test]
fn a_label_is_printed_once_at_most_when_agent_and_entry_freeze() {
    // Symptom: two crates carry the same label. Sequence: of two printers one loses touch because
    // its agent stands still with calls in progress; callers send them again through the other
    // entry; the agent goes on and runs what it still has; then an entry does the same. Cause: a
    // call whose outcome was not known was given to another printer.
    let mut system = System::start(3);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-1")];
    let records = [printer(&mut system, "labels-1", 150), printer(&mut system, "labels-2", 150)];
    system.wait_endpoints(&entries, 2);
    system.apply(&entries, TEMPLATE);
    let calling = Calling::start(&system, &entries, packing(25.0));
    for frozen in ["agent-labels-1", "e2"] {
        let before = printed(&records[..1]).len();
        system.wait("labels are printed", || printed(&records[..1]).len() > before + 10);
        system.of(frozen).process.freeze().unwrap();
        thread::sleep(PAUSE);
        system.of(frozen).process.thaw().unwrap();
    }
    let (_, calls) = calling.finish();
    check_labels(&records, &calls);
    system.check_logs();
}

#[test]
fn samples_and_answers_are_whole_when_an_entry_and_an_agent_freeze() {
    // Symptom: samples come twice or not at all, or a caller gets another one's answer. Sequence:
    // the entry that owns a step stands still until its session has been given away, and goes on
    // with what it had; meanwhile an agent stands still with streams open. Cause: what an owner
    // that was replaced still finishes was taken, or a late frame joined another attempt.
    let mut system = System::start(3);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-1")];
    let engines = engines(&mut system, &["e1", "e2"], 3);
    let all: Vec<&Engine> = engines.iter().collect();
    let training = Training::start(&system, &entries, training(24.0));
    let calling = Calling::start(&system, &entries[1..], desk(20.0));
    for frozen in ["e1", "agent-engine-1"] {
        thread::sleep(Duration::from_secs(2));
        system.of(frozen).process.freeze().unwrap();
        thread::sleep(PAUSE);
        system.of(frozen).process.thaw().unwrap();
    }
    check_answered(&calling.finish().1);
    check_calls(&all, &system.path("desk.jsonl"));
    let report = training.check(&all);
    assert!(report.steps > 1, "{report:?}");
    system.check_logs();
}
