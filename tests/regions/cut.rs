//! The side without a majority: an entry, its endpoints and one control process of three.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use chicoryford_wire::paths;

use crate::fixture::Regions;
use crate::fixture::assert_each_once;
use crate::fixture::read_batch;
use crate::fixture::wait;

/// From when on the entry knows that it is cut off (docs/REGIONS.md); twice the time that it needs,
/// for a busy machine.
const KNOWN: Duration = Duration::from_secs(8);
/// The bound on a refusal once the cut is known: far above what it takes, far below any timeout.
const AT_ONCE: Duration = Duration::from_millis(500);

#[test]
fn serves_repeatable_callers_and_refuses_labels_at_once() {
    // Symptom: the packing line waits for seconds on each label and then hears that it was not
    // printed; the desk hears nothing. Sequence: a region is cut off from the two others, its
    // callers go on. Cause: each call that needs the majority waited for its own timeout, and held
    // its place at the entry meanwhile.
    let all = Regions::start();
    let before = all.position(0);
    all.hold(1, true);
    all.hold(2, true);
    let cut = Instant::now();
    let mut slowest = Duration::ZERO;
    let mut late = Duration::ZERO;
    let mut answered = 0;
    for n in 0..40 {
        let asked = Instant::now();
        let label = all.label(0, &format!("crate-{n}"));
        let took = asked.elapsed();
        assert_eq!((label.status, label.code().as_str()), (503, "no_quorum"), "{label:?}");
        assert_eq!(label.outcome(), "not_run");
        assert!(label.json()["error"]["retry_ms"].as_u64().is_some(), "{label:?}");
        slowest = slowest.max(took);
        if cut.elapsed() > KNOWN {
            late = late.max(took);
        }
        for caller in ["desk", "harbour"] {
            let answer = all.ask(0, caller, &format!("crate {n}?"));
            assert_eq!(answer.status, 200, "{caller}: {answer:?}");
            answered += 1;
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    println!("refusals: slowest {slowest:?}, slowest once known {late:?}; answered {answered}");
    assert!(late < AT_ONCE, "{late:?}");
    assert!(slowest < KNOWN, "{slowest:?}");
    assert_eq!(all.position(0), before, "configuration goes on as it was");
    assert_eq!(all.dump(0)["config"]["majority"], false, "operators can see why");

    all.hold(1, false);
    all.hold(2, false);
    wait("labels are printed again", || all.label(0, "after").status == 200);
    for n in 0..40 {
        assert_eq!(all.printed(&format!("crate-{n}")), 0, "refused as not run, yet printed");
    }
}

#[test]
fn keeps_a_trainers_cursor_while_it_is_cut_off() {
    // Symptom: a trainer trains twice on a batch, or never gets it. Sequence: it pulls a batch,
    // its region is cut off, the acknowledgement and further pulls fail, the network heals. Cause:
    // the entry answered from what it had, or the other side moved the cursor on.
    let all = Regions::start();
    all.open_step(0);
    let mut first = Vec::new();
    wait("a batch is there", || {
        let answer = all.pull(0, 1);
        if answer.status == 200 && !answer.json()["samples"].is_null() {
            first = read_batch(&answer);
        }
        !first.is_empty()
    });
    all.hold(1, true);
    all.hold(2, true);
    let cut = Instant::now();
    while cut.elapsed() < KNOWN {
        let pulled = all.pull(0, 1);
        assert_eq!(pulled.code(), "no_quorum", "{pulled:?}");
    }
    let asked = Instant::now();
    assert_eq!(all.pull(0, 1).code(), "no_quorum");
    println!("a pull was refused after {:?}", asked.elapsed());
    assert!(asked.elapsed() < AT_ONCE);
    let acked = all.train(0, paths::STEP_ACK, &json!({"workspace": "desk", "cursor": 1}));
    assert_eq!((acked.code().as_str(), acked.outcome().as_str()), ("no_quorum", "not_run"));
    all.hold(1, false);
    all.hold(2, false);
    let mut again = None;
    wait("the batch is there again", || {
        let answer = all.pull(0, 1);
        again = (answer.status == 200).then(|| read_batch(&answer));
        again.is_some()
    });
    assert_eq!(again.as_deref(), Some(&first[..]), "the same cursor gives the same batch");
    assert_each_once(&all.finish_step(0, 1));
}
