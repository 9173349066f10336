//! The whole path over real processes: one daemon with every role beside a stand-in engine.

mod bodies;
mod client;
mod docs;
mod errors;
mod explain;
mod fixture;
mod logs;
mod path;
mod stop;
mod tls;
