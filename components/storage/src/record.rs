//! Records within a segment of the log.
//!
//! Each record tells up to which byte the segment had been synced when the record was written.
//! That settles what a damaged record means after a crash. Damage beyond everything known to
//! have been synced is the torn end of a write that nobody was told of, and is cut. Damage
//! before that has hit an entry that may have been acknowledged; cutting it would silently lose
//! an accepted change, so the folder is refused.

use bytes::Bytes;
use chicoryford_types::Epoch;

use crate::entry::Entry;

/// Bytes before a record's body: checksum, length, kind, synced, index, epoch.
pub const HEADER: usize = 4 + 4 + 1 + 8 + 8 + 8;

const ENTRY: u8 = 1;
const SYNC_MARK: u8 = 2;

/// One record as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The byte up to which the segment was known to be synced.
    pub synced: u64,
    /// The entry; none if the record only tells what is synced.
    pub entry: Option<Entry>,
    /// Bytes of the whole record.
    pub length: usize,
}

/// Appends the record of an entry to `out`.
pub fn encode(out: &mut Vec<u8>, synced: u64, entry: &Entry) {
    put(out, ENTRY, synced, entry);
}

/// Appends a record that only tells what is synced.
pub fn encode_sync_mark(out: &mut Vec<u8>, synced: u64) {
    put(out, SYNC_MARK, synced, &Entry::default());
}

fn put(out: &mut Vec<u8>, kind: u8, synced: u64, entry: &Entry) {
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

/// Reads the record that starts at the beginning of `bytes`, or none if no whole one does.
pub fn decode(bytes: &[u8]) -> Option<Record> {
    let header = bytes.get(..HEADER)?;
    let number = |at: usize| u64::from_be_bytes(header[at..at + 8].try_into().expect("8 bytes"));
    let length = u32::from_be_bytes(header[4..8].try_into().expect("4 bytes")) as usize;
    let kind = header[8];
    if kind != ENTRY && kind != SYNC_MARK {
        return None;
    }
    let length = HEADER.checked_add(length)?;
    let whole = bytes.get(..length)?;
    let sum = u32::from_be_bytes(header[..4].try_into().expect("4 bytes"));
    if crc32fast::hash(&whole[4..]) != sum {
        return None;
    }
    let entry = (kind == ENTRY).then(|| Entry {
        index: number(17),
        epoch: Epoch(number(25)),
        body: Bytes::copy_from_slice(&whole[HEADER..]),
    });
    Some(Record { synced: number(9), entry, length })
}

/// Finds out whether some whole record after `bad` proves that the segment had been synced
/// beyond that offset.
pub fn proves_synced(segment: &[u8], bad: usize) -> bool {
    let rest = bad + 1..segment.len().saturating_sub(HEADER - 1);
    rest.into_iter().any(|at| {
        let synced = segment[at + 9..at + 17].try_into().expect("8 bytes");
        let synced = u64::from_be_bytes(synced);
        // The cheap comparison first: checksums at every offset would take minutes.
        synced > bad as u64 && synced <= at as u64 && decode(&segment[at..]).is_some()
    })
}
