//! HTTP/1.1 connections whose bytes, ends and reuse are under control, on both sides.
//!
//! The general server and client libraries hide the socket: a handler that waits is not told that
//! its caller has left, and a pool may reuse a connection on which something came unasked. Here
//! the library's codecs read and write messages, and this crate decides when a connection is
//! read, reused and closed (docs/STYLE.md).

pub mod client;
pub mod message;
pub mod pool;
pub mod server;
pub mod socket;

pub use client::Connection;
pub use client::ExchangeError;
pub use client::IncomingReply;
pub use message::Headers;
pub use message::Reply;
pub use message::Request;
pub use pool::Pool;
pub use server::Bounds;
pub use server::Server;
