//! The command line arguments of trainers and callers.

use std::path::PathBuf;

use chicoryford_standin::caller::CallerSettings;
use chicoryford_standin::trainer::TrainerSettings;
use chicoryford_wire::keys::KeyError;
use chicoryford_wire::keys::read_token;
use clap::Args;

/// The arguments that trainers and callers share.
#[derive(Args)]
pub struct EntryArgs {
    /// The address of an entry; may be repeated.
    #[arg(long = "entry", required = true)]
    entries: Vec<String>,
    /// The file whose first line is the token.
    #[arg(long)]
    token: PathBuf,
    /// The workspace.
    #[arg(long)]
    workspace: String,
    /// The model or service.
    #[arg(long)]
    model: String,
    /// Seconds for which to run.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// The seed of prompts, samples and gaps.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Args)]
pub struct TrainerArgs {
    #[command(flatten)]
    entry: EntryArgs,
    /// Groups per step.
    #[arg(long, default_value_t = 8)]
    groups: u32,
    /// Samples per group.
    #[arg(long, default_value_t = 4)]
    samples: u32,
    /// Maximum number of tokens of a sample.
    #[arg(long, default_value_t = 256)]
    max_tokens: u32,
    /// The bound on staleness, in versions.
    #[arg(long)]
    freshness: Option<u64>,
    /// Training time of a group, in milliseconds.
    #[arg(long, default_value_t = 20)]
    train_ms: u64,
    /// Steps opened ahead of the oldest incomplete one.
    #[arg(long, default_value_t = 0)]
    ahead: usize,
    /// Time for which the entry holds a pull until a group is available, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    wait_ms: u64,
    /// Interval between publications of weights, in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    publish_ms: u64,
    /// The address of the weight store, as http://address.
    #[arg(long, default_value = "")]
    source: String,
}

#[derive(Args)]
pub struct CallerArgs {
    #[command(flatten)]
    entry: EntryArgs,
    /// The name of the caller in its records.
    #[arg(long, default_value = "caller")]
    name: String,
    /// Call a plain service instead of a model.
    #[arg(long)]
    service: bool,
    /// Calls may be executed once only; each carries an idempotency key.
    #[arg(long)]
    once: bool,
    /// The class: batch, normal or urgent.
    #[arg(long)]
    class: Option<String>,
    /// The deadline of a request, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    deadline_ms: u64,
    /// Requests per second.
    #[arg(long, default_value_t = 10.0)]
    rate: f64,
    /// Maximum number of tokens of an answer.
    #[arg(long, default_value_t = 64)]
    max_tokens: u32,
}

impl TrainerArgs {
    /// Converts the arguments to the trainer's settings.
    pub fn settings(self) -> Result<TrainerSettings, KeyError> {
        Ok(TrainerSettings {
            token: read_token(&self.entry.token)?,
            entries: self.entry.entries,
            workspace: self.entry.workspace,
            model: self.entry.model,
            seconds: self.entry.seconds,
            seed: self.entry.seed,
            groups: self.groups,
            samples: self.samples,
            max_tokens: self.max_tokens,
            freshness: self.freshness,
            train_ms: self.train_ms,
            ahead: self.ahead,
            wait_ms: self.wait_ms,
            publish_ms: self.publish_ms,
            source: self.source,
            ..TrainerSettings::default()
        })
    }
}

impl CallerArgs {
    /// Converts the arguments to the caller's settings.
    pub fn settings(self) -> Result<CallerSettings, KeyError> {
        Ok(CallerSettings {
            token: read_token(&self.entry.token)?,
            entries: self.entry.entries,
            workspace: self.entry.workspace,
            model: self.entry.model,
            seconds: self.entry.seconds,
            seed: self.entry.seed,
            name: self.name,
            service: self.service,
            repeatable: !self.once,
            class: self.class,
            deadline_ms: self.deadline_ms,
            rate: self.rate,
            max_tokens: self.max_tokens,
        })
    }
}
