//! When a new leader gives engines orders.

use std::collections::BTreeMap;

use chicoryford_fleet::order_lease::OrderLease;
use chicoryford_types::Millis;

const BEGAN: Millis = Millis(10_000);

fn turn(fenced: bool) -> OrderLease {
    let ordered = BTreeMap::from([("lately".to_owned(), BEGAN), ("old".to_owned(), Millis(7_000))]);
    OrderLease { leader_since: BEGAN, lease_ms: 3_000, engines_fence: fenced, last_orders: ordered }
}

/// Symptom: after a change of leader a step waits for two seconds until its first sample runs.
/// Sequence: the leader is cut off just when a version is named; the next leader gives no engine an
/// order for three seconds; the step that needs the version comes meanwhile.
/// Cause: it waited for all engines, though only few had an order of the leader before.
#[test]
fn engines_with_fences_are_ordered_at_once_unless_they_were_lately() {
    let turn = turn(true);
    assert!(turn.may_order("never", BEGAN));
    assert!(turn.may_order("old", BEGAN));
    assert!(!turn.may_order("lately", BEGAN + 2_999));
    assert!(turn.may_order("lately", BEGAN + 3_000));
}

#[test]
fn engines_without_fences_are_not_ordered_for_a_lease() {
    let turn = turn(false);
    for engine in ["never", "old", "lately"] {
        assert!(!turn.may_order(engine, BEGAN + 2_999));
        assert!(turn.may_order(engine, BEGAN + 3_000));
    }
}
