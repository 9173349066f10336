//! Limits of a workspace: each live entry holds an equal share of them.

use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Millis;
use chicoryford_types::template::Limits;

/// What one workspace uses of its limits at this entry.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Requests in progress.
    pub running: u32,
    tokens: f64,
    filled: Option<Millis>,
}

impl Usage {
    /// Takes one request in, if this entry's share of the limits allows it.
    ///
    /// # Errors
    ///
    /// A failure with [`Code::LimitReached`] that tells when to come back.
    pub fn enter(&mut self, limits: &Limits, entries: u32, now: Millis) -> Result<(), Failure> {
        let entries = entries.max(1);
        let rate = f64::from(limits.rate) / f64::from(entries);
        let burst = rate.max(1.0);
        let filled = self.filled.replace(now);
        let gained = filled.map_or(burst, |then| rate * now.since(then) as f64 / 1_000.0);
        self.tokens = (self.tokens + gained).min(burst);
        if self.running >= limits.running.div_ceil(entries) {
            let detail = format!("{} requests of the workspace are in progress", self.running);
            return Err(Failure::not_run(Code::LimitReached, detail).retry_after(250));
        }
        if self.tokens < 1.0 {
            let wait = if rate > 0.0 { (1.0 - self.tokens) * 1_000.0 / rate } else { 60_000.0 };
            let detail = format!("the workspace is limited to {} requests a second", limits.rate);
            let failure = Failure::not_run(Code::LimitReached, detail);
            return Err(failure.retry_after(wait.ceil() as u64));
        }
        self.tokens -= 1.0;
        self.running += 1;
        Ok(())
    }

    /// Lets one request out.
    pub fn leave(&mut self) {
        if self.running == 0 {
            tracing::error!(event = "promise_broken", promise = "requests are counted in and out");
        }
        self.running = self.running.saturating_sub(1);
    }
}
