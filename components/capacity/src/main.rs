//! Measures slopes, makes docs/CAPACITY.md and its plots from them, and checks that they agree.

use std::path::PathBuf;
use std::process::Command;
use std::thread::JoinHandle;

use chicoryford_capacity::Data;
use chicoryford_capacity::Files;
use chicoryford_capacity::decisions;
use chicoryford_capacity::live;
use clap::Parser;
use clap::Subcommand;
use eyre::Result;
use eyre::ensure;

#[derive(Subcommand)]
enum Task {
    /// Measures, and writes the data file, the page and the plots.
    Measure(Measure),
    /// Writes the page and the plots from the data file.
    Page,
    /// Fails if the page or a plot is not what the data file gives.
    Check,
}

#[derive(clap::Args)]
struct Measure {
    /// The daemon to measure, built for release.
    #[arg(long, default_value = "target/release/chicoryfordd")]
    daemon: PathBuf,
    /// The seed of everything random.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Leave out the real processes, or the decision code.
    #[arg(long, value_enum)]
    only: Option<Part>,
    /// Measure the parts side by side: a third of the time, and more noise.
    #[arg(long)]
    together: bool,
}

#[derive(Clone, Copy, PartialEq, clap::ValueEnum)]
enum Part {
    Processes,
    Decisions,
}

/// Measures slopes, makes docs/CAPACITY.md and its plots from them, and checks that they agree.
#[derive(Parser)]
struct Args {
    /// The folder of documents; that of the repository if it is left out.
    #[arg(long, global = true)]
    docs: Option<PathBuf>,
    #[command(subcommand)]
    task: Task,
}

fn main() -> Result<()> {
    let args = Args::parse();
    let files = args.docs.map_or_else(Files::here, Files::new);
    match args.task {
        Task::Measure(how) => measure(&files, &how),
        Task::Page => Ok(files.write(&files.load()?)?),
        Task::Check => {
            let differing = files.differing(&files.load()?)?;
            ensure!(differing.is_empty(), "not what the data file gives: {differing:?}");
            Ok(())
        }
    }
}

fn measure(files: &Files, how: &Measure) -> Result<()> {
    let mut data = Data {
        commit: output("git", &["rev-parse", "--short=12", "HEAD"])?,
        date: output("date", &["-u", "+%Y-%m-%d %H:%M"])?,
        cores: std::thread::available_parallelism()?.get(),
        memory: live::account::installed()?,
        load: vec![live::account::load()?],
        seed: how.seed,
        together: how.together,
        ..Data::default()
    };
    let seed = how.seed;
    let pure = (how.only != Some(Part::Processes)).then(|| std::thread::spawn(move || pure(seed)));
    let (pure, waits) = if how.together { (pure, None) } else { (None, pure) };
    take(&mut data, waits);
    if how.only != Some(Part::Decisions) {
        live::measure(&mut data, &how.daemon, how.together);
    }
    take(&mut data, pure);
    data.load.push(live::account::load()?);
    files.save(&data)?;
    Ok(files.write(&data)?)
}

fn pure(seed: u64) -> Data {
    let mut data = Data { seed, ..Data::default() };
    decisions::measure(&mut data);
    data
}

fn take(data: &mut Data, thread: Option<JoinHandle<Data>>) {
    match thread.map(JoinHandle::join) {
        None => {}
        Some(Ok(own)) => data.sweeps.extend(own.sweeps),
        Some(Err(_)) => data.failed.push("decision code: the thread panicked".to_owned()),
    }
}

fn output(program: &str, arguments: &[&str]) -> Result<String> {
    let output = Command::new(program).args(arguments).output()?;
    Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned())
}
