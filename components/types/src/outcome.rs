//! The outcome of a request, and stable codes that identify failures to callers.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The outcome of a request, from the caller's point of view.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran, and its complete answer was delivered.
    Ran,
    /// The request did not run and will not run; a retry is safe.
    NotRun,
    /// The request may have run; only a repeatable request may be retried.
    Unknown,
}

/// The stable code of a failure; docs/API.md lists them.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The body or a header exceeds its limit.
    TooLarge,
    /// The token is missing or wrong.
    Unauthenticated,
    /// The token's holder may not use this workspace or call.
    Forbidden,
    /// No such workspace, template, stop, step or route exists.
    NotFound,
    /// The request conflicts with an earlier change or step, which the details show.
    Conflict,
    /// The workspace has reached its limit; retry after the given time.
    LimitReached,
    /// No answer is possible before the deadline.
    DeadlineTooClose,
    /// Too much work is queued; retry after the given time.
    Overloaded,
    /// No available endpoint can serve the request.
    NoEndpoint,
    /// The endpoint is shutting down and accepts no new work.
    Draining,
    /// The request is refused because its content crashed endpoints.
    Convicted,
    /// The idempotency key is older than the window, or malformed.
    KeyExpired,
    /// The idempotency key was already used with different content.
    KeyReused,
    /// An earlier request with this idempotency key may have run.
    DuplicateUnknown,
    /// The sample can no longer meet the freshness bound.
    Stale,
    /// All processes that stored a sample of the batch are lost; acknowledge the batch to continue.
    SampleLost,
    /// The endpoint failed while the request ran.
    EndpointFailed,
    /// The deadline passed while the request ran.
    DeadlinePassed,
    /// The epoch of the order is older than one that was seen before.
    Fenced,
    /// The control processes currently have no leader or cannot be reached.
    NoQuorum,
    /// This process cannot write to its data folder.
    StorageFailed,
    /// An internal error.
    Internal,
}

/// A failure, as it is sent to a caller, an operator or another process.
#[derive(Clone, Debug, Eq, Error, PartialEq, Deserialize, Serialize)]
#[error("{code:?} ({outcome:?}): {detail}")]
pub struct Failure {
    /// The stable code.
    pub code: Code,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// A message for people; programs use the code.
    pub detail: String,
    /// After how many milliseconds to retry, if a retry may succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
}

impl Failure {
    /// Returns a failure of a request that certainly did not run.
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self { code, outcome: Outcome::NotRun, detail: detail.into(), retry_ms: None }
    }

    /// Returns a failure of a request that may have run.
    pub fn unknown(code: Code, detail: impl Into<String>) -> Self {
        Self { code, outcome: Outcome::Unknown, detail: detail.into(), retry_ms: None }
    }

    /// Sets the time after which the receiver may retry.
    #[must_use]
    pub fn retry_after(self, ms: u64) -> Self {
        Self { retry_ms: Some(ms), ..self }
    }
}

impl Code {
    /// Returns the HTTP status of replies with this code.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyExpired => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Conflict | Self::DuplicateUnknown | Self::Fenced => 409,
            Self::Stale | Self::SampleLost => 410,
            Self::TooLarge => 413,
            Self::KeyReused | Self::Convicted => 422,
            Self::LimitReached => 429,
            Self::Internal => 500,
            Self::EndpointFailed => 502,
            Self::Overloaded
            | Self::NoEndpoint
            | Self::Draining
            | Self::NoQuorum
            | Self::StorageFailed => 503,
            Self::DeadlineTooClose | Self::DeadlinePassed => 504,
        }
    }
}
