//! Runs one stand-in: `standin engine|service|scorer|store|trainer|caller …`.

mod drivers;
mod endpoints;

use std::path::PathBuf;

use chicoryford_standin::Recorder;
use chicoryford_standin::caller;
use chicoryford_standin::engine;
use chicoryford_standin::scorer;
use chicoryford_standin::service;
use chicoryford_standin::service::ServiceSettings;
use chicoryford_standin::store;
use chicoryford_standin::store::StoreSettings;
use chicoryford_standin::trainer;
use clap::Parser;
use clap::Subcommand;
use eyre::Result;

use drivers::CallerArgs;
use drivers::TrainerArgs;
use endpoints::EngineArgs;
use endpoints::ScorerArgs;
use endpoints::ServiceArgs;
use endpoints::StoreArgs;
use endpoints::engine_settings;

/// Stand-ins of the platform, for demonstrations and tests.
#[derive(Parser)]
struct Cli {
    /// The file to which records are appended, as JSON lines.
    #[arg(long, global = true)]
    record: Option<PathBuf>,
    #[command(subcommand)]
    role: Role,
}

#[derive(Subcommand)]
enum Role {
    /// A model engine.
    Engine(EngineArgs),
    /// A plain service.
    Service(ServiceArgs),
    /// A scoring service.
    Scorer(ScorerArgs),
    /// A weight store.
    Store(StoreArgs),
    /// A trainer; prints its report as JSON at the end.
    Trainer(TrainerArgs),
    /// A caller; prints its counts by outcome as JSON at the end.
    Caller(CallerArgs),
}

fn main() -> Result<()> {
    tracing_subscriber::fmt().init();
    let cli = Cli::parse();
    let records = match &cli.record {
        Some(path) => Recorder::open(path)?,
        None => Recorder::default(),
    };
    actix_rt::System::new().block_on(run(cli.role, records))
}

async fn run(role: Role, records: Recorder) -> Result<()> {
    let running = match role {
        Role::Engine(args) => engine::start(args.listen, engine_settings(&args), records)?.0,
        Role::Service(args) => {
            let settings = ServiceSettings { name: args.name, delay_ms: args.delay_ms };
            service::start(args.listen, settings, records)?
        }
        Role::Scorer(args) => scorer::start(args.listen, args.delay_ms)?,
        Role::Store(args) => {
            store::start(args.listen, StoreSettings { size: args.size, rate: args.rate })?
        }
        Role::Trainer(args) => {
            let report = trainer::run(args.settings()?, records).await;
            println!("{}", serde_json::to_string(&report)?);
            return Ok(());
        }
        Role::Caller(args) => {
            let counts = caller::run(args.settings()?, records).await;
            println!("{}", serde_json::to_string(&counts)?);
            return Ok(());
        }
    };
    tracing::info!(event = "standin_started", address = %running.address);
    tokio::signal::ctrl_c().await?;
    running.handle.stop(false).await;
    Ok(())
}
