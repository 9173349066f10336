//! Determines from health checks whether the endpoint is healthy and whether it crashed
//! (docs/AGENT.md).

use serde::Serialize;

/// Consecutive failed checks after which the endpoint counts as unhealthy, or as crashed if it
/// refuses connections.
const MAX_FAILURES: u32 = 2;

/// The result of one health check.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckResult {
    /// The endpoint answered.
    Answered {
        /// The identifier of the endpoint's instance; empty for a plain service, which has none.
        instance: String,
        /// Whether it reports that it can serve.
        healthy: bool,
    },
    /// The connection failed: no process listens at the address.
    Refused,
    /// The connection succeeded, but no complete answer was received.
    NoResponse,
}

/// The conclusion from a health check.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HealthUpdate {
    /// Whether the endpoint is healthy.
    pub healthy: bool,
    /// Whether it crashed since the previous check.
    pub crashed: bool,
    /// Whether it certainly did not crash, so that connections broke for another reason.
    pub alive: bool,
}

/// The state of the endpoint according to the checks so far.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HealthTracker {
    instance: Option<String>,
    failures: u32,
    refusals: u32,
    healthy: bool,
    down: bool,
    crashes: u64,
}

impl HealthTracker {
    /// Records the result of a check.
    ///
    /// Each crash is reported once: when no process listens any more, or, if the endpoint restarted
    /// before that was detected, when it answers as a new instance.
    pub fn record(&mut self, result: CheckResult) -> HealthUpdate {
        let crashed = match &result {
            CheckResult::Answered { instance, .. } => self.is_new_instance(instance) && !self.down,
            CheckResult::Refused => {
                self.refusals + 1 >= MAX_FAILURES && self.instance.is_some() && !self.down
            }
            CheckResult::NoResponse => false,
        };
        let alive = matches!(&result, CheckResult::Answered { .. }) && !crashed && !self.down;
        match result {
            CheckResult::Answered { instance, healthy } => {
                (self.failures, self.refusals, self.down) = (0, 0, false);
                self.instance = Some(instance);
                self.healthy = healthy;
            }
            CheckResult::Refused => {
                self.refusals += 1;
                self.failures += 1;
                self.down |= crashed;
            }
            CheckResult::NoResponse => {
                self.refusals = 0;
                self.failures += 1;
            }
        }
        if self.failures >= MAX_FAILURES {
            self.healthy = false;
        }
        if crashed {
            self.crashes += 1;
        }
        HealthUpdate { healthy: self.healthy, crashed, alive }
    }

    /// Returns the number of crashes detected so far.
    pub fn crashes(&self) -> u64 {
        self.crashes
    }

    /// Returns whether the last check failed and the next one should follow soon.
    pub fn needs_recheck(&self) -> bool {
        self.failures > 0 && self.failures < MAX_FAILURES
    }

    fn is_new_instance(&self, instance: &str) -> bool {
        self.instance.as_ref().is_some_and(|known| known != instance)
    }
}
