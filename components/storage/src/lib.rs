//! The durable log and snapshots of a control process.
//!
//! All files are in one data folder. Data is durable only once it is synced, so nothing is
//! acknowledged before [`Storage::sync`] has returned. docs/STORAGE.md describes the format of each
//! file and what operators do when a file is refused.

pub mod atomic;
pub mod disk;
pub mod entry;
pub mod error;
pub mod record;
pub mod salvage;
pub mod segment;
pub mod snapshot;
pub mod storage;

pub use disk::Disk;
pub use entry::Entry;
pub use entry::HardState;
pub use entry::Snapshot;
pub use entry::Vote;
pub use error::StorageError;
pub use salvage::Salvaged;
pub use salvage::salvage;
pub use storage::Recovered;
pub use storage::Storage;
pub use storage::StorageSettings;
