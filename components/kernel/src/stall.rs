//! Detects stalls of a thread, and measures the time for which it runs.
//!
//! A thread stalls while its VM is frozen, its process is stopped, or others use the processor. What
//! arrives during a stall stays unread in the sockets, while the clock goes on. Therefore:
//!
//! - A request that is read after a stall may have waited unread for its whole duration, as nothing
//!   in a request shows when it arrived. That time is subtracted from its time limit.
//! - A timeout that expired during a stall does not show that the other side was silent. Such
//!   timeouts are measured by the time for which the thread runs ([`crate::run_time`]).

use std::cell::Cell;
use std::time::Duration;

use chicoryford_types::Millis;

/// Interval of ticks, which show that the thread runs.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Milliseconds without a tick after which a request may have waited for a noticeable time.
const MIN_WAIT_MS: u64 = 200;
/// Milliseconds after a stall during which requests are read that arrived during it.
const BACKLOG_MS: u64 = 50;
/// Milliseconds without a tick that do not count as time for which the thread ran.
const MIN_STALL_MS: u64 = 100;
/// Milliseconds for which the thread runs after a stall before a timeout expires, so that what
/// arrived during the stall is read first, and others that were stalled as well can answer.
pub const READ_MS: u64 = 100;

/// Records when a thread runs.
#[derive(Debug)]
pub struct Stall {
    last_tick: Cell<Millis>,
    /// When the last stall ended for which a request may have waited, and how long it was.
    last_wait: Cell<(Millis, u64)>,
    /// Milliseconds for which the thread has run until the last tick.
    ran_ms: Cell<u64>,
    /// The value of `ran_ms` when the last stall ended.
    resumed_ms: Cell<Option<u64>>,
}

impl Stall {
    /// Starts recording at this time.
    pub fn new(now: Millis) -> Self {
        Self {
            last_tick: Cell::new(now),
            last_wait: Cell::default(),
            ran_ms: Cell::default(),
            resumed_ms: Cell::default(),
        }
    }

    /// Records that the thread runs.
    pub fn record_tick(&self, now: Millis) {
        let waited_ms = self.unread_ms(now);
        if waited_ms > 0 {
            self.last_wait.set((now, waited_ms));
            tracing::warn!(event = "stood_still", ms = waited_ms);
        }
        let elapsed_ms = now.since(self.last_tick.get());
        let is_stall = elapsed_ms >= MIN_STALL_MS;
        let ran_ms = if is_stall { TICK_INTERVAL.as_millis() as u64 } else { elapsed_ms };
        self.ran_ms.set(self.ran_ms.get() + ran_ms);
        if is_stall {
            self.resumed_ms.set(Some(self.ran_ms.get()));
        }
        self.last_tick.set(now);
    }

    /// Restarts recording at this time, without a stall since the last tick.
    pub fn restart(&self, now: Millis) {
        self.last_tick.set(now);
    }

    /// Returns the milliseconds for which a request that is read now may have waited unread.
    pub fn waited_ms(&self, now: Millis) -> u64 {
        let (ended, ms) = self.last_wait.get();
        let before = if now.since(ended) <= BACKLOG_MS { ms } else { 0 };
        self.unread_ms(now).max(before)
    }

    /// Returns the milliseconds for which the thread has run until the last tick.
    pub fn ran_ms(&self) -> u64 {
        self.ran_ms.get()
    }

    /// Returns the milliseconds for which the thread must run, from the last tick, until a timeout
    /// that began at `started_ms` of its run time expires after `limit_ms`.
    pub fn left_ms(&self, started_ms: u64, limit_ms: u64) -> u64 {
        let elapsed_ms = self.ran_ms.get() - started_ms;
        limit_ms.saturating_sub(elapsed_ms).max(self.read_ms(started_ms))
    }

    /// Returns the milliseconds for which the thread must still run to read what arrived during a
    /// stall, if there was one since `started_ms` of its run time.
    pub fn read_ms(&self, started_ms: u64) -> u64 {
        let resumed_ms = self.resumed_ms.get().filter(|resumed_ms| *resumed_ms > started_ms);
        resumed_ms.map_or(0, |resumed_ms| READ_MS.saturating_sub(self.ran_ms.get() - resumed_ms))
    }

    /// Returns the milliseconds since the last tick, if a request may have waited for a noticeable
    /// time, otherwise zero.
    fn unread_ms(&self, now: Millis) -> u64 {
        let ms = now.since(self.last_tick.get());
        if ms >= MIN_WAIT_MS { ms } else { 0 }
    }
}
