//! The arguments of the endpoints.

use std::net::SocketAddr;

use chicoryford_standin::engine::EngineSettings;
use clap::Args;
use eyre::Result;

#[derive(Args)]
pub struct EngineArgs {
    /// Where it listens.
    #[arg(long)]
    pub listen: SocketAddr,
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
    /// How many engines it gives its weights to at once.
    #[arg(long, default_value_t = 2)]
    feeds: usize,
    /// Bytes a second that it gives.
    #[arg(long, default_value_t = 64 << 20)]
    link: u64,
    /// Ignore fencing numbers.
    #[arg(long)]
    ignore_fencing: bool,
}

#[derive(Args)]
pub struct ServiceArgs {
    /// Where it listens.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Its name.
    #[arg(long, default_value = "labels")]
    pub name: String,
    /// Milliseconds of a call.
    #[arg(long, default_value_t = 10)]
    pub delay_ms: u64,
}

#[derive(Args)]
pub struct ScorerArgs {
    /// Where it listens.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Milliseconds of a call.
    #[arg(long, default_value_t = 2)]
    pub delay_ms: u64,
}

#[derive(Args)]
pub struct StoreArgs {
    /// Where it listens.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Bytes of one version.
    #[arg(long, default_value_t = 1 << 20)]
    pub size: usize,
    /// Bytes a second.
    #[arg(long, default_value_t = 64 << 20)]
    pub rate: u64,
}

fn model(text: &str) -> Result<(String, u64)> {
    let (name, version) = text.split_once('=').unwrap_or((text, "1"));
    Ok((name.to_owned(), version.parse()?))
}

/// Gives the engine's settings.
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
