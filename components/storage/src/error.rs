//! Why the data folder cannot be used.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;

use thiserror::Error;

/// The data folder could not be read or written.
#[derive(Clone, Debug, Error)]
pub enum StorageError {
    /// A file operation failed. The storage takes no more writes in this process: after a failed
    /// sync the kernel may have dropped the dirty pages and marked them clean, so that a second
    /// sync would succeed although the data is lost.
    #[error("cannot {action} {}: {source}", .path.display())]
    Io {
        /// What was tried.
        action: &'static str,
        /// With which file or folder.
        path: PathBuf,
        /// What the operating system said.
        source: Arc<io::Error>,
    },
    /// The disk has no room for a file. Nothing of the operation is left in the folder, and it may
    /// be tried again.
    #[error("no room on the disk for {}", .0.display())]
    Full(PathBuf),
    /// An earlier operation failed, and nothing is written since.
    #[error("the data folder is not written any more: {0}")]
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
        /// Where in it.
        offset: u64,
        /// What is wrong there.
        what: Damage,
    },
    /// A file has a format of another release.
    #[error("{} has format version {found}, this release reads {known}", .path.display())]
    Format {
        /// The file.
        path: PathBuf,
        /// The version in the file.
        found: u32,
        /// The version that this release reads and writes.
        known: u32,
    },
    /// Another process uses the data folder.
    #[error("{} is in use by another process", .0.display())]
    Locked(PathBuf),
    /// An append left a gap.
    #[error("entry {found} does not follow entry {last}")]
    Gap {
        /// The last entry of the log.
        last: u64,
        /// The entry that was to be appended.
        found: u64,
    },
}

impl StorageError {
    /// Tells whether all that is wrong is that the disk has no room at present.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Full(_))
    }
}

/// What is wrong at a place in a file.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Damage {
    /// A checksum does not match.
    #[error("the checksum does not match")]
    Checksum,
    /// The file ends too early.
    #[error("the file ends too early")]
    Short,
    /// The file is of another kind.
    #[error("this is not a file of that kind")]
    Magic,
    /// An entry does not follow its predecessor.
    #[error("an entry is missing or out of order")]
    Order,
    /// A file that must be there is not.
    #[error("the file is missing")]
    Missing,
    /// The content cannot be read.
    #[error("the content cannot be read")]
    Content,
}
