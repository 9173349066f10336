//! A stand-in of a plain service, such as a label printer. It responds to a call after a delay and
//! records each execution with its idempotency key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryford_wire::Call;
use chicoryford_wire::Reply;
use chicoryford_wire::Routes;
use chicoryford_wire::reply;
use chicoryford_wire::server::Running;
use chicoryford_wire::server::ServeError;
use serde::Serialize;

use crate::http;
use crate::record;
use crate::record::Recorder;

/// The header that carries the idempotency key to a service.
pub const KEY_HEADER: &str = "idempotency-key";
/// The header that carries the request identifier to a service.
pub const REQUEST_HEADER: &str = "x-request-id";
/// A body that contains this text makes the service drop the connection after executing the call.
pub const DROP_MARK: &str = "<drop>";

/// The settings of a service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// The name of the service in its responses.
    pub name: String,
    /// Duration of a call, in milliseconds.
    pub delay_ms: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self { name: "labels".to_owned(), delay_ms: 10 }
    }
}

/// An execution, as it is recorded and sent as the response.
#[derive(Clone, Debug, Serialize)]
pub struct Execution {
    /// The event; always `run`.
    pub event: &'static str,
    /// The time, in Unix milliseconds.
    pub at: u64,
    /// The name of the service.
    pub service: String,
    /// The path.
    pub path: String,
    /// The idempotency key, empty for none.
    pub key: String,
    /// The request identifier.
    pub request: String,
    /// The number of the execution, counted from zero.
    pub number: u64,
    /// The body, as text.
    pub body: String,
}

/// Starts a service within the caller's actix system.
///
/// # Errors
///
/// Returns [`ServeError`] if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    settings: ServiceSettings,
    records: Recorder,
) -> Result<Running, ServeError> {
    let count = Arc::new(AtomicU64::new(0));
    http::open(address, move || {
        let mut routes = Routes::default();
        routes.add("/health", &[], |_| async { reply::json(200, "ok") });
        let (settings, records, count) = (settings.clone(), records.clone(), count.clone());
        routes.add("/", &[], move |call| {
            let (settings, records) = (settings.clone(), records.clone());
            let number = count.fetch_add(1, Ordering::Relaxed);
            async move { execute(&settings, &records, number, &call).await }
        });
        routes
    })
}

async fn execute(
    settings: &ServiceSettings,
    records: &Recorder,
    number: u64,
    call: &Call,
) -> Reply {
    let execution = Execution {
        event: "run",
        at: record::unix(),
        service: settings.name.clone(),
        path: call.path.clone(),
        key: call.header(KEY_HEADER).unwrap_or_default().to_owned(),
        request: call.header(REQUEST_HEADER).unwrap_or_default().to_owned(),
        number,
        body: String::from_utf8_lossy(&call.body).into_owned(),
    };
    records.write(&execution);
    tokio::time::sleep(Duration::from_millis(settings.delay_ms)).await;
    if execution.body.contains(DROP_MARK) {
        let broken_body = futures_util::stream::iter([Err(std::io::Error::other("dropped"))]);
        return reply::stream(reply::JSON, broken_body);
    }
    reply::json(200, &execution)
}
