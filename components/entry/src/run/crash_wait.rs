//! Decides how long a request waits for the decision about crashes of its attempts, and what follows
//! (docs/SUSPECTS.md).
//!
//! A content that crashes endpoints is convicted only after its crashes have been reported,
//! committed and applied at the entry. A request that is retried earlier crashes further endpoints
//! meanwhile.

use chicoryford_types::Code;
use chicoryford_types::Config;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::Millis;
use chicoryford_types::request::CrashDecision;
use chicoryford_wire::CallError;

use crate::admit;

/// Maximum wait in milliseconds. Under a load average of three times the number of cores, reports
/// were committed after up to 0.36 s and reached another entry 0.36 s later.
pub const MAX_WAIT_MS: u64 = 2_000;
/// Number of crashes of a content from which on a retry of the same request runs apart from other
/// suspects. After a single crash, everything that ran at the endpoint is suspected, and running it
/// one by one would delay all requests of an endpoint that was lost.
pub const ISOLATED_CRASHES: u32 = 2;

/// What a request does next.
#[derive(Clone, Debug, PartialEq)]
pub enum CrashStep {
    /// It waits for a decision, at most until this time.
    Wait(Millis),
    /// It may be retried.
    Retry {
        /// Whether the content has to run apart from other suspects.
        isolated: bool,
        /// Whether the wait ended without a decision.
        expired: bool,
    },
    /// Its content is convicted.
    Convicted(Failure),
    /// The wait ended without a decision and its content is suspected.
    Undecided(Failure),
}

/// Returns what a failed query of an agent means. An agent of the previous release does not report
/// positions, and one that has ended reports no crash, so nothing will be decided. Any other error
/// may pass.
pub fn unanswered(error: &CallError) -> CrashDecision {
    match error {
        CallError::Failure(failure) if failure.code == Code::NotFound => CrashDecision::NotBlamed,
        CallError::NotSent { refused: true, .. } => CrashDecision::NotBlamed,
        _ => CrashDecision::Pending,
    }
}

/// The wait of a request for the decisions about its broken attempts.
#[derive(Clone, Debug)]
pub struct CrashWait {
    until: Millis,
    decisions: Vec<CrashDecision>,
}

impl CrashWait {
    /// Starts the wait for the decisions about `attempts` attempts. At least half of the time until
    /// the deadline is left for a retry.
    pub fn new(attempts: usize, now: Millis, deadline: Millis) -> Self {
        let limit = (deadline.since(now) / 2).min(MAX_WAIT_MS);
        Self { until: now + limit, decisions: vec![CrashDecision::Pending; attempts] }
    }

    /// Records the decision about an attempt, which is identified by its index.
    pub fn record(&mut self, attempt: usize, decision: CrashDecision) {
        if let Some(known) = self.decisions.get_mut(attempt) {
            *known = decision;
        }
    }

    /// Returns when the wait ends at the latest.
    pub fn until(&self) -> Millis {
        self.until
    }

    /// Decides what the request does next, given the configuration that this entry has applied.
    pub fn next(&self, content: Fingerprint, config: &Config, now: Millis) -> CrashStep {
        if let Err(failure) = admit::check_not_convicted(content, config) {
            return CrashStep::Convicted(failure);
        }
        let crashes = config.suspects.get(&content).copied().unwrap_or(0);
        let isolated = crashes >= ISOLATED_CRASHES;
        let is_decided = |decision: &CrashDecision| match decision {
            CrashDecision::Pending => false,
            CrashDecision::NotBlamed => true,
            CrashDecision::Committed(at) => *at <= config.at,
        };
        if self.decisions.iter().all(is_decided) {
            return CrashStep::Retry { isolated, expired: false };
        }
        if now < self.until {
            return CrashStep::Wait(self.until);
        }
        // An attempt whose content was blamed makes it suspected, although this entry has not
        // applied the decision.
        let is_blamed = |decision: &CrashDecision| matches!(decision, CrashDecision::Committed(_));
        if crashes > 0 || self.decisions.iter().any(is_blamed) {
            let detail = "an attempt ended with its endpoint, and it was not decided in time whether \
                          the content crashed it; the request may have run";
            return CrashStep::Undecided(Failure::unknown(Code::EndpointFailed, detail));
        }
        CrashStep::Retry { isolated, expired: true }
    }
}
