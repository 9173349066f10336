//! What is asked of the router, what it answers, and what it knows of one endpoint.

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::DataCentre;
use chicoryford_types::Endpoint;
use chicoryford_types::EndpointInfo;
use chicoryford_types::Incarnation;
use chicoryford_types::LoadReport;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Version;
use chicoryford_types::Workspace;

/// An attempt that looks for an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Want {
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
    /// Whether it is a retry, which the workspace's retry budget must allow.
    pub retry: bool,
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

/// How an attempt ended, as far as it tells something about its endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Verdict {
    /// It ran to its end; the agent may have told the load just then.
    Ran(Option<LoadReport>),
    /// The agent refused it because it is full.
    Full,
    /// The agent refused it because its endpoint is leaving.
    Leaving,
    /// The endpoint failed.
    Failed,
    /// It was given up for a reason that tells nothing about the endpoint.
    #[default]
    Dropped,
}

impl Verdict {
    /// Tells what an agent's refusal says about its endpoint.
    pub fn of_refusal(code: Code) -> Self {
        match code {
            Code::Overloaded | Code::LimitReached => Self::Full,
            Code::Draining => Self::Leaving,
            Code::NoEndpoint | Code::EndpointFailed | Code::Internal => Self::Failed,
            _ => Self::Dropped,
        }
    }
}

/// What the router knows of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Seat {
    /// What its agent announced.
    pub info: EndpointInfo,
    /// Where it stands.
    pub place: DataCentre,
    /// How to reach it.
    pub pick: Pick,
    /// Attempts that this entry has in progress there.
    pub running: u32,
    /// The newest load report and when it arrived.
    pub load: Option<(LoadReport, Millis)>,
    /// Failures since the last success.
    pub failures: u32,
    /// Until when no new attempt is sent, because it failed or was full.
    pub rests: Millis,
}

impl Seat {
    /// Tells whether the endpoint may take an attempt of `want` at all.
    pub fn serves(&self, want: &Want) -> bool {
        let Some(version) = self.info.models.get(&want.model) else { return false };
        let fresh = want.floor.is_none_or(|floor| *version >= floor);
        fresh && !self.info.draining && self.info.healthy
    }

    /// Tells whether this entry may send one more attempt now.
    pub fn has_room(&self, now: Millis) -> bool {
        self.running < self.info.slots.max(1) && self.rests <= now
    }
}
