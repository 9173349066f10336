//! What trainers call to publish weights.

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

/// The longest wait for a publication to be committed.
const PUBLISH: Duration = Duration::from_secs(10);

/// Publishes weights.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct PublishRequest {
    /// The workspace on whose behalf.
    pub workspace: Workspace,
    /// The model.
    pub model: Model,
    /// The version, greater than any before.
    pub version: Version,
    /// Where the weight store has it.
    pub source: String,
    /// Recognises a resend; drawn if it is left out.
    #[serde(default)]
    pub change: Option<ChangeId>,
}

/// Publishes weights.
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
    let drawn = || {
        let issued = chicoryford_kernel::unix().0;
        ChangeId(format!("{issued}.{model}-{version}"))
    };
    let change = change.unwrap_or_else(drawn);
    let command =
        Command::Publish { change, model: model.clone(), version, source: source.clone() };
    match context.proposer.propose(&command, PUBLISH).await? {
        StateReply::Accepted { at, .. } => {
            Ok(reply::json(200, &json!({"version": version, "at": at.to_string()})))
        }
        StateReply::Refused(Refusal::NotNewer(newest)) => {
            let config = context.config.current();
            let held = config.weights.get(&model);
            if held.is_some_and(|held| held.version == version && held.source == source) {
                return Ok(reply::json(200, &json!({"version": version, "at": "before"})));
            }
            let detail = format!("version {newest} was published before");
            Err(Failure::not_run(Code::Conflict, detail))
        }
        StateReply::Failed(failure) => Err(failure),
        other => {
            let detail = format!("the publication was refused: {other:?}");
            Err(Failure::not_run(Code::Conflict, detail))
        }
    }
}
