//! When a new leader may give an engine its first order.
//!
//! Two leaders must not give orders to an engine by turns: the older one's may arrive after the
//! newer one's and undo it. Engines that check fences refuse an older epoch, so there the new
//! leader only leaves alone, for one lease, those engines that it knows to have been ordered lately:
//! the leader before may be alive and in touch. Engines that do not check fences get no order from
//! it at all for one lease.
//!
//! A version that waits for three seconds after each change of leader makes the next step wait for
//! up to two: no engine is new enough for its samples.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

/// What a leader knows of the orders before its own.
#[derive(Clone, Debug, Default)]
pub struct OrderLease {
    /// When its leadership began.
    pub leader_since: Millis,
    /// Milliseconds for which an order of the leader before counts.
    pub lease_ms: u64,
    /// Whether engines refuse orders of an epoch before one that they have seen.
    pub engines_fence: bool,
    /// When the leader before told of an order, by the engine's incarnation.
    pub last_orders: BTreeMap<String, Millis>,
}

impl OrderLease {
    /// Tells whether an engine may be given orders.
    pub fn may_order(&self, engine: &str, now: Millis) -> bool {
        let since = if self.engines_fence {
            self.last_orders.get(engine)
        } else {
            Some(&self.leader_since)
        };
        since.is_none_or(|since| now.since(*since) >= self.lease_ms)
    }
}
