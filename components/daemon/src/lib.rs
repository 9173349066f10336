//! Puts a process together: its kernel, its roles, its HTTP server, its graceful shutdown.
//!
//! docs/ARCHITECTURE.md shows the roles; docs/OPERATIONS.md says what an operator sees.

pub mod logs;
pub mod operate;
pub mod roles;
pub mod run;
pub mod signals;
pub mod status;

pub use run::RunError;
pub use run::run;
