//! Queues of requests that wait because all endpoints of their service are full.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use chicoryford_fleet::wait_queue::QueuePosition;
use chicoryford_fleet::wait_queue::WaitQueue;
use chicoryford_types::Millis;
use tokio::sync::Notify;

use crate::clock;

/// The queues of all services.
#[derive(Default)]
pub struct WaitQueues {
    queues: RefCell<BTreeMap<String, WaitQueue>>,
    changed: Notify,
}

impl WaitQueues {
    /// Returns whether a request that arrives now has to wait.
    pub fn must_wait(&self, service: &str) -> bool {
        self.queues.borrow().get(service).is_some_and(|queue| queue.must_wait(clock::now()))
    }

    /// Records that a request found all endpoints of a service full.
    pub fn record_full(&self, service: &str) {
        self.queues.borrow_mut().entry(service.to_owned()).or_default().pause(clock::now());
    }

    /// Waits for the turn of a request. Returns its place in the queue, or `None` if `until` passes
    /// first. `before` is its previous place if it was at the head and found all endpoints full
    /// again.
    pub async fn wait_for_turn(
        &self,
        service: &str,
        (workspace, rank): (&str, u32),
        before: Option<QueuePosition>,
        until: Millis,
    ) -> Option<QueuePosition> {
        let place = {
            let mut queues = self.queues.borrow_mut();
            let queue = queues.entry(service.to_owned()).or_default();
            match before {
                Some(place) => {
                    queue.requeue(place);
                    place
                }
                None => queue.push(workspace, rank),
            }
        };
        let entry = QueueEntry { owner: self, service, place };
        loop {
            let now = clock::now();
            let left = until.since(now);
            let turn = self.queues.borrow()[service].wait_ms(place, now);
            if turn == Some(0) {
                return Some(entry.admit());
            }
            if left == 0 {
                return None;
            }
            let pause = Duration::from_millis(turn.unwrap_or(left).min(left));
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}

/// A request in its queue; dropping it removes it from the queue.
struct QueueEntry<'a> {
    owner: &'a WaitQueues,
    service: &'a str,
    place: QueuePosition,
}

impl QueueEntry<'_> {
    /// Admits the request and returns the place at which it may wait again.
    fn admit(&self) -> QueuePosition {
        let mut queues = self.owner.queues.borrow_mut();
        queues.get_mut(self.service).map_or(self.place, |queue| queue.admit(self.place))
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        if let Some(queue) = self.owner.queues.borrow_mut().get_mut(self.service) {
            queue.remove(self.place);
        }
        self.owner.changed.notify_waiters();
    }
}
