//! Reads the content of a data folder without changing it, for a restore after a majority of the
//! replicas is lost (docs/CONTROL.md).

use std::path::Path;

use crate::entry::Entry;
use crate::entry::Snapshot;
use crate::error::Damage;
use crate::error::StorageError;
use crate::segment;
use crate::snapshot;
use crate::snapshot::list;
use crate::storage::LOG_FOLDER;

/// The content of a data folder.
#[derive(Clone, Debug, Default)]
pub struct Salvaged {
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries of the log in order; those that the snapshot covers may come first.
    pub entries: Vec<Entry>,
}

/// Reads a data folder. A copy that contains only a snapshot is sufficient: the identity and the
/// votes of a lost deployment are not needed.
///
/// # Errors
///
/// Returns [`StorageError::Corrupt`] if the content is damaged.
pub fn salvage(folder: &Path) -> Result<Salvaged, StorageError> {
    let snapshot = snapshot::read(folder)?;
    let log = folder.join(LOG_FOLDER);
    let files = if log.is_dir() { list(&log, segment::EXTENSION)? } else { Vec::new() };
    let mut entries: Vec<Entry> = Vec::new();
    for (position, (first, path)) in files.iter().enumerate() {
        let corrupt = |what| StorageError::Corrupt { path: path.clone(), offset: 0, what };
        let covered = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let before = entries.last().map_or(covered, |entry| entry.index);
        if *first > before + 1 {
            return Err(corrupt(Damage::Order));
        }
        let last = position + 1 == files.len();
        if let Some(read) = segment::read(path, *first, last)? {
            entries.extend(read.entries);
        }
    }
    Ok(Salvaged { snapshot, entries })
}
