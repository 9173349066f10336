//! The entry role: serves callers and trainers, and routes their requests to endpoints.
//!
//! HTTP workers check a request ([`admit`]), ask the router duty for admission and an endpoint
//! ([`router`]), and run attempts of it at agents ([`run`]). docs/API.md describes requests and
//! responses; docs/ARCHITECTURE.md describes the threads.

pub mod admit;
pub mod bodies;
pub mod chat;
pub mod context;
pub mod publish;
pub mod reports;
pub mod router;
pub mod run;
pub mod service;
pub mod start;
pub mod steps;
pub mod trainer;

pub use start::StartError;
pub use start::routes;
pub use start::start;
