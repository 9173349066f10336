//! Counts what the links of the fleet carry, by kind of message and by data centres.
//!
//! Bytes between data centres are what a fleet pays for beside its VMs, and no log line of a single
//! decision shows them. The process that takes a link counts both directions, since it knows where
//! both ends are; so the sum over all control processes is what all links carry.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::metrics;

/// Bytes of a frame's length.
const FRAME_BYTES: usize = 4;
/// Time between two lines about what was counted. One line says enough about bytes that are paid for
/// by the day.
const REPORT: Duration = Duration::from_secs(10);

/// Which way a message went.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Direction {
    /// From the process that took the link.
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
    /// Starts to count for a process in a data centre.
    pub fn new(data_centre: &str) -> Rc<Self> {
        Rc::new(Self { data_centre: data_centre.to_owned(), sums: RefCell::default() })
    }

    /// Counts a message.
    pub fn count(&self, kind: &'static str, way: Direction, there: &str, bytes: usize) {
        let here = self.data_centre.as_str();
        let (from, to) = if way == Direction::Out { (here, there) } else { (there, here) };
        let bytes = (bytes + FRAME_BYTES) as u64;
        metrics::LINK_BYTES.with_label_values(&[kind, from, to]).inc_by(bytes);
        *self.sums.borrow_mut().entry((kind, here != there)).or_default() += bytes;
    }

    /// Gives what was counted since the last time: bytes between data centres by kind of message,
    /// and bytes within this one.
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

/// Writes down what was counted for as long as the process lives.
pub async fn report_on(traffic: Rc<Traffic>) {
    loop {
        tokio::time::sleep(REPORT).await;
        traffic.report();
    }
}
