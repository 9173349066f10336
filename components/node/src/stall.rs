//! Detects stalls of this process. A request that is read after a stall may have waited unread for
//! its whole duration.
//!
//! A VM that was frozen, or whose processor was used by others, reads late what is in its sockets.
//! Nothing in a request shows when it arrived, so the longest time that it may have waited is
//! subtracted from its time limit.

use std::cell::Cell;
use std::time::Duration;

use chicoryford_types::Millis;

use crate::clock;

/// Interval of ticks, which show that the process runs.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Milliseconds without a tick that count as a stall.
const MIN_STALL_MS: u64 = 200;
/// Milliseconds after a stall during which requests are read that arrived during it.
const BACKLOG_MS: u64 = 50;

/// Records when the process runs.
#[derive(Debug)]
pub struct Stall {
    last_tick: Cell<Millis>,
    /// When the last stall ended, and how long it was.
    last_stall: Cell<(Millis, u64)>,
}

impl Stall {
    /// Starts recording at this time.
    pub fn new(now: Millis) -> Self {
        Self { last_tick: Cell::new(now), last_stall: Cell::default() }
    }

    /// Records that the process runs.
    pub fn record_tick(&self, now: Millis) {
        let ms = self.stalled_ms(now);
        if ms > 0 {
            self.last_stall.set((now, ms));
            tracing::warn!(event = "stood_still", ms);
        }
        self.last_tick.set(now);
    }

    /// Returns the milliseconds for which a request that is read now may have waited unread.
    pub fn waited_ms(&self, now: Millis) -> u64 {
        let (ended, ms) = self.last_stall.get();
        let before = if now.since(ended) <= BACKLOG_MS { ms } else { 0 };
        self.stalled_ms(now).max(before)
    }

    /// Returns the milliseconds for which the process has not run, if they count as a stall,
    /// otherwise zero.
    fn stalled_ms(&self, now: Millis) -> u64 {
        let ms = now.since(self.last_tick.get());
        if ms >= MIN_STALL_MS { ms } else { 0 }
    }

    /// Records a tick at each interval, for as long as the process runs.
    pub async fn run_ticks(&self) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.record_tick(clock::now());
        }
    }
}
