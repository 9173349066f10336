//! How far another replica is, as the leader knows it.

use std::collections::VecDeque;

use chicoryford_types::Millis;

use crate::saved::Snapshot;

/// How far another replica is.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The entry up to which it holds the log on disk.
    pub matched: u64,
    /// The next entry to send.
    pub next: u64,
    /// Whether it is not yet known where its log departs from the leader's. One message is then
    /// under way at a time, so that a guess that is wrong costs one message and not a window.
    pub probing: bool,
    /// The last entries of the messages under way.
    pub flying: VecDeque<u64>,
    /// When it last got further, or was last sent to with nothing under way.
    pub moved: Millis,
    /// When it was last heard in this epoch.
    pub heard: Millis,
    /// The last round of heartbeats that it answered.
    pub round: u64,
    /// The commit index that it was last told.
    pub told: u64,
    /// The snapshot that is on its way to it.
    pub transfer: Option<Transfer>,
}

/// A snapshot on its way. The whole transfer is of one snapshot, also when a newer one is taken
/// meanwhile, or a replica behind a slow link would start again and again.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    pub snapshot: Snapshot,
    /// The bytes that the receiver said it holds.
    pub acked: u64,
    /// The bytes that were sent.
    pub sent: u64,
    /// The round in which it last started again. An answer to a piece from then on tells what the
    /// receiver holds now, also if that is less than before because it restarted.
    pub round: u64,
}

impl Progress {
    /// Starts with nothing known.
    pub fn new(next: u64, now: Millis) -> Self {
        Self {
            matched: 0,
            next,
            probing: true,
            flying: VecDeque::new(),
            moved: now,
            heard: now,
            round: 0,
            told: 0,
            transfer: None,
        }
    }

    /// Notes that the replica holds the log up to `index` on disk.
    pub fn reach(&mut self, index: u64, now: Millis) {
        if index <= self.matched {
            return;
        }
        self.matched = index;
        self.moved = now;
        self.probing = false;
        self.next = self.next.max(index + 1);
        while self.flying.front().is_some_and(|last| *last <= index) {
            self.flying.pop_front();
        }
        if self.transfer.as_ref().is_some_and(|t| t.snapshot.meta.last.index <= index) {
            self.transfer = None;
        }
    }

    /// Goes back to probe, from `next` or from what is known to match.
    pub fn probe(&mut self, next: u64) {
        self.next = next.max(self.matched + 1);
        self.probing = true;
        self.flying.clear();
    }

    /// Notes that a message up to `last` was sent.
    pub fn sent(&mut self, last: u64, now: Millis) {
        if self.flying.is_empty() {
            self.moved = now;
        }
        self.flying.push_back(last);
        if !self.probing {
            self.next = last + 1;
        }
    }

    /// Tells whether another message with entries may be sent.
    pub fn has_room(&self, window: usize) -> bool {
        let room = if self.probing { 1 } else { window };
        self.flying.len() < room
    }
}
