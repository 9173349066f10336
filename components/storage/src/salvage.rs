//! Reads what a data folder holds without changing it, for a restore after a majority of the
//! replicas is lost (docs/CONTROL.md).

use std::path::Path;

use crate::entry::Entry;
use crate::entry::Snapshot;
use crate::error::Damage;
use crate::error::StorageError;
use crate::segment;
use crate::snapshot;
use crate::snapshot::list;
use crate::storage::LOG;

/// What a data folder holds.
#[derive(Clone, Debug, Default)]
pub struct Salvaged {
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries of the log in order; those that the snapshot covers may come first.
    pub entries: Vec<Entry>,
}

/// Reads a data folder. A copy that has just a snapshot will do: the identity and the votes of a
/// deployment that is gone are of no account.
///
/// # Errors
///
/// [`StorageError::Corrupt`] if what is there is damaged.
pub fn salvage(folder: &Path) -> Result<Salvaged, StorageError> {
    let snapshot = snapshot::read(folder)?;
    let log = folder.join(LOG);
    let files = if log.is_dir() { list(&log, segment::EXTENSION)? } else { Vec::new() };
    let mut entries: Vec<Entry> = Vec::new();
    for (place, (first, path)) in files.iter().enumerate() {
        let missing = |what| StorageError::Corrupt { path: path.clone(), offset: 0, what };
        let covered = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let before = entries.last().map_or(covered, |entry| entry.index);
        if *first > before + 1 {
            return Err(missing(Damage::Order));
        }
        let last = place + 1 == files.len();
        if let Some(read) = segment::read(path, *first, last)? {
            entries.extend(read.entries);
        }
    }
    Ok(Salvaged { snapshot, entries })
}
