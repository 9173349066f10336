//! The daemon, which runs the roles that its settings specify.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use chicoryford_daemon::logs;
use chicoryford_settings::Settings;
use clap::Parser;

/// The conventional exit code of a usage error, which is also used for invalid settings.
const USAGE_EXIT_CODE: u8 = 2;

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
        (None, None) => ExitCode::from(USAGE_EXIT_CODE),
    }
}

fn run_roles(path: &Path, check: bool) -> ExitCode {
    let settings = match load(path, check) {
        Ok(settings) => settings,
        Err(error) => return report_invalid(&error),
    };
    if check {
        return report_valid(path);
    }
    exit_code(chicoryford_daemon::run(settings))
}

fn run_node(path: &Path, check: bool) -> ExitCode {
    let settings = match load_node(path, check) {
        Ok(settings) => settings,
        Err(error) => return report_invalid(&error),
    };
    if check {
        return report_valid(path);
    }
    let logs = match logs::start_stdout(&settings.log) {
        Ok(logs) => logs,
        Err(error) => return report_invalid(&eyre::Report::from(error)),
    };
    let code = exit_code(chicoryford_node::run(path, settings));
    drop(logs);
    code
}

fn exit_code<E>(result: Result<(), E>) -> ExitCode
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

fn report_invalid(error: &eyre::Report) -> ExitCode {
    eprintln!("{error:#}");
    ExitCode::from(USAGE_EXIT_CODE)
}

fn report_valid(path: &Path) -> ExitCode {
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
