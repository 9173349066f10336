//! A weight store that is rate-limited: all readers together get so many bytes a second.

use std::net::SocketAddr;

use chicoryford_wire::Routes;
use chicoryford_wire::reply;
use chicoryford_wire::server::Running;
use chicoryford_wire::server::ServeError;

use crate::http;
use crate::pace::Meter;

/// How a store behaves.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Bytes of one version.
    pub size: usize,
    /// Bytes a second, for all readers together.
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
/// [`ServeError`] if the address cannot be bound.
pub fn start(address: SocketAddr, settings: StoreSettings) -> Result<Running, ServeError> {
    let meter = Meter::default();
    http::open(address, move || {
        let mut routes = Routes::default();
        let (settings, meter) = (settings.clone(), meter.clone());
        routes.add("/health", &[], |_| async { reply::json(200, "ok") });
        routes.add("/weights/", &[], move |_| {
            let answer = meter.body(settings.size, settings.rate, ());
            async move { answer }
        });
        routes
    })
}
