//! Snapshot files.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use crate::atomic;
use crate::disk::Disk;
use crate::disk::io_error;
use crate::entry::Snapshot;
use crate::error::StorageError;

/// The extension of a snapshot's file name.
pub const EXTENSION: &str = "snapshot";
const MAGIC: &[u8; 8] = b"cfsnapsh";

fn path(folder: &Path, index: u64) -> PathBuf {
    folder.join(format!("{index:020}.{EXTENSION}"))
}

/// Writes a snapshot and, once it is synced, removes the older ones.
///
/// # Errors
///
/// Returns [`StorageError::Io`]. If the new snapshot could not be written, the older one still
/// exists.
pub fn write(disk: &Disk, folder: &Path, snapshot: &Snapshot) -> Result<(), StorageError> {
    let new = path(folder, snapshot.index);
    atomic::write(disk, &new, MAGIC, snapshot)?;
    for (index, old) in list(folder, EXTENSION)? {
        if index < snapshot.index {
            fs::remove_file(&old).map_err(io_error("remove", &old))?;
        }
    }
    Ok(())
}

/// Reads the newest snapshot. If it is damaged, an older one cannot be used instead, because the
/// log after the older one has been compacted.
///
/// # Errors
///
/// Returns [`StorageError::Corrupt`] if it is damaged.
pub fn read(folder: &Path) -> Result<Option<Snapshot>, StorageError> {
    let Some((_, newest)) = list(folder, EXTENSION)?.pop() else { return Ok(None) };
    atomic::read(&newest, MAGIC)
}

/// Lists the files of a folder that have a number as their name and the given extension, in order.
pub(crate) fn list(folder: &Path, extension: &str) -> Result<Vec<(u64, PathBuf)>, StorageError> {
    let mut found = Vec::new();
    for file in fs::read_dir(folder).map_err(io_error("list", folder))? {
        let path = file.map_err(io_error("list", folder))?.path();
        if path.extension().is_none_or(|e| e != extension) {
            continue;
        }
        let number = path.file_stem().and_then(|stem| stem.to_str()?.parse().ok());
        if let Some(number) = number {
            found.push((number, path));
        }
    }
    found.sort();
    Ok(found)
}
