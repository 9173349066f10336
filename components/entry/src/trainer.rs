//! Handlers of the trainer API: open a step, pull a batch, acknowledge a batch.

use std::time::Duration;

use chicoryford_kernel::Phase;
use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_ledger::StepKey;
use chicoryford_ledger::StepSpec;
use chicoryford_types::Code;
use chicoryford_types::Cursor;
use chicoryford_types::Failure;
use chicoryford_types::Template;
use chicoryford_types::Version;
use chicoryford_types::Workspace;
use chicoryford_wire::Call;
use chicoryford_wire::Reply;
use chicoryford_wire::reply;
use serde::Deserialize;
use serde_json::json;

use crate::admit;
use crate::bodies::batch;
use crate::bodies::replicate;
use crate::context::Context;
use crate::steps::Steps;
use crate::steps::propose;
use crate::steps::step::prompt_fingerprint;

/// Retry delay in milliseconds for a pull that found no batch ready.
const NOT_READY_RETRY_MS: u64 = 100;
/// Maximum time for which a pull may wait for a group, in milliseconds. It is shorter than the
/// common response timeout of load balancers.
const MAX_WAIT_MS: u64 = 10_000;

/// Request for a batch.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct PullRequest {
    /// The workspace.
    pub workspace: Workspace,
    /// The cursor: one more than the last acknowledged cursor.
    pub cursor: Cursor,
    /// Maximum number of groups in the batch.
    #[serde(default = "one")]
    pub groups: u32,
    /// The newest version that the trainer has published.
    #[serde(default)]
    pub newest: Version,
    /// Milliseconds to wait for a group if none is complete.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Request to acknowledge a batch.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct AckRequest {
    /// The workspace.
    pub workspace: Workspace,
    /// The cursor of the batch.
    pub cursor: Cursor,
}

fn one() -> u32 {
    1
}

/// Handles a request to open a step.
pub async fn open(context: Context, steps: Steps, call: Call) -> Reply {
    into_reply(try_open(&context, &steps, &call).await)
}

/// Handles a pull of a batch.
pub async fn pull(context: Context, steps: Steps, call: Call) -> Reply {
    into_reply(try_pull(&context, &steps, &call).await)
}

/// Handles the acknowledgement of a batch.
pub async fn ack(context: Context, call: Call) -> Reply {
    into_reply(try_ack(&context, &call).await)
}

pub(crate) fn into_reply(result: Result<Reply, Failure>) -> Reply {
    result.unwrap_or_else(|failure| reply::failure(&failure))
}

async fn try_open(context: &Context, steps: &Steps, call: &Call) -> Result<Reply, Failure> {
    let mut spec: StepSpec = call.json()?;
    let template = authorize(context, call, &spec.workspace)?;
    admit::check_not_draining(
        context.kernel.phases.now(),
        &context.config.current(),
        &context.node,
        &context.data_centre,
    )?;
    check_spec(&spec, &template)?;
    for group in &spec.groups {
        // Samples with a convicted prompt run one at a time, seconds apart. A trainer is told so before
        // anything is owed to it.
        admit::check_not_convicted(prompt_fingerprint(&group.prompt), &context.config.current())?;
    }
    if let Some(identity) = &call.identity {
        spec.trainer = identity.principal.clone();
    }
    let key = StepKey { workspace: spec.workspace.clone(), step: spec.step };
    let bound = template.freshness.versions;
    match propose::ledger_command(context, LedgerCommand::Open { spec, bound }).await? {
        LedgerReply::Opened => {
            steps.step_opened(key);
            Ok(reply::json(200, &json!({"opened": true})))
        }
        LedgerReply::Conflict | LedgerReply::Closed => {
            let detail = "the step is open with different content, or was closed";
            Err(Failure::not_run(Code::Conflict, detail))
        }
        other => Err(refusal_failure(&other)),
    }
}

fn check_spec(spec: &StepSpec, template: &Template) -> Result<(), Failure> {
    let malformed = |detail: String| Err(Failure::not_run(Code::BadRequest, detail));
    if !template.models.contains(&spec.model) {
        return malformed(format!("{:?} is not among the workspace's models", spec.model));
    }
    if spec.groups.is_empty() || spec.samples == 0 {
        return malformed("a step needs at least one group and one sample per group".to_owned());
    }
    let bound = template.limits.tokens;
    if spec.max_tokens == 0 || spec.max_tokens > bound {
        return malformed(format!("max_tokens must be between 1 and {bound}"));
    }
    Ok(())
}

async fn try_pull(context: &Context, steps: &Steps, call: &Call) -> Result<Reply, Failure> {
    let pull: PullRequest = call.json()?;
    authorize(context, call, &pull.workspace)?;
    let own = pull.workspace.clone();
    match wait_for_batch(context, steps, pull).await? {
        LedgerReply::Batch { cursor, samples, .. } => {
            let bodies = batch::collect(context, &own, cursor, samples).await?;
            Ok(reply::bytes(200, reply::JSON, batch::json(cursor, &bodies)))
        }
        LedgerReply::NotReady => {
            let body = json!({"ready": false, "retry_ms": NOT_READY_RETRY_MS});
            Ok(reply::json(202, &body))
        }
        LedgerReply::BadCursor { expected } => {
            let detail = format!("the cursor to pull is {expected}");
            Err(Failure::not_run(Code::Conflict, detail))
        }
        other => Err(refusal_failure(&other)),
    }
}

/// Queries the ledger for a batch until one is ready or the trainer's waiting time is over. It
/// waits only while the reply is "not ready"; every other reply is final and returned immediately.
///
/// A trainer that polls would idle for half of its polling interval per group on average, and each
/// of its queries adds an entry to the replicated log.
async fn wait_for_batch(
    context: &Context,
    steps: &Steps,
    pull: PullRequest,
) -> Result<LedgerReply, Failure> {
    let PullRequest { workspace, cursor, groups, newest, wait_ms } = pull;
    let until = context.now() + wait_ms.min(MAX_WAIT_MS);
    let mut waiter = steps.pull_notifier.subscribe(&workspace);
    let command = LedgerCommand::Pull { workspace, cursor, groups, newest };
    loop {
        waiter.mark_seen();
        let reply = propose::ledger_command(context, command.clone()).await?;
        let left = until.since(context.now());
        let phases = &context.kernel.phases;
        if reply != LedgerReply::NotReady || left == 0 || phases.now() > Phase::Running {
            return Ok(reply);
        }
        tokio::select! {
            () = phases.reached(Phase::Draining) => {}
            () = waiter.wait(Duration::from_millis(left)) => {}
        }
    }
}

async fn try_ack(context: &Context, call: &Call) -> Result<Reply, Failure> {
    let AckRequest { workspace, cursor } = call.json()?;
    authorize(context, call, &workspace)?;
    let own = workspace.clone();
    match propose::ledger_command(context, LedgerCommand::Ack { workspace, cursor }).await? {
        LedgerReply::Acked => {
            let held = context.bodies.take_batch(&own, cursor);
            actix_rt::spawn(replicate::discard(context.clone(), held));
            Ok(reply::json(200, &json!({"acknowledged": cursor})))
        }
        LedgerReply::BadCursor { expected } => {
            let detail = format!("the cursor to acknowledge is {expected}");
            Err(Failure::not_run(Code::Conflict, detail))
        }
        other => Err(refusal_failure(&other)),
    }
}

/// Checks that the caller is one of the trainers of the template, and returns the template.
///
/// # Errors
///
/// Returns a failure with [`Code::Forbidden`], or that of [`admit::find_template`].
pub(crate) fn authorize(
    context: &Context,
    call: &Call,
    workspace: &Workspace,
) -> Result<Template, Failure> {
    let config = context.config.current();
    let template = admit::find_template(workspace, &config)?;
    let is_trainer =
        call.identity.as_ref().is_some_and(|who| template.trainers.contains(&who.principal));
    if !is_trainer {
        let detail = format!("the token does not belong to a trainer of workspace {workspace}");
        return Err(Failure::not_run(Code::Forbidden, detail));
    }
    Ok(template.clone())
}

fn refusal_failure(reply: &LedgerReply) -> Failure {
    match reply {
        LedgerReply::Missing => Failure::not_run(Code::NotFound, "no step with this name is open"),
        LedgerReply::Full => {
            let failure = Failure::not_run(Code::Overloaded, "the ledger is full");
            failure.retry_after(NOT_READY_RETRY_MS * 10)
        }
        other => Failure::not_run(Code::Conflict, format!("the ledger refused: {other:?}")),
    }
}
