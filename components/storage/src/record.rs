//! Records within a segment of the log.
//!
//! Each record contains the offset up to which the segment had been synced when the record was
//! written. This decides how a damaged record is handled after a crash. Damage beyond the highest
//! known synced offset is the torn end of a write that was never acknowledged, and is truncated.
//! Damage before that offset affects an entry that may have been acknowledged. Truncating it would
//! silently lose an accepted change, so the folder is refused.

use bytes::Bytes;
use chicoryford_types::Epoch;

use crate::entry::Entry;

/// Length in bytes of a record's header: checksum, length, kind, synced, index, epoch.
pub const HEADER_BYTES: usize = 4 + 4 + 1 + 8 + 8 + 8;

const ENTRY_KIND: u8 = 1;
const SYNC_MARK_KIND: u8 = 2;

/// A decoded record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The offset up to which the segment was known to be synced.
    pub synced: u64,
    /// The entry; none if the record is a sync mark.
    pub entry: Option<Entry>,
    /// Length in bytes of the whole record.
    pub length: usize,
}

/// Appends the record of an entry to `out`.
pub fn encode(out: &mut Vec<u8>, synced: u64, entry: &Entry) {
    encode_record(out, ENTRY_KIND, synced, entry);
}

/// Appends a sync mark, a record that only contains the synced offset.
pub fn encode_sync_mark(out: &mut Vec<u8>, synced: u64) {
    encode_record(out, SYNC_MARK_KIND, synced, &Entry::default());
}

fn encode_record(out: &mut Vec<u8>, kind: u8, synced: u64, entry: &Entry) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&(entry.body.len() as u32).to_be_bytes());
    out.push(kind);
    out.extend_from_slice(&synced.to_be_bytes());
    out.extend_from_slice(&entry.index.to_be_bytes());
    out.extend_from_slice(&entry.epoch.0.to_be_bytes());
    out.extend_from_slice(&entry.body);
    let sum = crc32fast::hash(&out[start + 4..]);
    out[start..start + 4].copy_from_slice(&sum.to_be_bytes());
}

/// Decodes the record at the beginning of `bytes`, or returns none if there is no intact one.
pub fn decode(bytes: &[u8]) -> Option<Record> {
    let header = bytes.get(..HEADER_BYTES)?;
    let number = |at: usize| u64::from_be_bytes(header[at..at + 8].try_into().expect("8 bytes"));
    let length = u32::from_be_bytes(header[4..8].try_into().expect("4 bytes")) as usize;
    let kind = header[8];
    if kind != ENTRY_KIND && kind != SYNC_MARK_KIND {
        return None;
    }
    let length = HEADER_BYTES.checked_add(length)?;
    let record = bytes.get(..length)?;
    let sum = u32::from_be_bytes(header[..4].try_into().expect("4 bytes"));
    if crc32fast::hash(&record[4..]) != sum {
        return None;
    }
    let entry = (kind == ENTRY_KIND).then(|| Entry {
        index: number(17),
        epoch: Epoch(number(25)),
        body: Bytes::copy_from_slice(&record[HEADER_BYTES..]),
    });
    Some(Record { synced: number(9), entry, length })
}

/// An intact record that proves that the segment had been synced beyond some offset before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SyncProof {
    /// The offset of the record.
    pub offset: u64,
    /// The offset up to which the segment was known to be synced.
    pub synced: u64,
    /// The index of its entry; none if the record is a sync mark.
    pub index: Option<u64>,
}

/// Returns the first intact record after the offset `bad` that proves that the segment had been
/// synced beyond that offset.
pub fn find_proof(segment: &[u8], bad: usize) -> Option<SyncProof> {
    let rest = bad + 1..segment.len().saturating_sub(HEADER_BYTES - 1);
    rest.into_iter().find_map(|at| {
        let synced = segment[at + 9..at + 17].try_into().expect("8 bytes");
        let synced = u64::from_be_bytes(synced);
        // The comparison comes first because checksums at every offset would take minutes.
        let can_prove = synced > bad as u64 && synced <= at as u64;
        let record = can_prove.then(|| decode(&segment[at..])).flatten()?;
        Some(SyncProof { offset: at as u64, synced, index: record.entry.map(|entry| entry.index) })
    })
}
