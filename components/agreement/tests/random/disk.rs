//! A simulated disk that loses unsynced writes, and the state machine of a replica.

use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use bytes::Bytes;
use chicoryford_agreement::Entry;
use chicoryford_agreement::Payload;
use chicoryford_agreement::Saved;
use chicoryford_agreement::Snapshot;
use chicoryford_agreement::Write;

/// A disk: the synced state and the unsynced writes.
#[derive(Clone, Default)]
pub struct Disk {
    pub saved: Saved,
    pub unsynced: VecDeque<Write>,
}

impl Disk {
    /// Syncs all writes and returns the number of the last one.
    pub fn sync(&mut self) -> Option<u64> {
        let last = self.unsynced.back().map(|write| write.number);
        self.apply_writes(usize::MAX);
        last
    }

    /// Simulates a crash: the first `written` unsynced writes are on disk, the others are lost.
    pub fn crash(&mut self, written: usize) {
        self.apply_writes(written);
        self.unsynced.clear();
    }

    fn apply_writes(&mut self, count: usize) {
        let count = count.min(self.unsynced.len());
        for write in self.unsynced.drain(..count) {
            apply(&mut self.saved, write);
        }
    }

    /// Writes a snapshot and removes the entries that it covers.
    pub fn snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.last.index;
        self.saved.entries.retain(|entry| entry.id.index > index);
        self.saved.snapshot = Some(snapshot);
    }
}

fn apply(saved: &mut Saved, write: Write) {
    if let Some(hard) = write.hard {
        saved.hard = hard;
    }
    if let Some(snapshot) = write.snapshot {
        saved.entries.clear();
        saved.snapshot = Some(snapshot);
    }
    if let Some(from) = write.truncate {
        saved.entries.retain(|entry| entry.id.index < from);
    }
    saved.entries.extend(write.entries);
}

/// The state of a state machine: a hash over all applied entries in order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HashChain {
    pub index: u64,
    pub hash: u64,
}

impl HashChain {
    pub fn apply(&mut self, entry: &Entry) {
        let mut hasher = DefaultHasher::new();
        (self.hash, entry.id, payload_hash(&entry.payload)).hash(&mut hasher);
        *self = Self { index: entry.id.index, hash: hasher.finish() };
    }

    /// Encodes the state, padded so that a snapshot takes several chunks.
    pub fn encode(&self) -> Bytes {
        let mut data = Vec::from(self.index.to_be_bytes());
        data.extend(self.hash.to_be_bytes());
        data.resize(16 + (self.index % 1_000) as usize, 0);
        Bytes::from(data)
    }

    pub fn decode(data: &[u8]) -> Self {
        let number = |at: usize| u64::from_be_bytes(data[at..at + 8].try_into().unwrap());
        Self { index: number(0), hash: number(8) }
    }
}

fn payload_hash(payload: &Payload) -> u64 {
    match payload {
        Payload::Empty => 0,
        Payload::Data(data) => u64::from_be_bytes(data[..8].try_into().unwrap()),
        Payload::Members(members) => {
            let mut hasher = DefaultHasher::new();
            for (id, info) in &members.replicas {
                (id, info.voter).hash(&mut hasher);
            }
            hasher.finish()
        }
    }
}
