//! What other entries ask of the bodies here.

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

/// Bytes of one answer, past which the rest must be asked for again.
const ANSWER: usize = 8 << 20;
/// When to try a full store again, in milliseconds.
const FULL_RETRY: u64 = 1_000;

/// Holds a body.
pub async fn put(context: Context, call: Call) -> Reply {
    match call.msgpack::<Put>().and_then(|put| store(&context, put)) {
        Ok(stored) => reply::msgpack(&stored),
        Err(failure) => reply::peer_failure(&failure),
    }
}

/// Takes a body into the store of this process.
///
/// # Errors
///
/// [`Code::Overloaded`] if the store is full, [`Code::BadRequest`] if the bytes are not those
/// that the name tells, [`Code::Draining`] if this entry leaves.
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
            return Err(failure.retry_after(FULL_RETRY));
        }
        Err(error @ PutError::Garbled) => {
            return Err(Failure::not_run(Code::BadRequest, error.to_string()));
        }
    }
    Ok(Stored { holder: Holder { node: own.node, incarnation: own.incarnation } })
}

/// Gives bodies: those asked for, or as many of the first as fit into an answer.
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
        if size > ANSWER && !found.bodies.is_empty() {
            break;
        }
        found.bodies.push(body);
    }
    drop(store);
    reply::msgpack(&found)
}

/// Drops bodies that are of no use any more.
pub async fn discard(context: Context, call: Call) -> Reply {
    match call.msgpack::<Drop>() {
        Ok(drop) => {
            let mut store = context.bodies.store();
            let count = drop.names.iter().filter(|name| store.remove(name)).count() as u32;
            reply::msgpack(&Dropped { count })
        }
        Err(failure) => reply::peer_failure(&failure),
    }
}
