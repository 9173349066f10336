//! Proposes ledger commands to the control processes.

use std::time::Duration;

use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_types::Code;
use chicoryford_types::Failure;

use crate::context::Context;

/// Timeout for committing a command.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Proposes a ledger command and returns the reply of the ledger.
///
/// # Errors
///
/// Returns the failure reported by the control processes, or [`Code::Internal`] if their reply is
/// not one of the ledger.
pub async fn ledger_command(
    context: &Context,
    command: LedgerCommand,
) -> Result<LedgerReply, Failure> {
    let command = Command::Ledger(Box::new(command));
    match context.proposer.propose(&command, COMMIT_TIMEOUT).await? {
        Reply::Ledger(reply) => Ok(*reply),
        Reply::Failed(failure) => Err(failure),
        reply => {
            let detail = format!("unexpected reply to a ledger command: {reply:?}");
            Err(Failure::unknown(Code::Internal, detail))
        }
    }
}
