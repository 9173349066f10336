//! The agent role: a small process that runs next to each endpoint.
//!
//! The agent announces the endpoint, reports its load, admits its work and executes orders for it
//! under fencing. docs/AGENT.md describes its design and operation.

pub mod crash_queries;
pub mod engine;
pub mod fence;
pub mod gate;
mod gate_duty;
pub mod handle;
pub mod health;
mod monitor;
pub mod orders;
pub mod report_pacer;
pub mod routes;
mod run;
mod service;
pub mod start;

pub use handle::Handle;
pub use handle::SERVICE;
pub use routes::Probe;
pub use routes::routes;
pub use start::StartError;
pub use start::start;
