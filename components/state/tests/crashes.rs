//! Tests of the replies to reports of crashes.

use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_state::State;
use chicoryford_types::Endpoint;
use chicoryford_types::Epoch;
use chicoryford_types::Fingerprint;
use chicoryford_types::Incarnation;
use chicoryford_types::Position;
use chicoryford_types::Unix;
use chicoryford_types::ids::Revision;

fn report(state: &mut State, crash: u64) -> Position {
    let command = Command::Crashed {
        endpoint: Endpoint::from("e1"),
        crash,
        incarnation: Incarnation(1),
        blamed: vec![Fingerprint(7), Fingerprint(8)],
    };
    let at = Position { epoch: Epoch(1), revision: Revision(0) };
    match state.apply(at, Unix(1_000), command) {
        Reply::Accepted { at, .. } => at,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_report_of_a_crash_is_answered_with_the_position_of_its_decision() {
    // Guards against a request that is retried before its entry has applied the suspicion of its
    // content, because the reply does not say which configuration contains it.
    let mut state = State::default();
    let first = report(&mut state, 1);
    assert_eq!(first, state.config.at);
    assert_eq!(state.config.suspects.len(), 2);
    let second = report(&mut state, 2);
    assert!(second > first);
    assert!(report(&mut state, 1) >= first, "a resent report, whose first reply was lost");
    assert_eq!(state.config.at, second, "a resent report changes nothing");
}
