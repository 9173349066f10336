//! What claims answer, in the words of callers.

use chicoryford_state::Assigned;
use chicoryford_state::ClaimEnd;
use chicoryford_state::Refusal;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::request::StoredAnswer;

use crate::router::Pick;

/// When to send a call again whose first sending may still run, in milliseconds.
pub(super) const RETRY: u64 = 1_000;

/// Names the agent of a pick, as a claim does.
pub(super) fn assigned(pick: &Pick) -> Assigned {
    Assigned {
        endpoint: pick.endpoint.clone(),
        agent: pick.agent.clone(),
        incarnation: pick.incarnation,
    }
}

/// Tells that a first sending may have run.
pub(super) fn unknown() -> Failure {
    let detail = "a first sending of the call may have run, and its answer is not known; it is \
                  not run again";
    Failure::unknown(Code::DuplicateUnknown, detail)
}

/// Gives the answer of a claim that has ended.
///
/// # Errors
///
/// What the end says.
pub(super) fn ended(end: ClaimEnd) -> Result<StoredAnswer, Failure> {
    match end {
        ClaimEnd::Answered(answer) => Ok(answer),
        ClaimEnd::Unknown => Err(unknown()),
        ClaimEnd::NotRun => {
            let detail = "the call was given up under this key before it ran; use a new key";
            Err(Failure::not_run(Code::Conflict, detail))
        }
    }
}

/// Gives the failure of a claim that was refused.
pub(super) fn refused(refusal: &Refusal) -> Failure {
    match refusal {
        Refusal::KeyExpired | Refusal::Missing => {
            let detail = "the idempotency key must read `<Unix ms of issue>.<anything>`, issued \
                          within the window of docs/API.md";
            Failure::not_run(Code::KeyExpired, detail)
        }
        Refusal::KeyReused => {
            let detail = "the idempotency key came before with other content";
            Failure::not_run(Code::KeyReused, detail)
        }
        Refusal::Full => {
            let detail = "too many calls that may not be repeated are remembered";
            Failure::not_run(Code::Overloaded, detail).retry_after(RETRY)
        }
        other => Failure::not_run(Code::Internal, format!("the claim was refused: {other:?}")),
    }
}
