//! Small files that are replaced whole: the replica's identity, the hard state, snapshots.
//!
//! A file is written under another name, synced, renamed over the old one, and its folder is
//! synced. A crash at any moment leaves either the old file or the new one, never a mixture.

use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::disk::Disk;
use crate::disk::io_error;
use crate::disk::write_error;
use crate::error::Damage;
use crate::error::StorageError;

/// The format version of all files that this release writes.
pub const FORMAT: u32 = 1;
/// Bytes before the body: magic, format, length, checksum.
pub const HEADER: usize = 8 + 4 + 8 + 4;
/// The ending of a file that is not yet renamed into place.
pub const TEMP_EXTENSION: &str = "tmp";

/// Replaces the file `path` by one that holds `value`.
///
/// # Errors
///
/// [`StorageError::Io`]; the old file is then still in place, or the new one is.
/// [`StorageError::Full`]; the old file is still in place.
pub fn write<T: Serialize>(
    disk: &Disk,
    path: &Path,
    magic: &[u8; 8],
    value: &T,
) -> Result<(), StorageError> {
    let body = rmp_serde::to_vec_named(value).expect("stored values are plain data");
    let mut whole = Vec::with_capacity(HEADER + body.len());
    whole.extend_from_slice(magic);
    whole.extend_from_slice(&FORMAT.to_be_bytes());
    whole.extend_from_slice(&(body.len() as u64).to_be_bytes());
    whole.extend_from_slice(&checksum(magic, &body).to_be_bytes());
    whole.extend_from_slice(&body);
    let unfinished = path.with_extension(TEMP_EXTENSION);
    let mut file = File::create(&unfinished).map_err(write_error("create", &unfinished))?;
    if let Err(error) = (disk.write)(&mut file, &whole) {
        // It would hold on to room that is wanted.
        fs::remove_file(&unfinished).map_err(io_error("remove", &unfinished))?;
        return Err(write_error("write", &unfinished)(error));
    }
    (disk.sync)(&file).map_err(io_error("sync", &unfinished))?;
    drop(file);
    (disk.rename)(&unfinished, path).map_err(io_error("rename", path))?;
    let folder = path.parent().unwrap_or(Path::new("."));
    (disk.sync_folder)(folder).map_err(io_error("sync", folder))
}

/// Reads what [`write`] wrote, or none if there is no such file.
///
/// # Errors
///
/// [`StorageError::Corrupt`] if a bit of it has changed, [`StorageError::Format`] if another
/// release wrote it.
pub fn read<T: DeserializeOwned>(path: &Path, magic: &[u8; 8]) -> Result<Option<T>, StorageError> {
    let whole = match fs::read(path) {
        Ok(whole) => whole,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(io_error("read", path)(error)),
    };
    let corrupt = |offset, what| StorageError::Corrupt { path: path.to_owned(), offset, what };
    if whole.len() < HEADER {
        return Err(corrupt(whole.len() as u64, Damage::Short));
    }
    check_format(path, &whole, magic)?;
    let length = u64::from_be_bytes(whole[12..20].try_into().expect("eight bytes"));
    let sum = u32::from_be_bytes(whole[20..24].try_into().expect("four bytes"));
    let body = &whole[HEADER..];
    if body.len() as u64 != length {
        return Err(corrupt(whole.len() as u64, Damage::Short));
    }
    if checksum(magic, body) != sum {
        return Err(corrupt(HEADER as u64, Damage::Checksum));
    }
    let value = rmp_serde::from_slice(body).map_err(|_| corrupt(HEADER as u64, Damage::Content))?;
    Ok(Some(value))
}

/// Checks that a file starts with `magic` and the format that this release knows.
pub(crate) fn check_format(path: &Path, whole: &[u8], magic: &[u8; 8]) -> Result<(), StorageError> {
    if whole[..8] != magic[..] {
        let (path, what) = (path.to_owned(), Damage::Magic);
        return Err(StorageError::Corrupt { path, offset: 0, what });
    }
    let found = u32::from_be_bytes(whole[8..12].try_into().expect("four bytes"));
    if found != FORMAT {
        return Err(StorageError::Format { path: path.to_owned(), found, known: FORMAT });
    }
    Ok(())
}

fn checksum(magic: &[u8; 8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(magic);
    hasher.update(&FORMAT.to_be_bytes());
    hasher.update(body);
    hasher.finalize()
}
