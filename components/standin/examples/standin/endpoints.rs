//! The command line arguments of engines, services, scorers and stores.

use std::net::SocketAddr;

use chicoryford_standin::engine::EngineSettings;
use clap::Args;
use eyre::Result;

#[derive(Args)]
pub struct EngineArgs {
    /// The address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// A model and its initial version, as name=version; may be repeated.
    #[arg(long = "model", value_parser = parse_model)]
    models: Vec<(String, u64)>,
    /// Maximum number of completions that run concurrently.
    #[arg(long, default_value_t = 16)]
    slots: usize,
    /// Microseconds per token.
    #[arg(long, default_value_t = 2_000)]
    token_us: u64,
    /// Tokens per chunk.
    #[arg(long, default_value_t = 4)]
    chunk: u32,
    /// Median length of a completion, in tokens.
    #[arg(long, default_value_t = 48)]
    length: u32,
    /// Duration of a weight swap, in milliseconds.
    #[arg(long, default_value_t = 200)]
    swap_ms: u64,
    /// Maximum number of engines that fetch weights from this one concurrently.
    #[arg(long, default_value_t = 2)]
    feeds: usize,
    /// Rate at which weights are sent to them, in bytes per second.
    #[arg(long, default_value_t = 64 << 20)]
    link: u64,
    /// Ignore fencing numbers.
    #[arg(long)]
    ignore_fencing: bool,
}

#[derive(Args)]
pub struct ServiceArgs {
    /// The address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The name of the service.
    #[arg(long, default_value = "labels")]
    pub name: String,
    /// Duration of a call, in milliseconds.
    #[arg(long, default_value_t = 10)]
    pub delay_ms: u64,
}

#[derive(Args)]
pub struct ScorerArgs {
    /// The address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Duration of a call, in milliseconds.
    #[arg(long, default_value_t = 2)]
    pub delay_ms: u64,
}

#[derive(Args)]
pub struct StoreArgs {
    /// The address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Size of one version, in bytes.
    #[arg(long, default_value_t = 1 << 20)]
    pub size: usize,
    /// Rate for all readers together, in bytes per second.
    #[arg(long, default_value_t = 64 << 20)]
    pub rate: u64,
}

fn parse_model(text: &str) -> Result<(String, u64)> {
    let (name, version) = text.split_once('=').unwrap_or((text, "1"));
    Ok((name.to_owned(), version.parse()?))
}

/// Converts the arguments to the engine's settings.
pub fn engine_settings(args: &EngineArgs) -> EngineSettings {
    let defaults = EngineSettings::default();
    let models = if args.models.is_empty() { defaults.models } else { args.models.clone() };
    EngineSettings {
        models,
        slots: args.slots,
        token_us: args.token_us,
        chunk: args.chunk,
        length: args.length,
        swap_ms: args.swap_ms,
        feeds: args.feeds,
        link: args.link,
        fencing: !args.ignore_fencing,
        exits: true,
        ..EngineSettings::default()
    }
}
