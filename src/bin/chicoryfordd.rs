//! The daemon: reads its settings and runs the roles that they name.

use std::path::Path;
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
    #[arg(long, value_name = "FILE", required_unless_present = "node")]
    settings: Option<PathBuf>,
    /// The YAML settings of a process of a fleet on the users' platform (docs/PLATFORM.md).
    #[arg(long, value_name = "FILE", conflicts_with = "settings")]
    node: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    match (&args.node, &args.settings) {
        (Some(path), _) => run_node(path, args.check),
        (None, Some(path)) => run_roles(path, args.check),
        (None, None) => ExitCode::from(USAGE),
    }
}

fn run_roles(path: &Path, check: bool) -> ExitCode {
    let settings = match load(path, check) {
        Ok(settings) => settings,
        Err(error) => return unusable(&error),
    };
    if check {
        return usable(path);
    }
    finish(chicoryford_daemon::run(settings))
}

fn run_node(path: &Path, check: bool) -> ExitCode {
    let settings = match load_node(path, check) {
        Ok(settings) => settings,
        Err(error) => return unusable(&error),
    };
    if check {
        return usable(path);
    }
    let logs = match logs::start_stdout(&settings.log) {
        Ok(logs) => logs,
        Err(error) => return unusable(&eyre::Report::from(error)),
    };
    let code = finish(chicoryford_node::run(path, settings));
    drop(logs);
    code
}

fn finish<E>(result: Result<(), E>) -> ExitCode
where
    E: std::error::Error + Send + Sync + 'static,
{
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let error = eyre::Report::from(error);
            tracing::error!(event = "ended_by_fault", error = format!("{error:#}"));
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn unusable(error: &eyre::Report) -> ExitCode {
    eprintln!("{error:#}");
    ExitCode::from(USAGE)
}

fn usable(path: &Path) -> ExitCode {
    println!("{}: the settings can be used", path.display());
    ExitCode::SUCCESS
}

fn load(path: &Path, check: bool) -> eyre::Result<Settings> {
    let settings = chicoryford_settings::load(path)?;
    if check {
        logs::check(&settings.log)?;
    } else {
        logs::start(&settings.log)?;
    }
    Ok(settings)
}

fn load_node(path: &Path, check: bool) -> eyre::Result<chicoryford_node::Settings> {
    let settings = chicoryford_node::settings::load(path)?;
    if check {
        logs::check(&settings.log)?;
    }
    Ok(settings)
}
