//! Requests as entries hand them to agents.

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

/// How urgent a request is; a lower rank yields to a higher one under load.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Trainers' samples: yield first, but never starve.
    Batch,
    /// Ordinary callers.
    #[default]
    Normal,
    /// Callers with a legal or commercial deadline.
    Urgent,
}

/// What an attempt asks of its endpoint.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Task {
    /// Generate tokens.
    Generate(Generation),
    /// Call a plain service with a body.
    Call(ServiceCall),
}

/// A generation: a prompt, and the tokens that an earlier attempt already produced.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Generation {
    /// The prompt, as the engine takes it.
    pub prompt: String,
    /// At most this many tokens in all, those of earlier attempts included.
    pub max_tokens: u32,
    /// The sampling seed. An attempt is continued elsewhere only with the same seed.
    pub seed: u64,
    /// The sampling temperature, in thousandths.
    pub temperature: u32,
    /// Text produced by earlier attempts, to be continued.
    pub prefix: String,
    /// The number of tokens in `prefix`.
    pub done: u32,
    /// Whether log-probabilities are wanted.
    pub logprobs: bool,
}

/// A call of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ServiceCall {
    /// The path below the service's address.
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
    /// Which try of it this is; an agent runs each (request, attempt) at most once.
    pub attempt: Attempt,
    /// The incarnation of the agent that is to run it. A restarted agent has forgotten which
    /// attempts it revoked, so it refuses calls that may not be repeated and name another one.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// The workspace on whose behalf it runs.
    pub workspace: Workspace,
    /// The model or service.
    pub model: Model,
    /// How urgent it is.
    pub class: Class,
    /// Milliseconds left until the answer is worthless, counted when the frame is sent.
    pub budget_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The claim's key, for a request that may not be repeated.
    pub key: Option<IdempotencyKey>,
    /// The oldest weight version that may produce tokens.
    pub floor: Option<Version>,
    /// Hash of the content.
    pub fingerprint: Fingerprint,
    /// Whether the content is suspected of crashing endpoints; an agent runs one such at a time.
    pub suspect: bool,
    /// What to do.
    pub task: Task,
}

/// Asks an agent what became of an attempt (`/agent/v1/attempt`); answered by [`AttemptState`].
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct AttemptQuestion {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The incarnation of the agent to which the attempt was sent. Another incarnation cannot
    /// know what became of it, and answers [`AttemptState::Unknown`].
    pub incarnation: Incarnation,
    /// Whether the attempt is to be stopped if it waits or runs. A call that may not be
    /// repeated is not stopped once it runs, because its effect could no longer be known.
    pub cancel: bool,
}

/// What an agent knows of an attempt, asked for over a new connection when one went silent.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum AttemptState {
    /// The agent had not seen the attempt, and will refuse it from now on: "not run" is true.
    Revoked,
    /// The attempt runs; it was told to stop if the question said so.
    Running,
    /// The attempt ran to its end; the stored answer follows.
    Done(StoredAnswer),
    /// The attempt was refused before it reached the endpoint: "not run" is true.
    Refused,
    /// The attempt reached the endpoint, and how it ended is not known.
    Unknown,
}

/// The answer of a plain service, stored for resends.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body's media type.
    pub media: String,
    /// The body.
    pub body: Bytes,
}
