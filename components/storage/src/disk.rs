//! The file operations, replaceable so that tests can make them fail.

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
    /// Appends all bytes to the file.
    pub write: Arc<WriteFile>,
    /// Syncs the file's content.
    pub sync: Arc<SyncFile>,
    /// Renames a file over another.
    pub rename: Arc<Rename>,
    /// Syncs the folder's list of files. Otherwise a new file could be missing after a power loss
    /// although its content was synced.
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

/// Like [`io_error`], but converts the error of a full disk to [`StorageError::Full`]. This must
/// not be used for a sync that fails because the disk is full: the data to be synced may be lost.
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

/// Adds the attempted action and the file to an error of the operating system.
pub(crate) fn io_error<'a>(
    action: &'static str,
    path: &'a Path,
) -> impl Fn(io::Error) -> StorageError + 'a {
    move |source| StorageError::Io { action, path: path.to_owned(), source: Arc::new(source) }
}
