//! Measures by how much a thread runs after its scheduled time.

use std::collections::VecDeque;

use chicoryford_types::Millis;

/// Milliseconds over which the mean is taken.
const WINDOW_MS: u64 = 1_000;
/// Milliseconds without a tick that count as lag at most. A thread with a fraction of a core stands
/// still for 100 ms again and again; what becomes due at a random time of such a stall is delayed
/// by 50 ms on average. Longer stalls are those of a frozen VM, and are no lag.
const MAX_GAP_MS: u64 = 50;

/// The delays of a thread's ticks over the last second.
#[derive(Clone, Debug, Default)]
pub struct Lag {
    last_tick: Millis,
    /// Milliseconds until the last tick, without the time of stalls that does not count.
    counted_ms: u64,
    /// The value of `counted_ms` at which the next scheduled tick is due.
    due_ms: u64,
    delays: VecDeque<(Millis, u64)>,
}

impl Lag {
    /// Starts or restarts at this time, without a stall since the last tick.
    pub fn restart(&mut self, now: Millis) {
        self.last_tick = now;
        self.delays.clear();
    }

    /// Records that the thread runs.
    pub fn record_tick(&mut self, now: Millis) {
        self.counted_ms += now.since(self.last_tick).min(MAX_GAP_MS);
        self.last_tick = now;
    }

    /// Schedules the next tick `after_ms` after the last one.
    pub fn schedule(&mut self, after_ms: u64) {
        self.due_ms = self.counted_ms + after_ms;
    }

    /// Records the scheduled tick.
    pub fn record_scheduled(&mut self, now: Millis) {
        self.record_tick(now);
        self.delays.push_back((now, self.counted_ms.saturating_sub(self.due_ms)));
        self.remove_old(now);
    }

    /// Returns the mean delay over the last second in milliseconds.
    pub fn mean_ms(&mut self, now: Millis) -> u64 {
        self.remove_old(now);
        let sum: u64 = self.delays.iter().map(|(_, ms)| ms).sum();
        sum.checked_div(self.delays.len() as u64).unwrap_or_default()
    }

    fn remove_old(&mut self, now: Millis) {
        while self.delays.front().is_some_and(|(at, _)| now.since(*at) >= WINDOW_MS) {
            self.delays.pop_front();
        }
    }
}
