//! Which writes and entries are on disk.

use std::collections::VecDeque;

use chicoryford_types::Epoch;

use crate::saved::HardState;

/// What is known of the disk: writes are numbered, and each may end with an entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Durable {
    /// The number of the last write that was asked for.
    pub asked: u64,
    /// The number of the last write that is synced.
    pub synced: u64,
    /// The last entry that is synced.
    pub index: u64,
    /// What is synced of elections.
    pub hard: HardState,
    entries: VecDeque<(u64, u64)>,
    hards: VecDeque<(u64, HardState)>,
}

impl Durable {
    /// Starts with what was found on disk.
    pub fn new(index: u64, hard: HardState) -> Self {
        Self { index, hard, ..Self::default() }
    }

    /// Notes that the last write ends with the entry at `index`.
    pub fn wait_entry(&mut self, index: u64) {
        self.entries.push_back((self.asked, index));
    }

    /// Notes that the last write holds this.
    pub fn wait_hard(&mut self, hard: HardState) {
        self.hards.push_back((self.asked, hard));
    }

    /// Tells whether a vote of this epoch is on disk, or is of no account any more.
    pub fn has_vote(&self, epoch: Epoch) -> bool {
        let same = self.hard.epoch == epoch && self.hard.vote.is_some();
        self.hard.epoch > epoch || same
    }

    /// Notes that entries after `last` are removed. Writes under way that held such entries no
    /// longer say that they are on disk.
    pub fn cut(&mut self, last: u64) {
        self.index = self.index.min(last);
        for (_, index) in &mut self.entries {
            *index = (*index).min(last);
        }
    }

    /// Notes that writes up to this number are synced.
    pub fn sync(&mut self, write: u64) {
        self.synced = self.synced.max(write.min(self.asked));
        while let Some((_, index)) = self.entries.pop_front_if(|(number, _)| *number <= self.synced)
        {
            self.index = self.index.max(index);
        }
        while let Some((_, hard)) = self.hards.pop_front_if(|(number, _)| *number <= self.synced) {
            self.hard = hard;
        }
    }
}
