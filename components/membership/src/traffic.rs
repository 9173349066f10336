//! Counts what gossip costs on the wire. The operating system keeps no count of the bytes of one
//! UDP socket, so without this the part of gossip in a node's budget could only be guessed.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use chicoryford_kernel::Kernel;
use serde::Serialize;

/// The name of the part of the state dump.
const PART: &str = "gossip";

/// Datagrams and bytes of content, code included, since the process started. Headers of IP and
/// UDP, 28 bytes a datagram, are not in them.
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
struct Shown {
    sent: u64,
    sent_bytes: u64,
    received: u64,
    received_bytes: u64,
}

impl Traffic {
    /// Counts a datagram that left.
    pub fn sent(&self, length: usize) {
        self.0.sent.fetch_add(1, Ordering::Relaxed);
        self.0.sent_bytes.fetch_add(length as u64, Ordering::Relaxed);
    }

    /// Counts a datagram that came.
    pub fn received(&self, length: usize) {
        self.0.received.fetch_add(1, Ordering::Relaxed);
        self.0.received_bytes.fetch_add(length as u64, Ordering::Relaxed);
    }

    /// Adds the counts to the process's state dump.
    pub fn dump(&self, kernel: &Kernel) {
        let counters = self.0.clone();
        kernel.dumps.add(PART, move || {
            let shown = Shown {
                sent: counters.sent.load(Ordering::Relaxed),
                sent_bytes: counters.sent_bytes.load(Ordering::Relaxed),
                received: counters.received.load(Ordering::Relaxed),
                received_bytes: counters.received_bytes.load(Ordering::Relaxed),
            };
            async move { serde_json::to_value(&shown).unwrap_or_default() }
        });
    }
}
