//! What the agreement writes, in the form that the storage keeps, and back.

use bytes::Bytes;
use chicoryford_agreement as agreement;
use chicoryford_agreement::EntryId;
use chicoryford_agreement::Payload;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::SnapshotMeta;
use chicoryford_storage as storage;
use chicoryford_storage::Recovered;
use chicoryford_storage::Vote;

use crate::error::DecodeError;

/// Gives the hard state as it is stored.
pub fn hard_state(from: agreement::HardState) -> storage::HardState {
    let vote = from.vote.map(|id| Vote { node: id.node, identity: id.incarnation });
    storage::HardState { epoch: from.epoch, vote }
}

/// Gives an entry as it is stored.
pub fn entry(from: &agreement::Entry) -> storage::Entry {
    let body = rmp_serde::to_vec_named(&from.payload).expect("payloads are plain data");
    storage::Entry { index: from.id.index, epoch: from.id.epoch, body: body.into() }
}

/// Gives a snapshot as it is stored.
pub fn snapshot(from: &agreement::Snapshot) -> storage::Snapshot {
    let body = rmp_serde::to_vec_named(from).expect("snapshots are plain data");
    let mark = from.meta.last;
    storage::Snapshot { index: mark.index, epoch: mark.epoch, body: body.into() }
}

/// Gives what a data folder held as the agreement reads it.
///
/// # Errors
///
/// [`DecodeError`] if another release wrote something that this one does not know.
pub fn saved_state(from: Recovered) -> Result<agreement::Saved, DecodeError> {
    let vote = from.hard.vote.map(|vote| ReplicaId::new(vote.node, vote.identity));
    let hard = agreement::HardState { epoch: from.hard.epoch, vote };
    let snapshot = from.snapshot.map(read_snapshot).transpose()?;
    let entries = from.entries.into_iter().map(read_entry).collect::<Result<_, _>>()?;
    Ok(agreement::Saved { hard, snapshot, entries })
}

fn read_snapshot(from: storage::Snapshot) -> Result<agreement::Snapshot, DecodeError> {
    rmp_serde::from_slice(&from.body).map_err(|source| DecodeError { index: from.index, source })
}

fn read_entry(from: storage::Entry) -> Result<agreement::Entry, DecodeError> {
    let payload: Payload = rmp_serde::from_slice(&from.body)
        .map_err(|source| DecodeError { index: from.index, source })?;
    Ok(agreement::Entry { id: EntryId { epoch: from.epoch, index: from.index }, payload })
}

/// Joins the meta data and content of a snapshot.
pub fn build_snapshot(meta: SnapshotMeta, data: Vec<u8>) -> agreement::Snapshot {
    agreement::Snapshot { meta, data: Bytes::from(data) }
}
