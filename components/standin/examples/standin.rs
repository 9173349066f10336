//! Runs one stand-in: `standin engine|service|scorer|store …`.

use std::net::SocketAddr;
use std::path::PathBuf;

use chicoryford_standin::Recorder;
use chicoryford_standin::engine;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::scorer;
use chicoryford_standin::service;
use chicoryford_standin::service::ServiceSettings;
use chicoryford_standin::store;
use chicoryford_standin::store::StoreSettings;
use clap::Args;
use clap::Parser;
use clap::Subcommand;
use eyre::Result;

/// Stand-ins of the platform, for demonstrations and tests.
#[derive(Parser)]
struct Cli {
    /// Where it appends its record, as JSON lines.
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
}

#[derive(Args)]
struct EngineArgs {
    /// Where it listens.
    #[arg(long)]
    listen: SocketAddr,
    /// A model and its first version, as name=version; may be repeated.
    #[arg(long = "model", value_parser = model)]
    models: Vec<(String, u64)>,
    /// Completions that run at once.
    #[arg(long, default_value_t = 16)]
    slots: usize,
    /// Microseconds a token.
    #[arg(long, default_value_t = 2_000)]
    token_us: u64,
    /// Tokens in a chunk.
    #[arg(long, default_value_t = 4)]
    chunk: u32,
    /// Median length of a completion, in tokens.
    #[arg(long, default_value_t = 48)]
    length: u32,
    /// Milliseconds of a weight swap.
    #[arg(long, default_value_t = 200)]
    swap_ms: u64,
    /// Ignore fencing numbers.
    #[arg(long)]
    ignore_fencing: bool,
}

#[derive(Args)]
struct ServiceArgs {
    /// Where it listens.
    #[arg(long)]
    listen: SocketAddr,
    /// Its name.
    #[arg(long, default_value = "labels")]
    name: String,
    /// Milliseconds of a call.
    #[arg(long, default_value_t = 10)]
    delay_ms: u64,
}

#[derive(Args)]
struct ScorerArgs {
    /// Where it listens.
    #[arg(long)]
    listen: SocketAddr,
    /// Milliseconds of a call.
    #[arg(long, default_value_t = 2)]
    delay_ms: u64,
}

#[derive(Args)]
struct StoreArgs {
    /// Where it listens.
    #[arg(long)]
    listen: SocketAddr,
    /// Bytes of one version.
    #[arg(long, default_value_t = 1 << 20)]
    size: usize,
    /// Bytes a second.
    #[arg(long, default_value_t = 64 << 20)]
    rate: u64,
}

fn model(text: &str) -> Result<(String, u64)> {
    let (name, version) = text.split_once('=').unwrap_or((text, "1"));
    Ok((name.to_owned(), version.parse()?))
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
    };
    tracing::info!(event = "standin_started", address = %running.address);
    tokio::signal::ctrl_c().await?;
    running.handle.stop(false).await;
    Ok(())
}

fn engine_settings(args: &EngineArgs) -> EngineSettings {
    let defaults = EngineSettings::default();
    let models = if args.models.is_empty() { defaults.models } else { args.models.clone() };
    EngineSettings {
        models,
        slots: args.slots,
        token_us: args.token_us,
        chunk: args.chunk,
        length: args.length,
        swap_ms: args.swap_ms,
        fencing: !args.ignore_fencing,
        exits: true,
        ..EngineSettings::default()
    }
}
