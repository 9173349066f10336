//! Notices when this process stood still: a request that is read then may have waited unread all that time.
//!
//! A frozen VM, or one whose processor others use, reads late what lies in its sockets. Nothing in a
//! request tells when it came, so the longest time that it can have waited is taken off.

use std::cell::Cell;
use std::time::Duration;

use chicoryford_types::Millis;

use crate::clock;

/// How often the process notes that it runs.
const TICK: Duration = Duration::from_millis(50);
/// Milliseconds without such a note that count as a standstill.
const LEAST_MS: u64 = 200;
/// Milliseconds after a standstill in which requests are read that came during it.
const BACKLOG_MS: u64 = 50;

/// Notes when the process runs.
#[derive(Debug)]
pub struct Stall {
    ran: Cell<Millis>,
    /// When the last standstill ended, and how long it was.
    last: Cell<(Millis, u64)>,
}

impl Stall {
    /// Begins to note at this time.
    pub fn new(now: Millis) -> Self {
        Self { ran: Cell::new(now), last: Cell::default() }
    }

    /// Notes that the process runs.
    pub fn note(&self, now: Millis) {
        let ms = self.standing_ms(now);
        if ms > 0 {
            self.last.set((now, ms));
            tracing::warn!(event = "stood_still", ms);
        }
        self.ran.set(now);
    }

    /// Gives the milliseconds for which a request that is read now may have waited unread.
    pub fn waited_ms(&self, now: Millis) -> u64 {
        let (ended, ms) = self.last.get();
        let before = if now.since(ended) <= BACKLOG_MS { ms } else { 0 };
        self.standing_ms(now).max(before)
    }

    /// Gives the milliseconds for which the process has not run, if they count as a standstill.
    fn standing_ms(&self, now: Millis) -> u64 {
        let ms = now.since(self.ran.get());
        if ms >= LEAST_MS { ms } else { 0 }
    }

    /// Notes that the process runs, for as long as it does.
    pub async fn watch(&self) {
        loop {
            tokio::time::sleep(TICK).await;
            self.note(clock::now());
        }
    }
}
