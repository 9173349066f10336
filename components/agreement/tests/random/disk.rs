//! A disk that forgets what was not synced, and the state machine that lives above it.

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

/// A disk: what is synced, and what is not yet.
#[derive(Clone, Default)]
pub struct Disk {
    pub saved: Saved,
    pub waiting: VecDeque<Write>,
}

impl Disk {
    /// Syncs everything; gives the number of the last write.
    pub fn sync(&mut self) -> Option<u64> {
        let last = self.waiting.back().map(|write| write.number);
        self.keep(usize::MAX);
        last
    }

    /// Crashes: some of the first unsynced writes may have reached the disk, the others did not.
    pub fn crash(&mut self, reached: usize) {
        self.keep(reached);
        self.waiting.clear();
    }

    fn keep(&mut self, count: usize) {
        let count = count.min(self.waiting.len());
        for write in self.waiting.drain(..count) {
            apply(&mut self.saved, write);
        }
    }

    /// Writes a snapshot and drops the entries that it covers.
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

/// The state of a state machine: a hash over everything that it applied, in order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Chain {
    pub index: u64,
    pub hash: u64,
}

impl Chain {
    pub fn apply(&mut self, entry: &Entry) {
        let mut hasher = DefaultHasher::new();
        (self.hash, entry.id, label(&entry.payload)).hash(&mut hasher);
        *self = Self { index: entry.id.index, hash: hasher.finish() };
    }

    /// Encodes the state, with padding so that it makes several pieces.
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

fn label(payload: &Payload) -> u64 {
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
