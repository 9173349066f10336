//! A pool of idle connections for further requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::client::Connection;

/// Time for which a connection is kept if its endpoint does not state a keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Time subtracted from the endpoint's keep-alive timeout, so that the endpoint does not close the
/// connection while the next request is in flight.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(150);
/// Maximum number of idle connections to one endpoint. More connections than the endpoint's
/// concurrent requests would never be used.
const MAX_IDLE_CONNECTIONS: usize = 16;

struct Idle {
    connection: Connection,
    until: Instant,
}

/// Keeps idle connections by endpoint. The key includes the endpoint's incarnation, because its
/// address may be reused by another endpoint.
#[derive(Default)]
pub struct Pool(BTreeMap<(SocketAddr, String), Vec<Idle>>);

impl Pool {
    /// Removes and returns the clean connection that was used last. Unclean ones are closed.
    pub fn take(&mut self, address: SocketAddr, incarnation: &str) -> Option<Connection> {
        let connections = self.0.get_mut(&(address, incarnation.to_owned()))?;
        let now = Instant::now();
        while let Some(mut idle) = connections.pop() {
            if idle.until > now && idle.connection.is_clean() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Adds a connection. `keep_alive` is the endpoint's Keep-Alive header.
    pub fn keep(
        &mut self,
        address: SocketAddr,
        incarnation: &str,
        connection: Connection,
        keep_alive: Option<&str>,
    ) {
        let seconds = keep_alive.and_then(keep_alive_seconds);
        let time = seconds
            .map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs)
            .saturating_sub(KEEP_ALIVE_MARGIN);
        if time.is_zero() {
            return;
        }
        let connections = self.0.entry((address, incarnation.to_owned())).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(Idle { connection, until: Instant::now() + time });
        }
    }

    /// Closes expired connections and those to endpoint incarnations for which `keep` returns
    /// false.
    pub fn sweep(&mut self, keep: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.0.retain(|(_, incarnation), connections| {
            connections.retain(|idle| idle.until > now);
            !connections.is_empty() && keep(incarnation)
        });
    }
}

/// Parses `timeout=N` of a Keep-Alive header.
fn keep_alive_seconds(value: &str) -> Option<u64> {
    let mut parts = value.split(',').map(str::trim);
    parts.find_map(|part| part.strip_prefix("timeout=")).and_then(|number| number.parse().ok())
}
