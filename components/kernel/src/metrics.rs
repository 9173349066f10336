//! Metrics, sent over UDP in the statsd format.

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
    /// The UDP socket could not be opened.
    #[error("cannot open a UDP socket for metrics")]
    Socket(#[source] std::io::Error),
    /// The address cannot be used.
    #[error("cannot send metrics to {0}")]
    Address(SocketAddr, #[source] cadence::MetricError),
}

/// The capacity of the queue of metrics to send. Further metrics are dropped rather than waited
/// for.
const QUEUE_CAPACITY: usize = 4_096;

/// The metrics of a process. A metric that cannot be sent is dropped silently by design, because
/// requests must not wait for metrics.
#[derive(Clone)]
pub struct Metrics(Arc<StatsdClient>);

impl Metrics {
    /// Sends metrics to `address`, or drops them if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError`] if the socket cannot be opened or the address cannot be used.
    pub fn new(address: Option<SocketAddr>) -> Result<Self, MetricsError> {
        let Some(address) = address else {
            return Ok(Self(Arc::new(StatsdClient::from_sink("chicoryford", NopMetricSink))));
        };
        let socket = UdpSocket::bind(("0.0.0.0", 0)).map_err(MetricsError::Socket)?;
        socket.set_nonblocking(true).map_err(MetricsError::Socket)?;
        let sink = UdpMetricSink::from(address, socket)
            .map_err(|error| MetricsError::Address(address, error))?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
        Ok(Self(Arc::new(StatsdClient::from_sink("chicoryford", sink))))
    }

    /// Counts `n` events.
    pub fn count(&self, name: &str, n: i64) {
        let _ = self.0.count(name, n);
    }

    /// Reports the current value of a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.0.gauge(name, value);
    }

    /// Reports a duration in milliseconds.
    pub fn time(&self, name: &str, ms: u64) {
        let _ = self.0.time(name, ms);
    }
}
