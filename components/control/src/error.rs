//! Errors for which the control role cannot start or continue.

use std::path::PathBuf;

use chicoryford_kernel::duty::DutyError;
use chicoryford_kernel::registry::MissingService;
use chicoryford_storage::StorageError;
use thiserror::Error;

/// The control role cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings name no data folder.
    #[error("the control role needs a data folder: set `data`")]
    NoFolder,
    /// The data folder cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The content of the data folder cannot be decoded by this release.
    #[error(transparent)]
    Content(#[from] DecodeError),
    /// The data folder could not be created from that of a lost deployment.
    #[error("cannot make the data folder for a restore")]
    Restore(#[source] std::io::Error),
    /// The folder configured for a restore contains neither a snapshot nor a log.
    #[error("{} contains neither a snapshot nor a log", .0.display())]
    NothingToRestore(PathBuf),
    /// A service that must be started before the control role is missing.
    #[error(transparent)]
    Missing(#[from] MissingService),
    /// A thread could not be started.
    #[error(transparent)]
    Duty(#[from] DutyError),
}

/// A stored or received entry or snapshot cannot be decoded by this release.
#[derive(Debug, Error)]
#[error("entry {index} or the snapshot up to it cannot be read by this release")]
pub struct DecodeError {
    /// The index of the entry, or of the last entry that the snapshot covers.
    pub index: u64,
    /// The decoder's error.
    pub source: rmp_serde::decode::Error,
}
