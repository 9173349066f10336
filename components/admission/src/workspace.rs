//! The usage of one workspace at this entry, held to the entry's share of the workspace's limits.

use chicoryford_types::Millis;
use chicoryford_types::template::Limits;
use chicoryford_types::template::Retries;

use crate::shares::Lease;

/// The usage of one workspace at this entry.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceUsage {
    /// The workspace's limits over all entries.
    pub limits: Limits,
    /// The workspace's retry policy.
    pub retries: Retries,
    /// The workspace's weight among trainers.
    pub weight: u32,
    /// The part of the limits that this entry may use.
    pub lease: Lease,
    /// Requests that run or wait at this entry.
    pub running: u32,
    /// Requests received since the last lease, admitted or not. They are counted before admission,
    /// because refusals would otherwise hide the demand when it is highest (docs/ADMISSION.md).
    pub requested: u64,
    /// Unused retries.
    pub retry_tokens: f32,
    rate_tokens: f32,
    refilled_at: Option<Millis>,
}

impl WorkspaceUsage {
    /// Returns an unused workspace. It starts with `burst` retries, so that the first failures
    /// after a start may be retried.
    pub fn new(burst: f32) -> Self {
        Self { retry_tokens: burst, weight: 1, lease: Lease::unset(), ..Self::default() }
    }

    /// Takes one token from the rate limit, or returns the milliseconds until one is available.
    pub fn take_rate(&mut self, now: Millis) -> Result<(), u64> {
        let rate = self.lease.rate;
        let burst = rate.max(1.0);
        // The bucket starts full, because no requests were admitted before.
        let refill = self.refilled_at.map_or(burst, |at| now.since(at) as f32 * rate / 1_000.0);
        self.rate_tokens = (self.rate_tokens + refill).min(burst);
        self.refilled_at = Some(now);
        if self.rate_tokens >= 1.0 {
            self.rate_tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.rate_tokens;
        Err((missing * 1_000.0 / rate.max(0.01)).ceil() as u64)
    }
}
