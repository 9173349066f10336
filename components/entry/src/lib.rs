//! The entry role: callers, trainers, routing, streams.
//!
//! HTTP workers admit a request ([`admit`]), ask the router duty for an endpoint ([`router`]),
//! and run attempts of it at agents ([`run`]). docs/API.md tells callers what they may send and
//! what they get; docs/ARCHITECTURE.md shows the threads.

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
