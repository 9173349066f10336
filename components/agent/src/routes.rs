//! The paths of the role, for entries and for the leader.

use std::time::Duration;

use actix_rt::time::timeout;
use bytes::Bytes;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::registry::MissingService;
use chicoryford_settings::Settings;
use chicoryford_types::Code;
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
use crate::handle::Signal;
use crate::handle::ToGate;
use crate::handle::ToOrders;
use crate::pace::Pace;
use crate::run;
use crate::run::Context;
use crate::start::Chunk;
use crate::start::context;

/// Frames of one attempt that may wait for a slow entry; past it the endpoint is read no faster.
const FRAMES: usize = 64;
/// The media type of streamed frames.
const FRAMED: &str = "application/x-chicoryford-frames";
/// When to come back to an agent whose duty does not keep up, in milliseconds.
const COME_BACK: u64 = 500;

/// The answer to a probe.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Probe {
    /// Whether the endpoint answered its agent's last look.
    pub healthy: bool,
    /// Whether the endpoint is leaving.
    pub draining: bool,
}

/// Adds the role's paths; each HTTP thread calls it.
///
/// # Errors
///
/// [`MissingService`] if [`crate::start`] has not run.
pub fn routes(
    routes: &mut Routes,
    kernel: &Kernel,
    settings: &Settings,
) -> Result<(), MissingService> {
    let shared = context(kernel, settings)?;
    let here = shared.clone();
    routes.add(paths::WORK, &[Kind::Process], move |call| work(here.clone(), call));
    let here = shared.clone();
    routes.add(paths::ATTEMPT, &[Kind::Process], move |call| attempt(here.clone(), call));
    let here = shared.clone();
    routes.add(paths::ORDER, &[Kind::Process], move |call| order(here.clone(), call));
    let here = shared.clone();
    routes.add(paths::REPORTS, &[Kind::Process], move |_| reports(here.clone()));
    routes.add(paths::PROBE, &[Kind::Process], move |_| probe(shared.clone()));
    Ok(())
}

async fn work(context: Context, call: Call) -> Reply {
    let work: Work = match call.msgpack() {
        Ok(work) => work,
        Err(failure) => return reply::peer_failure(&failure),
    };
    let (frames, body) = mpsc::channel(FRAMES);
    let (said, verdict) = oneshot::channel();
    let id = Id { request: work.request, attempt: work.attempt };
    actix_rt::spawn(attend(context.clone(), work, frames, said));
    match verdict.await {
        Ok(Verdict::Start | Verdict::Wait) => {
            reply::stream(FRAMED, stream::unfold(body, next_chunk))
        }
        Ok(Verdict::Stored(answer)) => stored(&context, id, answer),
        Ok(Verdict::Refuse(failure)) => reply::peer_failure(&failure),
        Err(_) => reply::peer_failure(&busy()),
    }
}

/// Takes an attempt through the gate and runs it.
///
/// This is a task of its own, because the handler is dropped when the entry's connection breaks:
/// dropped between the gate's verdict and the start, it would leave a slot taken for ever. A
/// graceful shutdown waits for the task.
async fn attend(
    context: Context,
    work: Work,
    frames: mpsc::Sender<Bytes>,
    said: oneshot::Sender<Verdict>,
) {
    let guard = context.progress.as_ref().map(|progress| progress.begin());
    let (signal, heard) = watch::channel(Signal::Wait);
    let arrival = Box::new(Arrival::of(&work));
    let arrive = |reply| ToGate::Arrive { arrival, signal, reply };
    let Some(verdict) = context.handle.ask(arrive).await else { return };
    let runs = matches!(verdict, Verdict::Start | Verdict::Wait);
    // If the handler is gone, the task notices by the frames that nobody reads.
    let _ = said.send(verdict);
    if runs {
        run::run(context, work, heard, frames).await;
    }
    drop(guard);
}

async fn next_chunk(mut body: mpsc::Receiver<Bytes>) -> Option<(Chunk, mpsc::Receiver<Bytes>)> {
    let bytes = body.recv().await?;
    Some((Ok(bytes), body))
}

/// Answers a resend with what the first run answered.
fn stored(context: &Context, id: Id, answer: StoredAnswer) -> Reply {
    let finish = Finish { tokens: 0, reason: "stop".to_owned(), load: Some(context.load()) };
    let events = [Event::Accepted, Event::Answer(answer), Event::Finished(finish)];
    let frames = events.into_iter().enumerate().map(|(seq, event)| {
        let Id { request, attempt } = id;
        framing::encode(&Frame { request, attempt, seq: seq as u32, event })
    });
    let frames: Vec<Chunk> = frames.map(Ok).collect();
    reply::stream(FRAMED, stream::iter(frames))
}

async fn attempt(context: Context, call: Call) -> Reply {
    let asked: AttemptQuestion = match call.msgpack() {
        Ok(asked) => asked,
        Err(failure) => return reply::peer_failure(&failure),
    };
    let AttemptQuestion { request, attempt, incarnation, cancel } = asked;
    let id = Id { request, attempt };
    let question = |reply| ToGate::Question { id, incarnation, cancel, reply };
    match context.handle.ask(question).await {
        Some(state) => reply::msgpack(&state),
        None => reply::peer_failure(&busy()),
    }
}

async fn order(context: Context, call: Call) -> Reply {
    let order: Order = match call.msgpack() {
        Ok(order) => order,
        Err(failure) => return reply::peer_failure(&failure),
    };
    let (reply, answer) = oneshot::channel();
    if context.handle.orders.offer(ToOrders { order, reply }).is_err() {
        return reply::msgpack(&OrderReply::Busy);
    }
    match answer.await {
        Ok(answer) => reply::msgpack(&answer),
        Err(_) => reply::peer_failure(&busy()),
    }
}

async fn probe(context: Context) -> Reply {
    let healthy = *context.handle.healthy.borrow();
    reply::msgpack(&Probe { healthy, draining: context.handle.drains.any() })
}

async fn reports(context: Context) -> Reply {
    let seen = context.handle.report.clone();
    let state = Reports { context, seen, pace: Pace::default() };
    reply::stream(FRAMED, stream::unfold(state, Reports::next))
}

struct Reports {
    context: Context,
    seen: watch::Receiver<(Millis, LoadReport)>,
    pace: Pace,
}

impl Reports {
    /// Waits until a report is due to this reader.
    async fn next(mut self) -> Option<(Chunk, Self)> {
        loop {
            let left = self.pace.due().since(self.context.kernel.now());
            match timeout(Duration::from_millis(left), self.seen.changed()).await {
                Ok(Err(_)) => return None,
                Ok(Ok(())) => {
                    let (at, report) = self.seen.borrow_and_update().clone();
                    self.pace.gather(self.context.kernel.now().max(at), &report);
                }
                Err(_) => return Some(self.give()),
            }
        }
    }

    fn give(mut self) -> (Chunk, Self) {
        let now = self.context.kernel.now();
        let (at, report) = self.seen.borrow().clone();
        let report = self.pace.give(now, &report);
        let age_ms = report.age_ms + now.since(at);
        (Ok(framing::encode_compact(&LoadReport { age_ms, ..report })), self)
    }
}

/// The message did not reach the gate's duty, or the duty ended before it took the message.
fn busy() -> Failure {
    let detail = "the agent's gate does not keep up";
    Failure::not_run(Code::Overloaded, detail).retry_after(COME_BACK)
}
