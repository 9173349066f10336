//! Reads of results that wait at the leader.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_types::Millis;

/// Reads that wait for results, by step: when each is over.
#[derive(Default)]
pub struct Readers {
    waiting: RefCell<BTreeMap<String, BTreeSet<(Millis, u64)>>>,
    next: Cell<u64>,
}

impl Readers {
    /// Notes a read that waits until `until`, for as long as what this gives lives.
    pub fn wait(&self, step: &str, until: Millis) -> Waiting<'_> {
        let number = self.next.get();
        self.next.set(number + 1);
        let mut waiting = self.waiting.borrow_mut();
        waiting.entry(step.to_owned()).or_default().insert((until, number));
        Waiting { readers: self, step: step.to_owned(), read: (until, number) }
    }

    /// Tells when the read of a step is over that ends first.
    pub fn first(&self, step: &str) -> Option<Millis> {
        self.waiting.borrow().get(step)?.first().map(|(until, _)| *until)
    }
}

/// A read that waits.
pub struct Waiting<'a> {
    readers: &'a Readers,
    step: String,
    read: (Millis, u64),
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut waiting = self.readers.waiting.borrow_mut();
        if let Some(reads) = waiting.get_mut(&self.step) {
            reads.remove(&self.read);
            if reads.is_empty() {
                waiting.remove(&self.step);
            }
        }
    }
}
