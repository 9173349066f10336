//! Puts batches together.

use bytes::Bytes;
use bytes::BytesMut;
use chicoryford_ledger::Body;
use chicoryford_ledger::BodyName;
use chicoryford_ledger::Record;
use chicoryford_ledger::StepKey;
use chicoryford_types::Cursor;
use chicoryford_types::Failure;
use chicoryford_types::Group;
use chicoryford_types::SampleNo;
use chicoryford_types::Workspace;

use crate::bodies::fetch;
use crate::context::Context;

/// Puts a batch together from the recorded bytes. Nothing else goes into it, no time, node or
/// counter, so that the same cursor gives the same bytes through any entry at any time.
pub fn json(cursor: Cursor, bodies: &[Bytes]) -> Bytes {
    let mut body = BytesMut::from(format!("{{\"cursor\":{cursor},\"samples\":[").as_bytes());
    for (index, bytes) in bodies.iter().enumerate() {
        if index > 0 {
            body.extend_from_slice(b",");
        }
        body.extend_from_slice(bytes);
    }
    body.extend_from_slice(b"]}");
    body.freeze()
}

/// Gathers the bytes of a batch in its order, from the ledger and from the entries that hold them.
///
/// # Errors
///
/// As [`fetch::fetch`].
pub async fn gather(
    context: &Context,
    workspace: &Workspace,
    cursor: Cursor,
    samples: Vec<(StepKey, Group, SampleNo, Record)>,
) -> Result<Vec<Bytes>, Failure> {
    let mut bodies = vec![Bytes::new(); samples.len()];
    let (mut held, mut places) = (Vec::new(), Vec::new());
    for (place, (key, group, number, record)) in samples.into_iter().enumerate() {
        match record.body {
            Body::Inline(bytes) => bodies[place] = bytes,
            Body::Held(holders) => {
                held.push((BodyName { key, group, number, digest: record.digest }, holders));
                places.push(place);
            }
        }
    }
    let fetched = fetch::fetch(context, &held).await?;
    for (place, bytes) in places.into_iter().zip(fetched) {
        bodies[place] = bytes;
    }
    context.bodies.record_batch(workspace.clone(), cursor, held);
    Ok(bodies)
}
