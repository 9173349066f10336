//! Fetches bodies from their holders.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_bodies::matches_digest;
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

/// Maximum number of bodies requested in one call.
const BODIES_PER_CALL: usize = 64;
/// Maximum number of concurrent calls.
const MAX_CALLS: usize = 16;
/// Timeout of one call, after which the next holder is tried.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Retry delay in milliseconds while a holder that should have a body does not respond.
const RETRY_MS: u64 = 1_000;

/// The result of the search for a body.
#[derive(Clone, Debug, PartialEq)]
pub enum Search {
    /// Its bytes.
    Found(Bytes),
    /// A live entry that may have it did not answer.
    Unanswered,
    /// No live entry has it.
    Lost,
}

/// Fetches bodies and returns them in the order of `held`.
///
/// Each body is requested from one holder after the other until one returns the correct bytes. The
/// bytes are checked against the digest recorded in the ledger, because a trainer must not learn
/// from bytes that no engine produced, and the same cursor must return the same bytes.
///
/// # Errors
///
/// Returns [`Code::NoEndpoint`] if an entry that may have a body does not currently respond, and
/// [`Code::SampleLost`] if no live entry has a body.
pub async fn fetch(context: &Context, held: &[HeldBody]) -> Result<Vec<Bytes>, Failure> {
    let found = try_fetch(context, held).await;
    let bodies = found.into_iter().zip(held).map(|(search, (name, _))| match search {
        Search::Found(bytes) => Ok(bytes),
        Search::Unanswered => Err(unanswered_failure(name)),
        Search::Lost => Err(lost_failure(name)),
    });
    bodies.collect()
}

/// Searches bodies: at their recorded holders and this process, then at all other live entries.
///
/// A copy is stored before the ledger names its holder. If the process that stores copies crashes in
/// between, all recorded holders may be gone while another entry has the bytes. If that entry were
/// not asked, the trainer would receive `sample_lost` for a sample that exists.
pub async fn try_fetch(context: &Context, held: &[HeldBody]) -> Vec<Search> {
    let members = context.members.view();
    let mut found: Vec<Search> = held
        .iter()
        .map(|(_, holders)| match holders.iter().any(|h| is_likely_held(&members, h)) {
            true => Search::Unanswered,
            false => Search::Lost,
        })
        .collect();
    let mut stacks: Vec<Vec<Node>> = held
        .iter()
        .enumerate()
        .map(|(index, (_, holders))| holder_stack(context, &members, holders, index))
        .collect();
    loop {
        let mut requests: BTreeMap<Node, Vec<usize>> = BTreeMap::new();
        for (index, stack) in stacks.iter_mut().enumerate() {
            if !is_found(&found[index])
                && let Some(node) = stack.pop()
            {
                requests.entry(node).or_default().push(index);
            }
        }
        if requests.is_empty() {
            break;
        }
        request_all(context, &requests, held, &mut found).await;
    }
    let others = members.present().filter(|member| member.roles.entry);
    let requests = others.map(|member| {
        let is_unasked = |index: &usize| {
            let (_, holders) = &held[*index];
            member.node != context.node && holders.iter().all(|h| h.node != member.node)
        };
        let missing = (0..held.len()).filter(|index| !is_found(&found[*index]));
        (member.node.clone(), missing.filter(is_unasked).collect::<Vec<_>>())
    });
    let requests: BTreeMap<Node, Vec<usize>> = requests.filter(|(_, i)| !i.is_empty()).collect();
    if !requests.is_empty() {
        request_all(context, &requests, held, &mut found).await;
        let rescued = requests.values().flatten().collect::<BTreeSet<_>>();
        let rescued = rescued.into_iter().filter(|index| is_found(&found[**index])).count();
        tracing::info!(event = "bodies_searched", entries = requests.len(), found = rescued);
    }
    found
}

fn is_found(search: &Search) -> bool {
    matches!(search, Search::Found(_))
}

/// Requests bodies from several entries concurrently, and records what they answer.
async fn request_all(
    context: &Context,
    requests: &BTreeMap<Node, Vec<usize>>,
    held: &[HeldBody],
    found: &mut [Search],
) {
    let chunks = requests.iter().flat_map(|(node, indices)| {
        indices.chunks(BODIES_PER_CALL).map(move |indices| (node, indices))
    });
    let calls = chunks.map(|(node, indices)| fetch_from(context, node, indices, held));
    let answers: Vec<_> = stream::iter(calls).buffer_unordered(MAX_CALLS).collect().await;
    for (index, search) in answers.into_iter().flatten() {
        match (&found[index], search) {
            (Search::Found(_), _) | (_, Search::Lost) => {}
            (_, search) => found[index] = search,
        }
    }
}

/// Orders the holders of a body as a stack: the last element is tried first. This process is tried
/// first, then holders that are up and have not restarted, and among these the ones in this data
/// centre. Otherwise equal holders rotate with `turn` to distribute the load.
fn holder_stack(
    context: &Context,
    members: &Members,
    holders: &[Holder],
    turn: usize,
) -> Vec<Node> {
    let mut ranked: Vec<_> = holders.iter().enumerate().collect();
    ranked.sort_by_key(|(index, holder)| {
        let known = members.known.get(&holder.node);
        let is_near = known.is_some_and(|known| known.member.data_centre == context.data_centre);
        let is_own = holder.node == context.node;
        (is_own, is_likely_held(members, holder), is_near, (index + turn) % holders.len().max(1))
    });
    let mut stack: Vec<_> = ranked.into_iter().map(|(_, holder)| holder.node.clone()).collect();
    if stack.last() != Some(&context.node) {
        stack.push(context.node.clone());
    }
    stack
}

/// Returns whether, as far as this process knows, the holder is up and has not restarted since it
/// stored the body.
fn is_likely_held(members: &Members, holder: &Holder) -> bool {
    let known = members.known.get(&holder.node);
    known.is_some_and(|known| {
        known.standing <= Standing::Suspect && known.member.incarnation == holder.incarnation
    })
}

/// Requests bodies from one entry. Bodies that a live entry does not answer for are unanswered.
async fn fetch_from(
    context: &Context,
    node: &Node,
    indices: &[usize],
    held: &[HeldBody],
) -> Vec<(usize, Search)> {
    let mut found = Vec::new();
    let mut rest = indices;
    while !rest.is_empty() {
        let names = rest.iter().map(|index| held[*index].0.clone()).collect();
        let bodies = get(context, node, names).await.unwrap_or_default();
        if bodies.is_empty() {
            if context.members.view().present().any(|member| member.node == *node) {
                found.extend(rest.iter().map(|index| (*index, Search::Unanswered)));
            }
            return found;
        }
        let (requested, remaining) = rest.split_at(bodies.len().min(rest.len()));
        for (index, bytes) in requested.iter().zip(bodies) {
            let name = &held[*index].0;
            let bytes = bytes.filter(|bytes| check(context, node, name, bytes));
            found.push((*index, bytes.map_or(Search::Lost, Search::Found)));
        }
        rest = remaining;
    }
    found
}

async fn get(context: &Context, node: &Node, names: Vec<BodyName>) -> Option<Vec<Option<Bytes>>> {
    if *node == context.node {
        let store = context.bodies.store();
        return Some(names.iter().map(|name| store.get(name)).collect());
    }
    let address = context.members.view().known.get(node)?.member.address.clone();
    let request = Get { names };
    let found = context.client.call(&address, paths::BODY_GET, &request, FETCH_TIMEOUT);
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
    let is_genuine = matches_digest(name, bytes);
    if !is_genuine {
        let BodyName { key, group, number, .. } = name;
        let (workspace, step) = (&key.workspace, key.step);
        tracing::error!(event = "body_garbled", %node, %workspace, %step, %group, %number);
        context.kernel.metrics.count("entry.bodies.garbled", 1);
    }
    is_genuine
}

fn unanswered_failure(name: &BodyName) -> Failure {
    let BodyName { group, number, .. } = name;
    let detail = format!("no holder of sample {group}.{number} currently responds");
    Failure::not_run(Code::NoEndpoint, detail).retry_after(RETRY_MS)
}

fn lost_failure(name: &BodyName) -> Failure {
    let BodyName { key, group, number, .. } = name;
    let (workspace, step) = (&key.workspace, key.step);
    tracing::error!(event = "body_lost", %workspace, %step, %group, %number);
    let detail = format!(
        "no entry has sample {group}.{number} of step {step}; \
         acknowledge the cursor to continue without its batch"
    );
    Failure::not_run(Code::SampleLost, detail)
}
