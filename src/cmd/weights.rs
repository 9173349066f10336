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

/// The versions of a model that endpoints run.
#[derive(Debug, Serialize)]
struct Distribution {
    model: Model,
    newest: Version,
    source: String,
    endpoints: BTreeMap<Version, u32>,
    /// The progress reported by the leader of the control processes; `None` if it was not reached.
    progress: Option<Progress>,
}

/// Publishes weights, or prints the progress of their distribution.
///
/// # Errors
///
/// Returns [`CmdError`] if the change was not accepted or no process answers.
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
    let distributions = distributions(&config, &members, &progress);
    let rows = distributions.iter().map(row).collect();
    let header = ["model", "newest", "source", "endpoints", "loading", "took", "troubles"];
    View::new(&distributions, &header, rows).print(format);
    Ok(())
}

/// Queries the control processes in turn until the leader answers; only it tracks the progress.
async fn progress(to: &Connection, members: &Members) -> Vec<Progress> {
    for member in members.present().filter(|member| member.roles.control) {
        let Ok(status) = to.control(&member.address).await else { continue };
        if status.lease_ms > 0 {
            return status.weights;
        }
    }
    Vec::new()
}

fn distributions(config: &Config, members: &Members, progress: &[Progress]) -> Vec<Distribution> {
    let distribution =
        |(model, published): (&Model, &chicoryford_types::config::Published)| Distribution {
            model: model.clone(),
            newest: published.version,
            source: published.source.clone(),
            endpoints: count_endpoints(members, model),
            progress: progress.iter().find(|known| known.model == *model).cloned(),
        };
    config.weights.iter().map(distribution).collect()
}

fn count_endpoints(members: &Members, model: &Model) -> BTreeMap<Version, u32> {
    let mut counts = BTreeMap::new();
    let endpoints = members.present().filter_map(|member| member.endpoint.as_ref());
    for version in endpoints.filter_map(|info| info.models.get(model)) {
        *counts.entry(*version).or_default() += 1;
    }
    counts
}

fn row(distribution: &Distribution) -> Vec<String> {
    let counts = distribution.endpoints.iter().map(|(version, n)| format!("{n} at {version}"));
    vec![
        distribution.model.to_string(),
        distribution.newest.to_string(),
        distribution.source.clone(),
        counts.collect::<Vec<_>>().join(", "),
        distribution.progress.as_ref().map(|known| known.loading.to_string()).unwrap_or_default(),
        distribution.progress.as_ref().map(duration).unwrap_or_default(),
        distribution.progress.as_ref().map(troubles).unwrap_or_default(),
    ]
}

fn duration(progress: &Progress) -> String {
    progress.took_ms.map_or("in progress".to_owned(), |ms| format!("{:.1} s", ms as f64 / 1_000.0))
}

fn troubles(progress: &Progress) -> String {
    let each = progress.troubles.iter().map(|trouble| {
        let end = if trouble.missing { "given up" } else { "tried again" };
        format!("{} {end} after {}: {}", trouble.endpoint, trouble.failures, trouble.reason)
    });
    each.collect::<Vec<_>>().join("; ")
}
