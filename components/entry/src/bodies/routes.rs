//! Handlers with which other entries store, fetch and drop bodies at this entry.

use chicoryford_bodies::PutError;
use chicoryford_bodies::message::Drop;
use chicoryford_bodies::message::Dropped;
use chicoryford_bodies::message::Found;
use chicoryford_bodies::message::Get;
use chicoryford_bodies::message::Put;
use chicoryford_bodies::message::Stored;
use chicoryford_ledger::Holder;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_wire::Call;
use chicoryford_wire::Reply;
use chicoryford_wire::reply;

use crate::admit;
use crate::context::Context;

/// Maximum size of one response in bytes. Bodies that do not fit must be requested again.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Retry delay in milliseconds while the store is full.
const FULL_RETRY_MS: u64 = 1_000;

/// Handles a request to store a body.
pub async fn put(context: Context, call: Call) -> Reply {
    match call.msgpack::<Put>().and_then(|put| store(&context, put)) {
        Ok(stored) => reply::msgpack(&stored),
        Err(failure) => reply::peer_failure(&failure),
    }
}

/// Stores a body in this process.
///
/// # Errors
///
/// Returns [`Code::Overloaded`] if the store is full, [`Code::BadRequest`] if the bytes do not
/// match the digest in the name, and [`Code::Draining`] if this entry is leaving.
pub fn store(context: &Context, put: Put) -> Result<Stored, Failure> {
    admit::check_not_draining(
        context.kernel.phases.now(),
        &context.config.current(),
        &context.node,
        &context.data_centre,
    )?;
    let own = context.members.own();
    let now = context.now();
    let stored = context.bodies.store().put(put.name, put.bytes, now);
    match stored {
        Ok(()) => {}
        Err(error @ PutError::Full { .. }) => {
            context.kernel.metrics.count("entry.bodies.full", 1);
            let failure = Failure::not_run(Code::Overloaded, error.to_string());
            return Err(failure.retry_after(FULL_RETRY_MS));
        }
        Err(error @ PutError::DigestMismatch) => {
            return Err(Failure::not_run(Code::BadRequest, error.to_string()));
        }
    }
    Ok(Stored { holder: Holder { node: own.node, incarnation: own.incarnation } })
}

/// Handles a request for bodies. Returns the requested bodies, or as many of the first ones as fit
/// into a response.
pub async fn get(context: Context, call: Call) -> Reply {
    let question: Get = match call.msgpack() {
        Ok(question) => question,
        Err(failure) => return reply::peer_failure(&failure),
    };
    let store = context.bodies.store();
    let mut found = Found::default();
    let mut size = 0;
    for name in &question.names {
        let body = store.get(name);
        size += body.as_ref().map_or(0, bytes::Bytes::len);
        if size > MAX_RESPONSE_BYTES && !found.bodies.is_empty() {
            break;
        }
        found.bodies.push(body);
    }
    drop(store);
    reply::msgpack(&found)
}

/// Handles a request to drop bodies that are no longer needed.
pub async fn discard(context: Context, call: Call) -> Reply {
    match call.msgpack::<Drop>() {
        Ok(drop) => {
            let count = remove(&context, &drop);
            reply::msgpack(&Dropped { count })
        }
        Err(failure) => reply::peer_failure(&failure),
    }
}

/// Removes bodies from the store of this process. Returns their number.
pub fn remove(context: &Context, drop: &Drop) -> u32 {
    let mut store = context.bodies.store();
    let named = drop.names.iter().filter(|name| store.remove(name)).count();
    let grouped: usize =
        drop.groups.iter().map(|(key, group)| store.remove_group(key, *group)).sum();
    (named + grouped) as u32
}
