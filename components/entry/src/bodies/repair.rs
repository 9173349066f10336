//! Copies bodies that lost a holder, and reopens samples that lost all holders.

use bytes::Bytes;
use chicoryford_bodies::rank_candidates;
use chicoryford_ledger::HOLDERS_PER_BODY;
use chicoryford_ledger::Holder;
use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::UnderReplicated;
use chicoryford_types::Member;
use chicoryford_types::Node;
use futures_util::StreamExt;
use futures_util::stream;

use crate::bodies::fetch;
use crate::bodies::fetch::Search;
use crate::bodies::handle::HeldBody;
use crate::bodies::replicate;
use crate::context::Context;
use crate::steps::propose;

/// Maximum number of concurrent repairs.
const MAX_REPAIRS: usize = 8;

/// Lists the entries that may store bodies, as holders in the ledger.
pub fn eligible_holders(context: &Context) -> Vec<Holder> {
    replicate::eligible_entries(context).iter().map(holder).collect()
}

fn holder(member: &Member) -> Holder {
    Holder { node: member.node.clone(), incarnation: member.incarnation }
}

/// Repairs bodies that have too few holders.
pub async fn repair(context: Context, lacking: Vec<UnderReplicated>) {
    let count = lacking.len();
    let held: Vec<HeldBody> = lacking.iter().map(|l| (l.name.clone(), l.from.clone())).collect();
    let found = fetch::try_fetch(&context, &held).await;
    let repairs =
        lacking.into_iter().zip(found).map(|(lacking, body)| repair_body(&context, lacking, body));
    let repaired = stream::iter(repairs).buffer_unordered(MAX_REPAIRS).filter(|done| {
        let done = *done;
        async move { done }
    });
    let repaired = repaired.count().await;
    tracing::info!(event = "bodies_repaired", count, mended = repaired);
    context.kernel.metrics.count("entry.bodies.repaired", repaired as i64);
}

async fn repair_body(context: &Context, lacking: UnderReplicated, body: Search) -> bool {
    match body {
        Search::Found(bytes) => copy(context, lacking, &bytes).await,
        Search::Unanswered => {
            log_not_repaired(&lacking, "a live entry does not answer");
            false
        }
        Search::Lost => reopen(context, lacking).await,
    }
}

fn log_not_repaired(lacking: &UnderReplicated, why: &str) {
    let (group, number) = (lacking.name.group, lacking.name.number);
    tracing::warn!(event = "body_not_repaired", %group, %number, sealed = lacking.sealed, why);
}

/// Copies a body to other processes and records the new holders. The ledger refuses the change if
/// another repair was faster.
async fn copy(context: &Context, lacking: UnderReplicated, bytes: &Bytes) -> bool {
    let UnderReplicated { name, from, .. } = lacking;
    let entries = replicate::eligible_entries(context);
    let is_up = |h: &&Holder| entries.iter().any(|member| holder(member) == **h);
    let mut to: Vec<Holder> = from.iter().filter(is_up).cloned().collect();
    let kept: Vec<Node> = to.iter().map(|holder| holder.node.clone()).collect();
    let queue = rank_candidates(&name, &replicate::candidates(&entries), &kept);
    let wanted = HOLDERS_PER_BODY.saturating_sub(to.len());
    let added = replicate::put(context, &name, bytes, queue, wanted).await;
    if added.is_empty() {
        return false;
    }
    to.extend(added);
    let command = LedgerCommand::Rehold { name, from, to };
    propose_repair(context, command).await
}

/// Reopens a sample whose bytes no live entry has, so that it runs again. A sample that is part of a
/// batch cannot run again (docs/STEPS.md).
async fn reopen(context: &Context, lacking: UnderReplicated) -> bool {
    if lacking.sealed {
        log_not_repaired(&lacking, "it is in a batch");
        return false;
    }
    let eligible = eligible_holders(context);
    if lacking.from.iter().any(|holder| eligible.contains(holder)) {
        log_not_repaired(&lacking, "a holder that is up does not have it");
        return false;
    }
    let UnderReplicated { name, from, .. } = lacking;
    let (group, number) = (name.group, name.number);
    tracing::warn!(event = "sample_reopened", %group, %number);
    propose_repair(context, LedgerCommand::Lost { name, from }).await
}

async fn propose_repair(context: &Context, command: LedgerCommand) -> bool {
    match propose::ledger_command(context, command).await {
        Ok(reply) => {
            tracing::debug!(event = "body_mended", ?reply);
            true
        }
        Err(failure) => {
            tracing::info!(event = "body_not_mended", %failure);
            false
        }
    }
}
