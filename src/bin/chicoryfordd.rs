//! The daemon: reads its settings and runs the roles that they name.

use std::path::PathBuf;
use std::process::ExitCode;

use chicoryford_daemon::logs;
use chicoryford_settings::Settings;
use clap::Parser;

/// The usual exit code for a usage error; settings that cannot be used count as one.
const USAGE: u8 = 2;

/// Runs the roles of a chicoryford process: entry, control, agent, in any combination.
///
/// Exit codes: 0 after a graceful shutdown, 1 if the process cannot start or ends by a fault,
/// 2 if the command line or the settings cannot be used.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The YAML settings of this process (docs/SETTINGS.md).
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let settings = match load(&args) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error:#}");
            return ExitCode::from(USAGE);
        }
    };
    if args.check {
        println!("{}: the settings can be used", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match chicoryford_daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:#}", eyre::Report::from(error));
            ExitCode::FAILURE
        }
    }
}

fn load(args: &Args) -> eyre::Result<Settings> {
    let settings = chicoryford_settings::load(&args.settings)?;
    if args.check {
        logs::check(&settings.log)?;
    } else {
        logs::start(&settings.log)?;
    }
    Ok(settings)
}
