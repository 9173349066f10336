//! Stores parts of steps, such as bodies and texts, on the disk of a store VM.
//!
//! A part is written once and never changed, so the depot is a log with an index in memory. The
//! placement of parts and the number of their copies are decided elsewhere (docs/PLATFORM.md).

pub mod depot;
pub mod worker;

pub use depot::Depot;
pub use depot::DepotError;
pub use worker::Worker;
