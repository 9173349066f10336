//! Tracks which writes and entries are on disk.

use std::collections::VecDeque;

use chicoryford_types::Epoch;

use crate::saved::HardState;

/// The sync state of the disk. Writes are numbered, and each may end with an entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Durable {
    /// The number of the last write that was requested.
    pub submitted: u64,
    /// The number of the last write that is synced.
    pub synced: u64,
    /// The index of the last entry that is synced.
    pub index: u64,
    /// The election state that is synced.
    pub hard: HardState,
    pending_entries: VecDeque<(u64, u64)>,
    pending_hard_states: VecDeque<(u64, HardState)>,
}

impl Durable {
    /// Creates the state after startup, when everything read from disk is synced.
    pub fn new(index: u64, hard: HardState) -> Self {
        Self { index, hard, ..Self::default() }
    }

    /// Records that the last write ends with the entry at `index`.
    pub fn track_entry(&mut self, index: u64) {
        self.pending_entries.push_back((self.submitted, index));
    }

    /// Records that the last write contains this election state.
    pub fn track_hard_state(&mut self, hard: HardState) {
        self.pending_hard_states.push_back((self.submitted, hard));
    }

    /// Returns whether a vote of this epoch is on disk, or obsolete because of a later epoch.
    pub fn has_vote(&self, epoch: Epoch) -> bool {
        let same = self.hard.epoch == epoch && self.hard.vote.is_some();
        self.hard.epoch > epoch || same
    }

    /// Records that entries after `last` are removed. Pending writes that contain such entries no
    /// longer count as syncing them.
    pub fn truncate(&mut self, last: u64) {
        self.index = self.index.min(last);
        for (_, index) in &mut self.pending_entries {
            *index = (*index).min(last);
        }
    }

    /// Records that writes up to this number are synced.
    pub fn mark_synced(&mut self, write: u64) {
        self.synced = self.synced.max(write.min(self.submitted));
        while let Some((_, index)) =
            self.pending_entries.pop_front_if(|(number, _)| *number <= self.synced)
        {
            self.index = self.index.max(index);
        }
        while let Some((_, hard)) =
            self.pending_hard_states.pop_front_if(|(number, _)| *number <= self.synced)
        {
            self.hard = hard;
        }
    }
}
