//! What is asked of the router and what it answers.

use chicoryford_routing::Ending;
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

/// An attempt that looks for an endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointQuery {
    /// The request.
    pub request: RequestId,
    /// The workspace on whose behalf it runs.
    pub workspace: Workspace,
    /// The model or service.
    pub model: Model,
    /// How urgent it is.
    pub class: Class,
    /// When its answer becomes worthless.
    pub deadline: Millis,
    /// Endpoints that already failed it.
    pub avoid: Vec<Endpoint>,
    /// The oldest version that may produce its tokens.
    pub floor: Option<Version>,
    /// Whether its content is suspected of crashing endpoints.
    pub suspect: bool,
    /// The hash of the prompt's prefix, if it is long enough to be worth caching.
    pub prefix: Option<u64>,
    /// Tokens of the prompt, estimated.
    pub prompt: u32,
    /// Tokens that it may still produce; zero for a call of a plain service.
    pub tokens: u32,
}

/// An endpoint that was chosen.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Pick {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Its agent.
    pub agent: Node,
    /// Where the agent answers.
    pub address: String,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
}

/// A request whose attempt failed and that may be tried again.
#[derive(Clone, Debug)]
pub struct RetryQuery {
    /// On whose behalf.
    pub workspace: Workspace,
    /// Attempts so far.
    pub attempts: u32,
    /// What became of the last one.
    pub outcome: Outcome,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When its answer is worthless.
    pub deadline: Millis,
}

/// A sample that runs late and may be given a second maker.
#[derive(Clone, Debug, Default)]
pub struct LateSample {
    /// What the second maker would look for.
    pub query: EndpointQuery,
    /// Samples of its group.
    pub group: u32,
    /// Of those, the ones that are not recorded.
    pub left: u32,
    /// Milliseconds since it was let in.
    pub ran_ms: u64,
    /// Tokens that it has.
    pub tokens: u32,
}

/// How an attempt ended, as far as it tells something about its endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum AttemptEnd {
    /// It ran to its end; the agent may have told the load just then.
    Ran(Option<LoadReport>),
    /// The agent refused it because its endpoint is leaving.
    Leaving,
    /// The endpoint failed.
    Failed,
    /// Its connection went silent, and the agent answered a new one.
    Silent,
    /// It was refused or given up for a reason that tells nothing about the endpoint.
    #[default]
    Dropped,
}

impl AttemptEnd {
    /// Tells what an agent's refusal says about its endpoint.
    pub fn from_refusal(code: Code) -> Self {
        match code {
            Code::Draining => Self::Leaving,
            Code::NoEndpoint | Code::EndpointFailed | Code::Internal => Self::Failed,
            _ => Self::Dropped,
        }
    }

    /// Gives the end in the words of routing.
    pub fn ending(&self) -> Ending {
        match self {
            Self::Ran(_) => Ending::Finished,
            Self::Leaving | Self::Dropped => Ending::Released,
            Self::Failed => Ending::Failed,
            Self::Silent => Ending::Silent,
        }
    }
}
