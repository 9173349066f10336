//! The file operations that can fail, replaceable so that tests can make them fail.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;

use crate::error::StorageError;

type WriteFile = dyn Fn(&mut File, &[u8]) -> io::Result<()> + Send + Sync;
type SyncFile = dyn Fn(&File) -> io::Result<()> + Send + Sync;
type Rename = dyn Fn(&Path, &Path) -> io::Result<()> + Send + Sync;
type SyncFolder = dyn Fn(&Path) -> io::Result<()> + Send + Sync;

/// The file operations.
#[derive(Clone)]
pub struct Disk {
    /// Writes all bytes at the file's end.
    pub write: Arc<WriteFile>,
    /// Waits until the file's content is on the disk.
    pub sync: Arc<SyncFile>,
    /// Renames a file over another.
    pub rename: Arc<Rename>,
    /// Waits until the folder's list of files is on the disk; a new file could otherwise be
    /// missing after a power loss although its content had been synced.
    pub sync_folder: Arc<SyncFolder>,
}

impl Default for Disk {
    fn default() -> Self {
        Self {
            write: Arc::new(|file, bytes| file.write_all(bytes)),
            sync: Arc::new(File::sync_data),
            rename: Arc::new(|from, to| fs::rename(from, to)),
            sync_folder: Arc::new(|folder| File::open(folder)?.sync_all()),
        }
    }
}

/// The same as [`io_error`] for what a full disk refuses. A sync that fails for want of room is not
/// among them: what it should have kept may be lost.
pub(crate) fn write_error<'a>(
    action: &'static str,
    path: &'a Path,
) -> impl Fn(io::Error) -> StorageError + 'a {
    move |source| match source.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
            StorageError::Full(path.to_owned())
        }
        _ => io_error(action, path)(source),
    }
}

/// Adds to an error of the operating system what was tried with which file.
pub(crate) fn io_error<'a>(
    action: &'static str,
    path: &'a Path,
) -> impl Fn(io::Error) -> StorageError + 'a {
    move |source| StorageError::Io { action, path: path.to_owned(), source: Arc::new(source) }
}
