//! Requests count as in progress until their answers have left.

use chicoryford_wire::Progress;
use chicoryford_wire::progress::hold;
use chicoryford_wire::reply;

#[test]
fn counts_an_answer_until_its_body_is_gone() {
    // Symptom: a graceful shutdown cuts a streamed answer. Sequence: the handler returns, the
    // stream goes on, the shutdown sees nothing in progress. Cause: only the handler was counted.
    let progress = Progress::default();
    let reply = hold(reply::json(200, "streamed"), progress.begin());
    assert_eq!(progress.count(), 1);
    drop(reply);
    assert_eq!(progress.count(), 0);
}
