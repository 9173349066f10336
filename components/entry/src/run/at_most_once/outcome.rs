//! Whether a refusal that came before the claim was decided may say "not run".
//!
//! A caller whose first sending was lost sends the call again, and is refused, for instance
//! because no endpoint is to be seen. That sending did not run, but the first may have: told "not
//! run", the caller would print the label by hand or under a new key, and two crates go out. So
//! the control processes are asked whether they know the key, and unless they do not, the outcome
//! is unknown.

use std::time::Duration;

use chicoryford_state::Assigned;
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
use crate::run::at_most_once::answers::RETRY;
use crate::run::job::Job;

/// The longest wait for the control processes; a refusal should come at once.
const LOOK: Duration = Duration::from_secs(1);
/// Attempts count from one, so that a claim never stands here and is never moved on from here.
const NEVER: Attempt = Attempt(0);

/// Gives the refusal with an outcome that is true of every sending under the key.
pub async fn unknown_if_claimed(
    context: &Context,
    workspace: &Workspace,
    key: &IdempotencyKey,
    failure: Failure,
) -> Failure {
    if failure.outcome != Outcome::NotRun || is_unclaimed(context, workspace, key).await {
        return failure;
    }
    let retry = failure.retry_ms.or(Some(RETRY));
    Failure { outcome: Outcome::Unknown, retry_ms: retry, ..failure }
}

async fn is_unclaimed(context: &Context, workspace: &Workspace, key: &IdempotencyKey) -> bool {
    let look = Command::Reassign {
        workspace: workspace.clone(),
        key: key.clone(),
        request: Job::new_request_id(),
        after: NEVER,
        to: Assigned::default(),
    };
    let unclaimed = |reply| {
        matches!(
            reply,
            Reply::Refused(Refusal::Missing | Refusal::KeyExpired) | Reply::Ended(ClaimEnd::NotRun)
        )
    };
    context.proposer.propose(&look, LOOK).await.is_ok_and(unclaimed)
}
