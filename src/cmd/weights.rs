//! `chicoryford weights`.

use std::collections::BTreeMap;

use chicoryford_state::Command;
use chicoryford_types::Config;
use chicoryford_types::Members;
use chicoryford_types::Model;
use chicoryford_types::Version;
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
            let id = change::id(args);
            let command = Command::Publish {
                change: id.clone(),
                model: Model::from(model.as_str()),
                version: Version(*version),
                source: source.clone(),
            };
            let what = format!("weights {model}@{version}");
            let done = change::submit(to, what, &id, &command, args).await?;
            change::print(&[done], format);
            Ok(())
        }
    }
}

async fn status(to: &Connection, format: Format) -> Result<(), CmdError> {
    let (config, members) = (to.config().await?, to.members().await?);
    let spreads = spreads(&config, &members);
    let rows = spreads.iter().map(row).collect();
    View::new(&spreads, &["model", "newest", "source", "endpoints"], rows).print(format);
    Ok(())
}

fn spreads(config: &Config, members: &Members) -> Vec<Spread> {
    let spread = |(model, published): (&Model, &chicoryford_types::config::Published)| Spread {
        model: model.clone(),
        newest: published.version,
        source: published.source.clone(),
        endpoints: count(members, model),
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
    ]
}
