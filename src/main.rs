//! The operators' command-line client. `--help` lists its commands.

mod change;
mod cli;
mod cmd;
mod connect;
mod error;
mod output;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    match actix_rt::System::new().block_on(cmd::run(&cli)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:#}", eyre::Report::from(error));
            code
        }
    }
}
