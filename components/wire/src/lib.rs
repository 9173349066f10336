//! HTTP between processes, callers and operators: server, client, keys and TLS.
//!
//! Bodies between the system's own processes are MessagePack (`rmp-serde`); those exchanged with
//! callers and operators are JSON. The sizes of bodies and headers and the number of connections
//! are limited (docs/API.md).

pub mod call;
pub mod client;
pub mod framing;
pub mod keys;
pub mod paths;
pub mod progress;
pub mod reply;
pub mod routes;
pub mod server;
pub mod tls;
mod tracked;

pub use call::Call;
pub use client::CallError;
pub use client::Caller;
pub use client::Client;
pub use keys::Identity;
pub use keys::Keys;
pub use keys::Kind;
pub use progress::PROGRESS;
pub use progress::Progress;
pub use reply::Reply;
pub use routes::Routes;
