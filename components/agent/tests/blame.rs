//! Tests of which attempts are blamed for a crash, and of what entries are told about them.

use chicoryford_agent::gate::Arrival;
use chicoryford_agent::gate::AttemptEnd;
use chicoryford_agent::gate::Gate;
use chicoryford_agent::gate::GateSettings;
use chicoryford_agent::gate::Id;
use chicoryford_types::Attempt;
use chicoryford_types::Epoch;
use chicoryford_types::Fingerprint;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Position;
use chicoryford_types::RequestId;
use chicoryford_types::Unix;
use chicoryford_types::ids::Revision;
use chicoryford_types::request::CrashDecision;

const INCARNATION: Incarnation = Incarnation(3);
const AT: Position = Position { epoch: Epoch(1), revision: Revision(9) };

fn id(number: u64) -> Id {
    Id { request: RequestId(0, number), attempt: Attempt(1) }
}

/// Returns a gate with running attempts 1 and 2, each with the content of its number.
fn gate(suspects: &[u64]) -> Gate {
    let mut gate = Gate::new(GateSettings { incarnation: INCARNATION, ..GateSettings::default() });
    for number in [1, 2] {
        let arrival = Arrival {
            id: id(number),
            budget_ms: 60_000,
            fingerprint: Fingerprint(number),
            suspect: suspects.contains(&number),
            ..Arrival::default()
        };
        gate.arrive(arrival, Millis(0), Unix(0));
    }
    gate
}

fn decision(gate: &Gate, number: u64) -> CrashDecision {
    gate.crash_decision(id(number), INCARNATION)
}

#[test]
fn a_decision_is_pending_until_the_report_is_committed() {
    // Guards against an entry that retries a request before its crash is detected or while the
    // report is being committed.
    let mut gate = gate(&[]);
    gate.record_end(id(1), AttemptEnd::Broken, Millis(10));
    assert_eq!(decision(&gate, 1), CrashDecision::Pending);
    gate.take_crash_suspects(1, Millis(110));
    assert_eq!(decision(&gate, 1), CrashDecision::Pending);
    gate.record_crash_committed(1, AT);
    assert_eq!(decision(&gate, 1), CrashDecision::Committed(AT));
    gate.record_end(id(2), AttemptEnd::Broken, Millis(120));
    assert_eq!(decision(&gate, 2), CrashDecision::Committed(AT), "it ran at the crash");
}

#[test]
fn an_attempt_that_did_not_crash_its_endpoint_is_not_blamed() {
    // Guards against requests that wait although nothing will be decided about them.
    let mut alive = gate(&[]);
    alive.record_end(id(1), AttemptEnd::Broken, Millis(10));
    alive.record_not_crashed(Millis(20));
    assert_eq!(decision(&alive, 1), CrashDecision::NotBlamed);
    assert_eq!(decision(&alive, 2), CrashDecision::NotBlamed, "it still runs");

    let mut beside = gate(&[2]);
    beside.record_end(id(1), AttemptEnd::Broken, Millis(10));
    assert_eq!(beside.take_crash_suspects(1, Millis(110)), [Fingerprint(2)]);
    assert_eq!(decision(&beside, 1), CrashDecision::NotBlamed, "only the suspect is blamed");
    assert_eq!(decision(&beside, 2), CrashDecision::Pending);
    let earlier = beside.crash_decision(id(2), Incarnation(2));
    assert_eq!(earlier, CrashDecision::NotBlamed, "a restarted agent knows no attempt");
}

#[test]
fn an_attempt_is_blamed_for_one_crash_only() {
    // Guards against a harmless content that is counted at two crashes, because its connection was
    // found broken only after the first one was reported.
    let mut gate = gate(&[]);
    assert_eq!(gate.take_crash_suspects(1, Millis(100)), [Fingerprint(1), Fingerprint(2)]);
    gate.record_end(id(1), AttemptEnd::Broken, Millis(110));
    assert_eq!(gate.take_crash_suspects(2, Millis(200)), [Fingerprint(2)]);
}

#[test]
fn records_expire() {
    // Guards against a memory of crashes that grows for as long as the agent runs.
    let mut gate = gate(&[]);
    gate.record_end(id(1), AttemptEnd::Broken, Millis(10));
    gate.tick(Millis(70_000));
    assert_eq!(decision(&gate, 1), CrashDecision::NotBlamed);
}

#[test]
fn an_innocent_attempt_beside_a_suspect_is_not_blamed_for_the_next_crash() {
    // Guards against a harmless content that is suspected because its connection was found broken
    // only after the crash by the suspect beside it was reported.
    let mut gate = gate(&[2]);
    assert_eq!(gate.take_crash_suspects(1, Millis(100)), [Fingerprint(2)]);
    gate.record_end(id(1), AttemptEnd::Broken, Millis(110));
    assert_eq!(decision(&gate, 1), CrashDecision::NotBlamed);
    gate.record_end(id(2), AttemptEnd::Broken, Millis(111));
    assert!(gate.take_crash_suspects(2, Millis(200)).is_empty());
    assert_eq!(decision(&gate, 1), CrashDecision::NotBlamed);
}

#[test]
fn attempts_that_broke_without_a_crash_do_not_evict_blamed_ones() {
    // Guards against a lost decision after many connections broke for other reasons: the entry
    // would retry a content that is blamed.
    let mut gate = gate(&[]);
    gate.take_crash_suspects(1, Millis(100));
    gate.record_crash_committed(1, AT);
    for number in 10..6_000 {
        let arrival = Arrival { id: id(number), budget_ms: 60_000, ..Arrival::default() };
        gate.arrive(arrival, Millis(200), Unix(0));
        gate.record_end(id(number), AttemptEnd::Broken, Millis(200));
        gate.record_not_crashed(Millis(200));
    }
    assert_eq!(decision(&gate, 1), CrashDecision::Committed(AT));
}
