//! Assembles a process from its kernel, its roles and its HTTP server, and shuts it down
//! gracefully.
//!
//! docs/ARCHITECTURE.md describes the roles; docs/OPERATIONS.md describes what an operator sees.

pub mod logs;
pub mod operate;
pub mod roles;
pub mod run;
pub mod signals;
pub mod status;

pub use run::RunError;
pub use run::run;
