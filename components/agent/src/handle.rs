//! What the duties and HTTP threads of the role share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use chicoryford_kernel::Sender;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::Incarnation;
use chicoryford_types::LoadReport;
use chicoryford_types::Millis;
use chicoryford_types::Order;
use chicoryford_types::order::OrderReply;
use chicoryford_types::request::AttemptState;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::gate::Arrival;
use crate::gate::End;
use crate::gate::Figures;
use crate::gate::Id;
use crate::gate::Verdict;

/// The name under which [`Handle`] is offered.
pub const SERVICE: &str = "agent";

/// What an attempt's task is told after it was let wait.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Signal {
    /// It waits for a slot.
    #[default]
    Wait,
    /// It runs.
    Start,
    /// It is dropped and did not run.
    Drop(Failure),
    /// It is to be stopped at the endpoint.
    Cancel,
}

/// A message to the gate's duty.
pub enum ToGate {
    /// An attempt arrives.
    Arrive {
        /// The attempt.
        arrival: Box<Arrival>,
        /// Where its task hears what becomes of it.
        signal: watch::Sender<Signal>,
        /// Takes the verdict.
        reply: oneshot::Sender<Verdict>,
    },
    /// An attempt ended.
    Ended(Id, End),
    /// The entry's connection of an attempt is gone.
    Gone(Id),
    /// Somebody asks what became of an attempt.
    Question {
        /// The attempt.
        id: Id,
        /// The incarnation of the agent to which it was sent.
        incarnation: Incarnation,
        /// Whether it is to be stopped.
        cancel: bool,
        /// Takes the answer.
        reply: oneshot::Sender<AttemptState>,
    },
    /// Draining starts or ends.
    Drain(bool),
    /// The endpoint works or does not.
    Health(bool),
    /// The endpoint crashed; takes the contents to blame.
    Crashed(oneshot::Sender<Vec<Fingerprint>>),
    /// The endpoint had not crashed at that time.
    NotCrashed(Millis),
}

/// A message to the orders' duty.
pub struct ToOrders {
    /// The order.
    pub order: Order,
    /// Takes the answer.
    pub reply: oneshot::Sender<OrderReply>,
}

/// The reasons for which an endpoint takes no new work; one is enough.
#[derive(Default)]
pub struct Drains {
    /// An order told it to drain.
    pub order: AtomicBool,
    /// A planned stop names it, its node or its data centre.
    pub stop: AtomicBool,
    /// This process is asked to end.
    pub phase: AtomicBool,
}

impl Drains {
    /// Tells whether any of the reasons holds.
    pub fn any(&self) -> bool {
        let reasons = [&self.order, &self.stop, &self.phase];
        reasons.iter().any(|reason| reason.load(Ordering::Relaxed))
    }
}

/// The way to the role's duties, offered to the rest of the process.
#[derive(Clone)]
pub struct Handle {
    /// To the gate's duty.
    pub gate: Sender<ToGate>,
    /// To the orders' duty.
    pub orders: Sender<ToOrders>,
    /// Asks the watch duty to look at the endpoint now.
    pub look: Sender<()>,
    /// The newest load report and when it was taken.
    pub report: watch::Receiver<(Millis, LoadReport)>,
    /// The gate's figures.
    pub figures: watch::Receiver<Figures>,
    /// Whether the endpoint works, as of the last look.
    pub healthy: watch::Receiver<bool>,
    /// Whether an order changes the endpoint's weights just now; a stream may pause meanwhile.
    pub swapping: Arc<AtomicBool>,
    /// Why the endpoint takes no new work, if it does not.
    pub drains: Arc<Drains>,
    /// This process's incarnation.
    pub incarnation: Incarnation,
}

impl Handle {
    /// Waits until no attempt waits or runs, so that a graceful shutdown cuts nothing.
    pub async fn idle(&self) {
        let mut figures = self.figures.clone();
        // If the gate's duty is gone, nothing runs any more.
        let _ = figures.wait_for(|f| f.running == 0 && f.waiting == 0).await;
    }

    /// Asks the gate's duty and waits for its answer; none if the duty is gone or overloaded.
    pub async fn ask<A>(&self, message: impl FnOnce(oneshot::Sender<A>) -> ToGate) -> Option<A> {
        let (reply, answer) = oneshot::channel();
        self.gate.offer(message(reply)).ok()?;
        answer.await.ok()
    }
}
