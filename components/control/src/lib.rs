//! The control role: runs agreement, storage and state on threads and sockets.
//!
//! docs/CONTROL.md describes its tasks, what operators see of it, and what they do when it fails.

pub mod apply;
pub mod body;
pub mod control_peers;
pub mod convert;
pub mod disk;
pub mod error;
pub mod handle;
pub mod orders;
pub mod peers;
pub mod pending;
pub mod replica;
mod report;
pub mod restore;
pub mod routes;
mod serve;
pub mod sessions;
pub mod snapshots;
pub mod start;
pub mod status;

pub use error::StartError;
pub use handle::Handle;
pub use handle::SERVICE;
pub use routes::routes;
pub use start::Tuning;
pub use start::start;
pub use start::start_with;
pub use status::Action;
pub use status::ActionResult;
pub use status::Status;
