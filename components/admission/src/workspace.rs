//! What one workspace uses at this entry, held to its share of the workspace's limits.

use chicoryford_types::Millis;
use chicoryford_types::template::Limits;
use chicoryford_types::template::Retries;

use crate::shares::Lease;

/// One workspace at this entry.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceUsage {
    /// The workspace's limits, over all entries.
    pub limits: Limits,
    /// How often its requests are tried again.
    pub retries: Retries,
    /// Its weight among trainers.
    pub weight: u32,
    /// What this entry may use of the limits.
    pub lease: Lease,
    /// Requests that run or wait here.
    pub running: u32,
    /// Requests asked for, admitted or not, since the last lease; counted before the gate, since
    /// refusals would otherwise hide the demand just when it is greatest (docs/ADMISSION.md).
    pub requested: u64,
    /// Retries saved up.
    pub retry_tokens: f32,
    rate_tokens: f32,
    refilled_at: Option<Millis>,
}

impl WorkspaceUsage {
    /// Makes a workspace's use, with `retries` saved up from the start so that the first failures
    /// after a start may be tried again.
    pub fn new(burst: f32) -> Self {
        Self { retry_tokens: burst, weight: 1, lease: Lease::unset(), ..Self::default() }
    }

    /// Takes one request's worth of rate, or gives the milliseconds until there is one.
    pub fn take_rate(&mut self, now: Millis) -> Result<(), u64> {
        let rate = self.lease.rate;
        let burst = rate.max(1.0);
        // The bucket starts full: the first callers after a start have used nothing yet.
        let grown = self.refilled_at.map_or(burst, |at| now.since(at) as f32 * rate / 1_000.0);
        self.rate_tokens = (self.rate_tokens + grown).min(burst);
        self.refilled_at = Some(now);
        if self.rate_tokens >= 1.0 {
            self.rate_tokens -= 1.0;
            return Ok(());
        }
        let lack = 1.0 - self.rate_tokens;
        Err((lack * 1_000.0 / rate.max(0.01)).ceil() as u64)
    }
}
