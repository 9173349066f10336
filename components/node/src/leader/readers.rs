//! Long-polling reads of results at the leader.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_types::Millis;

/// Reads that wait for results, with the deadline of each, by step.
#[derive(Default)]
pub struct Readers {
    waiting: RefCell<BTreeMap<String, BTreeSet<(Millis, u64)>>>,
    next: Cell<u64>,
}

impl Readers {
    /// Registers a read with its deadline. The read stays registered until the returned guard is
    /// dropped.
    pub fn register(&self, step: &str, deadline: Millis) -> PendingRead<'_> {
        let number = self.next.get();
        self.next.set(number + 1);
        let mut waiting = self.waiting.borrow_mut();
        waiting.entry(step.to_owned()).or_default().insert((deadline, number));
        PendingRead { readers: self, step: step.to_owned(), read: (deadline, number) }
    }

    /// Returns the earliest deadline of the reads that wait for a step.
    pub fn earliest_deadline(&self, step: &str) -> Option<Millis> {
        self.waiting.borrow().get(step)?.first().map(|(deadline, _)| *deadline)
    }
}

/// A registered read; dropping it removes the registration.
pub struct PendingRead<'a> {
    readers: &'a Readers,
    step: String,
    read: (Millis, u64),
}

impl Drop for PendingRead<'_> {
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
