//! Fences off stale leaders, and ensures that no order is executed twice (docs/AGENT.md).
//!
//! A partitioned leader that was replaced may still send orders, and an engine may ignore fencing
//! numbers: new weights would silently be replaced by old ones, which only samples of an old
//! version would reveal. So the agent refuses orders of an epoch lower than the highest one seen.
//! It stores nothing on disk. After a restart it therefore asks a majority of the control processes
//! for their highest epoch before its first order: a leader is elected by a majority, and any two
//! majorities share at least one process.
//!
//! After a restart the agent also no longer has the numbers of the orders it started. An older
//! order of the same leader that was delayed by the network could be executed after a newer one. So
//! each order names the incarnation of the agent to which it is sent, and every other incarnation
//! refuses it.

use std::collections::BTreeMap;

use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Order;
use chicoryford_types::order::OrderReply;
use serde::Serialize;

/// The maximum number of orders of an epoch whose outcome is remembered.
const MAX_REMEMBERED_ORDERS: usize = 64;

/// The decision on an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Query a majority for the current epoch first; the leader will send the order again.
    LearnEpoch,
    /// Execute the order.
    Execute,
    /// Send this reply without executing the order.
    Answer(OrderReply),
}

/// Decides which orders are executed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Fence {
    /// The incarnation of this agent.
    incarnation: Incarnation,
    /// The highest epoch seen.
    highest: Epoch,
    /// Whether a majority has been queried since the start.
    learnt: bool,
    /// The epoch and number of the order in progress.
    busy: Option<(Epoch, u64)>,
    /// The highest number of an order of the epoch that was started.
    last: Option<u64>,
    /// The error of each completed order of the epoch, by number; `None` for success.
    ended: BTreeMap<u64, Option<String>>,
    /// Whether the epoch check is disabled, for the test that shows that it is needed.
    unchecked: bool,
    /// Invariant violations found so far.
    #[serde(rename = "promises")]
    violations: u64,
    /// The highest epoch of an order that was started.
    begun: Epoch,
}

impl Fence {
    /// Creates the fence of an agent that has just started.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// Creates a fence without the epoch check, for the test that shows that it is needed.
    pub fn unchecked(incarnation: Incarnation) -> Self {
        Self { unchecked: true, ..Self::new(incarnation) }
    }

    /// Decides on an order.
    pub fn decide(&mut self, order: &Order) -> Decision {
        if order.epoch < self.highest && !self.unchecked {
            return Decision::Answer(OrderReply::Fenced(self.highest));
        }
        // Checked after the epoch, so that a stale leader is informed of the newer epoch.
        if order.agent != self.incarnation {
            let detail = format!("the order is for incarnation {} of the agent", order.agent);
            return Decision::Answer(OrderReply::Failed(detail));
        }
        if !self.learnt {
            return Decision::LearnEpoch;
        }
        if order.epoch > self.highest {
            self.enter_epoch(order.epoch);
        }
        if self.busy.is_some() {
            return Decision::Answer(OrderReply::Busy);
        }
        if let Some(end) = self.ended.get(&order.number) {
            let reply = end.clone().map_or(OrderReply::Done, OrderReply::Failed);
            return Decision::Answer(reply);
        }
        if self.last.is_some_and(|last| order.number <= last) {
            let detail = "a later order of the same leader was executed first".to_owned();
            return Decision::Answer(OrderReply::Failed(detail));
        }
        self.start(order);
        Decision::Execute
    }

    /// Records the highest epoch reported by a majority of the control processes.
    pub fn learn_epoch(&mut self, epoch: Epoch) {
        self.learnt = true;
        self.observe_epoch(epoch);
    }

    /// Records an epoch in which a change was accepted. It need not be the highest epoch, so this
    /// does not replace [`Fence::learn_epoch`].
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        if epoch > self.highest {
            self.enter_epoch(epoch);
        }
    }

    /// Records the outcome of the order in progress.
    pub fn record_end(&mut self, order: &Order, error: Option<String>) {
        self.busy = None;
        if order.epoch != self.highest {
            return;
        }
        self.ended.insert(order.number, error);
        while self.ended.len() > MAX_REMEMBERED_ORDERS {
            self.ended.pop_first();
        }
    }

    /// Returns the highest epoch seen.
    pub fn highest(&self) -> Epoch {
        self.highest
    }

    /// Returns whether an order is in progress.
    pub fn is_busy(&self) -> bool {
        self.busy.is_some()
    }

    /// Returns the number of invariant violations found so far; any value but zero is a bug.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    fn enter_epoch(&mut self, epoch: Epoch) {
        self.highest = epoch;
        self.last = None;
        self.ended.clear();
    }

    fn start(&mut self, order: &Order) {
        if order.epoch < self.begun || order.epoch < self.highest || self.busy.is_some() {
            self.violations += 1;
            tracing::error!(
                event = "promise_broken",
                promise = "a stale leader's order is refused"
            );
        }
        self.begun = self.begun.max(order.epoch);
        self.busy = Some((order.epoch, order.number));
        self.last = Some(order.number);
    }
}
