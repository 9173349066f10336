//! Speaks to a deployment as its operators do.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use chicoryford_config::in_force::InForce;
use chicoryford_state::Base;
use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_state::change_id;
use chicoryford_types::Members;
use chicoryford_types::Model;
use chicoryford_types::Position;
use chicoryford_types::Principal;
use chicoryford_types::Template;
use chicoryford_types::Unix;
use chicoryford_types::Workspace;
use chicoryford_types::request::Class;
use chicoryford_wire::Client;
use chicoryford_wire::paths;
use eyre::Result;
use eyre::eyre;
use serde::de::DeserializeOwned;

const BOUND: usize = 64 << 20;
const PATIENCE: Duration = Duration::from_secs(10);

/// An operator, with what is in force as the operator saw it last.
pub struct Operator {
    client: Client,
    address: SocketAddr,
    bases: BTreeMap<String, Base>,
    changes: u64,
    /// The position of the last change that was accepted.
    pub at: Position,
}

impl Operator {
    /// Makes an operator that speaks to the process at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::new(Some("operator-token".to_owned()), None);
        Self { client, address, bases: BTreeMap::new(), changes: 0, at: Position::default() }
    }

    /// Reads JSON from a process.
    pub async fn get<T: DeserializeOwned>(&self, from: SocketAddr, path: &str) -> Result<T> {
        let url = self.client.url(&from.to_string(), path);
        let mut answer = self
            .client
            .get(&url)
            .timeout(PATIENCE)
            .send()
            .await
            .map_err(|error| eyre!("{url}: {error}"))?;
        let body = answer.body().limit(BOUND).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Counts the processes that are alive in the eyes of the process asked.
    pub async fn present(&self) -> Result<usize> {
        let members: Members = self.get(self.address, paths::MEMBERS).await?;
        Ok(members.present().count())
    }

    /// Tells whether the last change is in force at all `wanted` processes.
    pub async fn everywhere(&self, wanted: usize) -> Result<bool> {
        let (epoch, revision) = (self.at.epoch.0, self.at.revision.0);
        let path = format!("{}?at={epoch}.{revision}", paths::IN_FORCE);
        let judged: InForce = self.get(self.address, &path).await?;
        Ok(judged.everywhere && judged.processes >= wanted)
    }

    /// Adds or changes a template of ten callers and three models; each time it differs.
    pub async fn put(&mut self, workspace: &str) -> Result<()> {
        self.changes += 1;
        let template = template(workspace, self.changes);
        let base = self.bases.get(workspace).copied().unwrap_or_default();
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
        let change = change_id(Unix(now.as_millis() as u64), self.changes);
        let digest = template.digest();
        let command = Command::Apply { change, template: Box::new(template), base };
        let url = self.client.url(&self.address.to_string(), paths::OPERATE);
        let request = self.client.post(&url).timeout(PATIENCE);
        let mut answer =
            request.send_json(&command).await.map_err(|error| eyre!("{url}: {error}"))?;
        let body = answer.body().limit(BOUND).await?;
        match serde_json::from_slice(&body) {
            Ok(Reply::Accepted { at, version }) => {
                self.at = at;
                self.bases.insert(workspace.to_owned(), Base { version, digest });
                Ok(())
            }
            _ => Err(eyre!("refused: {}", String::from_utf8_lossy(&body))),
        }
    }
}

fn template(workspace: &str, change: u64) -> Template {
    let others = (0..9).map(|n| (Principal(format!("caller-{workspace}-{n}")), Class::Normal));
    let mut callers: BTreeMap<_, _> = others.collect();
    callers.insert(Principal::from("desk"), Class::Normal);
    let mut models: Vec<_> = (0..2).map(|n| Model(format!("model-{workspace}-{n}"))).collect();
    models.push(Model::from("model"));
    Template {
        workspace: Workspace::from(workspace),
        title: format!("change {change}"),
        models,
        callers,
        limits: chicoryford_types::template::Limits {
            rate: 1_000_000,
            running: 1_000_000,
            tokens: 100_000,
        },
        deadline_ms: 600_000,
        ..Template::default()
    }
}
