//! `chicoryford weights`.

use std::collections::BTreeMap;

use chicoryford_state::Command;
use chicoryford_types::Config;
use chicoryford_types::Members;
use chicoryford_types::Model;
use chicoryford_types::Version;
use chicoryford_weights::Progress;
use serde::Serialize;

use crate::change;
use crate::cli::WeightsCommand;
use crate::connect::Connection;
use crate::error::CmdError;
use crate::output::Format;
use crate::output::View;

/// What runs which version of a model.
#[derive(Debug, Serialize)]
struct Spread {
    model: Model,
    newest: Version,
    source: String,
    endpoints: BTreeMap<Version, u32>,
    /// What the leader of the control processes says; none if it was not reached.
    progress: Option<Progress>,
}

/// Publishes weights or shows how far they have come.
///
/// # Errors
///
/// [`CmdError`] if the change was not accepted or no process answers.
pub async fn run(
    to: &Connection,
    command: &WeightsCommand,
    format: Format,
) -> Result<(), CmdError> {
    match command {
        WeightsCommand::Status => status(to, format).await,
        WeightsCommand::Publish { model, version, source, change: args } => {
            let what = format!("weights {model}@{version}");
            let command = |change| Command::Publish {
                change,
                model: Model::from(model.as_str()),
                version: Version(*version),
                source: source.clone(),
            };
            change::run(to, what, args, format, command).await
        }
    }
}

async fn status(to: &Connection, format: Format) -> Result<(), CmdError> {
    let (config, members) = (to.config().await?, to.members().await?);
    let progress = progress(to, &members).await;
    let spreads = spreads(&config, &members, &progress);
    let rows = spreads.iter().map(row).collect();
    let head = ["model", "newest", "source", "endpoints", "loading", "took", "troubles"];
    View::new(&spreads, &head, rows).print(format);
    Ok(())
}

/// Asks the control processes until the one that leads has answered; only it knows the progress.
async fn progress(to: &Connection, members: &Members) -> Vec<Progress> {
    for member in members.present().filter(|member| member.roles.control) {
        let Ok(status) = to.control(&member.address).await else { continue };
        if status.lease_ms > 0 {
            return status.weights;
        }
    }
    Vec::new()
}

fn spreads(config: &Config, members: &Members, progress: &[Progress]) -> Vec<Spread> {
    let spread = |(model, published): (&Model, &chicoryford_types::config::Published)| Spread {
        model: model.clone(),
        newest: published.version,
        source: published.source.clone(),
        endpoints: count(members, model),
        progress: progress.iter().find(|known| known.model == *model).cloned(),
    };
    config.weights.iter().map(spread).collect()
}

fn count(members: &Members, model: &Model) -> BTreeMap<Version, u32> {
    let mut counts = BTreeMap::new();
    let endpoints = members.present().filter_map(|member| member.endpoint.as_ref());
    for version in endpoints.filter_map(|info| info.models.get(model)) {
        *counts.entry(*version).or_default() += 1;
    }
    counts
}

fn row(spread: &Spread) -> Vec<String> {
    let counts = spread.endpoints.iter().map(|(version, n)| format!("{n} at {version}"));
    vec![
        spread.model.to_string(),
        spread.newest.to_string(),
        spread.source.clone(),
        counts.collect::<Vec<_>>().join(", "),
        spread.progress.as_ref().map(|known| known.loading.to_string()).unwrap_or_default(),
        spread.progress.as_ref().map(took).unwrap_or_default(),
        spread.progress.as_ref().map(troubles).unwrap_or_default(),
    ]
}

fn took(progress: &Progress) -> String {
    progress.took_ms.map_or("in progress".to_owned(), |ms| format!("{:.1} s", ms as f64 / 1_000.0))
}

fn troubles(progress: &Progress) -> String {
    let each = progress.troubles.iter().map(|trouble| {
        let end = if trouble.missing { "given up" } else { "tried again" };
        format!("{} {end} after {}: {}", trouble.endpoint, trouble.failures, trouble.reason)
    });
    each.collect::<Vec<_>>().join("; ")
}
