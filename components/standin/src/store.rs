//! A stand-in of a weight store whose total rate for all readers is limited.

use std::net::SocketAddr;

use chicoryford_wire::Routes;
use chicoryford_wire::reply;
use chicoryford_wire::server::Running;
use chicoryford_wire::server::ServeError;

use crate::http;
use crate::rate_limit::RateLimiter;

/// The settings of a store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Size of one version, in bytes.
    pub size: usize,
    /// Rate for all readers together, in bytes per second.
    pub rate: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self { size: 1 << 20, rate: 64 << 20 }
    }
}

/// Starts a store within the caller's actix system.
///
/// # Errors
///
/// Returns [`ServeError`] if the address cannot be bound.
pub fn start(address: SocketAddr, settings: StoreSettings) -> Result<Running, ServeError> {
    let limiter = RateLimiter::default();
    http::open(address, move || {
        let mut routes = Routes::default();
        let (settings, limiter) = (settings.clone(), limiter.clone());
        routes.add("/health", &[], |_| async { reply::json(200, "ok") });
        routes.add("/weights/", &[], move |_| {
            let answer = limiter.body(settings.size, settings.rate, ());
            async move { answer }
        });
        routes
    })
}
