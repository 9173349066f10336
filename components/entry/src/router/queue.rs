//! The attempts that wait for an endpoint with room, by class.

use std::collections::VecDeque;

use chicoryford_types::Class;
use chicoryford_types::Millis;

use crate::router::seat::Want;

/// One in this many turns goes to the lowest class that waits. Trainers' batch work yields to
/// callers, but under a steady load of callers it would otherwise never run and trainers idle.
const BATCH_TURN: u64 = 8;

/// An attempt that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Identifies it to the duty.
    pub id: u64,
    /// What it looks for.
    pub want: Want,
}

/// The attempts that wait for an endpoint of one model.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    classes: [VecDeque<Waiting>; 3],
    turns: u64,
}

impl Queue {
    /// Puts an attempt at the end of its class.
    pub fn push(&mut self, waiting: Waiting) {
        self.classes[rank(waiting.want.class)].push_back(waiting);
    }

    /// Counts those that wait.
    pub fn len(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes the first, most urgent first, that `fits`.
    pub fn take(&mut self, fits: impl Fn(&Want) -> bool) -> Option<Waiting> {
        self.turns += 1;
        let lowest_first = self.turns.is_multiple_of(BATCH_TURN);
        for place in 0..self.classes.len() {
            let rank = if lowest_first { place } else { self.classes.len() - 1 - place };
            let class = &mut self.classes[rank];
            if let Some(at) = class.iter().position(|waiting| fits(&waiting.want)) {
                return class.remove(at);
            }
        }
        None
    }

    /// Takes out those whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<Waiting> {
        let mut expired = Vec::new();
        for class in &mut self.classes {
            let waits = std::mem::take(class).into_iter();
            let (late, rest): (VecDeque<_>, VecDeque<_>) =
                waits.partition(|waiting| waiting.want.deadline <= now);
            *class = rest;
            expired.extend(late);
        }
        expired
    }
}

fn rank(class: Class) -> usize {
    match class {
        Class::Batch => 0,
        Class::Normal => 1,
        Class::Urgent => 2,
    }
}
