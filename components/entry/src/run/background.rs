//! Proposes commands in the background, without delaying the answer to the caller.

use std::time::Duration;

use chicoryford_state::Command;

use crate::context::Context;
use crate::run::job::Job;

/// Timeout for committing a command.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Proposes a command in the background. The command may be lost, so it must not be one that has to
/// take effect.
pub fn propose(context: &Context, command: Command) {
    let context = context.clone();
    actix_rt::spawn(async move {
        if let Err(failure) = context.proposer.propose_until_timeout(&command, COMMIT_TIMEOUT).await
        {
            tracing::warn!(event = "not_settled", %failure);
        }
    });
}

/// Clears the suspicion against a job's content after it ran to completion while it was suspected
/// of crashing endpoints.
///
/// Only requests that were suspects when they were created clear it. All samples of a group have the
/// same fingerprint, so otherwise any of them that completes would clear a content after a crash.
pub fn clear_suspect(context: &Context, job: &Job) {
    if job.suspect {
        propose(context, Command::Cleared { fingerprint: job.fingerprint });
    }
}
