//! Counts the bytes on the fleet's links, by kind of message and by data centre.
//!
//! Besides the VMs, traffic between data centres is what a fleet costs, and no log line about a
//! single decision shows it. The process that accepts a link counts both directions, since the
//! data centres of both ends are known there. The sum over all control processes is therefore the
//! traffic of all links.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::metrics;

/// Bytes of a frame's length prefix.
const FRAME_BYTES: usize = 4;
/// Interval of log lines about the traffic. A long interval is enough, because traffic is billed by
/// the day.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The direction of a message.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Direction {
    /// From the process that accepted the link.
    Out,
    /// To it.
    In,
}

/// Counts the messages of one process's links.
pub struct Traffic {
    data_centre: String,
    sums: RefCell<BTreeMap<(&'static str, bool), u64>>,
}

impl Traffic {
    /// Creates the counters of a process in a data centre.
    pub fn new(data_centre: &str) -> Rc<Self> {
        Rc::new(Self { data_centre: data_centre.to_owned(), sums: RefCell::default() })
    }

    /// Counts a message to or from a peer in the data centre `peer`.
    pub fn count(&self, kind: &'static str, direction: Direction, peer: &str, bytes: usize) {
        let own = self.data_centre.as_str();
        let (from, to) = if direction == Direction::Out { (own, peer) } else { (peer, own) };
        let bytes = (bytes + FRAME_BYTES) as u64;
        metrics::LINK_BYTES.with_label_values(&[kind, from, to]).inc_by(bytes);
        *self.sums.borrow_mut().entry((kind, own != peer)).or_default() += bytes;
    }

    /// Returns and resets the counts: bytes between data centres by kind of message, and bytes
    /// within this one.
    pub fn take(&self) -> (BTreeMap<&'static str, u64>, u64) {
        let sums = std::mem::take(&mut *self.sums.borrow_mut());
        let near = sums.iter().filter(|((_, far), _)| !far).map(|(_, bytes)| bytes).sum();
        let far = sums.into_iter().filter(|((_, far), _)| *far);
        (far.map(|((kind, _), bytes)| (kind, bytes)).collect(), near)
    }

    fn report(&self) {
        let (far, near) = self.take();
        let far: Vec<String> = far.iter().map(|(kind, bytes)| format!("{kind}={bytes}")).collect();
        if !far.is_empty() {
            tracing::info!(event = "traffic", far = far.join(" "), near);
        }
    }
}

/// Logs the traffic for as long as the process runs.
pub async fn report_periodically(traffic: Rc<Traffic>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        traffic.report();
    }
}
