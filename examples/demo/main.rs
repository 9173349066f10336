//! The main job on one machine: real processes with the sample settings and templates, stand-ins
//! for everything that is not the system, and a report judged from the stand-ins' own records.
//!
//! `scripts/demo --help` lists the options. It exits with 1 if any promise was found broken.

mod drive;
mod judge;
mod layout;
mod mishap;
mod report;

use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use clap::ValueEnum;
use eyre::Result;

use layout::Layout;

/// Runs the whole system on this machine for a while and reports what became of every sample and
/// every answer.
#[derive(Parser)]
struct Args {
    /// Seconds for which trainers and callers work.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Determines prompts, samples and the gaps between requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Milliseconds that a trainer computes on each group.
    #[arg(long, default_value_t = 52)]
    train_ms: u64,
    /// Steps that a trainer opens ahead of the one that it trains on.
    #[arg(long, default_value_t = 2)]
    ahead: usize,
    /// Milliseconds for which a trainer's pull waits at the entry for a group.
    #[arg(long, default_value_t = 2_000)]
    wait_ms: u64,
    /// Do not take expected versions from the staleness bound of a sample that begins.
    #[arg(long)]
    no_prediction: bool,
    /// Do not give late samples a second maker.
    #[arg(long)]
    no_hedging: bool,
    /// Milliseconds between two versions of a model.
    #[arg(long, default_value_t = 4_000)]
    publish_ms: u64,
    /// Kill a process with SIGKILL in the middle of the run and start it again a second later.
    #[arg(long, value_enum)]
    kill: Option<Victim>,
    /// Plan a stop of a sampler in the middle of the run, and cancel it later.
    #[arg(long)]
    plan_stop: bool,
    /// Keep the folder with settings, logs and records.
    #[arg(long)]
    keep: bool,
}

/// What may be killed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Victim {
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

/// Runs everything and tells whether every promise was kept.
fn run(args: &Args, folder: &Path) -> Result<bool> {
    let mut layout = Layout::new(folder, args)?;
    layout.start()?;
    layout.apply_templates()?;
    let drivers = drive::start(&layout, args)?;
    let mishaps = mishap::run(&mut layout, args)?;
    let driven = drive::join(drivers)?;
    let stopped = layout.stop()?;
    let verdict = judge::judge(&layout, &driven, &stopped, &mishaps)?;
    report::print(&driven, &verdict);
    Ok(verdict.is_clean(args.kill.is_some()))
}
