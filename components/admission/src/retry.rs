//! Retries: only if they are safe, within the budget, and early enough for the deadline.

use chicoryford_types::Millis;
use chicoryford_types::Outcome;
use chicoryford_types::Workspace;
use rand::Rng;

use crate::admission::Admission;
use crate::workspace::WorkspaceUsage;

/// A failed attempt that may be retried.
#[derive(Clone, Copy, Debug)]
pub struct Retry<'a> {
    /// The workspace that sent the request.
    pub workspace: &'a Workspace,
    /// Attempts so far, at least one.
    pub attempts: u32,
    /// The outcome of the last attempt.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the caller stops waiting for the answer.
    pub deadline: Millis,
    /// The expected duration of another attempt, in milliseconds.
    pub expected_ms: u64,
}

impl Admission {
    /// Returns the delay before a retry in milliseconds, or `None` if the request must not be
    /// retried.
    ///
    /// When endpoints fail because they are overloaded, each retry adds to the overload. Without a
    /// budget, three attempts per request triple the load. The budget is a share of the successes
    /// of the same workspace. Only entries retry; agents and client libraries do not, so that
    /// budgets do not multiply across layers.
    pub fn may_retry(&mut self, now: Millis, retry: &Retry<'_>) -> Option<u64> {
        let is_safe = retry.outcome == Outcome::NotRun || retry.idempotent;
        let budget = self.settings.protections.budget;
        let burst = self.settings.retry_burst;
        let usage = self
            .workspaces
            .entry(retry.workspace.clone())
            .or_insert_with(|| WorkspaceUsage::new(burst));
        if !is_safe || retry.attempts >= usage.retries.attempts {
            return None;
        }
        let backoff = self.settings.retry_ms << retry.attempts.saturating_sub(1).min(10);
        let max_delay = backoff.min(self.settings.retry_most_ms).max(2);
        let delay = self.rng.random_range(max_delay / 2..=max_delay);
        if now + (delay + retry.expected_ms) > retry.deadline {
            return None;
        }
        if budget && usage.retry_tokens < 1.0 {
            self.counts.retries_denied += 1;
            return None;
        }
        usage.retry_tokens -= 1.0;
        let over_budget = usage.retry_tokens < 0.0;
        self.counts.retries += 1;
        if over_budget {
            self.report_violation("retries_within_budget");
        }
        Some(delay)
    }
}
