//! The parts on one disk.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

use bytes::Bytes;
use chicoryford_fleet::copies::PartId;
use chicoryford_storage::Disk;
use chicoryford_storage::Entry;
use chicoryford_storage::Snapshot;
use chicoryford_storage::Storage;
use chicoryford_storage::StorageError;
use chicoryford_storage::StorageSettings;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Bytes per file. A whole file is removed once none of its parts is needed any more.
const SEGMENT_BYTES: u64 = 4 << 20;

/// The depot cannot be used.
#[derive(Debug, Error)]
pub enum DepotError {
    /// The disk failed, or synced data is corrupt.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// An entry cannot be decoded; another release wrote it.
    #[error("an entry of the depot cannot be decoded")]
    Unreadable(#[from] rmp_serde::decode::Error),
}

#[derive(Deserialize, Serialize)]
struct StoredPart {
    part: PartId,
    bytes: Bytes,
}

impl DepotError {
    /// Returns whether the only problem is that the disk is full.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Storage(error) if error.is_full())
    }
}

/// The parts on one disk.
pub struct Depot {
    storage: Storage,
    identity: u64,
    index: BTreeMap<PartId, u64>,
    /// Entries before this one are no longer kept.
    base: u64,
    /// Parts added since the last [`Depot::retain`]; the caller may not have included them in its
    /// list yet.
    recent: BTreeSet<PartId>,
}

impl Depot {
    /// Opens a folder, or creates it with a new identity. A folder that was lost gets another
    /// identity, so that nobody relies on its previous parts.
    ///
    /// # Errors
    ///
    /// Returns [`DepotError`] if the folder cannot be opened or read.
    pub fn open(folder: &Path, disk: Disk) -> Result<Self, DepotError> {
        let identity = Incarnation(rand::random());
        let settings =
            StorageSettings { segment_bytes: SEGMENT_BYTES, retained_entries: 0, identity };
        let (storage, recovered) = Storage::open(folder, settings, disk)?;
        let mut index = BTreeMap::new();
        for entry in recovered.entries {
            let stored: StoredPart = rmp_serde::from_slice(&entry.body)?;
            index.insert(stored.part, entry.index);
        }
        let base = recovered.snapshot.map_or(0, |snapshot| snapshot.index);
        let recent = index.keys().copied().collect();
        Ok(Self { storage, identity: recovered.identity.0, index, base, recent })
    }

    /// Returns the identity of the folder.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// Writes a part, which is durable only after [`Depot::sync`]. A part that exists already is
    /// unchanged.
    ///
    /// # Errors
    ///
    /// Returns [`DepotError`] if the part was not written. Unless the disk is only full, no further
    /// writes succeed.
    pub fn put(&mut self, part: PartId, bytes: &Bytes) -> Result<(), DepotError> {
        if self.index.contains_key(&part) {
            return Ok(());
        }
        let stored = StoredPart { part, bytes: bytes.clone() };
        let body = rmp_serde::to_vec(&stored).expect("parts are always serialisable").into();
        let index = self.storage.last_index() + 1;
        self.storage.append(&[Entry { index, epoch: Epoch(1), body }])?;
        self.index.insert(part, index);
        self.recent.insert(part);
        Ok(())
    }

    /// Waits until all writes are on the disk.
    ///
    /// # Errors
    ///
    /// Returns [`DepotError`]; writes since the last sync may be lost.
    pub fn sync(&mut self) -> Result<(), DepotError> {
        Ok(self.storage.sync()?)
    }

    /// Reads a part.
    ///
    /// # Errors
    ///
    /// Returns [`DepotError`] if it exists and cannot be read.
    pub fn get(&self, part: PartId) -> Result<Option<Bytes>, DepotError> {
        let Some(index) = self.index.get(&part) else { return Ok(None) };
        let Some(entry) = self.storage.read(*index)? else { return Ok(None) };
        let stored: StoredPart = rmp_serde::from_slice(&entry.body)?;
        Ok(Some(stored.bytes))
    }

    /// Drops all parts except `wanted` and those added since the previous call. Returns the number
    /// of dropped parts.
    ///
    /// # Errors
    ///
    /// Returns [`DepotError`] if files that are no longer needed cannot be removed.
    pub fn retain(&mut self, wanted: &BTreeSet<PartId>) -> Result<usize, DepotError> {
        let before = self.index.len();
        let recent = std::mem::take(&mut self.recent);
        self.index.retain(|part, _| wanted.contains(part) || recent.contains(part));
        let last = self.storage.last_index();
        let dropped_to = self.index.values().min().map_or(last, |first| first - 1);
        if dropped_to > self.base && before > self.index.len() {
            let snapshot = Snapshot { index: dropped_to, epoch: Epoch(1), body: Bytes::new() };
            self.storage.save_snapshot(&snapshot)?;
            self.base = dropped_to;
        }
        Ok(before - self.index.len())
    }

    /// Returns the number of parts.
    pub fn count(&self) -> usize {
        self.index.len()
    }

    /// Returns the bytes of the files.
    pub fn bytes(&self) -> u64 {
        self.storage.bytes()
    }
}
