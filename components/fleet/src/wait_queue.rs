//! The line in which requests wait at a process while all endpoints of a service are full.
//!
//! Without it each request asks the endpoints again by itself, so a place that comes free goes to
//! whoever asks most often: a workspace with many requests starves the others. Here they ask one
//! after the other, the most urgent first, and of equally urgent ones by start-time fair queueing over
//! workspaces (Goyal, Vin and Cheng, 1996), so that one with few requests does not wait behind all
//! those of one with many.

use std::collections::BTreeSet;

use chicoryford_admission::queue::Fair;
use chicoryford_types::Millis;
use chicoryford_types::Workspace;

/// Milliseconds for which endpoints that were all full are left alone. A request at them takes about as
/// long.
const PAUSE_MS: u64 = 30;

/// A request's place: its rank, its virtual time, and a number that tells it from others.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    rank: u32,
    tag: u64,
    number: u64,
}

/// Requests that wait for a service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    fair: Fair,
    waiting: BTreeSet<QueuePosition>,
    last_number: u64,
    paused_until: Millis,
}

impl WaitQueue {
    /// Tells whether a request that comes now waits: others do, or all endpoints were full just now.
    pub fn must_wait(&self, now: Millis) -> bool {
        !self.waiting.is_empty() || now < self.paused_until
    }

    /// Takes in that a request found all endpoints full.
    pub fn pause(&mut self, now: Millis) {
        self.paused_until = now + PAUSE_MS;
    }

    /// Adds a request of a workspace.
    pub fn push(&mut self, workspace: &str, rank: u32) -> QueuePosition {
        self.last_number += 1;
        let tag = self.fair.tag(&Workspace::from(workspace), 1);
        let place = QueuePosition { rank, tag, number: self.last_number };
        self.waiting.insert(place);
        place
    }

    /// Adds a request again that was first and found all endpoints full: it keeps its place.
    pub fn requeue(&mut self, place: QueuePosition) {
        self.waiting.insert(place);
    }

    /// Gives the milliseconds until this request may ask endpoints; none while others go before it.
    pub fn wait_ms(&self, place: QueuePosition, now: Millis) -> Option<u64> {
        (self.waiting.first() == Some(&place)).then(|| self.paused_until.since(now))
    }

    /// Takes out a request that goes on to ask endpoints.
    pub fn admit(&mut self, place: QueuePosition) {
        self.waiting.remove(&place);
        self.fair.advance(place.tag);
    }

    /// Takes out a request that has given up.
    pub fn remove(&mut self, place: QueuePosition) {
        self.waiting.remove(&place);
    }
}
