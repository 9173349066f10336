//! Retry budgets: a share of successes, so that retries cannot double an outage.

use chicoryford_types::template::Retries;

/// Retries that a workspace may have saved up at most.
const SAVED_BOUND: f64 = 100.0;
/// Retries that are allowed with no success before them, so that a quiet workspace is retried.
const FLOOR: f64 = 10.0;

/// The retry budget of one workspace.
#[derive(Clone, Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: FLOOR }
    }
}

impl Budget {
    /// Adds the share of one success.
    pub fn succeeded(&mut self, retries: &Retries) {
        self.saved = (self.saved + f64::from(retries.percent) / 100.0).min(SAVED_BOUND);
    }

    /// Takes one retry, if there is one left.
    pub fn take(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }

    /// Restores the floor bit by bit, so that a workspace whose requests all failed may be
    /// retried again once its endpoints are back.
    pub fn restore(&mut self, elapsed_ms: u64) {
        if self.saved < FLOOR {
            self.saved = (self.saved + elapsed_ms as f64 / 1_000.0).min(FLOOR);
        }
    }
}
