//! The fence: which orders are carried out, and none twice (docs/AGENT.md).
//!
//! A leader that was cut off and replaced does not know it, and its orders may reach an engine
//! that ignores fencing numbers: new weights would be replaced by old ones, silently. One would
//! notice it by samples of an old version. The agent refuses orders of an epoch lower than the
//! highest it knows. It keeps no disk, so after a restart it asks a majority of the control
//! processes for their highest epoch before its first order: a leader is elected by a majority,
//! of which at least one process is in every other majority.
//!
//! A restart also forgets which orders of an epoch were begun. An older order of the same leader
//! that was delayed on its way would be carried out after a newer one. So each order names the
//! incarnation of the agent that it is meant for, and every other incarnation refuses it.

use std::collections::BTreeMap;

use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Order;
use chicoryford_types::order::OrderReply;
use serde::Serialize;

/// Orders of an epoch whose outcome is remembered.
const REMEMBERED: usize = 64;

/// What is to be done about an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Ruling {
    /// Ask a majority for the current epoch first, and let the order come again.
    Learn,
    /// Carry it out.
    Begin,
    /// Answer this; there is nothing to do.
    Answer(OrderReply),
}

/// Decides which orders are carried out.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Fence {
    /// The incarnation of this agent.
    incarnation: Incarnation,
    /// The highest epoch seen.
    highest: Epoch,
    /// Whether a majority was asked since the start.
    learnt: bool,
    /// The order being carried out.
    busy: Option<(Epoch, u64)>,
    /// The highest number of the epoch that was begun.
    last: Option<u64>,
    /// How orders of the epoch ended; none for success.
    ended: BTreeMap<u64, Option<String>>,
    /// Whether the epoch check is off, for the run that shows that it is needed.
    unchecked: bool,
    /// Promises that were found broken.
    promises: u64,
    /// The highest epoch of an order that was begun.
    begun: Epoch,
}

impl Fence {
    /// Makes the fence of an agent that has just started.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// Makes a fence without the epoch check, for the run that shows that it is needed.
    pub fn unchecked(incarnation: Incarnation) -> Self {
        Self { unchecked: true, ..Self::new(incarnation) }
    }

    /// Decides on an order.
    pub fn decide(&mut self, order: &Order) -> Ruling {
        if order.epoch < self.highest && !self.unchecked {
            return Ruling::Answer(OrderReply::Fenced(self.highest));
        }
        // Checked after the epoch, so that a stale leader still hears of the newer one.
        if order.agent != self.incarnation {
            let detail = format!("meant for incarnation {} of the agent", order.agent);
            return Ruling::Answer(OrderReply::Failed(detail));
        }
        if !self.learnt {
            return Ruling::Learn;
        }
        if order.epoch > self.highest {
            self.raise(order.epoch);
        }
        if self.busy.is_some() {
            return Ruling::Answer(OrderReply::Busy);
        }
        if let Some(end) = self.ended.get(&order.number) {
            let reply = end.clone().map_or(OrderReply::Done, OrderReply::Failed);
            return Ruling::Answer(reply);
        }
        if self.last.is_some_and(|last| order.number <= last) {
            let detail = "a later order of the same leader came first".to_owned();
            return Ruling::Answer(OrderReply::Failed(detail));
        }
        self.begin(order);
        Ruling::Begin
    }

    /// Takes note of the highest epoch that a majority of the control processes knows.
    pub fn learn(&mut self, epoch: Epoch) {
        self.learnt = true;
        self.hear(epoch);
    }

    /// Takes note of an epoch in which something was accepted; it need not be the highest, so it
    /// does not replace [`Fence::learn`].
    pub fn hear(&mut self, epoch: Epoch) {
        if epoch > self.highest {
            self.raise(epoch);
        }
    }

    /// Takes note of how the order that was begun ended.
    pub fn ended(&mut self, order: &Order, error: Option<String>) {
        self.busy = None;
        if order.epoch != self.highest {
            return;
        }
        self.ended.insert(order.number, error);
        while self.ended.len() > REMEMBERED {
            self.ended.pop_first();
        }
    }

    /// Gives the highest epoch seen.
    pub fn highest(&self) -> Epoch {
        self.highest
    }

    /// Tells whether an order is being carried out.
    pub fn is_busy(&self) -> bool {
        self.busy.is_some()
    }

    /// Counts promises that were found broken; anything but zero is a fault of the system.
    pub fn promises(&self) -> u64 {
        self.promises
    }

    fn raise(&mut self, epoch: Epoch) {
        self.highest = epoch;
        self.last = None;
        self.ended.clear();
    }

    fn begin(&mut self, order: &Order) {
        if order.epoch < self.begun || order.epoch < self.highest || self.busy.is_some() {
            self.promises += 1;
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
