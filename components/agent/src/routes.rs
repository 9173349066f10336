//! The HTTP routes of the role, for entries and for the leader.

use std::time::Duration;

use actix_rt::time::timeout;
use bytes::Bytes;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::registry::MissingService;
use chicoryford_settings::Settings;
use chicoryford_types::Code;
use chicoryford_types::EndpointKind;
use chicoryford_types::Failure;
use chicoryford_types::Frame;
use chicoryford_types::LoadReport;
use chicoryford_types::Millis;
use chicoryford_types::Order;
use chicoryford_types::Work;
use chicoryford_types::frame::Event;
use chicoryford_types::frame::Finish;
use chicoryford_types::order::OrderReply;
use chicoryford_types::request::AttemptQuestion;
use chicoryford_types::request::CrashDecision;
use chicoryford_types::request::CrashQuestion;
use chicoryford_types::request::StoredAnswer;
use chicoryford_wire::Call;
use chicoryford_wire::Kind;
use chicoryford_wire::Reply;
use chicoryford_wire::Routes;
use chicoryford_wire::framing;
use chicoryford_wire::paths;
use chicoryford_wire::reply;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::gate::Arrival;
use crate::gate::Id;
use crate::gate::Verdict;
use crate::handle::GateMessage;
use crate::handle::OrderRequest;
use crate::handle::Signal;
use crate::report_pacer::ReportPacer;
use crate::run;
use crate::run::Context;
use crate::start::Chunk;
use crate::start::context;

/// Frames of one attempt that may wait for a slow entry; while this many wait, reading from the
/// endpoint pauses.
const FRAME_QUEUE_LENGTH: usize = 64;
/// Maximum time for which a query for the decision about a crash is held.
const MAX_CRASH_WAIT: Duration = Duration::from_secs(10);
/// The media type of streamed frames.
const FRAMES_MEDIA_TYPE: &str = "application/x-chicoryford-frames";
/// The retry delay given when a duty of the agent is overloaded, in milliseconds.
const OVERLOAD_RETRY_MS: u64 = 500;

/// The response to a probe.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Probe {
    /// Whether the endpoint was healthy at the agent's last check.
    pub healthy: bool,
    /// Whether the endpoint is draining.
    pub draining: bool,
}

/// Adds the role's routes. Called on each HTTP thread.
///
/// # Errors
///
/// [`MissingService`] if [`crate::start()`] has not run.
pub fn routes(
    routes: &mut Routes,
    kernel: &Kernel,
    settings: &Settings,
) -> Result<(), MissingService> {
    let shared = context(kernel, settings)?;
    let context = shared.clone();
    routes.add(paths::WORK, &[Kind::Process], move |call| work(context.clone(), call));
    let context = shared.clone();
    routes.add(paths::ATTEMPT, &[Kind::Process], move |call| attempt(context.clone(), call));
    let context = shared.clone();
    routes.add(paths::CRASH, &[Kind::Process], move |call| crash(context.clone(), call));
    let context = shared.clone();
    routes.add(paths::ORDER, &[Kind::Process], move |call| order(context.clone(), call));
    let context = shared.clone();
    routes.add(paths::REPORTS, &[Kind::Process], move |_| reports(context.clone()));
    routes.add(paths::PROBE, &[Kind::Process], move |_| probe(shared.clone()));
    Ok(())
}

async fn work(context: Context, call: Call) -> Reply {
    let work: Work = match call.msgpack() {
        Ok(work) => work,
        Err(failure) => return reply::peer_failure(&failure),
    };
    let (frames, body) = mpsc::channel(FRAME_QUEUE_LENGTH);
    let (verdict_sender, verdict) = oneshot::channel();
    let id = Id { request: work.request, attempt: work.attempt };
    actix_rt::spawn(run_attempt(context.clone(), work, frames, verdict_sender));
    match verdict.await {
        Ok(Verdict::Start | Verdict::Wait) => {
            reply::stream(FRAMES_MEDIA_TYPE, stream::unfold(body, next_chunk))
        }
        Ok(Verdict::Stored(answer)) => stored_reply(&context, id, answer),
        Ok(Verdict::Refuse(failure)) => reply::peer_failure(&failure),
        Err(_) => reply::peer_failure(&overloaded()),
    }
}

/// Submits an attempt to the gate and runs it.
///
/// This is a separate task, because the handler is dropped when the entry's connection breaks. If
/// that happened between the gate's verdict and the start, the slot would never be released. A
/// graceful shutdown waits for the task.
async fn run_attempt(
    context: Context,
    work: Work,
    frames: mpsc::Sender<Bytes>,
    verdict_sender: oneshot::Sender<Verdict>,
) {
    let guard = context.progress.as_ref().map(|progress| progress.begin());
    let (signal, signals) = watch::channel(Signal::Wait);
    let arrival = Box::new(Arrival::from_work(&work));
    let arrive = |reply| GateMessage::Arrive { arrival, signal, reply };
    let Some(verdict) = context.handle.query_gate(arrive).await else { return };
    let runs = matches!(verdict, Verdict::Start | Verdict::Wait);
    // If the handler was dropped, the task detects that its frames are not read.
    let _ = verdict_sender.send(verdict);
    if runs {
        run::run(context, work, signals, frames).await;
    }
    drop(guard);
}

async fn next_chunk(mut body: mpsc::Receiver<Bytes>) -> Option<(Chunk, mpsc::Receiver<Bytes>)> {
    let bytes = body.recv().await?;
    Some((Ok(bytes), body))
}

/// Answers a resend with the stored answer of the first run.
fn stored_reply(context: &Context, id: Id, answer: StoredAnswer) -> Reply {
    let finish = Finish { tokens: 0, reason: "stop".to_owned(), load: Some(context.load()) };
    let events = [Event::Accepted, Event::Answer(answer), Event::Finished(finish)];
    let frames = events.into_iter().enumerate().map(|(seq, event)| {
        let Id { request, attempt } = id;
        framing::encode(&Frame { request, attempt, seq: seq as u32, event })
    });
    let frames: Vec<Chunk> = frames.map(Ok).collect();
    reply::stream(FRAMES_MEDIA_TYPE, stream::iter(frames))
}

async fn attempt(context: Context, call: Call) -> Reply {
    let question: AttemptQuestion = match call.msgpack() {
        Ok(question) => question,
        Err(failure) => return reply::peer_failure(&failure),
    };
    let AttemptQuestion { request, attempt, incarnation, cancel } = question;
    let id = Id { request, attempt };
    let query = |reply| GateMessage::Query { id, incarnation, cancel, reply };
    match context.handle.query_gate(query).await {
        Some(state) => reply::msgpack(&state),
        None => reply::peer_failure(&overloaded()),
    }
}

/// Answers whether an attempt is blamed for a crash, once that is decided or the caller's time limit
/// has passed. Crashes of plain services are not detected, so none of their attempts is blamed.
async fn crash(context: Context, call: Call) -> Reply {
    let question: CrashQuestion = match call.msgpack() {
        Ok(question) => question,
        Err(failure) => return reply::peer_failure(&failure),
    };
    if context.settings.kind == EndpointKind::Service {
        return reply::msgpack(&CrashDecision::NotBlamed);
    }
    let CrashQuestion { request, attempt, incarnation, wait_ms } = question;
    let id = Id { request, attempt };
    let query = |reply| GateMessage::CrashQuery { id, incarnation, reply };
    let limit = Duration::from_millis(wait_ms).min(MAX_CRASH_WAIT);
    match timeout(limit, context.handle.query_gate(query)).await {
        Ok(Some(decision)) => reply::msgpack(&decision),
        Ok(None) => reply::peer_failure(&overloaded()),
        Err(_) => reply::msgpack(&CrashDecision::Pending),
    }
}

async fn order(context: Context, call: Call) -> Reply {
    let order: Order = match call.msgpack() {
        Ok(order) => order,
        Err(failure) => return reply::peer_failure(&failure),
    };
    let (reply, answer) = oneshot::channel();
    if context.handle.orders.offer(OrderRequest { order, reply }).is_err() {
        return reply::msgpack(&OrderReply::Busy);
    }
    match answer.await {
        Ok(answer) => reply::msgpack(&answer),
        Err(_) => reply::peer_failure(&overloaded()),
    }
}

async fn probe(context: Context) -> Reply {
    let healthy = *context.handle.healthy.borrow();
    reply::msgpack(&Probe { healthy, draining: context.handle.drain_reasons.any() })
}

async fn reports(context: Context) -> Reply {
    let reports = context.handle.report.clone();
    let state = ReportStream { context, reports, pacer: ReportPacer::default() };
    reply::stream(FRAMES_MEDIA_TYPE, stream::unfold(state, ReportStream::next))
}

/// A stream of load reports to one reader.
struct ReportStream {
    context: Context,
    reports: watch::Receiver<(Millis, LoadReport)>,
    pacer: ReportPacer,
}

impl ReportStream {
    /// Waits until a report is due for this reader and returns it.
    async fn next(mut self) -> Option<(Chunk, Self)> {
        loop {
            let wait_ms = self.pacer.next_due().since(self.context.kernel.now());
            match timeout(Duration::from_millis(wait_ms), self.reports.changed()).await {
                Ok(Err(_)) => return None,
                Ok(Ok(())) => {
                    let (at, report) = self.reports.borrow_and_update().clone();
                    self.pacer.record(self.context.kernel.now().max(at), &report);
                }
                Err(_) => return Some(self.send_report()),
            }
        }
    }

    fn send_report(mut self) -> (Chunk, Self) {
        let now = self.context.kernel.now();
        let (at, report) = self.reports.borrow().clone();
        let report = self.pacer.take_report(now, &report);
        let age_ms = report.age_ms + now.since(at);
        (Ok(framing::encode_compact(&LoadReport { age_ms, ..report })), self)
    }
}

/// The failure for a message that the duty's queue did not accept, or that the duty did not handle
/// before it ended.
fn overloaded() -> Failure {
    let detail = "the agent is overloaded";
    Failure::not_run(Code::Overloaded, detail).retry_after(OVERLOAD_RETRY_MS)
}
