//! The whole path over real processes: one daemon with every role, or a small cluster, beside a
//! stand-in engine.

mod client;
mod cluster;
mod errors;
mod fixture;
mod path;
mod stop;
mod tls;
