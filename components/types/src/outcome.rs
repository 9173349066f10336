//! What became of a request, and the stable codes by which callers tell failures apart.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// What became of a request, from the caller's point of view.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran, and its whole answer was given.
    Ran,
    /// The request did not run and will not; sending it again is safe.
    NotRun,
    /// The request may have run; only a repeatable one may be sent again.
    Unknown,
}

/// The stable code of a failure, as docs/API.md lists them.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The body or a header exceeds its bound.
    TooLarge,
    /// The token is missing or wrong.
    Unauthenticated,
    /// The token's holder may not use this workspace or call.
    Forbidden,
    /// No such workspace, template, stop, step or route exists.
    NotFound,
    /// Another change or step came first; the details show it.
    Conflict,
    /// The workspace is at its limit; come back after the time given.
    LimitReached,
    /// No answer could come before the deadline.
    DeadlineTooClose,
    /// Too much work waits; come back after the time given.
    Overloaded,
    /// No endpoint that could serve the request is known to work.
    NoEndpoint,
    /// The endpoint is leaving and takes no new work.
    Draining,
    /// The request's content crashed endpoints and is refused.
    Convicted,
    /// The idempotency key is older than the window, or malformed.
    KeyExpired,
    /// The same key came with different content.
    KeyReused,
    /// A first request with this key may have run.
    DuplicateUnknown,
    /// The sample can no longer be fresh enough.
    Stale,
    /// All processes that held a sample of the batch are gone; acknowledge it to go on.
    SampleLost,
    /// The endpoint failed while the request ran.
    EndpointFailed,
    /// The deadline passed while the request ran.
    DeadlinePassed,
    /// The order's epoch is older than one seen before.
    Fenced,
    /// The control processes have no leader, or cannot be reached, just now.
    NoQuorum,
    /// This process cannot write its data folder.
    StorageFailed,
    /// A fault of the system itself.
    Internal,
}

/// A failure as it travels to a caller, operator or other process.
#[derive(Clone, Debug, Eq, Error, PartialEq, Deserialize, Serialize)]
#[error("{code:?} ({outcome:?}): {detail}")]
pub struct Failure {
    /// The stable code.
    pub code: Code,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// A sentence for people; programs use the code.
    pub detail: String,
    /// When to come back, in milliseconds from now, if that may help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
}

impl Failure {
    /// Makes a failure of a request that certainly did not run.
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self { code, outcome: Outcome::NotRun, detail: detail.into(), retry_ms: None }
    }

    /// Makes a failure of a request that may have run.
    pub fn unknown(code: Code, detail: impl Into<String>) -> Self {
        Self { code, outcome: Outcome::Unknown, detail: detail.into(), retry_ms: None }
    }

    /// Tells the receiver when to come back.
    #[must_use]
    pub fn retry_after(self, ms: u64) -> Self {
        Self { retry_ms: Some(ms), ..self }
    }
}

impl Code {
    /// Gives the HTTP status with which the code travels.
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
