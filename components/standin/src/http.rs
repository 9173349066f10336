//! The HTTP server of a stand-in. It requires no token and has one worker thread.

use std::net::SocketAddr;
use std::sync::Arc;

use chicoryford_wire::Keys;
use chicoryford_wire::Reply;
use chicoryford_wire::Routes;
use chicoryford_wire::reply;
use chicoryford_wire::server::Bounds;
use chicoryford_wire::server::Running;
use chicoryford_wire::server::ServeError;
use chicoryford_wire::server::serve;

/// Serves `routes` on `address` within the caller's actix system.
///
/// # Errors
///
/// Returns [`ServeError`] if the address cannot be bound.
pub fn open<F>(address: SocketAddr, routes: F) -> Result<Running, ServeError>
where
    F: Fn() -> Routes + Send + Clone + 'static,
{
    let bounds = Bounds { workers: 1, ..Bounds::default() };
    serve(address, &bounds, Arc::new(Keys::default()), None, routes)
}

/// Creates a response with an error message in JSON.
pub fn error(status: u16, message: &str) -> Reply {
    reply::json(status, &serde_json::json!({ "error": message }))
}
