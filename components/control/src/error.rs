//! Why the control role cannot start or go on.

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
    /// What the data folder holds cannot be read by this release.
    #[error(transparent)]
    Content(#[from] DecodeError),
    /// A folder could not be made from that of a lost deployment.
    #[error("cannot make the data folder for a restore")]
    Restore(#[source] std::io::Error),
    /// The folder that was named for a restore holds nothing.
    #[error("{} holds neither a snapshot nor a log", .0.display())]
    NothingToRestore(PathBuf),
    /// A service that must start before is missing.
    #[error(transparent)]
    Missing(#[from] MissingService),
    /// A thread could not be started.
    #[error(transparent)]
    Duty(#[from] DutyError),
}

/// Something that was stored or sent cannot be read by this release.
#[derive(Debug, Error)]
#[error("entry {index} or the snapshot up to it cannot be read by this release")]
pub struct DecodeError {
    /// The entry.
    pub index: u64,
    /// What the decoder said.
    pub source: rmp_serde::decode::Error,
}
