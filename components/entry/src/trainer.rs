//! What trainers call: open a step, pull, acknowledge.

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

/// When to pull again after nothing was ready, in milliseconds.
const READY_RETRY: u64 = 100;
/// The longest time for which a pull may wait for a group, in milliseconds. It is shorter than the
/// time after which load balancers commonly give up on an answer.
const WAIT_BOUND: u64 = 10_000;

/// Asks for a batch.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct PullRequest {
    /// The workspace.
    pub workspace: Workspace,
    /// The cursor: one more than the last acknowledged.
    pub cursor: Cursor,
    /// Groups wanted at most.
    #[serde(default = "one")]
    pub groups: u32,
    /// The newest version that the trainer has published.
    #[serde(default)]
    pub newest: Version,
    /// Milliseconds for which to wait for a group if none is whole.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Acknowledges a batch.
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

/// Opens a step.
pub async fn open(context: Context, steps: Steps, call: Call) -> Reply {
    into_reply(try_open(&context, &steps, &call).await)
}

/// Hands out a batch.
pub async fn pull(context: Context, steps: Steps, call: Call) -> Reply {
    into_reply(try_pull(&context, &steps, &call).await)
}

/// Takes an acknowledgement.
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
    check(&spec, &template)?;
    for group in &spec.groups {
        // The step could never be whole, and its trainer would wait for it.
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
            let detail = "the step is open with other content, or was closed";
            Err(Failure::not_run(Code::Conflict, detail))
        }
        other => Err(refused(&other)),
    }
}

fn check(spec: &StepSpec, template: &Template) -> Result<(), Failure> {
    let malformed = |detail: String| Err(Failure::not_run(Code::BadRequest, detail));
    if !template.models.contains(&spec.model) {
        return malformed(format!("{:?} is not among the workspace's models", spec.model));
    }
    if spec.groups.is_empty() || spec.samples == 0 {
        return malformed("a step needs groups, and samples of each".to_owned());
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
            let bodies = batch::gather(context, &own, cursor, samples).await?;
            Ok(reply::bytes(200, reply::JSON, batch::json(cursor, &bodies)))
        }
        LedgerReply::NotReady => {
            let body = json!({"ready": false, "retry_ms": READY_RETRY});
            Ok(reply::json(202, &body))
        }
        LedgerReply::BadCursor { expected } => {
            let detail = format!("cursor {expected} is the one to pull");
            Err(Failure::not_run(Code::Conflict, detail))
        }
        other => Err(refused(&other)),
    }
}

/// Asks the ledger for a batch, again and again until there is one or the time is over that the
/// trainer wants to wait. Only "not ready" is waited on; every other answer is final and is given
/// at once.
///
/// A trainer that asked again by itself would idle for half of its pause for each group, and
/// each of its questions is an entry of the replicated log.
async fn wait_for_batch(
    context: &Context,
    steps: &Steps,
    pull: PullRequest,
) -> Result<LedgerReply, Failure> {
    let PullRequest { workspace, cursor, groups, newest, wait_ms } = pull;
    let until = context.now() + wait_ms.min(WAIT_BOUND);
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
            let detail = format!("cursor {expected} is the one to acknowledge");
            Err(Failure::not_run(Code::Conflict, detail))
        }
        other => Err(refused(&other)),
    }
}

/// Lets in the trainers that the template names.
pub(crate) fn authorize(
    context: &Context,
    call: &Call,
    workspace: &Workspace,
) -> Result<Template, Failure> {
    let config = context.config.current();
    let template = admit::find_template(workspace, &config)?;
    let named =
        call.identity.as_ref().is_some_and(|who| template.trainers.contains(&who.principal));
    if !named {
        let detail = format!("the token's holder is not among the trainers of {workspace}");
        return Err(Failure::not_run(Code::Forbidden, detail));
    }
    Ok(template.clone())
}

fn refused(reply: &LedgerReply) -> Failure {
    match reply {
        LedgerReply::Missing => Failure::not_run(Code::NotFound, "no step of that name is open"),
        LedgerReply::Full => {
            let failure = Failure::not_run(Code::Overloaded, "the ledger is full");
            failure.retry_after(READY_RETRY * 10)
        }
        other => Failure::not_run(Code::Conflict, format!("the ledger refused: {other:?}")),
    }
}
