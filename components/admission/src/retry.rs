//! Retries: only where they are safe, within a budget, and in time.

use chicoryford_types::Millis;
use chicoryford_types::Outcome;
use chicoryford_types::Workspace;
use rand::Rng;

use crate::admission::Admission;
use crate::workspace::WorkspaceUsage;

/// An attempt that failed and might be tried again.
#[derive(Clone, Copy, Debug)]
pub struct Retry<'a> {
    /// On whose behalf.
    pub workspace: &'a Workspace,
    /// Attempts so far, at least one.
    pub attempts: u32,
    /// What became of the last one.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When its answer is worthless.
    pub deadline: Millis,
    /// Milliseconds in which another attempt is expected to finish.
    pub expected_ms: u64,
}

impl Admission {
    /// Gives the milliseconds after which to try again, or none if it must not be tried again.
    ///
    /// When endpoints fail because they are overloaded, each retry adds to the load that made it
    /// necessary; without a budget three attempts a request are three times the load. The budget
    /// is a share of the successes of the same workspace. Only the entry retries, and agents and
    /// clients' libraries never do, so budgets do not multiply over layers.
    pub fn may_retry(&mut self, now: Millis, retry: &Retry<'_>) -> Option<u64> {
        let safe = retry.outcome == Outcome::NotRun || retry.idempotent;
        let budget = self.settings.protections.budget;
        let burst = self.settings.retry_burst;
        let used = self
            .workspaces
            .entry(retry.workspace.clone())
            .or_insert_with(|| WorkspaceUsage::new(burst));
        if !safe || retry.attempts >= used.retries.attempts {
            return None;
        }
        let least = self.settings.retry_ms << retry.attempts.saturating_sub(1).min(10);
        let most = least.min(self.settings.retry_most_ms).max(2);
        let delay = self.rng.random_range(most / 2..=most);
        if now + (delay + retry.expected_ms) > retry.deadline {
            return None;
        }
        if budget && used.retry_tokens < 1.0 {
            self.counts.retries_denied += 1;
            return None;
        }
        used.retry_tokens -= 1.0;
        let broken = used.retry_tokens < 0.0;
        self.counts.retries += 1;
        if broken {
            self.report_violation("retries_within_budget");
        }
        Some(delay)
    }
}
