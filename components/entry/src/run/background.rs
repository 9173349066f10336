//! Proposes what may follow after the caller has its answer.

use std::time::Duration;

use chicoryford_state::Command;

use crate::context::Context;
use crate::run::job::Job;

/// The longest wait for the command to be committed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Proposes a command in the background; the command must be one that may be lost.
pub fn propose(context: &Context, command: Command) {
    let context = context.clone();
    actix_rt::spawn(async move {
        if let Err(failure) = context.proposer.persist(&command, PATIENCE).await {
            tracing::warn!(event = "not_settled", %failure);
        }
    });
}

/// Clears the content of a job that ran to its end while it was suspected of crashing endpoints.
pub fn clear_suspect(context: &Context, job: &Job) {
    if job.suspect {
        propose(context, Command::Cleared { fingerprint: job.fingerprint });
    }
}
