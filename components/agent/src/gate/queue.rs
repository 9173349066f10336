//! Attempts that wait for a slot: urgent first, batch not starved, the doomed dropped first.

use std::collections::VecDeque;

use chicoryford_types::Class;
use chicoryford_types::Millis;

use super::Arrival;
use super::Id;

/// An attempt that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The attempt.
    pub arrival: Arrival,
    /// When its answer becomes worthless.
    pub deadline: Millis,
}

/// The attempts that wait, by class and within a class by arrival.
#[derive(Default)]
pub struct Queue {
    batch: VecDeque<Waiting>,
    normal: VecDeque<Waiting>,
    urgent: VecDeque<Waiting>,
    passed: u32,
}

impl Queue {
    /// Counts those that wait.
    pub fn len(&self) -> usize {
        self.batch.len() + self.normal.len() + self.urgent.len()
    }

    /// Counts those that would start before an attempt of `class` that came now.
    pub fn ahead(&self, class: Class) -> usize {
        match class {
            Class::Urgent => self.urgent.len(),
            Class::Normal => self.urgent.len() + self.normal.len(),
            Class::Batch => self.len(),
        }
    }

    /// Adds one.
    pub fn push(&mut self, waiting: Waiting) {
        self.lane(waiting.arrival.class).push_back(waiting);
    }

    /// Takes the next to start. `suspects` tells whether a suspect may start; after `turn`
    /// starts past waiting batch work, batch work has its turn.
    pub fn pop(&mut self, turn: u32, suspects: bool) -> Option<Waiting> {
        let order = if self.passed >= turn {
            [Class::Batch, Class::Urgent, Class::Normal]
        } else {
            [Class::Urgent, Class::Normal, Class::Batch]
        };
        let class = order.into_iter().find(|class| self.first(*class, suspects).is_some())?;
        let at = self.first(class, suspects)?;
        let passes = class != Class::Batch && !self.batch.is_empty();
        self.passed = if passes { self.passed + 1 } else { 0 };
        self.lane(class).remove(at)
    }

    /// Takes the youngest of the lowest class below `class`, to make room for one of `class`.
    pub fn displace(&mut self, class: Class) -> Option<Waiting> {
        [Class::Batch, Class::Normal]
            .into_iter()
            .filter(|lower| *lower < class)
            .find_map(|lower| self.lane(lower).pop_back())
    }

    /// Takes those whose answer would be worthless at `now`.
    pub fn doomed(&mut self, now: Millis) -> Vec<Waiting> {
        self.extract(|waiting| waiting.deadline <= now)
    }

    /// Takes one.
    pub fn remove(&mut self, id: Id) -> Option<Waiting> {
        self.extract(|waiting| waiting.arrival.id == id).pop()
    }

    /// Takes all.
    pub fn clear(&mut self) -> Vec<Waiting> {
        self.extract(|_| true)
    }

    fn extract(&mut self, wanted: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for lane in [&mut self.urgent, &mut self.normal, &mut self.batch] {
            lane.retain(|waiting| {
                let take = wanted(waiting);
                if take {
                    taken.push(waiting.clone());
                }
                !take
            });
        }
        taken
    }

    fn first(&mut self, class: Class, suspects: bool) -> Option<usize> {
        self.lane(class).iter().position(|waiting| suspects || !waiting.arrival.suspect)
    }

    fn lane(&mut self, class: Class) -> &mut VecDeque<Waiting> {
        match class {
            Class::Batch => &mut self.batch,
            Class::Normal => &mut self.normal,
            Class::Urgent => &mut self.urgent,
        }
    }
}
