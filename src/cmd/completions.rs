//! `chicoryford completions`.

use clap::CommandFactory;
use clap_complete::Shell;

use crate::cli::Cli;
use crate::error::CmdError;

/// Prints the completion script for a shell.
///
/// # Errors
///
/// Never; the return type is the same for all commands.
pub fn run(shell: Shell) -> Result<(), CmdError> {
    let mut command = Cli::command();
    clap_complete::generate(shell, &mut command, "chicoryford", &mut std::io::stdout());
    Ok(())
}
