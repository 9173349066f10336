//! Converts between the agreement's types and those of the storage.

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

/// Converts the hard state to its stored form.
pub fn hard_state(hard: agreement::HardState) -> storage::HardState {
    let vote = hard.vote.map(|id| Vote { node: id.node, identity: id.incarnation });
    storage::HardState { epoch: hard.epoch, vote }
}

/// Converts a log entry to its stored form.
pub fn entry(from: &agreement::Entry) -> storage::Entry {
    let body = rmp_serde::to_vec_named(&from.payload).expect("payloads are plain data");
    storage::Entry { index: from.id.index, epoch: from.id.epoch, body: body.into() }
}

/// Converts a snapshot to its stored form.
pub fn snapshot(from: &agreement::Snapshot) -> storage::Snapshot {
    let body = rmp_serde::to_vec_named(from).expect("snapshots are plain data");
    let mark = from.meta.last;
    storage::Snapshot { index: mark.index, epoch: mark.epoch, body: body.into() }
}

/// Converts the recovered content of a data folder to the agreement's form.
///
/// # Errors
///
/// Returns [`DecodeError`] if another release wrote a format that this release does not support.
pub fn saved_state(from: Recovered) -> Result<agreement::Saved, DecodeError> {
    let vote = from.hard.vote.map(|vote| ReplicaId::new(vote.node, vote.identity));
    let hard = agreement::HardState { epoch: from.hard.epoch, vote };
    let snapshot = from.snapshot.map(decode_snapshot).transpose()?;
    let entries = from.entries.into_iter().map(decode_entry).collect::<Result<_, _>>()?;
    Ok(agreement::Saved { hard, snapshot, entries })
}

fn decode_snapshot(from: storage::Snapshot) -> Result<agreement::Snapshot, DecodeError> {
    rmp_serde::from_slice(&from.body).map_err(|source| DecodeError { index: from.index, source })
}

fn decode_entry(from: storage::Entry) -> Result<agreement::Entry, DecodeError> {
    let payload: Payload = rmp_serde::from_slice(&from.body)
        .map_err(|source| DecodeError { index: from.index, source })?;
    Ok(agreement::Entry { id: EntryId { epoch: from.epoch, index: from.index }, payload })
}

/// Builds a snapshot from its metadata and its encoded state.
pub fn build_snapshot(meta: SnapshotMeta, data: Vec<u8>) -> agreement::Snapshot {
    agreement::Snapshot { meta, data: Bytes::from(data) }
}
