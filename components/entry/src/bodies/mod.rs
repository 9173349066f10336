//! Holds samples' bytes at entries instead of in the replicated log (docs/STEPS.md).
//!
//! The decisions are in `chicoryford_bodies` and in the ledger; here the bytes are carried.

pub mod audit;
pub mod batch;
pub mod fetch;
pub mod handle;
pub mod repair;
pub mod replicate;
pub mod routes;

pub use handle::Bodies;
pub use handle::SERVICE;
