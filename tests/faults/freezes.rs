//! Processes that are frozen and resumed, as by a pause of their VM or a silent partition.

use std::thread;
use std::time::Duration;

use crate::calls::check_answered;
use crate::calls::check_labels;
use crate::calls::desk_settings;
use crate::calls::packing_settings;
use crate::standins::CallerRun;
use crate::standins::Engine;
use crate::standins::TEMPLATE;
use crate::standins::TrainerRun;
use crate::standins::check_calls;
use crate::standins::printed_keys;
use crate::standins::start_printer;
use crate::steps::start_engines;
use crate::steps::trainer_settings;
use crate::system::System;

const FREEZE_DURATION: Duration = Duration::from_secs(8);

#[test]
fn a_label_is_printed_once_at_most_when_agent_and_entry_freeze() {
    // Guards against printing one label twice. The agent of one of two printers is frozen with
    // calls in progress, callers retry through the other entry, and the agent resumes and runs the
    // calls that it still has; then an entry is frozen. A call with an unknown outcome must not be
    // given to the other printer.
    let mut system = System::start(3);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
    let records =
        [start_printer(&mut system, "labels-1", 150), start_printer(&mut system, "labels-2", 150)];
    system.wait_endpoints(&entries, 2);
    system.apply(&entries, TEMPLATE);
    let caller = CallerRun::start(&system, &entries, packing_settings(25.0));
    for frozen in ["agent-labels-1", "e2"] {
        let before = printed_keys(&records[..1]).len();
        system.wait("labels are printed", || printed_keys(&records[..1]).len() > before + 10);
        system.daemon_mut(frozen).process.freeze().unwrap();
        thread::sleep(FREEZE_DURATION);
        system.daemon_mut(frozen).process.thaw().unwrap();
    }
    let (_, calls) = caller.finish();
    check_labels(&records, &calls);
    system.check_logs();
}

#[test]
fn samples_and_answers_are_whole_when_an_entry_and_an_agent_freeze() {
    // Guards against samples that are delivered twice or not at all, and against answers that reach
    // the wrong caller. The entry that owns a step is frozen until its session has been taken over,
    // and then resumes with its old state; an agent is frozen with open streams. Results of a
    // replaced owner must be refused, and a late frame must not join another attempt.
    let mut system = System::start(3);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
    let engines = start_engines(&mut system, &["e1", "e2"], 3);
    let all: Vec<&Engine> = engines.iter().collect();
    let trainer = TrainerRun::start(&system, &entries, trainer_settings(24.0));
    let caller = CallerRun::start(&system, &entries[1..], desk_settings(20.0));
    for frozen in ["e1", "agent-engine-1"] {
        thread::sleep(Duration::from_secs(2));
        system.daemon_mut(frozen).process.freeze().unwrap();
        thread::sleep(FREEZE_DURATION);
        system.daemon_mut(frozen).process.thaw().unwrap();
    }
    check_answered(&caller.finish().1);
    check_calls(&all, &system.path("desk.jsonl"));
    let report = trainer.check(&all);
    assert!(report.steps > 1, "{report:?}");
    system.check_logs();
}

/// Guards against an entry that resumes and considers its attempts and endpoints silent, because it
/// has not yet read what they sent while it was frozen.
#[test]
fn entries_that_were_frozen_blame_no_endpoint() {
    for (frozen, freeze_ms) in
        [(&["e2"][..], 1_600), (&["e1", "e2"], 3_600), (&["e1", "e2"], 5_000)]
    {
        let mut system = System::start(3);
        let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
        let engines = start_engines(&mut system, &["e1", "e2"], 3);
        let all: Vec<&Engine> = engines.iter().collect();
        let trainer = TrainerRun::start(&system, &entries, trainer_settings(20.0));
        let caller = CallerRun::start(&system, &entries[1..], desk_settings(18.0));
        thread::sleep(Duration::from_secs(2));
        for _ in 0..3 {
            for entry in frozen {
                system.daemon_mut(entry).process.freeze().unwrap();
            }
            thread::sleep(Duration::from_millis(freeze_ms));
            for entry in frozen {
                system.daemon_mut(entry).process.thaw().unwrap();
            }
            thread::sleep(Duration::from_secs(1));
        }
        check_answered(&caller.finish().1);
        check_calls(&all, &system.path("desk.jsonl"));
        let report = trainer.check(&all);
        assert!(report.steps > 0, "{report:?}");
        for entry in ["e1", "e2"] {
            let blamed = system.log_lines(entry, |line| {
                line.contains("event=attempt_broken") && line.contains("silence")
                    || line.contains("event=endpoint_ejected")
            });
            assert!(blamed.is_empty(), "{entry}, frozen for {freeze_ms} ms: {blamed:#?}");
        }
        system.check_logs();
    }
}
