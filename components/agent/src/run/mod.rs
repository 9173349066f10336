//! Runs one attempt from its acceptance to its end, as a task on the HTTP thread that accepted it.
//!
//! The task outlives the entry's connection. When the connection breaks, a generation is stopped at
//! the engine, while a call that must run at most once continues, so that its answer can be stored
//! for a resend.

mod frame_sender;
mod generate;
mod service_call;

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_rt::time::Instant;
use bytes::Bytes;
use chicoryford_settings::AgentSettings;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::LoadReport;
use chicoryford_types::Work;
use chicoryford_types::frame::Event;
use chicoryford_types::request::Task;
use chicoryford_wire::Client;
use chicoryford_wire::Progress;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::engine::EngineError;
use crate::gate::AttemptEnd;
use crate::gate::Id;
use crate::handle::GateMessage;
use crate::handle::Handle;
use crate::handle::Signal;
use frame_sender::FrameSender;
use frame_sender::IdleEvent;

/// The context that the attempts of one HTTP thread share.
#[derive(Clone)]
pub struct Context {
    /// The handle to the duties.
    pub handle: Handle,
    /// The agent's settings.
    pub settings: Rc<AgentSettings>,
    /// A client that reuses its connections to the endpoint.
    pub client: Client,
    /// A client that opens a new connection for each call.
    pub fresh: Client,
    /// The kernel of the process.
    pub kernel: chicoryford_kernel::Kernel,
    /// Counts the attempts that a graceful shutdown waits for.
    pub progress: Option<Arc<Progress>>,
}

impl Context {
    /// Returns the latest load report with its current age and without cache events, which only the
    /// report stream sends, each once.
    pub fn load(&self) -> LoadReport {
        let (at, report) = self.handle.report.borrow().clone();
        let age_ms = report.age_ms + self.kernel.now().since(at);
        LoadReport { age_ms, cached: Vec::new(), evicted: Vec::new(), ..report }
    }
}

/// Runs an attempt that the gate admitted. Its encoded frames are sent to `frames`.
pub async fn run(
    context: Context,
    work: Work,
    mut signal: watch::Receiver<Signal>,
    frames: mpsc::Sender<Bytes>,
) {
    let id = Id { request: work.request, attempt: work.attempt };
    let deadline = Instant::now() + Duration::from_millis(work.budget_ms);
    let mut frames = FrameSender::new(id, frames);
    frames.send(Event::Accepted).await;
    match wait_for_slot(&mut frames, &mut signal).await {
        WaitEnd::Started => {}
        WaitEnd::Dropped(failure) => {
            frames.send(Event::Failed(failure)).await;
            return;
        }
        WaitEnd::Disconnected => {
            notify_gate(&context, GateMessage::Disconnected(id)).await;
            // The gate may have started the attempt concurrently and then expects its end.
            if *signal.borrow() == Signal::Wait && signal.changed().await.is_err() {
                return;
            }
            if !matches!(*signal.borrow(), Signal::Drop(_)) {
                notify_gate(&context, GateMessage::Ended(id, AttemptEnd::NotRun)).await;
            }
            return;
        }
    }
    let attempt = LiveAttempt { context, work, id, deadline, signal, frames };
    match attempt.work.task {
        Task::Generate(_) => generate::run(attempt).await,
        Task::Call(_) => service_call::run(attempt).await,
    }
}

/// A running attempt.
struct LiveAttempt {
    context: Context,
    work: Work,
    id: Id,
    deadline: Instant,
    signal: watch::Receiver<Signal>,
    frames: FrameSender,
}

impl LiveAttempt {
    /// Reports the end of the attempt to the gate and then to the entry, in this order, so that a
    /// resend that follows at once finds the end recorded.
    async fn end(&mut self, end: AttemptEnd, event: Event) {
        notify_gate(&self.context, GateMessage::Ended(self.id, end)).await;
        self.frames.send(event).await;
    }

    /// Ends the attempt after an error of the endpoint or of the connection to it.
    async fn fail(&mut self, error: EngineError) {
        tracing::warn!(
            event = "attempt_failed", request = %self.id.request, attempt = %self.id.attempt, %error
        );
        let detail = error.to_string();
        let (end, failure) = match error {
            EngineError::NotReached(_) => {
                (AttemptEnd::NotRun, Failure::not_run(Code::NoEndpoint, detail))
            }
            EngineError::Refused(_, _) => {
                (AttemptEnd::NotRun, Failure::not_run(Code::EndpointFailed, detail))
            }
            EngineError::Broken(_) => {
                (AttemptEnd::Broken, Failure::unknown(Code::EndpointFailed, detail))
            }
        };
        self.end(end, Event::Failed(failure)).await;
        // The monitor determines whether the endpoint crashed. If its queue is full, a check is
        // already requested.
        let _ = self.context.handle.check_now.offer(());
    }

    /// Returns whether the endpoint is loading weights, during which a stream may pause.
    fn is_loading_weights(&self) -> bool {
        self.context.handle.loading_weights.load(Ordering::Relaxed)
    }
}

/// How the wait for a slot ended.
enum WaitEnd {
    Started,
    Dropped(Failure),
    /// The entry disconnected, or the gate cancelled the attempt.
    Disconnected,
}

/// Waits until the gate starts or drops the attempt, or the entry disconnects.
async fn wait_for_slot(frames: &mut FrameSender, signal: &mut watch::Receiver<Signal>) -> WaitEnd {
    loop {
        match signal.borrow_and_update().clone() {
            Signal::Start => return WaitEnd::Started,
            Signal::Cancel => return WaitEnd::Disconnected,
            Signal::Drop(failure) => return WaitEnd::Dropped(failure),
            Signal::Wait => {}
        }
        tokio::select! {
            changed = signal.changed() => if changed.is_err() {
                let detail = "the agent is shutting down";
                return WaitEnd::Dropped(Failure::not_run(Code::Draining, detail));
            },
            event = frames.wait_idle() => if event == IdleEvent::Disconnected {
                return WaitEnd::Disconnected;
            },
        }
    }
}

/// Sends the gate a message that must not be lost, because a slot would otherwise never be
/// released.
async fn notify_gate(context: &Context, message: GateMessage) {
    if context.handle.gate.send(message).await.is_err() {
        tracing::warn!(event = "gate_gone");
    }
}
