//! Fetches bodies from their holders.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_bodies::is_genuine;
use chicoryford_bodies::message::Found;
use chicoryford_bodies::message::Get;
use chicoryford_ledger::BodyName;
use chicoryford_ledger::Holder;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Members;
use chicoryford_types::Node;
use chicoryford_types::member::Standing;
use chicoryford_wire::paths;
use futures_util::StreamExt;
use futures_util::stream;

use crate::bodies::handle::HeldBody;
use crate::context::Context;

/// Bodies asked for in one call.
const CHUNK: usize = 64;
/// Calls for bodies at once.
const CALLS: usize = 16;
/// The longest wait for one answer. The next holder is asked then.
const PATIENCE: Duration = Duration::from_secs(3);
/// When to try again while a holder that should have a body does not answer, in milliseconds.
const RETRY: u64 = 1_000;

/// Fetches bodies, in the order of the question.
///
/// Each body is asked of one holder after the other until one gives the right bytes. What a
/// holder gives is checked against the digest that the ledger recorded: a trainer must not learn
/// from bytes that no engine produced, and the same cursor must give the same bytes.
///
/// # Errors
///
/// [`Code::NoEndpoint`] if a holder that should have a body does not answer just now,
/// [`Code::SampleLost`] if all holders of one are gone.
pub async fn fetch(context: &Context, held: &[HeldBody]) -> Result<Vec<Bytes>, Failure> {
    let found = try_fetch(context, held).await;
    let mut bodies = Vec::with_capacity(held.len());
    for (body, (name, holders)) in found.into_iter().zip(held) {
        bodies.push(body.ok_or_else(|| missing(context, name, holders))?);
    }
    Ok(bodies)
}

/// Fetches bodies; none for one that no holder gives.
pub async fn try_fetch(context: &Context, held: &[HeldBody]) -> Vec<Option<Bytes>> {
    let mut found: Vec<Option<Bytes>> = vec![None; held.len()];
    let members = context.members.view();
    let mut queues: Vec<Vec<Node>> = held
        .iter()
        .enumerate()
        .map(|(index, (_, holders))| queue(context, &members, holders, index))
        .collect();
    loop {
        let mut asks: BTreeMap<Node, Vec<usize>> = BTreeMap::new();
        for (index, queue) in queues.iter_mut().enumerate() {
            if found[index].is_none()
                && let Some(node) = queue.pop()
            {
                asks.entry(node).or_default().push(index);
            }
        }
        if asks.is_empty() {
            return found;
        }
        let chunks = asks
            .iter()
            .flat_map(|(node, indices)| indices.chunks(CHUNK).map(move |indices| (node, indices)));
        let asked = chunks.map(|(node, indices)| ask(context, node, indices, held));
        let answers: Vec<_> = stream::iter(asked).buffer_unordered(CALLS).collect().await;
        for (index, bytes) in answers.into_iter().flatten() {
            found[index] = Some(bytes);
        }
    }
}

/// Orders holders, the last to be asked first: this process, then those that stand and have not
/// restarted, then those of this data centre; others take turns.
fn queue(context: &Context, members: &Members, holders: &[Holder], turn: usize) -> Vec<Node> {
    let mut ranked: Vec<_> = holders.iter().enumerate().collect();
    ranked.sort_by_key(|(index, holder)| {
        let known = members.known.get(&holder.node);
        let is_near = known.is_some_and(|known| known.member.data_centre == context.data_centre);
        let is_own = holder.node == context.node;
        (is_own, has_kept(members, holder), is_near, (index + turn) % holders.len().max(1))
    });
    let mut queue: Vec<_> = ranked.into_iter().map(|(_, holder)| holder.node.clone()).collect();
    // A copy lies here before the ledger names this process as a holder. If the owner of the step
    // dies in between, all that it names may be gone while the bytes are here: the trainer would be
    // told that a sample is lost, and nobody would ever repair it.
    if queue.last() != Some(&context.node) {
        queue.push(context.node.clone());
    }
    queue
}

/// Tells whether a holder runs since it took the body, as far as this process knows.
fn has_kept(members: &Members, holder: &Holder) -> bool {
    let known = members.known.get(&holder.node);
    known.is_some_and(|known| {
        known.standing <= Standing::Suspect && known.member.incarnation == holder.incarnation
    })
}

async fn ask(
    context: &Context,
    node: &Node,
    indices: &[usize],
    held: &[HeldBody],
) -> Vec<(usize, Bytes)> {
    let mut found = Vec::new();
    let mut rest = indices;
    while !rest.is_empty() {
        let names = rest.iter().map(|index| held[*index].0.clone()).collect();
        let Some(bodies) = get(context, node, names).await else { return found };
        if bodies.is_empty() {
            return found;
        }
        let (asked, later) = rest.split_at(bodies.len().min(rest.len()));
        for (index, bytes) in asked.iter().zip(bodies) {
            let name = &held[*index].0;
            found.extend(bytes.filter(|b| check(context, node, name, b)).map(|b| (*index, b)));
        }
        rest = later;
    }
    found
}

async fn get(context: &Context, node: &Node, names: Vec<BodyName>) -> Option<Vec<Option<Bytes>>> {
    if *node == context.node {
        let store = context.bodies.store();
        return Some(names.iter().map(|name| store.get(name)).collect());
    }
    let address = context.members.view().known.get(node)?.member.address.clone();
    let get = Get { names };
    let found = context.client.call(&address, paths::BODY_GET, &get, PATIENCE);
    let found: Result<Found, _> = found.await;
    match found {
        Ok(found) => Some(found.bodies),
        Err(error) => {
            tracing::info!(event = "bodies_not_fetched", %node, %error);
            None
        }
    }
}

fn check(context: &Context, node: &Node, name: &BodyName, bytes: &Bytes) -> bool {
    let is_genuine = is_genuine(name, bytes);
    if !is_genuine {
        let BodyName { key, group, number, .. } = name;
        let (workspace, step) = (&key.workspace, key.step);
        tracing::error!(event = "body_garbled", %node, %workspace, %step, %group, %number);
        context.kernel.metrics.count("entry.bodies.garbled", 1);
    }
    is_genuine
}

/// Tells a body that its holders do not give just now from one that is lost.
fn missing(context: &Context, name: &BodyName, holders: &[Holder]) -> Failure {
    let members = context.members.view();
    let BodyName { key, group, number, .. } = name;
    if holders.iter().any(|holder| has_kept(&members, holder)) {
        let detail = format!("no holder of sample {group}.{number} answers just now");
        return Failure::not_run(Code::NoEndpoint, detail).retry_after(RETRY);
    }
    let (workspace, step) = (&key.workspace, key.step);
    tracing::error!(event = "body_lost", %workspace, %step, %group, %number);
    let detail = format!(
        "all holders of sample {group}.{number} of step {step} are gone; \
         acknowledge the cursor to go on without its batch"
    );
    Failure::not_run(Code::SampleLost, detail)
}
