//! The samples of one prompt, from their records to the batch.

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
    /// The recorded samples that are not delivered yet. Empty once the group is in a batch.
    pub done: BTreeMap<SampleNo, Record>,
    /// The batch that contains the group.
    pub batch: Option<Cursor>,
    /// The oldest version of the samples in `done`, cached to avoid a scan.
    oldest: Option<Version>,
}

/// The outcome of recording a sample in a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeepOutcome {
    /// The sample is recorded.
    Recorded,
    /// The same record exists already: its owner did not receive the reply and sent it again.
    AlreadyRecorded,
    /// Another record of the sample exists, or the group is complete.
    Duplicate,
}

impl Group {
    /// Records a sample unless it is already recorded or the group is complete.
    ///
    /// Hedged and resumed attempts can both finish one sample. The first record wins here, where
    /// every replica decides the same. If a later one won, a sample could change after a trainer
    /// received it.
    pub fn keep(&mut self, number: SampleNo, record: Record, required: u32) -> KeepOutcome {
        if self.done.get(&number).is_some_and(|first| *first == record) {
            return KeepOutcome::AlreadyRecorded;
        }
        if self.done.contains_key(&number) || self.is_complete(required) || self.batch.is_some() {
            return KeepOutcome::Duplicate;
        }
        self.oldest = self.oldest.min(record.oldest()).or(record.oldest());
        self.done.insert(number, record);
        KeepOutcome::Recorded
    }

    /// Returns whether the group has all required samples.
    pub fn is_complete(&self, required: u32) -> bool {
        self.done.len() >= required as usize
    }

    /// Drops the stale samples, which may then be recorded again. Returns their number and their
    /// bytes.
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

    /// Removes one sample, which may then be recorded again.
    pub fn remove(&mut self, number: SampleNo) {
        self.done.remove(&number);
        self.oldest = self.done.values().filter_map(Record::oldest).min();
    }

    /// Returns the bytes of the samples that are not delivered yet.
    pub fn bytes(&self) -> usize {
        self.done.values().map(Record::size).sum()
    }
}
