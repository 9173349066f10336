//! Runs the service on one machine, with the sample settings and templates and with stand-ins for
//! everything else, and reports violations of the service's guarantees according to the stand-ins'
//! own records.
//!
//! `scripts/demo --help` lists the options. The exit code is 1 if a guarantee was violated.

mod deployment;
mod disruptions;
mod load;
mod report;
mod verify;

use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use clap::ValueEnum;
use eyre::Result;

use deployment::Deployment;

/// Runs the whole service on this machine for some time and checks the outcome of every sample and
/// every answer.
#[derive(Parser)]
struct Args {
    /// Seconds for which trainers and callers send requests.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Determines prompts, samples and the gaps between requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Milliseconds for which a trainer computes on each group.
    #[arg(long, default_value_t = 52)]
    train_ms: u64,
    /// Steps that a trainer opens ahead of the one that it trains on.
    #[arg(long, default_value_t = 2)]
    ahead: usize,
    /// Milliseconds for which a trainer's pull waits at the entry for a group.
    #[arg(long, default_value_t = 2_000)]
    wait_ms: u64,
    /// Do not subtract expected versions from the staleness bound of a sample that starts.
    #[arg(long)]
    no_prediction: bool,
    /// Do not start a second run of late samples.
    #[arg(long)]
    no_hedging: bool,
    /// Milliseconds between two versions of a model.
    #[arg(long, default_value_t = 4_000)]
    publish_ms: u64,
    /// Kill a process with SIGKILL in the middle of the run and restart it one second later.
    #[arg(long, value_enum)]
    kill: Option<KillTarget>,
    /// Plan a stop of a sampler in the middle of the run, and cancel it later.
    #[arg(long)]
    plan_stop: bool,
    /// Keep the folder with settings, logs and records.
    #[arg(long)]
    keep: bool,
}

/// The process to kill.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum KillTarget {
    /// The agent of a sampler.
    Agent,
    /// A sampler itself.
    Engine,
    /// The daemon with the entry and control roles.
    Daemon,
}

fn main() -> Result<ExitCode> {
    let args = Args::parse();
    let folder = tempfile::Builder::new().prefix("chicoryford-demo-").tempdir()?;
    println!("seed {}, {} s, folder {}", args.seed, args.seconds, folder.path().display());
    let clean = run(&args, folder.path());
    if args.keep || !matches!(clean, Ok(true)) {
        println!("kept {}", folder.keep().display());
    }
    Ok(if clean? { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs the demonstration and returns whether no guarantee was violated.
fn run(args: &Args, folder: &Path) -> Result<bool> {
    let mut deployment = Deployment::new(folder, args)?;
    deployment.wait_for_endpoints()?;
    deployment.apply_templates()?;
    let clients = load::start(&deployment, args)?;
    let disruptions = disruptions::run(&mut deployment, args)?;
    let results = load::join(clients)?;
    let unclean = deployment.stop()?;
    let verdict = verify::verify_run(&deployment, &results, &unclean, &disruptions)?;
    report::print(&results, &verdict);
    Ok(verdict.is_clean(args.kill.is_some()))
}
