//! Decides whether a refusal before the claim was decided may have the outcome "not run".
//!
//! A caller whose first request was lost resends the call and may be refused, for instance because
//! no endpoint is available. The resend did not run, but the first request may have. If the caller
//! were told "not run", it would print the label by hand or under a new key, and two crates would
//! be shipped. The control processes are therefore asked whether the key is claimed. The outcome is
//! "unknown" unless they confirm that it is not.

use std::time::Duration;

use chicoryford_state::AgentAssignment;
use chicoryford_state::ClaimEnd;
use chicoryford_state::Command;
use chicoryford_state::Refusal;
use chicoryford_state::Reply;
use chicoryford_types::Attempt;
use chicoryford_types::Failure;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Outcome;
use chicoryford_types::Workspace;

use crate::context::Context;
use crate::run::at_most_once::answers::RETRY_MS;
use crate::run::job::Job;

/// Timeout for the control processes. It is short, because a refusal should be immediate.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
/// Attempts are numbered from one, so that a claim never has this attempt and the command never
/// moves the claim.
const NO_ATTEMPT: Attempt = Attempt(0);

/// Returns the refusal with an outcome that holds for every request with the key: "unknown" if the
/// key may be claimed.
pub async fn unknown_if_claimed(
    context: &Context,
    workspace: &Workspace,
    key: &IdempotencyKey,
    failure: Failure,
) -> Failure {
    if failure.outcome != Outcome::NotRun || is_unclaimed(context, workspace, key).await {
        return failure;
    }
    let delay_ms = failure.retry_ms.or(Some(RETRY_MS));
    Failure { outcome: Outcome::Unknown, retry_ms: delay_ms, ..failure }
}

async fn is_unclaimed(context: &Context, workspace: &Workspace, key: &IdempotencyKey) -> bool {
    let lookup = Command::Reassign {
        workspace: workspace.clone(),
        key: key.clone(),
        request: Job::new_request_id(),
        after: NO_ATTEMPT,
        to: AgentAssignment::default(),
    };
    let unclaimed = |reply| {
        matches!(
            reply,
            Reply::Refused(Refusal::Missing | Refusal::KeyExpired) | Reply::Ended(ClaimEnd::NotRun)
        )
    };
    context.proposer.propose(&lookup, LOOKUP_TIMEOUT).await.is_ok_and(unclaimed)
}
