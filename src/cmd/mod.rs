//! The subcommands, with one module each.

mod base;
mod completions;
mod config;
mod control;
mod dump;
mod endpoints;
mod explain;
mod pardon;
mod status;
mod stop;
mod template;
mod weights;

use crate::cli::Cli;
use crate::cli::Command;
use crate::cli::ConfigCommand;
use crate::connect::Connection;
use crate::error::CmdError;

/// Runs the command of a command line.
///
/// # Errors
///
/// Returns [`CmdError`], which determines the exit code.
pub async fn run(cli: &Cli) -> Result<(), CmdError> {
    let connect = || Connection::new(&cli.reach);
    match &cli.command {
        Command::Template(command) => template::run(command, connect, cli.output).await,
        Command::Config(ConfigCommand::Check(args)) => {
            let connect = |address: &str| Connection::to_address(&cli.reach, address);
            config::check(args, connect, cli.output).await
        }
        Command::Apply(args) => template::apply(&connect()?, args, cli.output).await,
        Command::Stop(command) => stop::run(&connect()?, command, cli.output).await,
        Command::Weights(command) => weights::run(&connect()?, command, cli.output).await,
        Command::Endpoints => endpoints::run(&connect()?, cli.output).await,
        Command::Status => status::run(&connect()?, cli.output).await,
        Command::Dump { process } => dump::run(&connect()?, process, cli.output).await,
        Command::Control(command) => control::run(&connect()?, command, cli.output).await,
        Command::Pardon { fingerprint, change } => {
            pardon::run(&connect()?, fingerprint, change, cli.output).await
        }
        Command::Explain { id, files } => explain::run(id, files),
        Command::Completions { shell } => completions::run(*shell),
    }
}
