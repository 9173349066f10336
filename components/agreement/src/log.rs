//! The in-memory log of a replica.

use std::collections::VecDeque;

use chicoryford_types::Epoch;

use crate::entry::Entry;
use crate::entry::EntryId;

/// The entries that follow a base entry, without gaps.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base: EntryId,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Creates a log of entries that follow `base`.
    pub fn new(base: EntryId, entries: Vec<Entry>) -> Self {
        Self { base, entries: entries.into() }
    }

    /// Returns the identifier of the entry before the first one.
    pub fn base(&self) -> EntryId {
        self.base
    }

    /// Returns the identifier of the last entry.
    pub fn last(&self) -> EntryId {
        self.entries.back().map_or(self.base, |entry| entry.id)
    }

    /// Returns the epoch of an entry, `None` if the entry is compacted or not yet in the log.
    pub fn epoch(&self, index: u64) -> Option<Epoch> {
        if index == self.base.index {
            return Some(self.base.epoch);
        }
        self.get(index).map(|entry| entry.id.epoch)
    }

    /// Returns the identifier of the entry at an index.
    pub fn entry_id(&self, index: u64) -> Option<EntryId> {
        self.epoch(index).map(|epoch| EntryId { epoch, index })
    }

    /// Returns whether the entry is in the log or is the base.
    pub fn contains(&self, id: EntryId) -> bool {
        self.epoch(id.index) == Some(id.epoch)
    }

    /// Returns the entry at an index.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries of an index range, both ends included, as far as they are in the log.
    pub fn range(&self, from: u64, to: u64) -> impl DoubleEndedIterator<Item = &Entry> {
        let len = self.entries.len();
        let skip = from.saturating_sub(self.base.index + 1) as usize;
        let end = to.saturating_sub(self.base.index) as usize;
        let end = end.min(len);
        self.entries.range(skip.min(end)..end)
    }

    /// Appends an entry that follows the last one.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// Removes the entries from an index on.
    pub fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base.index + 1) as usize;
        self.entries.truncate(keep);
    }

    /// Removes the entries up to an index.
    pub fn compact(&mut self, to: u64) {
        while self.entries.front().is_some_and(|entry| entry.id.index <= to) {
            if let Some(entry) = self.entries.pop_front() {
                self.base = entry.id;
            }
        }
    }

    /// Removes all entries and sets a new base.
    pub fn reset(&mut self, base: EntryId) {
        self.base = base;
        self.entries.clear();
    }

    /// Returns the last entry at or before `id` whose epoch is not greater than that of `id`, and
    /// which may therefore be equal in both logs. Skips whole epochs, so that logs that differ by
    /// thousands of entries are compared in a few messages. Returns the zero identifier if that
    /// entry is compacted.
    pub fn find_match(&self, id: EntryId) -> EntryId {
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
