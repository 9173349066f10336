//! Connections that are kept for further requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::client::Connection;

/// How long a connection is kept when its endpoint does not say how long it keeps it.
const KEPT: Duration = Duration::from_secs(4);
/// What is taken off the time that the endpoint states, so that it does not close the connection
/// while the next request is on its way.
const MARGIN: Duration = Duration::from_millis(150);
/// Idle connections to one endpoint; more than its requests at a time would never be used.
const MOST: usize = 16;

struct Idle {
    connection: Connection,
    until: Instant,
}

/// Keeps idle connections by endpoint. The key names the endpoint's incarnation, because its
/// address may come to belong to another one.
#[derive(Default)]
pub struct Pool(BTreeMap<(SocketAddr, String), Vec<Idle>>);

impl Pool {
    /// Takes a clean connection, the one used last. Unclean ones are closed on the way.
    pub fn take(&mut self, address: SocketAddr, incarnation: &str) -> Option<Connection> {
        let kept = self.0.get_mut(&(address, incarnation.to_owned()))?;
        let now = Instant::now();
        while let Some(mut idle) = kept.pop() {
            if idle.until > now && idle.connection.is_clean() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection; `stated` is what its endpoint says about how long it does.
    pub fn keep(
        &mut self,
        address: SocketAddr,
        incarnation: &str,
        connection: Connection,
        stated: Option<&str>,
    ) {
        let seconds = stated.and_then(keep_alive_seconds);
        let time = seconds.map_or(KEPT, Duration::from_secs).saturating_sub(MARGIN);
        if time.is_zero() {
            return;
        }
        let kept = self.0.entry((address, incarnation.to_owned())).or_default();
        if kept.len() < MOST {
            kept.push(Idle { connection, until: Instant::now() + time });
        }
    }

    /// Closes the connections that were kept too long, and those to an endpoint that `keep` does
    /// not name.
    pub fn sweep(&mut self, keep: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.0.retain(|(_, incarnation), kept| {
            kept.retain(|idle| idle.until > now);
            !kept.is_empty() && keep(incarnation)
        });
    }
}

/// Reads `timeout=N` of a Keep-Alive header.
fn keep_alive_seconds(value: &str) -> Option<u64> {
    let mut parts = value.split(',').map(str::trim);
    parts.find_map(|part| part.strip_prefix("timeout=")).and_then(|number| number.parse().ok())
}
