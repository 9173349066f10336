//! The attempts of one request in one pass: their records, and the gate that decides which of them
//! are sent.

use std::cell::RefCell;
use std::rc::Rc;

use chicoryford_fleet::hedge::SendGate;
use chicoryford_kernel::run_time::RunTimer;
use tokio::sync::Notify;

use super::attempt::AttemptRecord;

/// The attempts of one request in one pass. The numbers of the gate are the indices of the records.
pub(super) struct Attempts {
    pub(super) records: RefCell<Vec<AttemptRecord>>,
    pub(super) gate: RefCell<SendGate>,
    /// Notified when an attempt was sent, which starts the time until a second one is due.
    pub(super) sent: Notify,
    /// Measures the time until a second attempt is due: since the latest attempt was sent.
    hedge_timer: RefCell<Option<Rc<RunTimer>>>,
    /// Notified when a held attempt may be sent.
    released: Notify,
}

impl Attempts {
    /// Creates the record of a request without attempts.
    pub(super) fn new(fallback: bool) -> Self {
        let gate = RefCell::new(SendGate::new(fallback));
        Self {
            records: RefCell::default(),
            gate,
            sent: Notify::new(),
            hedge_timer: RefCell::default(),
            released: Notify::new(),
        }
    }

    /// Starts the time until a second attempt is due, or starts it again.
    pub(super) fn start_hedge_timer(&self) {
        self.hedge_timer.replace(Some(Rc::new(RunTimer::start())));
    }

    /// Returns the timer of the second attempt, once it was started.
    pub(super) fn hedge_timer(&self) -> Option<Rc<RunTimer>> {
        self.hedge_timer.borrow().clone()
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
