//! HTTP/1.1 client and server with control over the reading, reuse and closing of connections.
//!
//! General server and client libraries hide the socket: a waiting handler is not notified that its
//! caller has disconnected, and a pool may reuse a connection on which unsolicited bytes were
//! received. This crate uses the library's codecs to read and write messages, and decides itself
//! when a connection is read, reused and closed (docs/STYLE.md).

pub mod client;
mod connection;
mod head;
pub mod load;
pub mod message;
pub mod pool;
pub mod reply_memory;
pub mod server;
pub mod socket;

pub use client::Connection;
pub use client::ExchangeError;
pub use client::IncomingReply;
pub use load::Admission;
pub use load::Load;
pub use message::Headers;
pub use message::Reply;
pub use message::Request;
pub use pool::Pool;
pub use server::Bounds;
pub use server::EarlyReply;
pub use server::Server;
