//! How long a suspicion lasts before it becomes death.

use chicoryford_types::Millis;
use chicoryford_types::Node;

/// A suspicion of one member.
pub(super) struct Suspicion {
    start: Millis,
    by: Vec<Node>,
    wanted: usize,
    least_ms: u64,
    most_ms: u64,
}

impl Suspicion {
    /// Begins a suspicion that lasts `most_ms` if nobody confirms it and `least_ms` if `wanted`
    /// others do. A single accuser may have a fault of its own, so it must wait long; several
    /// that found the same independently need not.
    pub(super) fn new(by: Node, wanted: usize, least_ms: u64, most_ms: u64, start: Millis) -> Self {
        Self { start, by: vec![by], wanted, least_ms, most_ms }
    }

    /// Takes a further accuser and tells whether it is a new one that counts.
    pub(super) fn confirm(&mut self, by: &Node) -> bool {
        let counts = self.by.len() <= self.wanted && !self.by.contains(by);
        if counts {
            self.by.push(by.clone());
        }
        counts
    }

    /// Tells whether a process is among the accusers.
    pub(super) fn is_by(&self, node: &Node) -> bool {
        self.by.contains(node)
    }

    /// Tells whether a process is the only accuser.
    pub(super) fn is_only_by(&self, node: &Node) -> bool {
        self.by.len() == 1 && self.is_by(node)
    }

    /// Counts everything as confirmed, because another process already waited.
    pub(super) fn confirm_fully(&mut self) {
        self.most_ms = self.least_ms;
    }

    /// Does not count `ms` in which this process was frozen.
    pub(super) fn delay(&mut self, ms: u64) {
        self.start = self.start + ms;
    }

    /// Gives the moment at which the suspicion becomes death.
    pub(super) fn deadline(&self) -> Millis {
        let confirmed = (self.by.len() - 1).min(self.wanted);
        if self.wanted == 0 {
            return self.start + self.least_ms;
        }
        let share = (confirmed as f64 + 1.0).ln() / (self.wanted as f64 + 1.0).ln();
        let span = self.most_ms.saturating_sub(self.least_ms) as f64;
        let cut = (span * share) as u64;
        self.start + self.most_ms.saturating_sub(cut).max(self.least_ms)
    }

    /// Tells whether the least time has passed.
    pub(super) fn is_ripe(&self, now: Millis) -> bool {
        now.since(self.start) >= self.least_ms
    }
}
