//! Handler with which trainers publish weights.

use std::time::Duration;

use chicoryford_state::Command;
use chicoryford_state::Refusal;
use chicoryford_state::Reply as StateReply;
use chicoryford_types::ChangeId;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Model;
use chicoryford_types::Version;
use chicoryford_types::Workspace;
use chicoryford_wire::Call;
use chicoryford_wire::Reply;
use chicoryford_wire::reply;
use serde::Deserialize;
use serde_json::json;

use crate::context::Context;
use crate::trainer::authorize;
use crate::trainer::into_reply;

/// Timeout for committing a publication.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Request to publish weights.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct PublishRequest {
    /// The workspace on whose behalf the weights are published.
    pub workspace: Workspace,
    /// The model.
    pub model: Model,
    /// The version, greater than all published before.
    pub version: Version,
    /// Location of the version in the weight store.
    pub source: String,
    /// Identifies resends of the request. If it is missing, an identifier is generated.
    #[serde(default)]
    pub change: Option<ChangeId>,
}

/// Handles a publication of weights.
pub async fn publish(context: Context, call: Call) -> Reply {
    into_reply(try_publish(&context, &call).await)
}

async fn try_publish(context: &Context, call: &Call) -> Result<Reply, Failure> {
    let PublishRequest { workspace, model, version, source, change } = call.json()?;
    let template = authorize(context, call, &workspace)?;
    if !template.models.contains(&model) {
        let detail = format!("{model:?} is not among the workspace's models");
        return Err(Failure::not_run(Code::Forbidden, detail));
    }
    let generated = || {
        let issued = chicoryford_kernel::unix().0;
        ChangeId(format!("{issued}.{model}-{version}"))
    };
    let change = change.unwrap_or_else(generated);
    let command =
        Command::Publish { change, model: model.clone(), version, source: source.clone() };
    match context.proposer.propose(&command, COMMIT_TIMEOUT).await? {
        StateReply::Accepted { at, .. } => {
            Ok(reply::json(200, &json!({"version": version, "at": at.to_string()})))
        }
        StateReply::Refused(Refusal::NotNewer(newest)) => {
            let config = context.config.current();
            let published = config.weights.get(&model);
            if published
                .is_some_and(|weights| weights.version == version && weights.source == source)
            {
                return Ok(reply::json(200, &json!({"version": version, "at": "before"})));
            }
            let detail = format!("version {newest} is already published");
            Err(Failure::not_run(Code::Conflict, detail))
        }
        StateReply::Failed(failure) => Err(failure),
        other => {
            let detail = format!("the publication was refused: {other:?}");
            Err(Failure::not_run(Code::Conflict, detail))
        }
    }
}
