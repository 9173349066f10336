//! Proposes commands of the ledger.

use std::time::Duration;

use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_types::Code;
use chicoryford_types::Failure;

use crate::context::Context;

/// The longest wait for a command to be committed.
const PATIENCE: Duration = Duration::from_secs(10);

/// Proposes a command of the ledger.
///
/// # Errors
///
/// The failure of the control processes.
pub async fn ledger_command(
    context: &Context,
    command: LedgerCommand,
) -> Result<LedgerReply, Failure> {
    let command = Command::Ledger(Box::new(command));
    match context.proposer.propose(&command, PATIENCE).await? {
        Reply::Ledger(reply) => Ok(*reply),
        Reply::Failed(failure) => Err(failure),
        reply => {
            let detail = format!("the control processes answered out of turn: {reply:?}");
            Err(Failure::unknown(Code::Internal, detail))
        }
    }
}
