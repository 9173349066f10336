//! The log as a replica holds it in memory.

use std::collections::VecDeque;

use chicoryford_types::Epoch;

use crate::entry::Entry;
use crate::entry::EntryId;

/// The entries after some mark, without gaps.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base: EntryId,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Holds entries that follow `base`.
    pub fn new(base: EntryId, entries: Vec<Entry>) -> Self {
        Self { base, entries: entries.into() }
    }

    /// Gives the mark before the first entry.
    pub fn base(&self) -> EntryId {
        self.base
    }

    /// Gives the mark of the last entry.
    pub fn last(&self) -> EntryId {
        self.entries.back().map_or(self.base, |entry| entry.id)
    }

    /// Gives the epoch of an entry, none if it is no longer or not yet there.
    pub fn epoch(&self, index: u64) -> Option<Epoch> {
        if index == self.base.index {
            return Some(self.base.epoch);
        }
        self.get(index).map(|entry| entry.id.epoch)
    }

    /// Gives the mark at an index.
    pub fn entry_id(&self, index: u64) -> Option<EntryId> {
        self.epoch(index).map(|epoch| EntryId { epoch, index })
    }

    /// Tells whether the entry with this mark is in the log or just before it.
    pub fn has(&self, id: EntryId) -> bool {
        self.epoch(id.index) == Some(id.epoch)
    }

    /// Gives an entry.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let place = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// Gives the entries of a range of indexes that are there.
    pub fn range(&self, from: u64, to: u64) -> impl DoubleEndedIterator<Item = &Entry> {
        let len = self.entries.len();
        let skip = from.saturating_sub(self.base.index + 1) as usize;
        let end = to.saturating_sub(self.base.index) as usize;
        let end = end.min(len);
        self.entries.range(skip.min(end)..end)
    }

    /// Adds an entry that follows the last.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// Removes the entries from an index on.
    pub fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base.index + 1) as usize;
        self.entries.truncate(keep);
    }

    /// Forgets the entries up to an index.
    pub fn compact(&mut self, to: u64) {
        while self.entries.front().is_some_and(|entry| entry.id.index <= to) {
            if let Some(entry) = self.entries.pop_front() {
                self.base = entry.id;
            }
        }
    }

    /// Starts anew after a mark.
    pub fn reset(&mut self, base: EntryId) {
        self.base = base;
        self.entries.clear();
    }

    /// Gives the last place at or before `mark` at which an equal entry may be: its epoch is not
    /// greater. Whole epochs are skipped, so that logs that differ by thousands of entries are
    /// compared in a few messages. Gives the zero mark if such a place is no longer kept.
    pub fn candidate(&self, id: EntryId) -> EntryId {
        let mut index = id.index.min(self.last().index);
        while let Some(own) = self.entry_id(index) {
            if own.epoch <= id.epoch {
                return own;
            }
            index -= 1;
        }
        EntryId::default()
    }
}
