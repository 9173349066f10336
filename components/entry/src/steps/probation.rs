//! Paces samples whose prompts were convicted of crashing endpoints.
//!
//! A request with such content is refused, but a sample of an accepted step is owed: endpoints crash
//! for other reasons as well, and its trainer waits for it (docs/SUSPECTS.md). At each entry, one
//! sample with the content starts in each interval, so that content that is at fault takes down few
//! endpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_types::Fingerprint;
use chicoryford_types::Millis;

/// Milliseconds between two runs with the same convicted content. A crashed engine has restarted by
/// then.
pub const PROBATION_INTERVAL_MS: u64 = 4_000;
/// Maximum number of contents whose last run is remembered.
const MAX_CONTENTS: usize = 4_096;

/// When samples with convicted content may run.
#[derive(Debug, Default)]
pub struct Probation {
    /// When the next run with a content may start.
    next: BTreeMap<Fingerprint, Millis>,
    /// Contents with which a run has completed since the last failure; these are not delayed.
    completed: BTreeSet<Fingerprint>,
}

impl Probation {
    /// Starts a run with a convicted content, or returns the milliseconds after which to ask again.
    pub fn start(&mut self, content: Fingerprint, now: Millis) -> Option<u64> {
        if self.completed.contains(&content) {
            return None;
        }
        let next = self.next.get(&content).copied().unwrap_or(now);
        if next > now {
            return Some(next.since(now));
        }
        if self.next.len() >= MAX_CONTENTS {
            self.next.retain(|_, next| *next > now);
        }
        self.next.insert(content, now + PROBATION_INTERVAL_MS);
        None
    }

    /// Records that a run with a content completed.
    pub fn record_completion(&mut self, content: Fingerprint) {
        if self.next.contains_key(&content) && self.completed.len() < MAX_CONTENTS {
            self.completed.insert(content);
        }
    }

    /// Records that a run with a content failed.
    pub fn record_failure(&mut self, content: Fingerprint) {
        self.completed.remove(&content);
    }
}
