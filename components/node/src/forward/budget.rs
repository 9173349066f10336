//! What a request may cost: time and endpoints, however often it is carried.

use std::cell::RefCell;

use chicoryford_fleet::run::Spent;
use chicoryford_types::Millis;
use tokio::sync::Notify;

use crate::clock;

/// What a request may cost, over all passes in which it is carried: endpoints are told the same end of
/// its time in each, and no more of them run it than its route allows.
#[derive(Debug)]
pub struct Budget {
    pub(super) deadline: Millis,
    /// Names the request at whichever process carries it.
    pub(super) shared: Option<String>,
    pub(super) spent: RefCell<Spent>,
    pub(super) grown: Notify,
}

impl Budget {
    /// Makes the budget of a request whose caller waits until then.
    pub fn new(deadline: Millis) -> Self {
        Self { deadline, shared: None, spent: RefCell::default(), grown: Notify::new() }
    }

    /// Makes the budget of a request that other processes may have carried before, or carry as well. All
    /// of them prefer the same endpoints, so that together they ask no more than one of them may.
    pub fn shared(id: &str, deadline: Millis, spent: Spent) -> Self {
        let shared = Some(id.to_owned());
        Self { deadline, shared, spent: RefCell::new(spent), grown: Notify::new() }
    }

    /// Gives the milliseconds for which its caller still waits.
    pub fn left_ms(&self) -> u64 {
        self.deadline.since(clock::now())
    }

    /// Waits until an endpoint is asked that was not asked before.
    pub async fn asked_another(&self) {
        self.grown.notified().await;
    }

    /// Gives what was spent so far.
    pub fn spent(&self) -> Spent {
        self.spent.borrow().clone()
    }
}
