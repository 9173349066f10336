//! The agent role: the one small process beside an endpoint.
//!
//! It announces the endpoint, reports its load, gates its work and carries out orders to it
//! under fencing. docs/AGENT.md says how it is built and how to run it.

pub mod engine;
pub mod fence;
pub mod gate;
mod gatekeeper;
pub mod handle;
pub mod orders;
pub mod pace;
pub mod pulse;
pub mod routes;
mod run;
mod service;
pub mod start;
mod watch;

pub use handle::Handle;
pub use handle::SERVICE;
pub use routes::Probe;
pub use routes::routes;
pub use start::StartError;
pub use start::start;
