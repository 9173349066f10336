//! What is asked of the router, and what it answers.

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Model;
use chicoryford_types::Version;
use thiserror::Error;

use crate::endpoint::EndpointId;

/// What one attempt needs of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The model or service.
    pub model: &'a Model,
    /// How urgent it is.
    pub class: Class,
    /// The hash of the prompt's prefix, if it has one worth caching.
    pub prefix: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that are expected to be generated; zero for a call of a plain service.
    pub output_tokens: u32,
    /// The oldest weight version that will do.
    pub floor: Option<Version>,
    /// Endpoints that were tried already.
    pub exclude: &'a [EndpointId],
    /// Whether the content is suspected of crashing endpoints.
    pub suspect: bool,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceReason {
    /// It is expected to finish first.
    Best,
    /// It holds the prompt's prefix.
    Cached,
    /// It is the prefix's home, where all entries send a prefix that none holds.
    Home,
    /// It takes suspected requests.
    Isolated,
    /// Nothing in this entry's subset would do; it lies outside.
    Outside,
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint; [`crate::Router::target`] tells its address.
    pub endpoint: EndpointId,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Milliseconds in which the attempt is expected to finish there.
    pub expected_ms: u64,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum NoEndpoint {
    /// Nobody announced the model.
    #[error("no endpoint serves the model")]
    Unserved,
    /// All that serve it are leaving.
    #[error("every endpoint of the model is leaving")]
    Draining,
    /// All that serve it fail, or do not answer their agents.
    #[error("every endpoint of the model fails")]
    Failing,
    /// None has weights as new as wanted.
    #[error("no endpoint has weights new enough")]
    BelowFloor,
    /// All were tried.
    #[error("every endpoint of the model was tried")]
    Excluded,
}

impl NoEndpoint {
    /// Gives the code with which a caller is told.
    pub fn code(self) -> Code {
        match self {
            Self::Draining => Code::Draining,
            Self::Unserved | Self::Failing | Self::BelowFloor | Self::Excluded => Code::NoEndpoint,
        }
    }
}
