//! Decides when a new leader may give an engine its first order.
//!
//! Orders of two leaders to an engine must not alternate: an order of the old leader could arrive
//! after one of the new leader and revert it. Engines that check fencing tokens reject orders of an
//! older epoch. With these, the new leader waits for one lease only for engines that recently got
//! an order, as the previous leader may still be running and connected to them. Engines that do not
//! check fencing tokens get no orders from a new leader for one lease.
//!
//! If every version waited for three seconds after a change of leader, the next step would wait for
//! up to two seconds because no engine is new enough for its samples.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

/// What a leader needs to respect the orders of its predecessor.
#[derive(Clone, Debug, Default)]
pub struct OrderLease {
    /// When this leader was elected.
    pub leader_since: Millis,
    /// Milliseconds for which an order of the previous leader must be respected.
    pub lease_ms: u64,
    /// Whether engines reject orders of an older epoch than the newest one that they have seen.
    pub engines_fence: bool,
    /// When the previous leader announced its last order, by engine id.
    pub last_orders: BTreeMap<String, Millis>,
}

impl OrderLease {
    /// Returns whether an engine may be given orders.
    pub fn may_order(&self, engine: &str, now: Millis) -> bool {
        let since = if self.engines_fence {
            self.last_orders.get(engine)
        } else {
            Some(&self.leader_since)
        };
        since.is_none_or(|since| now.since(*since) >= self.lease_ms)
    }
}
