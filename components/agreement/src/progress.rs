//! The leader's replication progress for another replica.

use std::collections::VecDeque;

use chicoryford_types::Millis;

use crate::saved::Snapshot;

/// The replication progress of one replica.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The index up to which its log is on disk and equals the leader's.
    pub matched: u64,
    /// The index of the next entry to send.
    pub next: u64,
    /// Whether the point at which its log diverges from the leader's is still unknown. Only one
    /// message is then in flight, so that a wrong guess costs one message instead of a whole
    /// window.
    pub probing: bool,
    /// The index of the last entry of each message in flight.
    pub in_flight: VecDeque<u64>,
    /// The time of its last progress, or of a send with nothing else in flight.
    pub last_progress: Millis,
    /// The time of the last contact in this epoch.
    pub last_contact: Millis,
    /// The last heartbeat round that it answered.
    pub round: u64,
    /// The commit index last sent to it.
    pub sent_commit: u64,
    /// The snapshot transfer in progress.
    pub snapshot: Option<SnapshotTransfer>,
}

/// A snapshot transfer. It continues with the same snapshot even if a newer one is taken meanwhile;
/// otherwise a replica behind a slow link would start over again and again.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    pub snapshot: Snapshot,
    /// The bytes that the receiver has acknowledged.
    pub acked: u64,
    /// The bytes that were sent.
    pub sent: u64,
    /// The heartbeat round in which the transfer last started or was resumed. A reply to a chunk
    /// from then on reports what the receiver has now, which may be less than before if it
    /// restarted.
    pub round: u64,
}

impl Progress {
    /// Creates the progress of a replica of which nothing is known.
    pub fn new(next: u64, now: Millis) -> Self {
        Self {
            matched: 0,
            next,
            probing: true,
            in_flight: VecDeque::new(),
            last_progress: now,
            last_contact: now,
            round: 0,
            sent_commit: 0,
            snapshot: None,
        }
    }

    /// Records that the log of the replica up to `index` is on its disk.
    pub fn advance_matched(&mut self, index: u64, now: Millis) {
        if index <= self.matched {
            return;
        }
        self.matched = index;
        self.last_progress = now;
        self.probing = false;
        self.next = self.next.max(index + 1);
        while self.in_flight.front().is_some_and(|last| *last <= index) {
            self.in_flight.pop_front();
        }
        if self.snapshot.as_ref().is_some_and(|t| t.snapshot.meta.last.index <= index) {
            self.snapshot = None;
        }
    }

    /// Returns to probing, from `next` or from the end of the known match.
    pub fn start_probing(&mut self, next: u64) {
        self.next = next.max(self.matched + 1);
        self.probing = true;
        self.in_flight.clear();
    }

    /// Records that a message with entries up to `last` was sent.
    pub fn record_sent(&mut self, last: u64, now: Millis) {
        if self.in_flight.is_empty() {
            self.last_progress = now;
        }
        self.in_flight.push_back(last);
        if !self.probing {
            self.next = last + 1;
        }
    }

    /// Returns whether another message with entries may be sent.
    pub fn has_room(&self, max_in_flight: usize) -> bool {
        let limit = if self.probing { 1 } else { max_in_flight };
        self.in_flight.len() < limit
    }
}
