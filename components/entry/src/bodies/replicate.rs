//! Stores a body at enough entries, and drops it there when it is no longer needed.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_bodies::Candidate;
use chicoryford_bodies::is_inline;
use chicoryford_bodies::message::Drop;
use chicoryford_bodies::message::Dropped;
use chicoryford_bodies::message::Put;
use chicoryford_bodies::message::Stored;
use chicoryford_bodies::rank_candidates;
use chicoryford_kernel::Phase;
use chicoryford_ledger::Body;
use chicoryford_ledger::BodyName;
use chicoryford_ledger::HOLDERS_PER_BODY;
use chicoryford_ledger::Holder;
use chicoryford_ledger::StepKey;
use chicoryford_types::Group;
use chicoryford_types::Member;
use chicoryford_types::Node;
use chicoryford_wire::paths;
use futures_util::StreamExt;
use futures_util::stream;
use futures_util::stream::FuturesUnordered;

use crate::admit;
use crate::bodies::handle::HeldBody;
use crate::bodies::routes;
use crate::context::Context;

/// Timeout for storing a body at one process, after which the next one is tried.
const PUT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent calls that drop the bodies of a batch.
const MAX_DROPS: usize = 16;

/// Lists the entries that may store bodies: those that are present and not leaving.
pub fn eligible_entries(context: &Context) -> Vec<Member> {
    let (members, config) = (context.members.view(), context.config.current());
    let is_eligible = |member: &&Member| {
        let (node, data_centre) = (&member.node, &member.data_centre);
        let is_here = *node == context.node;
        let is_staying =
            admit::check_not_draining(Phase::Running, &config, node, data_centre).is_ok();
        member.roles.entry && is_staying && !(is_here && is_leaving(context))
    };
    members.present().filter(is_eligible).cloned().collect()
}

/// Returns whether this entry is leaving, because of a planned stop or a signal.
pub fn is_leaving(context: &Context) -> bool {
    let (phase, config) = (context.kernel.phases.now(), context.config.current());
    admit::check_not_draining(phase, &config, &context.node, &context.data_centre).is_err()
}

/// Stores a body at [`HOLDERS_PER_BODY`] processes before it is recorded in the ledger. The body is
/// kept inline in the ledger if it is small or too few processes accept it.
///
/// If the stores of all entries are full, the ledger's own limit refuses the sample. The ledger
/// exempts the oldest step, so that it can complete and free capacity.
pub async fn replicate(context: &Context, name: &BodyName, bytes: &Bytes) -> Body {
    let candidates = candidates(&eligible_entries(context));
    if is_inline(bytes.len(), candidates.len()) {
        return Body::Inline(bytes.clone());
    }
    let queue = rank_candidates(name, &candidates, &[]);
    let holders = put(context, name, bytes, queue, HOLDERS_PER_BODY).await;
    if holders.len() < HOLDERS_PER_BODY {
        tracing::warn!(event = "body_kept_inline", holders = holders.len(), size = bytes.len());
        context.kernel.metrics.count("entry.bodies.inline", 1);
        return Body::Inline(bytes.clone());
    }
    Body::Held(holders)
}

/// Converts entries to candidates for the placement of bodies.
pub fn candidates(entries: &[Member]) -> Vec<Candidate> {
    let candidate = |member: &Member| Candidate {
        node: member.node.clone(),
        data_centre: member.data_centre.clone(),
    };
    entries.iter().map(candidate).collect()
}

/// Stores a body at `wanted` processes. For each one that refuses it, the next in the queue is
/// tried.
pub async fn put(
    context: &Context,
    name: &BodyName,
    bytes: &Bytes,
    queue: Vec<Node>,
    wanted: usize,
) -> Vec<Holder> {
    let mut queue = VecDeque::from(queue);
    let mut holders = Vec::new();
    let first = queue.drain(..wanted.min(queue.len()));
    let mut puts: FuturesUnordered<_> =
        first.map(|node| put_at(context, name, bytes, node)).collect();
    while let Some(stored) = puts.next().await {
        match stored {
            Some(holder) => holders.push(holder),
            None => puts.extend(queue.pop_front().map(|next| put_at(context, name, bytes, next))),
        }
    }
    holders.sort();
    holders
}

async fn put_at(context: &Context, name: &BodyName, bytes: &Bytes, node: Node) -> Option<Holder> {
    let put = Put { name: name.clone(), bytes: bytes.clone() };
    if node == context.node {
        return routes::store(context, put).ok().map(|stored| stored.holder);
    }
    let address = context.members.view().known.get(&node)?.member.address.clone();
    let stored = context.client.call(&address, paths::BODY_PUT, &put, PUT_TIMEOUT);
    let stored: Result<Stored, _> = stored.await;
    match stored {
        Ok(stored) => Some(stored.holder),
        Err(error) => {
            tracing::info!(event = "body_not_stored", %node, %error);
            None
        }
    }
}

/// Drops the bodies of an acknowledged batch at all live entries. A copy may lie at an entry that the
/// ledger does not name: it was stored, and its holder was not recorded. Entries that are not
/// reached drop them after their next audit.
pub async fn discard(context: Context, held: Vec<HeldBody>) {
    let groups: BTreeSet<(StepKey, Group)> =
        held.iter().map(|(name, _)| (name.key.clone(), name.group)).collect();
    if groups.is_empty() {
        return;
    }
    let drop = Drop {
        names: held.into_iter().map(|(name, _)| name).collect(),
        groups: groups.into_iter().collect(),
    };
    routes::remove(&context, &drop);
    let members = context.members.view();
    let is_other = |member: &&Member| member.roles.entry && member.node != context.node;
    let drops = members.present().filter(is_other).map(|member| drop_at(&context, member, &drop));
    stream::iter(drops).buffer_unordered(MAX_DROPS).collect::<()>().await;
}

async fn drop_at(context: &Context, member: &Member, drop: &Drop) {
    let dropped = context.client.call(&member.address, paths::BODY_DROP, drop, PUT_TIMEOUT);
    let dropped: Result<Dropped, _> = dropped.await;
    if let Err(error) = dropped {
        tracing::debug!(event = "bodies_not_dropped", node = %member.node, %error);
    }
}
