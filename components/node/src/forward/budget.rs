//! Limits of a request in time and endpoints, over all of its passes.

use std::cell::RefCell;

use chicoryford_fleet::run::CallCost;
use chicoryford_types::Millis;
use tokio::sync::Notify;

use crate::clock;

/// Limits of a request over all passes in which it is forwarded: endpoints get the same deadline in
/// each pass, and no more of them run the request than its route allows.
#[derive(Debug)]
pub struct Budget {
    pub(super) deadline: Millis,
    /// Identifies a request that several processes may forward.
    pub(super) request_id: Option<String>,
    pub(super) spent: RefCell<CallCost>,
    pub(super) added: Notify,
}

impl Budget {
    /// Creates the budget of a request whose caller waits until `deadline`.
    pub fn new(deadline: Millis) -> Self {
        Self { deadline, request_id: None, spent: RefCell::default(), added: Notify::new() }
    }

    /// Creates the budget of a request that other processes may have forwarded before, or may
    /// forward concurrently. All of them prefer the same endpoints, so that together they use no
    /// more endpoints than one of them may.
    pub fn shared(id: &str, deadline: Millis, spent: CallCost) -> Self {
        let request_id = Some(id.to_owned());
        Self { deadline, request_id, spent: RefCell::new(spent), added: Notify::new() }
    }

    /// Returns the milliseconds for which the caller still waits.
    pub fn left_ms(&self) -> u64 {
        self.deadline.since(clock::now())
    }

    /// Waits until the request is sent to an endpoint that it was not sent to before.
    pub async fn endpoint_added(&self) {
        self.added.notified().await;
    }

    /// Returns what was spent so far.
    pub fn spent(&self) -> CallCost {
        self.spent.borrow().clone()
    }
}
