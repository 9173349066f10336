//! Queue for requests at a process while all endpoints of a service are full.
//!
//! Without it, every request would retry on its own, and a free slot would go to whoever retries
//! most often, so that a workspace with many requests would starve the others. With the queue,
//! requests retry one after the other, most urgent first. Equally urgent requests are ordered by
//! start-time fair queueing over workspaces (Goyal, Vin and Cheng, 1996), so that a workspace with
//! few requests does not wait behind all requests of a workspace with many.

use std::collections::BTreeSet;

use chicoryford_admission::queue::FairClock;
use chicoryford_types::Millis;
use chicoryford_types::Workspace;

/// Milliseconds without retries after all endpoints were full, which is about the duration of a
/// request.
const PAUSE_MS: u64 = 30;

/// Position of a request: its priority, its virtual time, and a number that makes it unique.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    rank: u32,
    tag: u64,
    number: u64,
}

/// Requests that wait for a slot at an endpoint of a service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    fair: FairClock,
    waiting: BTreeSet<QueuePosition>,
    last_number: u64,
    paused_until: Millis,
}

impl WaitQueue {
    /// Returns whether a new request has to wait, because others do or because all endpoints were
    /// full a moment ago.
    pub fn must_wait(&self, now: Millis) -> bool {
        !self.waiting.is_empty() || now < self.paused_until
    }

    /// Pauses retries after a request found all endpoints full.
    pub fn pause(&mut self, now: Millis) {
        self.paused_until = now + PAUSE_MS;
    }

    /// Adds a request of a workspace.
    pub fn push(&mut self, workspace: &str, rank: u32) -> QueuePosition {
        self.last_number += 1;
        let tag = self.fair.next_tag(&Workspace::from(workspace), 1);
        let position = QueuePosition { rank, tag, number: self.last_number };
        self.waiting.insert(position);
        position
    }

    /// Adds a request again at its previous position, after it was admitted and found all endpoints
    /// full.
    pub fn requeue(&mut self, position: QueuePosition) {
        self.waiting.insert(position);
    }

    /// Returns the milliseconds until a request may retry, or `None` while others are ahead of it.
    pub fn wait_ms(&self, position: QueuePosition, now: Millis) -> Option<u64> {
        (self.waiting.first() == Some(&position)).then(|| self.paused_until.since(now))
    }

    /// Removes a request that is about to retry, and advances the virtual time to its own.
    pub fn admit(&mut self, position: QueuePosition) {
        self.waiting.remove(&position);
        self.fair.advance(position.tag);
    }

    /// Removes a request that was abandoned.
    pub fn remove(&mut self, position: QueuePosition) {
        self.waiting.remove(&position);
    }
}
