//! Reports what this process holds for its clients (docs/CLIENTS.md).

use std::sync::Arc;
use std::time::Duration;

use chicoryford_ingress::Ingress;

use crate::metrics;

/// Interval of reports. One line covers all connections that were closed in it, since a client may open
/// thousands.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Updates the metrics, and logs when connections were closed or requests refused, for as long as the
/// process runs.
pub async fn report_periodically(ingress: Arc<Ingress>) {
    let (mut closed, mut refused) = (0, 0);
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let (held_bytes, connections) = (ingress.held_bytes(), ingress.connections());
        metrics::CLIENT_BYTES.set(held_bytes as i64);
        metrics::CLIENT_CONNECTIONS.set(connections as i64);
        let (all_closed, all_refused) = (ingress.closed_connections(), ingress.refused_requests());
        let (newly_closed, newly_refused) = (all_closed - closed, all_refused - refused);
        (closed, refused) = (all_closed, all_refused);
        if newly_closed == 0 && newly_refused == 0 {
            continue;
        }
        metrics::CLIENTS_CLOSED.with_label_values::<&str>(&[]).inc_by(newly_closed);
        metrics::CLIENTS_REFUSED.with_label_values::<&str>(&[]).inc_by(newly_refused);
        tracing::warn!(
            event = "clients_limited",
            closed = newly_closed,
            refused = newly_refused,
            connections,
            held_bytes
        );
    }
}
