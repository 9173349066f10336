//! Tests of when a new leader may give orders to engines.

use std::collections::BTreeMap;

use chicoryford_fleet::order_lease::OrderLease;
use chicoryford_types::Millis;

const LEADER_SINCE: Millis = Millis(10_000);

fn lease(engines_fence: bool) -> OrderLease {
    let last_orders =
        BTreeMap::from([("lately".to_owned(), LEADER_SINCE), ("old".to_owned(), Millis(7_000))]);
    OrderLease { leader_since: LEADER_SINCE, lease_ms: 3_000, engines_fence, last_orders }
}

/// Guards against a step that waits for two seconds after a change of leader. The leader was
/// disconnected when a version was published, and the next leader gave no engine an order for three
/// seconds, in which the step that needed the version was submitted. It waited for all engines,
/// though only a few had got an order from the previous leader.
#[test]
fn fencing_engines_get_orders_at_once_unless_they_got_one_recently() {
    let lease = lease(true);
    assert!(lease.may_order("never", LEADER_SINCE));
    assert!(lease.may_order("old", LEADER_SINCE));
    assert!(!lease.may_order("lately", LEADER_SINCE + 2_999));
    assert!(lease.may_order("lately", LEADER_SINCE + 3_000));
}

#[test]
fn engines_without_fencing_get_no_orders_for_one_lease() {
    let lease = lease(false);
    for engine in ["never", "old", "lately"] {
        assert!(!lease.may_order(engine, LEADER_SINCE + 2_999));
        assert!(lease.may_order(engine, LEADER_SINCE + 3_000));
    }
}
