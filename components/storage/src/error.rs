//! Errors of the data folder.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;

use thiserror::Error;

/// The data folder could not be read or written.
#[derive(Clone, Debug, Error)]
pub enum StorageError {
    /// A file operation failed. The storage accepts no more writes in this process: after a failed
    /// sync, the kernel may have dropped the dirty pages and marked them clean, so that a second
    /// sync would succeed although the data is lost.
    #[error("cannot {action} {}: {source}", .path.display())]
    Io {
        /// The attempted action.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: Arc<io::Error>,
    },
    /// The disk has no space for a file. The operation left nothing in the folder and may be
    /// retried.
    #[error("the disk is full, cannot write {}", .0.display())]
    Full(PathBuf),
    /// An earlier operation failed, and nothing is written after it.
    #[error("the data folder is no longer written: {0}")]
    Poisoned(Arc<StorageError>),
    /// A file is damaged where it had been synced, so acknowledged entries may be lost.
    #[error(
        "{} is damaged at byte {offset}: {what}; move the data folder away and let this process \
         join again as an empty non-voter (docs/STORAGE.md, \"A damaged data folder\")",
        .path.display()
    )]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// The offset of the damage in the file.
        offset: u64,
        /// The kind of damage.
        what: Damage,
    },
    /// A file has the format of another release.
    #[error("{} has format version {found}, this release reads {known}", .path.display())]
    Format {
        /// The file.
        path: PathBuf,
        /// The version in the file.
        found: u32,
        /// The version that this release reads and writes.
        known: u32,
    },
    /// Another process has the data folder open.
    #[error("{} is in use by another process", .0.display())]
    Locked(PathBuf),
    /// The entries to be appended do not follow the last one.
    #[error("entry {found} does not follow entry {last}")]
    Gap {
        /// The last entry of the log.
        last: u64,
        /// The entry that was to be appended.
        found: u64,
    },
}

impl StorageError {
    /// Returns whether the only problem is that the disk currently has no space.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Full(_))
    }
}

/// The kind of damage of a file.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Damage {
    /// A checksum does not match.
    #[error("the checksum does not match")]
    Checksum,
    /// The file ends too early.
    #[error("the file ends too early")]
    Short,
    /// The magic number of the file is wrong.
    #[error("the magic number is wrong")]
    Magic,
    /// An entry does not follow its predecessor.
    #[error("an entry is missing or out of order")]
    Order,
    /// A required file is missing.
    #[error("the file is missing")]
    Missing,
    /// The content cannot be decoded.
    #[error("the content cannot be decoded")]
    Content,
}
