//! Requests, as entries send them to agents.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Attempt;
use crate::ids::Fingerprint;
use crate::ids::IdempotencyKey;
use crate::ids::Incarnation;
use crate::ids::Model;
use crate::ids::RequestId;
use crate::ids::Version;
use crate::ids::Workspace;
use crate::position::Position;

/// The priority class of a request. Under load, lower classes yield to higher ones.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Trainers' samples: they yield first, but never starve.
    Batch,
    /// Ordinary callers.
    #[default]
    Normal,
    /// Callers with a legal or commercial deadline.
    Urgent,
}

/// The work of an attempt at its endpoint.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Task {
    /// Generate tokens.
    Generate(Generation),
    /// Call a plain service with a body.
    Call(ServiceCall),
}

/// A generation: a prompt, and the tokens that earlier attempts already produced.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Generation {
    /// The prompt, in the form that the engine accepts.
    pub prompt: String,
    /// The maximum number of tokens in total, including those of earlier attempts.
    pub max_tokens: u32,
    /// The sampling seed. A generation is resumed at another endpoint only with the same seed.
    pub seed: u64,
    /// The sampling temperature, in thousandths.
    pub temperature: u32,
    /// The text produced by earlier attempts, which this attempt continues.
    pub prefix: String,
    /// The number of tokens in `prefix`.
    pub done: u32,
    /// Whether to return log-probabilities.
    pub logprobs: bool,
}

/// A call of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ServiceCall {
    /// The path, relative to the service's address.
    pub path: String,
    /// The body's media type.
    pub media: String,
    /// The body.
    pub body: Bytes,
}

/// One attempt of a request, as an entry sends it to an agent.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Work {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt. An agent runs each (request, attempt) at most once.
    pub attempt: Attempt,
    /// The incarnation of the agent that the attempt is intended for. A restarted agent has lost
    /// the record of the attempts that it revoked, so it refuses calls that may not be repeated if
    /// they are intended for another incarnation.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// The workspace on whose behalf it runs.
    pub workspace: Workspace,
    /// The model or service.
    pub model: Model,
    /// The priority class.
    pub class: Class,
    /// Milliseconds until the deadline, measured when the attempt is sent.
    pub budget_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The idempotency key of the claim, for a request that may not be repeated.
    pub key: Option<IdempotencyKey>,
    /// The oldest weight version that may produce tokens.
    pub floor: Option<Version>,
    /// The hash of the content.
    pub fingerprint: Fingerprint,
    /// Whether the content is suspected of crashing endpoints. An agent runs only one suspect at a
    /// time.
    pub suspect: bool,
    /// The work to run.
    pub task: Task,
}

/// A query for the state of an attempt at an agent (`/agent/v1/attempt`). The answer is an
/// [`AttemptState`].
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct AttemptQuestion {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The incarnation of the agent to which the attempt was sent. Another incarnation has no
    /// record of it and answers [`AttemptState::Unknown`].
    pub incarnation: Incarnation,
    /// Whether to stop the attempt if it is queued or running. A running call that may not be
    /// repeated is not stopped, because it would then be unknown whether it took effect.
    pub cancel: bool,
}

/// The state of an attempt at an agent, which is queried over a new connection when the connection
/// of the attempt becomes silent.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum AttemptState {
    /// The agent had not received the attempt and will refuse it from now on, so it did not run.
    Revoked,
    /// The attempt is running. It was signalled to stop if the query requested that.
    Running,
    /// The attempt completed with this answer, which the agent stored.
    Done(StoredAnswer),
    /// The attempt was refused before it reached the endpoint, so it did not run.
    Refused,
    /// The attempt reached the endpoint, but its result is unknown.
    Unknown,
    /// The attempt ran to its end, or was stopped, at a working endpoint. Its result is not stored.
    Ended,
}

/// A query whether an attempt is blamed for a crash of its endpoint (`/agent/v1/crash`). The answer
/// is a [`CrashDecision`].
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct CrashQuestion {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The incarnation of the agent to which the attempt was sent. Another incarnation has no
    /// record of it and answers [`CrashDecision::NotBlamed`].
    pub incarnation: Incarnation,
    /// Milliseconds for which the agent may hold the query until there is a decision.
    pub wait_ms: u64,
}

/// What is decided about an attempt whose connection to its endpoint broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum CrashDecision {
    /// The agent does not know yet whether the endpoint crashed, or the report of the crash is not
    /// committed.
    Pending,
    /// The content of the attempt is not blamed for a crash.
    NotBlamed,
    /// The content was blamed for a crash. The report is applied to the configuration at this
    /// position.
    Committed(Position),
}

/// The answer of a plain service, stored so that resends of the request get the same answer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body's media type.
    pub media: String,
    /// The body.
    pub body: Bytes,
}
