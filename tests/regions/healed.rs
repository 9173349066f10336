//! Tests of the side with the majority, and of the reconnection of the side without it.

use chicoryford_wire::paths;
use serde_json::json;

use crate::fixture::Regions;
use crate::fixture::assert_each_once;
use crate::fixture::wait;

#[test]
fn takes_over_the_steps_of_a_region_that_was_cut_off() {
    // Guards against a step that is never complete or that contains samples twice. An entry owns a
    // step, its region is cut off for longer than its session lasts, and another region's entry
    // generates the samples. Then the first entry resumes and records its own samples. This fails
    // if the ledger accepts records from an owner whose session has expired, or if no entry takes
    // the step over.
    let all = Regions::start();
    all.open_step(0);
    wait("the step has begun", || all.pull(1, 1).status == 200);
    all.set_frozen(0, true);
    // The other side still serves all requests, labels included.
    wait("labels are printed on the other side", || all.print_label(1, "meanwhile").status == 200);
    assert_eq!(all.complete(1, "desk", "meanwhile").status, 200);
    let file = all.folder.path().join("templates.yaml");
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, text.replace("harbour: normal", "harbour: batch")).unwrap();
    let before = all.position(1);
    let applied = all.client(1, &["apply", &file.display().to_string()]);
    assert!(applied.status.success(), "{applied:?}");
    wait("the change is in force on the other side", || all.position(1) != before);
    let samples = all.finish_step(1, 1);
    assert_each_once(&samples);
    all.set_frozen(0, false);
    wait("the region that was cut off has the configuration", || {
        all.position(0) == all.position(1)
    });
    wait("labels are printed everywhere", || all.print_label(0, "after").status == 200);
    // No sample of the step is delivered again.
    let ack = json!({"workspace": "desk", "cursor": 1});
    wait("an old acknowledgement is accepted or refused as a conflict", || {
        let status = all.post_as_trainer(0, paths::STEP_ACK, &ack).status;
        status == 200 || status == 409
    });
    let next = all.pull(0, 1);
    assert_ne!(next.status, 200, "{next:?}");
    assert_eq!(all.count_prints("meanwhile"), 1);
    for n in 0..2 {
        let dump = all.dump(n);
        assert_eq!(dump["entry"]["counts"]["broken"].as_u64().unwrap_or(0), 0, "{dump}");
    }
}
