//! Requests count as in progress until their replies are sent.

use chicoryford_wire::Progress;
use chicoryford_wire::progress::hold;
use chicoryford_wire::reply;

#[test]
fn counts_a_reply_until_its_body_is_dropped() {
    // Guards against a graceful shutdown that cuts off a streamed reply. The handler returns while
    // the stream continues; if only the handler is counted, nothing is in progress.
    let progress = Progress::default();
    let reply = hold(reply::json(200, "streamed"), progress.begin());
    assert_eq!(progress.count(), 1);
    drop(reply);
    assert_eq!(progress.count(), 0);
}
