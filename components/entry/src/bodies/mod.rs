//! Stores the bytes of samples at entries instead of in the replicated log (docs/STEPS.md).
//!
//! `chicoryford_bodies` and the ledger make the decisions; this module transfers the bytes.

pub mod audit;
pub mod batch;
pub mod fetch;
pub mod handle;
pub mod repair;
pub mod replicate;
pub mod routes;

pub use handle::Bodies;
pub use handle::SERVICE;
