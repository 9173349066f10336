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

/// Bytes of one file; a whole file is removed when no part in it is wanted any more.
const SEGMENT: u64 = 4 << 20;

/// The depot cannot be used.
#[derive(Debug, Error)]
pub enum DepotError {
    /// The disk failed, or what was synced is damaged.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// An entry cannot be read; another release wrote it.
    #[error("an entry of the depot cannot be read")]
    Unreadable(#[from] rmp_serde::decode::Error),
}

#[derive(Deserialize, Serialize)]
struct Kept {
    part: PartId,
    bytes: Bytes,
}

impl DepotError {
    /// Tells whether all that is wrong is that the disk has no room at present.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Storage(error) if error.is_full())
    }
}

/// The parts on one disk.
pub struct Depot {
    storage: Storage,
    identity: u64,
    places: BTreeMap<PartId, u64>,
    /// The entries before this one are not kept any more.
    base: u64,
    /// Parts that came since the last [`Depot::keep`]; the one who asks may not know them yet.
    fresh: BTreeSet<PartId>,
}

impl Depot {
    /// Opens a folder, or creates it with an identity of its own. A folder that was lost comes
    /// back with another identity, so that nobody counts on what it held.
    ///
    /// # Errors
    ///
    /// [`DepotError`].
    pub fn open(folder: &Path, disk: Disk) -> Result<Self, DepotError> {
        let identity = Incarnation(rand::random());
        let settings = StorageSettings { segment: SEGMENT, kept: 0, identity };
        let (storage, recovered) = Storage::open(folder, settings, disk)?;
        let mut places = BTreeMap::new();
        for entry in recovered.entries {
            let kept: Kept = rmp_serde::from_slice(&entry.body)?;
            places.insert(kept.part, entry.index);
        }
        let base = recovered.snapshot.map_or(0, |snapshot| snapshot.index);
        let fresh = places.keys().copied().collect();
        Ok(Self { storage, identity: recovered.identity.0, places, base, fresh })
    }

    /// Gives the identity of the folder.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// Writes a part; it lasts only after [`Depot::sync`]. A part that is there stays.
    ///
    /// # Errors
    ///
    /// [`DepotError`]; nothing is written any more then, unless the disk only lacks room.
    pub fn put(&mut self, part: PartId, bytes: &Bytes) -> Result<(), DepotError> {
        if self.places.contains_key(&part) {
            return Ok(());
        }
        let kept = Kept { part, bytes: bytes.clone() };
        let body = rmp_serde::to_vec(&kept).expect("parts are plain data").into();
        let index = self.storage.last() + 1;
        self.storage.append(&[Entry { index, epoch: Epoch(1), body }])?;
        self.places.insert(part, index);
        self.fresh.insert(part);
        Ok(())
    }

    /// Waits until all that was written is on the disk.
    ///
    /// # Errors
    ///
    /// [`DepotError`]; what was written since the last call may be lost.
    pub fn sync(&mut self) -> Result<(), DepotError> {
        Ok(self.storage.sync()?)
    }

    /// Reads a part.
    ///
    /// # Errors
    ///
    /// [`DepotError`] if it is there and cannot be read.
    pub fn get(&self, part: PartId) -> Result<Option<Bytes>, DepotError> {
        let Some(index) = self.places.get(&part) else { return Ok(None) };
        let Some(entry) = self.storage.read(*index)? else { return Ok(None) };
        let kept: Kept = rmp_serde::from_slice(&entry.body)?;
        Ok(Some(kept.bytes))
    }

    /// Forgets all parts but these, and those that came since this was called last. Gives how
    /// many it forgot.
    ///
    /// # Errors
    ///
    /// [`DepotError`] if files that are not wanted any more cannot be removed.
    pub fn keep(&mut self, wanted: &BTreeSet<PartId>) -> Result<usize, DepotError> {
        let before = self.places.len();
        let fresh = std::mem::take(&mut self.fresh);
        self.places.retain(|part, _| wanted.contains(part) || fresh.contains(part));
        let last = self.storage.last();
        let needless = self.places.values().min().map_or(last, |first| first - 1);
        if needless > self.base && before > self.places.len() {
            let snapshot = Snapshot { index: needless, epoch: Epoch(1), body: Bytes::new() };
            self.storage.save_snapshot(&snapshot)?;
            self.base = needless;
        }
        Ok(before - self.places.len())
    }

    /// Counts the parts.
    pub fn count(&self) -> usize {
        self.places.len()
    }

    /// Counts the bytes of the files.
    pub fn bytes(&self) -> u64 {
        self.storage.bytes()
    }
}
