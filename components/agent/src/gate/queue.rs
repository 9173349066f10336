//! The attempts that wait for a slot: higher classes start first, batch work is not starved, and
//! attempts whose deadline has passed can be removed.

use std::collections::VecDeque;

use chicoryford_types::Class;
use chicoryford_types::Millis;

use super::Arrival;
use super::Id;

/// An attempt in the queue.
#[derive(Clone, Debug)]
pub struct QueuedAttempt {
    /// The attempt.
    pub arrival: Arrival,
    /// The time after which its answer is of no use.
    pub deadline: Millis,
}

/// The queued attempts, by class and in order of arrival within a class.
#[derive(Default)]
pub struct Queue {
    batch: VecDeque<QueuedAttempt>,
    normal: VecDeque<QueuedAttempt>,
    urgent: VecDeque<QueuedAttempt>,
    /// Consecutive starts of other classes while batch work waited.
    batch_passes: u32,
}

impl Queue {
    /// Returns the number of queued attempts.
    pub fn len(&self) -> usize {
        self.batch.len() + self.normal.len() + self.urgent.len()
    }

    /// Returns the number of attempts that would start before an attempt of `class` arriving now.
    pub fn ahead(&self, class: Class) -> usize {
        match class {
            Class::Urgent => self.urgent.len(),
            Class::Normal => self.urgent.len() + self.normal.len(),
            Class::Batch => self.len(),
        }
    }

    /// Appends an attempt to the queue of its class.
    pub fn push(&mut self, waiting: QueuedAttempt) {
        self.class_queue(waiting.arrival.class).push_back(waiting);
    }

    /// Removes and returns the next attempt to start. Suspects are skipped unless `allow_suspects`
    /// is set. After `max_batch_passes` consecutive starts of other classes while batch work
    /// waited, batch work starts first.
    pub fn pop(&mut self, max_batch_passes: u32, allow_suspects: bool) -> Option<QueuedAttempt> {
        let order = if self.batch_passes >= max_batch_passes {
            [Class::Batch, Class::Urgent, Class::Normal]
        } else {
            [Class::Urgent, Class::Normal, Class::Batch]
        };
        let class = order
            .into_iter()
            .find(|class| self.first_eligible(*class, allow_suspects).is_some())?;
        let at = self.first_eligible(class, allow_suspects)?;
        let passes = class != Class::Batch && !self.batch.is_empty();
        self.batch_passes = if passes { self.batch_passes + 1 } else { 0 };
        self.class_queue(class).remove(at)
    }

    /// Removes the newest attempt of the lowest class below `class`, to make room for one of
    /// `class`.
    pub fn displace(&mut self, class: Class) -> Option<QueuedAttempt> {
        [Class::Batch, Class::Normal]
            .into_iter()
            .filter(|lower| *lower < class)
            .find_map(|lower| self.class_queue(lower).pop_back())
    }

    /// Removes and returns the attempts whose deadline has passed at `now`.
    pub fn take_expired(&mut self, now: Millis) -> Vec<QueuedAttempt> {
        self.extract(|waiting| waiting.deadline <= now)
    }

    /// Removes and returns one attempt.
    pub fn remove(&mut self, id: Id) -> Option<QueuedAttempt> {
        self.extract(|waiting| waiting.arrival.id == id).pop()
    }

    /// Removes and returns all attempts.
    pub fn clear(&mut self) -> Vec<QueuedAttempt> {
        self.extract(|_| true)
    }

    fn extract(&mut self, wanted: impl Fn(&QueuedAttempt) -> bool) -> Vec<QueuedAttempt> {
        let mut taken = Vec::new();
        for queue in [&mut self.urgent, &mut self.normal, &mut self.batch] {
            queue.retain(|waiting| {
                let take = wanted(waiting);
                if take {
                    taken.push(waiting.clone());
                }
                !take
            });
        }
        taken
    }

    fn first_eligible(&mut self, class: Class, allow_suspects: bool) -> Option<usize> {
        self.class_queue(class)
            .iter()
            .position(|waiting| allow_suspects || !waiting.arrival.suspect)
    }

    fn class_queue(&mut self, class: Class) -> &mut VecDeque<QueuedAttempt> {
        match class {
            Class::Batch => &mut self.batch,
            Class::Normal => &mut self.normal,
            Class::Urgent => &mut self.urgent,
        }
    }
}
