//! End-to-end tests with real processes, most of them with one daemon that has every role and a
//! stand-in engine.

mod bodies;
mod client;
mod config;
mod docs;
mod errors;
mod explain;
mod fixture;
mod logs;
mod path;
#[path = "../../platform/tests/client/config.rs"]
mod platform_config;
mod stop;
mod tls;
