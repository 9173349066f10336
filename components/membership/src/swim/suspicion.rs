//! The duration of a suspicion before the member is declared dead.

use chicoryford_types::Millis;
use chicoryford_types::Node;

/// A suspicion of one member.
pub(super) struct Suspicion {
    start: Millis,
    reporters: Vec<Node>,
    confirmations: usize,
    min_ms: u64,
    max_ms: u64,
}

impl Suspicion {
    /// Starts a suspicion that lasts `max_ms` without confirmation and `min_ms` with
    /// `confirmations` further reporters. A single reporter may itself be faulty and must wait
    /// long; several that detected the failure independently need not.
    pub(super) fn new(
        reporter: Node,
        confirmations: usize,
        min_ms: u64,
        max_ms: u64,
        start: Millis,
    ) -> Self {
        Self { start, reporters: vec![reporter], confirmations, min_ms, max_ms }
    }

    /// Adds a reporter and returns whether it counts as a new confirmation.
    pub(super) fn confirm(&mut self, by: &Node) -> bool {
        let counts = self.reporters.len() <= self.confirmations && !self.reporters.contains(by);
        if counts {
            self.reporters.push(by.clone());
        }
        counts
    }

    /// Returns whether a process is one of the reporters.
    pub(super) fn is_reported_by(&self, node: &Node) -> bool {
        self.reporters.contains(node)
    }

    /// Returns whether a process is the only reporter.
    pub(super) fn is_only_reported_by(&self, node: &Node) -> bool {
        self.reporters.len() == 1 && self.is_reported_by(node)
    }

    /// Treats the suspicion as fully confirmed, because another process has already waited.
    pub(super) fn confirm_fully(&mut self) {
        self.max_ms = self.min_ms;
    }

    /// Excludes `ms` milliseconds in which this process was suspended.
    pub(super) fn extend_by(&mut self, ms: u64) {
        self.start = self.start + ms;
    }

    /// Returns the time at which the member is declared dead.
    pub(super) fn deadline(&self) -> Millis {
        let confirmed = (self.reporters.len() - 1).min(self.confirmations);
        if self.confirmations == 0 {
            return self.start + self.min_ms;
        }
        let share = (confirmed as f64 + 1.0).ln() / (self.confirmations as f64 + 1.0).ln();
        let span = self.max_ms.saturating_sub(self.min_ms) as f64;
        let cut = (span * share) as u64;
        self.start + self.max_ms.saturating_sub(cut).max(self.min_ms)
    }

    /// Returns whether the shortest time has passed.
    pub(super) fn has_min_elapsed(&self, now: Millis) -> bool {
        now.since(self.start) >= self.min_ms
    }
}
