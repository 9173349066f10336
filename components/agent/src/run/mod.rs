//! One attempt from its acceptance to its end, as a task on the HTTP thread that took it.
//!
//! The task does not depend on the entry's connection: when that breaks, a generation is stopped
//! at the engine, while a call that may not be repeated goes on, so that its answer is there for
//! a resend.

mod generate;
mod out;
mod serve;

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
use crate::gate::End;
use crate::gate::Id;
use crate::handle::Handle;
use crate::handle::Signal;
use crate::handle::ToGate;
use out::Out;
use out::Rest;

/// What the tasks of one HTTP thread share.
#[derive(Clone)]
pub struct Context {
    /// The way to the duties.
    pub handle: Handle,
    /// The agent's settings.
    pub settings: Rc<AgentSettings>,
    /// A client that keeps its connections to the endpoint.
    pub client: Client,
    /// A client whose calls open new connections.
    pub fresh: Client,
    /// The process's clock.
    pub kernel: chicoryford_kernel::Kernel,
    /// Counts the attempts that a graceful shutdown waits for.
    pub progress: Option<Arc<Progress>>,
}

impl Context {
    /// Gives the newest load report with its present age; cache events are left to the reports'
    /// stream, which gives each once.
    pub fn load(&self) -> LoadReport {
        let (at, report) = self.handle.report.borrow().clone();
        let age_ms = report.age_ms + self.kernel.now().since(at);
        LoadReport { age_ms, cached: Vec::new(), evicted: Vec::new(), ..report }
    }
}

/// Runs an attempt that the gate let in. `frames` takes its encoded frames.
pub async fn run(
    context: Context,
    work: Work,
    mut signal: watch::Receiver<Signal>,
    frames: mpsc::Sender<Bytes>,
) {
    let id = Id { request: work.request, attempt: work.attempt };
    let deadline = Instant::now() + Duration::from_millis(work.budget_ms);
    let mut out = Out::new(id, frames);
    out.put(Event::Accepted).await;
    match wait(&mut out, &mut signal).await {
        Waited::Started => {}
        Waited::Dropped(failure) => {
            out.put(Event::Failed(failure)).await;
            return;
        }
        Waited::Gone => {
            tell(&context, ToGate::Gone(id)).await;
            // The gate may have started it in the same moment, and then waits for its end.
            if *signal.borrow() == Signal::Wait && signal.changed().await.is_err() {
                return;
            }
            if !matches!(*signal.borrow(), Signal::Drop(_)) {
                tell(&context, ToGate::Ended(id, End::NotRun)).await;
            }
            return;
        }
    }
    let attempt = Attempt { context, work, id, deadline, signal, out };
    match attempt.work.task {
        Task::Generate(_) => generate::run(attempt).await,
        Task::Call(_) => serve::run(attempt).await,
    }
}

/// An attempt that runs.
struct Attempt {
    context: Context,
    work: Work,
    id: Id,
    deadline: Instant,
    signal: watch::Receiver<Signal>,
    out: Out,
}

impl Attempt {
    /// Tells the gate first, so that a resend that comes at once finds how the attempt ended,
    /// and then the entry.
    async fn end(&mut self, end: End, event: Event) {
        tell(&self.context, ToGate::Ended(self.id, end)).await;
        self.out.put(event).await;
    }

    /// Ends an attempt whose way to the endpoint failed.
    async fn fail(&mut self, error: EngineError) {
        tracing::warn!(
            event = "attempt_failed", request = %self.id.request, attempt = %self.id.attempt, %error
        );
        let detail = error.to_string();
        let (end, failure) = match error {
            EngineError::NotReached(_) => (End::NotRun, Failure::not_run(Code::NoEndpoint, detail)),
            EngineError::Refused(_, _) => {
                (End::NotRun, Failure::not_run(Code::EndpointFailed, detail))
            }
            EngineError::Broken(_) => (End::Broken, Failure::unknown(Code::EndpointFailed, detail)),
        };
        self.end(end, Event::Failed(failure)).await;
        // The watch duty finds out whether the endpoint crashed; a full ring means it looks soon.
        let _ = self.context.handle.look.offer(());
    }

    /// Tells whether the endpoint changes its weights, during which a stream may stand still.
    fn is_swapping(&self) -> bool {
        self.context.handle.swapping.load(Ordering::Relaxed)
    }
}

enum Waited {
    Started,
    Dropped(Failure),
    Gone,
}

async fn wait(out: &mut Out, signal: &mut watch::Receiver<Signal>) -> Waited {
    loop {
        match signal.borrow_and_update().clone() {
            Signal::Start => return Waited::Started,
            Signal::Cancel => return Waited::Gone,
            Signal::Drop(failure) => return Waited::Dropped(failure),
            Signal::Wait => {}
        }
        tokio::select! {
            changed = signal.changed() => if changed.is_err() {
                let detail = "the agent stops";
                return Waited::Dropped(Failure::not_run(Code::Draining, detail));
            },
            rest = out.rest() => if rest == Rest::Gone {
                return Waited::Gone;
            },
        }
    }
}

/// Tells the gate something that must not be lost, or a slot would stay taken for ever.
async fn tell(context: &Context, message: ToGate) {
    if context.handle.gate.send(message).await.is_err() {
        tracing::warn!(event = "gate_gone");
    }
}
