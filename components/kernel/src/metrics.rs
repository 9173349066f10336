//! Metrics, sent by UDP in the statsd form.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use thiserror::Error;

/// The metrics socket could not be set up.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// No UDP socket could be opened.
    #[error("cannot open a UDP socket for metrics")]
    Socket(#[source] std::io::Error),
    /// The address was not usable.
    #[error("cannot send metrics to {0}")]
    Address(SocketAddr, #[source] cadence::MetricError),
}

/// Room for metrics that wait to be sent; past it they are dropped, never waited for.
const QUEUE: usize = 4_096;

/// Where a process's metrics go. A metric that cannot be sent is lost silently by design: the
/// work itself must not wait for it.
#[derive(Clone)]
pub struct Metrics(Arc<StatsdClient>);

impl Metrics {
    /// Sends metrics to `address`, or nowhere.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] if no socket can be opened.
    pub fn new(address: Option<SocketAddr>) -> Result<Self, MetricsError> {
        let Some(address) = address else {
            return Ok(Self(Arc::new(StatsdClient::from_sink("chicoryford", NopMetricSink))));
        };
        let socket = UdpSocket::bind(("0.0.0.0", 0)).map_err(MetricsError::Socket)?;
        socket.set_nonblocking(true).map_err(MetricsError::Socket)?;
        let sink = UdpMetricSink::from(address, socket)
            .map_err(|error| MetricsError::Address(address, error))?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
        Ok(Self(Arc::new(StatsdClient::from_sink("chicoryford", sink))))
    }

    /// Counts `n` events.
    pub fn count(&self, name: &str, n: i64) {
        let _ = self.0.count(name, n);
    }

    /// Reports the present value of something.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.0.gauge(name, value);
    }

    /// Reports a duration in milliseconds.
    pub fn time(&self, name: &str, ms: u64) {
        let _ = self.0.time(name, ms);
    }
}
