//! Counts the gossip traffic. The operating system does not count the bytes of a single UDP socket,
//! so without these counters the share of gossip in a node's network budget could only be
//! estimated.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use chicoryford_kernel::Kernel;
use serde::Serialize;

/// The name of the section in the state dump.
const DUMP_SECTION: &str = "gossip";

/// Number of datagrams and bytes of their content, including the authentication code, since the
/// process started. IP and UDP headers, 28 bytes per datagram, are not included.
#[derive(Clone, Debug, Default)]
pub struct Traffic(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
}

#[derive(Serialize)]
struct CounterValues {
    sent: u64,
    sent_bytes: u64,
    received: u64,
    received_bytes: u64,
}

impl Traffic {
    /// Counts a sent datagram.
    pub fn sent(&self, length: usize) {
        self.0.sent.fetch_add(1, Ordering::Relaxed);
        self.0.sent_bytes.fetch_add(length as u64, Ordering::Relaxed);
    }

    /// Counts a received datagram.
    pub fn received(&self, length: usize) {
        self.0.received.fetch_add(1, Ordering::Relaxed);
        self.0.received_bytes.fetch_add(length as u64, Ordering::Relaxed);
    }

    /// Adds the counters to the state dump of the process.
    pub fn dump(&self, kernel: &Kernel) {
        let counters = self.0.clone();
        kernel.dumps.add(DUMP_SECTION, move || {
            let values = CounterValues {
                sent: counters.sent.load(Ordering::Relaxed),
                sent_bytes: counters.sent_bytes.load(Ordering::Relaxed),
                received: counters.received.load(Ordering::Relaxed),
                received_bytes: counters.received_bytes.load(Ordering::Relaxed),
            };
            async move { serde_json::to_value(&values).unwrap_or_default() }
        });
    }
}
