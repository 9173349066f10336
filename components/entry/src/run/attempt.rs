//! Sends one attempt to an agent and reads its frames.

use std::time::Duration;

use awc::error::PayloadError;
use bytes::Bytes;
use chicoryford_kernel::run_time;
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

/// Timeout for reading the end of a body after its last frame.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(5);

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptError {
    /// The attempt did not run and never will.
    NotRun(Failure),
    /// The attempt reached its endpoint and failed there.
    Failed(Failure),
    /// The connection was lost. The agent can still report the state of the attempt.
    Lost(Failure),
    /// The deadline passed.
    Late,
}

/// An attempt in progress. If it is dropped before its end, it is cancelled at the agent.
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
    /// Returns an [`AttemptError`] if the agent refuses the attempt or cannot be reached.
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

    /// Waits for the next event. Heartbeats and the acceptance of the attempt are skipped.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptError`], after which the attempt must not be read again.
    pub async fn next(&mut self) -> Result<Event, AttemptError> {
        loop {
            let event = self.next_event().await?;
            match event {
                Event::Accepted | Event::Alive => {}
                Event::Failed(failure) => {
                    self.ended = true;
                    return Err(reported_error(failure));
                }
                Event::Finished(_) => {
                    self.ended = true;
                    self.read_body_end().await;
                    return Ok(event);
                }
                event => return Ok(event),
            }
        }
    }

    /// Reads the end of the body, which follows the last frame immediately. A connection whose body
    /// was not read to its end cannot be reused, so that each attempt would open a new one.
    async fn read_body_end(&mut self) {
        let _ = actix_rt::time::timeout(BODY_END_TIMEOUT, self.stream.next()).await;
    }

    /// Prevents the cancellation on drop. The caller resolves the state of the attempt with the
    /// agent.
    pub fn detach(&mut self) {
        self.ended = true;
    }

    async fn next_event(&mut self) -> Result<Event, AttemptError> {
        loop {
            let frame = self.decoder.take::<Frame>().map_err(|error| lost(error.to_string()))?;
            if let Some(frame) = frame {
                return self.check.accept(frame).map_err(|error| {
                    tracing::warn!(event = "crossed_frame", request = %self.question.request, crossed = %error);
                    lost(error.to_string())
                });
            }
            let chunk = with_timeout(&self.context, self.deadline, self.stream.next()).await?;
            match chunk {
                Some(Ok(chunk)) => self.decoder.push(&chunk),
                Some(Err(error)) => return Err(lost(format!("the connection failed: {error}"))),
                None => return Err(lost("the stream ended without a final frame".to_owned())),
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
    let sent = with_timeout(context, deadline, request.send_body(body)).await?;
    let mut response = sent.map_err(|error| call_error(send_error(&url, &error)))?;
    let status = response.status().as_u16();
    if status < 400 {
        return Ok(response.boxed_local());
    }
    let body = with_timeout(context, deadline, response.body()).await?;
    let body = body.map_err(|error| lost(error.to_string()))?;
    Err(call_error(read_failure(&url, status, &body)))
}

/// Waits for `future` until the silence timeout of the connection or the deadline.
async fn with_timeout<F: Future>(
    context: &Context,
    deadline: Millis,
    future: F,
) -> Result<F::Output, AttemptError> {
    let left = Duration::from_millis(deadline.since(context.now()));
    match run_time::deadline(left, run_time::timeout(context.silence, future)).await {
        Ok(Ok(output)) => Ok(output),
        Ok(Err(_)) => Err(lost("silence".to_owned())),
        Err(_) => Err(AttemptError::Late),
    }
}

fn lost(detail: String) -> AttemptError {
    AttemptError::Lost(Failure::unknown(Code::EndpointFailed, detail))
}

fn call_error(error: CallError) -> AttemptError {
    match error {
        CallError::NotSent { .. } => AttemptError::NotRun(error.into_failure()),
        CallError::Lost { .. } => AttemptError::Lost(error.into_failure()),
        CallError::Failure(failure) => reported_error(failure),
    }
}

/// Classifies a failure reported by an agent. Only the agent can declare that an attempt which
/// reached it did not run.
fn reported_error(failure: Failure) -> AttemptError {
    match failure.outcome {
        Outcome::NotRun => AttemptError::NotRun(failure),
        _ => AttemptError::Failed(failure),
    }
}

/// State of a lost attempt, as reported by its agent.
pub enum ProbeResult {
    /// It did not run and never will.
    NotRun,
    /// It ran and produced this answer.
    Done(StoredAnswer),
    /// It is still running.
    Running,
    /// Its end is unknown.
    Unknown,
    /// Its agent does not respond.
    NoResponse,
}

/// Queries the agent for the state of a lost attempt, and records for the health of the endpoint
/// whether the agent answered. A connection that went silent must not count as a failure of an
/// endpoint that still works.
pub async fn probe_lost(
    context: &Context,
    permit: &mut AttemptPermit,
    request: RequestId,
    attempt: Number,
    cancel: bool,
) -> ProbeResult {
    let incarnation = permit.pick.incarnation;
    let question = AttemptQuestion { request, attempt, incarnation, cancel };
    let state = probe::query(context, &permit.pick.address, &question).await;
    let endpoint = &permit.pick.endpoint;
    tracing::info!(event = "attempt_probed", %request, %attempt, %endpoint, state = state_label(&state));
    permit.end = match &state {
        Ok(AttemptState::Unknown) | Err(_) => AttemptEnd::Failed,
        Ok(_) => AttemptEnd::Silent,
    };
    match state {
        Ok(AttemptState::Revoked | AttemptState::Refused) => ProbeResult::NotRun,
        Ok(AttemptState::Done(answer)) => ProbeResult::Done(answer),
        Ok(AttemptState::Running) => ProbeResult::Running,
        Ok(AttemptState::Ended | AttemptState::Unknown) => ProbeResult::Unknown,
        Err(_) => ProbeResult::NoResponse,
    }
}

fn state_label(state: &Result<AttemptState, CallError>) -> &'static str {
    match state {
        Ok(AttemptState::Revoked) => "revoked",
        Ok(AttemptState::Running) => "running",
        Ok(AttemptState::Done(_)) => "done",
        Ok(AttemptState::Refused) => "refused",
        Ok(AttemptState::Ended) => "ended",
        Ok(AttemptState::Unknown) => "unknown",
        Err(_) => "unanswered",
    }
}
