//! Files that are replaced atomically: the replica's identity, the hard state, snapshots.
//!
//! A file is written under another name, synced, renamed over the old one, and its folder is
//! synced. A crash at any time leaves either the old file or the new one, never a mixture.

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
/// Length in bytes of the header: magic, format, length, checksum.
pub const HEADER_BYTES: usize = 8 + 4 + 8 + 4;
/// The extension of a file that is not yet renamed to its final path.
pub const TEMP_EXTENSION: &str = "tmp";

/// Replaces the file `path` with one that contains `value`.
///
/// # Errors
///
/// Returns [`StorageError::Io`], after which either the old file or the new one is in place, or
/// [`StorageError::Full`], after which the old file is in place.
pub fn write<T: Serialize>(
    disk: &Disk,
    path: &Path,
    magic: &[u8; 8],
    value: &T,
) -> Result<(), StorageError> {
    let body = rmp_serde::to_vec_named(value).expect("stored values are plain data");
    let mut file_bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    file_bytes.extend_from_slice(magic);
    file_bytes.extend_from_slice(&FORMAT.to_be_bytes());
    file_bytes.extend_from_slice(&(body.len() as u64).to_be_bytes());
    file_bytes.extend_from_slice(&checksum(magic, &body).to_be_bytes());
    file_bytes.extend_from_slice(&body);
    let temp_path = path.with_extension(TEMP_EXTENSION);
    let mut file = File::create(&temp_path).map_err(write_error("create", &temp_path))?;
    if let Err(error) = (disk.write)(&mut file, &file_bytes) {
        // The unfinished file would occupy space that is needed.
        fs::remove_file(&temp_path).map_err(io_error("remove", &temp_path))?;
        return Err(write_error("write", &temp_path)(error));
    }
    (disk.sync)(&file).map_err(io_error("sync", &temp_path))?;
    drop(file);
    (disk.rename)(&temp_path, path).map_err(io_error("rename", path))?;
    let folder = path.parent().unwrap_or(Path::new("."));
    (disk.sync_folder)(folder).map_err(io_error("sync", folder))
}

/// Reads a file that [`write()`] wrote. Returns none if it does not exist.
///
/// # Errors
///
/// Returns [`StorageError::Corrupt`] if its content has changed, and [`StorageError::Format`] if
/// its format is that of another release.
pub fn read<T: DeserializeOwned>(path: &Path, magic: &[u8; 8]) -> Result<Option<T>, StorageError> {
    let file_bytes = match fs::read(path) {
        Ok(file_bytes) => file_bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(io_error("read", path)(error)),
    };
    let corrupt = |offset, what| StorageError::Corrupt { path: path.to_owned(), offset, what };
    if file_bytes.len() < HEADER_BYTES {
        return Err(corrupt(file_bytes.len() as u64, Damage::Short));
    }
    check_format(path, &file_bytes, magic)?;
    let length = u64::from_be_bytes(file_bytes[12..20].try_into().expect("eight bytes"));
    let sum = u32::from_be_bytes(file_bytes[20..24].try_into().expect("four bytes"));
    let body = &file_bytes[HEADER_BYTES..];
    if body.len() as u64 != length {
        return Err(corrupt(file_bytes.len() as u64, Damage::Short));
    }
    if checksum(magic, body) != sum {
        return Err(corrupt(HEADER_BYTES as u64, Damage::Checksum));
    }
    let value =
        rmp_serde::from_slice(body).map_err(|_| corrupt(HEADER_BYTES as u64, Damage::Content))?;
    Ok(Some(value))
}

/// Checks that a file starts with `magic` and the format version of this release.
pub(crate) fn check_format(
    path: &Path,
    file_bytes: &[u8],
    magic: &[u8; 8],
) -> Result<(), StorageError> {
    if file_bytes[..8] != magic[..] {
        let (path, what) = (path.to_owned(), Damage::Magic);
        return Err(StorageError::Corrupt { path, offset: 0, what });
    }
    let found = u32::from_be_bytes(file_bytes[8..12].try_into().expect("four bytes"));
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
