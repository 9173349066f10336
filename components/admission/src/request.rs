//! What admission is asked and told, and what it answers.

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::RequestId;
use chicoryford_types::Workspace;

/// The room that a model's endpoints have, as the router sees it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Attempts that they may run at once.
    pub slots: u32,
    /// Attempts that they have, those of other entries included.
    pub load: u32,
}

/// A request at the door.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The request.
    pub id: RequestId,
    /// On whose behalf.
    pub workspace: &'a Workspace,
    /// The model or service.
    pub model: &'a Model,
    /// How urgent it is.
    pub class: Class,
    /// When its answer is worthless.
    pub deadline: Millis,
    /// Milliseconds in which the router expects it to finish once started.
    pub expected_ms: u64,
    /// The room it would start into.
    pub capacity: Capacity,
}

/// Why a request was refused, and when to come back. It did not run and will not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The code that the caller gets.
    pub code: Code,
    /// When to come back, in milliseconds from now.
    pub retry_ms: u64,
}

impl Refusal {
    /// Makes the failure that travels to the caller.
    pub fn failure(self, detail: &str) -> Failure {
        Failure::not_run(self.code, detail).retry_after(self.retry_ms)
    }
}

/// What becomes of a request at the door.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It starts now.
    Admit,
    /// It waits; [`crate::Admission::poll`] will tell what becomes of it.
    Wait,
    /// It does not run.
    Refuse(Refusal),
}

/// What becomes of a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// It starts now.
    Run(RequestId),
    /// It does not run.
    Refuse(RequestId, Refusal),
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Completion {
    /// Whether the whole answer was given.
    pub ok: bool,
    /// Milliseconds from its start.
    pub ms: u64,
}
