//! The handle to the role's duties, and the messages that the duties receive.

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
use chicoryford_types::Position;
use chicoryford_types::order::OrderReply;
use chicoryford_types::request::AttemptState;
use chicoryford_types::request::CrashDecision;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::gate::Arrival;
use crate::gate::AttemptEnd;
use crate::gate::GateStats;
use crate::gate::Id;
use crate::gate::Verdict;

/// The name under which [`Handle`] is registered.
pub const SERVICE: &str = "agent";

/// The gate's signal to the task of an attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Signal {
    /// The attempt waits for a slot.
    #[default]
    Wait,
    /// The attempt runs.
    Start,
    /// The attempt is dropped; it did not run.
    Drop(Failure),
    /// The attempt must be stopped at the endpoint.
    Cancel,
}

/// A message to the gate duty.
pub enum GateMessage {
    /// An attempt arrives.
    Arrive {
        /// The attempt.
        arrival: Box<Arrival>,
        /// Signals the task of the attempt.
        signal: watch::Sender<Signal>,
        /// Receives the verdict.
        reply: oneshot::Sender<Verdict>,
    },
    /// An attempt ended.
    Ended(Id, AttemptEnd),
    /// The entry has closed the connection of an attempt.
    Disconnected(Id),
    /// A query for the state of an attempt.
    Query {
        /// The attempt.
        id: Id,
        /// The incarnation of the agent to which it was sent.
        incarnation: Incarnation,
        /// Whether the attempt is also cancelled.
        cancel: bool,
        /// Receives the state.
        reply: oneshot::Sender<AttemptState>,
    },
    /// Draining starts or ends.
    Drain(bool),
    /// The endpoint became healthy or unhealthy.
    Health(bool),
    /// The endpoint crashed, with the number of the crash within the agent's incarnation; the reply
    /// lists the fingerprints of the content suspected of it.
    TakeCrashSuspects(u64, oneshot::Sender<Vec<Fingerprint>>),
    /// The report of a crash was committed and applied at this position of the configuration.
    CrashCommitted(u64, Position),
    /// A query whether an attempt is blamed for a crash. It is answered once that is decided.
    CrashQuery {
        /// The attempt.
        id: Id,
        /// The incarnation of the agent to which it was sent.
        incarnation: Incarnation,
        /// Receives the decision.
        reply: oneshot::Sender<CrashDecision>,
    },
    /// The endpoint had not crashed at the given time.
    NotCrashed(Millis),
}

/// A message to the order duty.
pub struct OrderRequest {
    /// The order.
    pub order: Order,
    /// Receives the reply.
    pub reply: oneshot::Sender<OrderReply>,
}

/// The reasons for draining an endpoint; it drains while at least one is set.
#[derive(Default)]
pub struct DrainReasons {
    /// An order to drain is in effect.
    pub order: AtomicBool,
    /// A planned stop names the endpoint, its node or its data centre.
    pub stop: AtomicBool,
    /// This process is shutting down.
    pub phase: AtomicBool,
}

impl DrainReasons {
    /// Returns whether any reason is set.
    pub fn any(&self) -> bool {
        let reasons = [&self.order, &self.stop, &self.phase];
        reasons.iter().any(|reason| reason.load(Ordering::Relaxed))
    }
}

/// Gives the other parts of the process access to the role's duties.
#[derive(Clone)]
pub struct Handle {
    /// Sends messages to the gate duty.
    pub gate: Sender<GateMessage>,
    /// Sends orders to the order duty.
    pub orders: Sender<OrderRequest>,
    /// Requests an immediate health check from the monitor duty.
    pub check_now: Sender<()>,
    /// The latest load report and the time at which it was made.
    pub report: watch::Receiver<(Millis, LoadReport)>,
    /// The gate's statistics.
    pub gate_stats: watch::Receiver<GateStats>,
    /// Whether the endpoint was healthy at the last check.
    pub healthy: watch::Receiver<bool>,
    /// Whether an order is loading weights into the endpoint; streams may pause meanwhile.
    pub loading_weights: Arc<AtomicBool>,
    /// The reasons for draining the endpoint.
    pub drain_reasons: Arc<DrainReasons>,
    /// This process's incarnation.
    pub incarnation: Incarnation,
}

impl Handle {
    /// Waits until no attempt waits or runs, so that a graceful shutdown interrupts none.
    pub async fn wait_idle(&self) {
        let mut stats = self.gate_stats.clone();
        // If the gate duty has ended, no attempt runs.
        let _ = stats.wait_for(|s| s.running == 0 && s.waiting == 0).await;
    }

    /// Sends a message to the gate duty and waits for the reply. Returns `None` if the duty has
    /// ended or its queue is full.
    pub async fn query_gate<A>(
        &self,
        message: impl FnOnce(oneshot::Sender<A>) -> GateMessage,
    ) -> Option<A> {
        let (reply, answer) = oneshot::channel();
        self.gate.offer(message(reply)).ok()?;
        answer.await.ok()
    }
}
