//! A weight store that is rate-limited: all readers together get so many bytes a second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_wire::Reply;
use chicoryford_wire::Routes;
use chicoryford_wire::reply;
use chicoryford_wire::server::Running;
use chicoryford_wire::server::ServeError;
use futures_util::stream;
use tokio::time::Instant;

use crate::http;

/// Bytes of one piece of a stream.
const PIECE: usize = 64 << 10;

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

type Meter = Arc<Mutex<Option<Instant>>>;

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
            let answer = weights(settings.clone(), meter.clone());
            async move { answer }
        });
        routes
    })
}

fn weights(settings: StoreSettings, meter: Meter) -> Reply {
    let piece = move |left: usize| {
        let (meter, rate) = (meter.clone(), settings.rate.max(1));
        async move {
            let size = left.min(PIECE);
            if size == 0 {
                return None;
            }
            tokio::time::sleep_until(turn(&meter, size, rate)).await;
            let bytes = Bytes::from_static(&[0; PIECE]).slice(..size);
            Some((Ok::<_, std::io::Error>(bytes), left - size))
        }
    };
    reply::stream("application/octet-stream", stream::unfold(settings.size, piece))
}

/// Gives the moment at which `size` more bytes may leave, and moves the next one back.
fn turn(meter: &Meter, size: usize, rate: u64) -> Instant {
    let mut next = meter.lock().expect("nothing panics while it holds this lock");
    let now = Instant::now();
    let at = next.map_or(now, |at| at.max(now));
    *next = Some(at + Duration::from_secs_f64(size as f64 / rate as f64));
    at
}
