//! Builds batches for trainers.

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

/// Builds the response of a batch from the recorded bytes. It contains nothing else, such as a
/// time, a node or a counter, so that the same cursor returns the same bytes from any entry at any
/// time.
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

/// Collects the bytes of a batch in order, from the ledger and from their holders.
///
/// # Errors
///
/// Returns the errors of [`fetch::fetch`].
pub async fn collect(
    context: &Context,
    workspace: &Workspace,
    cursor: Cursor,
    samples: Vec<(StepKey, Group, SampleNo, Record)>,
) -> Result<Vec<Bytes>, Failure> {
    let mut bodies = vec![Bytes::new(); samples.len()];
    let (mut held, mut indices) = (Vec::new(), Vec::new());
    for (index, (key, group, number, record)) in samples.into_iter().enumerate() {
        match record.body {
            Body::Inline(bytes) => bodies[index] = bytes,
            Body::Held(holders) => {
                held.push((BodyName { key, group, number, digest: record.digest }, holders));
                indices.push(index);
            }
        }
    }
    let fetched = fetch::fetch(context, &held).await?;
    for (index, bytes) in indices.into_iter().zip(fetched) {
        bodies[index] = bytes;
    }
    context.bodies.record_batch(workspace.clone(), cursor, held);
    Ok(bodies)
}
