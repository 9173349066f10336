//! Answers and failures of claims as callers receive them.

use chicoryford_state::AgentAssignment;
use chicoryford_state::ClaimEnd;
use chicoryford_state::Refusal;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::request::StoredAnswer;

use crate::router::Pick;

/// Delay in milliseconds after which a caller should resend a call that may still be running.
pub(super) const RETRY_MS: u64 = 1_000;

/// Converts a pick to the agent assigned in a claim.
pub(super) fn assigned(pick: &Pick) -> AgentAssignment {
    AgentAssignment {
        endpoint: pick.endpoint.clone(),
        agent: pick.agent.clone(),
        incarnation: pick.incarnation,
    }
}

/// Returns the failure for a call whose earlier attempt may have run.
pub(super) fn duplicate_unknown() -> Failure {
    let detail = "an earlier attempt of the call may have run, and its answer is unknown; the \
                  call is not run again";
    Failure::unknown(Code::DuplicateUnknown, detail)
}

/// Returns the answer of a claim that has ended.
///
/// # Errors
///
/// Returns a failure if the claim ended without a known answer.
pub(super) fn claim_result(end: ClaimEnd) -> Result<StoredAnswer, Failure> {
    match end {
        ClaimEnd::Answered(answer) => Ok(answer),
        ClaimEnd::Unknown => Err(duplicate_unknown()),
        ClaimEnd::NotRun => {
            let detail = "the call with this key was abandoned before it ran; use a new key";
            Err(Failure::not_run(Code::Conflict, detail))
        }
    }
}

/// Returns the failure of a refused claim.
pub(super) fn refusal_failure(refusal: &Refusal) -> Failure {
    match refusal {
        Refusal::KeyExpired | Refusal::Missing => {
            let detail = "the idempotency key must have the form `<Unix ms of issue>.<anything>` and \
                          be issued within the window of docs/API.md";
            Failure::not_run(Code::KeyExpired, detail)
        }
        Refusal::KeyReused => {
            let detail = "the idempotency key was used before with different content";
            Failure::not_run(Code::KeyReused, detail)
        }
        Refusal::Full => {
            let detail = "the table of calls that may not be repeated is full";
            Failure::not_run(Code::Overloaded, detail).retry_after(RETRY_MS)
        }
        other => Failure::not_run(Code::Internal, format!("the claim was refused: {other:?}")),
    }
}
