//! The attempts of one request in one pass: their records, and the gate that decides which of them
//! are sent.

use std::cell::RefCell;

use chicoryford_fleet::hedge::SendGate;
use tokio::sync::Notify;

use super::attempt::AttemptRecord;

/// The attempts of one request in one pass. The numbers of the gate are the indices of the records.
pub(super) struct Attempts {
    pub(super) records: RefCell<Vec<AttemptRecord>>,
    pub(super) gate: RefCell<SendGate>,
    /// Notified when an attempt was sent, which starts the time until a second one is due.
    pub(super) sent: Notify,
    /// Notified when a held attempt may be sent.
    released: Notify,
}

impl Attempts {
    /// Creates the record of a request without attempts.
    pub(super) fn new(fallback: bool) -> Self {
        let gate = RefCell::new(SendGate::new(fallback));
        Self { records: RefCell::default(), gate, sent: Notify::new(), released: Notify::new() }
    }

    /// Permits one attempt to be sent while another one is in flight.
    pub(super) fn permit(&self) {
        self.gate.borrow_mut().permit();
        self.released.notify_waiters();
    }

    /// Records that an attempt has ended.
    pub(super) fn end(&self, attempt: usize) {
        self.gate.borrow_mut().end(attempt);
        self.released.notify_waiters();
    }

    /// Waits until an attempt that has a connection may be sent. Returns whether it was held.
    pub(super) async fn wait_to_send(&self, attempt: usize) -> bool {
        if self.gate.borrow_mut().connect(attempt) {
            return false;
        }
        loop {
            self.released.notified().await;
            if self.gate.borrow().may_send() {
                return true;
            }
        }
    }
}
