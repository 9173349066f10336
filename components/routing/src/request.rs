//! The requests to the router, and its answers.

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Model;
use chicoryford_types::Version;
use thiserror::Error;

use crate::endpoint::EndpointId;

/// What one attempt requires of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The model or service.
    pub model: &'a Model,
    /// The priority class of the request.
    pub class: Class,
    /// The hash of the prompt's prefix, if the prefix is worth caching.
    pub prefix: Option<u64>,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Expected output tokens; zero for a call of a plain service.
    pub output_tokens: u32,
    /// The oldest acceptable weight version.
    pub floor: Option<Version>,
    /// Endpoints that were already tried.
    pub exclude: &'a [EndpointId],
    /// Whether the content is suspected of crashing endpoints.
    pub suspect: bool,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceReason {
    /// It has the best rank: the earliest expected finish, under the default rule.
    Best,
    /// It has the prompt's prefix in its cache.
    Cached,
    /// It is the home of the prefix: all entries send a prefix there that no endpoint has cached.
    Home,
    /// It is among the endpoints that run suspected requests.
    Isolated,
    /// No endpoint of this entry's subset is eligible; this one lies outside the subset.
    Outside,
}

/// The endpoint of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint; [`crate::Router::target`] returns its address.
    pub endpoint: EndpointId,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// The expected duration of the attempt there, in milliseconds.
    pub expected_ms: u64,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum NoEndpoint {
    /// No member announces the model.
    #[error("no endpoint serves the model")]
    Unserved,
    /// Every endpoint that serves it is draining.
    #[error("every endpoint of the model is draining")]
    Draining,
    /// Every endpoint that serves it is unhealthy or ejected.
    #[error("every endpoint of the model is failing")]
    Failing,
    /// No endpoint has a recent enough version.
    #[error("no endpoint has a recent enough weight version")]
    BelowFloor,
    /// Every endpoint was tried.
    #[error("every endpoint of the model was already tried")]
    Excluded,
}

impl NoEndpoint {
    /// Returns the code that is reported to the caller.
    pub fn code(self) -> Code {
        match self {
            Self::Draining => Code::Draining,
            Self::Unserved | Self::Failing | Self::BelowFloor | Self::Excluded => Code::NoEndpoint,
        }
    }
}
