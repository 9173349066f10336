//! One attempt at an agent: sends it and reads its frames.

use std::time::Duration;

use awc::error::PayloadError;
use bytes::Bytes;
use chicoryford_types::Attempt as Number;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Frame;
use chicoryford_types::Millis;
use chicoryford_types::Outcome;
use chicoryford_types::RequestId;
use chicoryford_types::Work;
use chicoryford_types::frame::Event;
use chicoryford_types::request::AttemptQuestion;
use chicoryford_types::request::AttemptState;
use chicoryford_types::request::StoredAnswer;
use chicoryford_wire::CallError;
use chicoryford_wire::client::read_failure;
use chicoryford_wire::client::send_error;
use chicoryford_wire::framing::Decoder;
use chicoryford_wire::paths;
use chicoryford_wire::reply::MSGPACK;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;

use crate::context::Context;
use crate::router::AttemptEnd;
use crate::router::AttemptPermit;
use crate::run::frame_check::FrameCheck;
use crate::run::probe;

/// The longest wait for the end of a body whose last frame has come.
const READ_OUT: Duration = Duration::from_millis(5);

/// How an attempt broke off.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptError {
    /// It certainly did not run and will not.
    NotRun(Failure),
    /// It reached its endpoint and failed there.
    Failed(Failure),
    /// What became of it is not known yet; the agent may tell.
    Lost(Failure),
    /// The deadline passed.
    Late,
}

/// An attempt in progress. Dropped before its end, it is cancelled at the agent.
pub struct Attempt {
    context: Context,
    address: String,
    stream: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
    decoder: Decoder,
    check: FrameCheck,
    question: AttemptQuestion,
    deadline: Millis,
    ended: bool,
}

impl Attempt {
    /// Sends the attempt to the agent at `address`.
    ///
    /// # Errors
    ///
    /// [`AttemptError`].
    pub async fn open(
        context: &Context,
        address: &str,
        work: &Work,
        deadline: Millis,
    ) -> Result<Self, AttemptError> {
        let question = AttemptQuestion {
            request: work.request,
            attempt: work.attempt,
            incarnation: work.incarnation,
            cancel: false,
        };
        let stream = send(context, address, work, deadline).await?;
        Ok(Self {
            context: context.clone(),
            address: address.to_owned(),
            stream,
            decoder: Decoder::default(),
            check: FrameCheck::new(work.request, work.attempt),
            question,
            deadline,
            ended: false,
        })
    }

    /// Waits for the next event that tells something; heartbeats are read over.
    ///
    /// # Errors
    ///
    /// [`AttemptError`]; the attempt must not be read further.
    pub async fn next(&mut self) -> Result<Event, AttemptError> {
        loop {
            let event = self.step().await?;
            match event {
                Event::Accepted | Event::Alive => {}
                Event::Failed(failure) => {
                    self.ended = true;
                    return Err(broken_by(failure));
                }
                Event::Finished(_) => {
                    self.ended = true;
                    self.read_out().await;
                    return Ok(event);
                }
                event => return Ok(event),
            }
        }
    }

    /// Reads the end of the body, which follows the last frame at once. A connection whose body
    /// was not read out cannot be used again, and each attempt would open a new one.
    async fn read_out(&mut self) {
        let _ = actix_rt::time::timeout(READ_OUT, self.stream.next()).await;
    }

    /// Ends the reading without a cancellation: the caller has settled with the agent.
    pub fn leave(&mut self) {
        self.ended = true;
    }

    async fn step(&mut self) -> Result<Event, AttemptError> {
        loop {
            let frame = self.decoder.take::<Frame>().map_err(|error| lost(error.to_string()))?;
            if let Some(frame) = frame {
                return self.check.take(frame).map_err(|crossed| {
                    tracing::warn!(event = "crossed_frame", request = %self.question.request, %crossed);
                    lost(crossed.to_string())
                });
            }
            let chunk = within(&self.context, self.deadline, self.stream.next()).await?;
            match chunk {
                Some(Ok(chunk)) => self.decoder.push(&chunk),
                Some(Err(error)) => return Err(lost(format!("the stream broke off: {error}"))),
                None => return Err(lost("the stream ended without its end".to_owned())),
            }
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.ended {
            probe::cancel(&self.context, &self.address, self.question.clone());
        }
    }
}

async fn send(
    context: &Context,
    address: &str,
    work: &Work,
    deadline: Millis,
) -> Result<LocalBoxStream<'static, Result<Bytes, PayloadError>>, AttemptError> {
    let url = context.client.url(address, paths::WORK);
    let body = rmp_serde::to_vec_named(work).expect("work is plain data");
    let request = context.client.post(&url).content_type(MSGPACK);
    let sent = within(context, deadline, request.send_body(body)).await?;
    let mut response = sent.map_err(|error| broken_call(send_error(&url, &error)))?;
    let status = response.status().as_u16();
    if status < 400 {
        return Ok(response.boxed_local());
    }
    let body = within(context, deadline, response.body()).await?;
    let body = body.map_err(|error| lost(error.to_string()))?;
    Err(broken_call(read_failure(&url, status, &body)))
}

/// Waits for `future` until the connection counts as silent or the deadline passes.
async fn within<F: Future>(
    context: &Context,
    deadline: Millis,
    future: F,
) -> Result<F::Output, AttemptError> {
    let left = Duration::from_millis(deadline.since(context.now()));
    let silence = context.silence;
    let waited = actix_rt::time::timeout(left.min(silence), future).await;
    waited
        .map_err(|_| if left <= silence { AttemptError::Late } else { lost("silence".to_owned()) })
}

fn lost(detail: String) -> AttemptError {
    AttemptError::Lost(Failure::unknown(Code::EndpointFailed, detail))
}

fn broken_call(error: CallError) -> AttemptError {
    match error {
        CallError::NotSent { .. } => AttemptError::NotRun(error.into_failure()),
        CallError::Lost { .. } => AttemptError::Lost(error.into_failure()),
        CallError::Failure(failure) => broken_by(failure),
    }
}

/// Reads the agent's word: only it may say that an attempt that reached it did not run.
fn broken_by(failure: Failure) -> AttemptError {
    match failure.outcome {
        Outcome::NotRun => AttemptError::NotRun(failure),
        _ => AttemptError::Failed(failure),
    }
}

/// What an agent's word makes of an attempt that was lost.
pub enum ProbeResult {
    /// It did not run and will not.
    NotRun,
    /// It ran, and this is its answer.
    Done(StoredAnswer),
    /// It still runs.
    Running,
    /// Its end is not known, or its agent does not answer.
    Unknown,
}

/// Asks the agent about an attempt that was lost, and judges the endpoint by whether it answers:
/// a connection that went silent must not count against an endpoint that works.
pub async fn probe_lost(
    context: &Context,
    permit: &mut AttemptPermit,
    request: RequestId,
    attempt: Number,
    cancel: bool,
) -> ProbeResult {
    let incarnation = permit.pick.incarnation;
    let question = AttemptQuestion { request, attempt, incarnation, cancel };
    let state = probe::ask(context, &permit.pick.address, &question).await;
    let endpoint = &permit.pick.endpoint;
    tracing::info!(event = "attempt_probed", %request, %attempt, %endpoint, state = name(&state));
    permit.end = match &state {
        Ok(AttemptState::Unknown) | Err(_) => AttemptEnd::Failed,
        Ok(_) => AttemptEnd::Silent,
    };
    match state {
        Ok(AttemptState::Revoked | AttemptState::Refused) => ProbeResult::NotRun,
        Ok(AttemptState::Done(answer)) => ProbeResult::Done(answer),
        Ok(AttemptState::Running) => ProbeResult::Running,
        Ok(AttemptState::Unknown) | Err(_) => ProbeResult::Unknown,
    }
}

fn name(state: &Result<AttemptState, CallError>) -> &'static str {
    match state {
        Ok(AttemptState::Revoked) => "revoked",
        Ok(AttemptState::Running) => "running",
        Ok(AttemptState::Done(_)) => "done",
        Ok(AttemptState::Refused) => "refused",
        Ok(AttemptState::Unknown) => "unknown",
        Err(_) => "unanswered",
    }
}
