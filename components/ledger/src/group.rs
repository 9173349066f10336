//! The samples of one prompt, from the first record to the batch.

use std::collections::BTreeMap;

use chicoryford_types::Cursor;
use chicoryford_types::SampleNo;
use chicoryford_types::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Record;
use crate::record::is_stale;

/// The samples of one prompt.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Group {
    /// The samples recorded and not yet handed out. Empty once the group is in a batch.
    pub done: BTreeMap<SampleNo, Record>,
    /// The batch that the group is in.
    pub batch: Option<Cursor>,
    /// No sample in `done` is older; spares looking at each.
    oldest: Option<Version>,
}

/// What became of a record that was offered to a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeepOutcome {
    /// It is recorded.
    Recorded,
    /// The very same one is recorded already: its owner lost the answer and sent it again.
    AlreadyRecorded,
    /// Another took its place, or the group has all it needs.
    Duplicate,
}

impl Group {
    /// Records a sample unless its place is taken or the group is whole.
    ///
    /// Hedged and resumed attempts can both finish one sample. The first wins here, where every
    /// replica decides alike; were the second kept, a sample could change after a trainer saw it.
    pub fn keep(&mut self, number: SampleNo, record: Record, wanted: u32) -> KeepOutcome {
        if self.done.get(&number).is_some_and(|first| *first == record) {
            return KeepOutcome::AlreadyRecorded;
        }
        if self.done.contains_key(&number) || self.is_whole(wanted) || self.batch.is_some() {
            return KeepOutcome::Duplicate;
        }
        self.oldest = self.oldest.min(record.oldest()).or(record.oldest());
        self.done.insert(number, record);
        KeepOutcome::Recorded
    }

    /// Tells whether as many samples are recorded as are wanted.
    pub fn is_whole(&self, wanted: u32) -> bool {
        self.done.len() >= wanted as usize
    }

    /// Drops the samples that are too old, whose places are then free again; returns how many
    /// there were and how many bytes they had.
    pub fn drop_stale(&mut self, newest: Version, bound: u64) -> (u32, usize) {
        if !self.oldest.is_some_and(|oldest| is_stale(oldest, newest, bound)) {
            return (0, 0);
        }
        let (count, bytes) = (self.done.len(), self.bytes());
        self.done.retain(|_, record| {
            record.oldest().is_some_and(|oldest| !is_stale(oldest, newest, bound))
        });
        self.oldest = self.done.values().filter_map(Record::oldest).min();
        ((count - self.done.len()) as u32, bytes - self.bytes())
    }

    /// Drops one sample, whose place is then free again.
    pub fn remove(&mut self, number: SampleNo) {
        self.done.remove(&number);
        self.oldest = self.done.values().filter_map(Record::oldest).min();
    }

    /// Counts the bytes of the samples recorded and not yet handed out.
    pub fn bytes(&self) -> usize {
        self.done.values().map(Record::size).sum()
    }
}
