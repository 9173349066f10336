//! The requests that admission decides on, and its decisions.

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::RequestId;
use chicoryford_types::Workspace;

/// The capacity and load of a model's endpoints, as estimated by the router.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Attempts that the endpoints can run concurrently.
    pub slots: u32,
    /// Attempts in flight at the endpoints, including those of other entries.
    pub load: u32,
}

/// A request for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The request's id.
    pub id: RequestId,
    /// The workspace that sent the request.
    pub workspace: &'a Workspace,
    /// The model or service that the request is for.
    pub model: &'a Model,
    /// The priority class of the request.
    pub class: Class,
    /// When the caller stops waiting for the answer.
    pub deadline: Millis,
    /// The router's estimate of the run time once started, in milliseconds.
    pub expected_ms: u64,
    /// The capacity and load of the endpoints that would run it.
    pub capacity: Capacity,
}

/// Why a request was refused and when the caller may retry. A refused request has not run and will
/// not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The code returned to the caller.
    pub code: Code,
    /// How long the caller should wait before it retries, in milliseconds.
    pub retry_ms: u64,
}

impl Refusal {
    /// Returns the failure that is sent to the caller.
    pub fn failure(self, detail: &str) -> Failure {
        Failure::not_run(self.code, detail).retry_after(self.retry_ms)
    }
}

/// The decision on a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request starts now.
    Admit,
    /// The request is queued; a later [`crate::Admission::poll`] decides on it.
    Wait,
    /// The request does not run.
    Refuse(Refusal),
}

/// The decision on a queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request starts now.
    Run(RequestId),
    /// The request does not run.
    Refuse(RequestId, Refusal),
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Completion {
    /// Whether the answer was delivered completely.
    pub ok: bool,
    /// Milliseconds since the request started.
    pub ms: u64,
}
