//! Queries to the router and its answers.

use chicoryford_routing::AttemptOutcome;
use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Endpoint;
use chicoryford_types::Incarnation;
use chicoryford_types::LoadReport;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Outcome;
use chicoryford_types::RequestId;
use chicoryford_types::Version;
use chicoryford_types::Workspace;

/// An endpoint whose agent stopped sending on an attempt of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SilentEndpoint {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// When the silence was detected.
    pub since: Millis,
}

/// Which endpoints an attempt may use if all others are to be avoided.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reuse {
    /// All endpoints, but preferably those that are not silent.
    #[default]
    Any,
    /// Endpoints that are not silent, or whose agents have reported or returned since then.
    Heard,
    /// None.
    Never,
}

/// Describes an attempt that needs an endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointQuery {
    /// The request.
    pub request: RequestId,
    /// The workspace on whose behalf it runs.
    pub workspace: Workspace,
    /// The model or service.
    pub model: Model,
    /// The priority class.
    pub class: Class,
    /// The deadline, after which the answer is useless to the caller.
    pub deadline: Millis,
    /// Endpoints to avoid, because an attempt failed there.
    pub avoid: Vec<Endpoint>,
    /// Endpoints whose agents stopped sending on an attempt of the request.
    pub silent: Vec<SilentEndpoint>,
    /// Which endpoints may be used if all others are in `avoid`.
    pub reuse: Reuse,
    /// The oldest version that may produce its tokens.
    pub floor: Option<Version>,
    /// Whether its content is suspected of crashing endpoints.
    pub suspect: bool,
    /// The hash of the prompt's prefix, if the prompt is long enough to be cached.
    pub prefix: Option<u64>,
    /// Estimated number of tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of tokens still to produce; zero for a call of a plain service.
    pub tokens: u32,
}

/// A chosen endpoint.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Pick {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Its agent.
    pub agent: Node,
    /// The agent's address.
    pub address: String,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
}

/// Describes a request that needs a retry after a failed attempt.
#[derive(Clone, Debug)]
pub struct RetryQuery {
    /// The workspace on whose behalf it runs.
    pub workspace: Workspace,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The outcome of the last attempt.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The deadline, after which the answer is useless to the caller.
    pub deadline: Millis,
}

/// A late sample that may be hedged with a second run.
#[derive(Clone, Debug, Default)]
pub struct LateSample {
    /// Query for the endpoint of the second run.
    pub query: EndpointQuery,
    /// Number of samples of its group.
    pub group: u32,
    /// Number of samples of the group that are not yet recorded.
    pub left: u32,
    /// Milliseconds since the sample was admitted.
    pub ran_ms: u64,
    /// Number of tokens generated so far.
    pub tokens: u32,
}

/// How an attempt ended, as evidence about the health of its endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum AttemptEnd {
    /// The attempt completed. The agent may have included a load report.
    Ran(Option<LoadReport>),
    /// The agent refused the attempt because its endpoint is leaving.
    Leaving,
    /// The endpoint failed.
    Failed,
    /// The connection went silent, but the agent responded on a new one.
    Silent,
    /// The attempt was refused or abandoned for a reason that is no evidence about the endpoint.
    #[default]
    Dropped,
}

impl AttemptEnd {
    /// Classifies an agent's refusal.
    pub fn from_refusal(code: Code) -> Self {
        match code {
            Code::Draining => Self::Leaving,
            Code::NoEndpoint | Code::EndpointFailed | Code::Internal => Self::Failed,
            _ => Self::Dropped,
        }
    }

    /// Converts to the type used by routing.
    pub fn ending(&self) -> AttemptOutcome {
        match self {
            Self::Ran(_) => AttemptOutcome::Finished,
            Self::Leaving | Self::Dropped => AttemptOutcome::Released,
            Self::Failed => AttemptOutcome::Failed,
            Self::Silent => AttemptOutcome::Silent,
        }
    }
}
