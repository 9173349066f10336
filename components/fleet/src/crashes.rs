//! Counts endpoint crashes per request content (docs/SUSPECTS.md).
//!
//! A request that crashes its endpoint is retried under another id, at any entry. Crashes are
//! therefore counted by the content of the request, for the whole fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_suspects::Rule;
use chicoryford_types::Change;
use chicoryford_types::Fingerprint;
use chicoryford_types::Millis;
use chicoryford_types::Unix;
use chicoryford_types::config::Conviction;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of contents for which one process records crashes itself.
const MAX_LOCAL_CONTENTS: usize = 1_024;

/// Milliseconds for which an attempt without an answer is remembered. An endpoint is found to be
/// silent six seconds after its last announcement, and its attempts end some seconds after it has
/// crashed.
const UNANSWERED_TTL_MS: u64 = 12_000;
/// Minimum milliseconds between two endpoints that fall silent and both count as crashed by the same
/// content. A cut silences many endpoints at once, with whatever they were running.
const SILENCE_SPACING_MS: u64 = 2_500;

/// Milliseconds for which a completed content is remembered. A content that crashes endpoints does
/// so each time; one that has completed a moment ago ran on endpoints that ended for another reason.
const COMPLETED_TTL_MS: u64 = 30_000;

/// A crash of an endpoint while it ran a request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Crash {
    /// The content of the request.
    pub content: Fingerprint,
    /// The incarnation of the endpoint.
    pub endpoint: String,
}

/// The contents that crash endpoints, as replicated in the log.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CrashState {
    suspects: BTreeMap<Fingerprint, BTreeSet<String>>,
    convictions: BTreeMap<Fingerprint, Conviction>,
}

impl CrashState {
    /// Records a crash at `at` of the fleet clock. Returns whether it was new.
    pub fn record_crash(&mut self, crash: Crash, at: u64) -> bool {
        let (rule, now) = (Rule::default(), Unix(at));
        let Crash { content, endpoint } = crash;
        let known =
            self.suspects.get(&content).is_some_and(|endpoints| endpoints.contains(&endpoint));
        if known || self.convictions.contains_key(&content) {
            return false;
        }
        let counts =
            self.suspects.iter().map(|(content, endpoints)| (*content, endpoints.len() as u32));
        let counts: BTreeMap<Fingerprint, u32> = counts.collect();
        let expired = rule.expired(&self.convictions, now);
        let changes = rule.on_crash(&counts, &self.convictions, now, &[content]);
        for change in expired.into_iter().chain(changes) {
            match change {
                Change::Suspected(content, _) => {
                    self.suspects.entry(content).or_default().insert(endpoint.clone());
                }
                Change::Cleared(content) => {
                    self.suspects.remove(&content);
                }
                Change::Convicted(content, conviction) => {
                    self.suspects.remove(&content);
                    self.convictions.insert(content, conviction);
                }
                Change::Pardoned(content) => {
                    self.convictions.remove(&content);
                }
                _ => {}
            }
        }
        true
    }

    /// Records that a request with a content completed. Returns whether the content was suspected.
    pub fn clear_suspect(&mut self, content: Fingerprint) -> bool {
        self.suspects.remove(&content).is_some()
    }

    /// Returns the contents that are suspected, but not rejected yet.
    pub fn suspected(&self) -> BTreeSet<Fingerprint> {
        self.suspects.keys().copied().collect()
    }

    /// Returns the contents that are rejected.
    pub fn refused(&self) -> BTreeSet<Fingerprint> {
        self.convictions.keys().copied().collect()
    }

    /// Returns whether a content is rejected.
    pub fn refuses(&self, content: Fingerprint) -> bool {
        self.convictions.contains_key(&content)
    }
}

/// The contents that one process rejects: those rejected by the fleet, and those that it has seen
/// crash endpoints itself, so that it rejects them also while no leader is reachable.
#[derive(Clone, Debug, Default)]
pub struct LocalCrashes {
    refused: BTreeSet<Fingerprint>,
    /// Contents that the fleet suspects because other processes have seen crashes.
    suspected: BTreeSet<Fingerprint>,
    seen: BTreeMap<Fingerprint, BTreeSet<String>>,
    /// Attempts without an answer by endpoint, and when they ended.
    unanswered: BTreeMap<String, BTreeMap<Fingerprint, Millis>>,
    /// Contents of such attempts at endpoints that fell silent later, and when the last one did.
    silenced: BTreeMap<Fingerprint, Millis>,
    /// Contents with a request that completed, and when the last one did.
    completed: BTreeMap<Fingerprint, Millis>,
}

impl LocalCrashes {
    /// Sets the contents rejected by the fleet.
    pub fn set_refused(&mut self, refused: BTreeSet<Fingerprint>) {
        self.refused = refused;
    }

    /// Sets the contents suspected by the fleet.
    pub fn set_suspected(&mut self, suspected: BTreeSet<Fingerprint>) {
        self.suspected = suspected;
    }

    /// Returns whether the fleet suspects a content, once until it is set again.
    pub fn take_suspected(&mut self, content: Fingerprint) -> bool {
        self.suspected.remove(&content)
    }

    /// Records a crash that this process observed.
    pub fn record_crash(&mut self, crash: &Crash) {
        if self.seen.len() >= MAX_LOCAL_CONTENTS && !self.seen.contains_key(&crash.content) {
            self.seen.pop_first();
        }
        self.seen.entry(crash.content).or_default().insert(crash.endpoint.clone());
    }

    /// Records that an attempt got no answer, although its endpoint refuses no connections.
    pub fn record_unanswered(&mut self, attempt: Crash, now: Millis) {
        for contents in self.unanswered.values_mut() {
            contents.retain(|_, at| now.since(*at) < UNANSWERED_TTL_MS);
        }
        self.unanswered.retain(|_, contents| !contents.is_empty());
        let count: usize = self.unanswered.values().map(BTreeMap::len).sum();
        if count < MAX_LOCAL_CONTENTS {
            let contents = self.unanswered.entry(attempt.endpoint).or_default();
            contents.insert(attempt.content, now);
        }
    }

    /// Records that an endpoint has fallen silent. Returns the crashes that this indicates: those by
    /// the contents whose attempts got no answer from it.
    pub fn record_silence(&mut self, endpoint: &str, now: Millis) -> Vec<Crash> {
        let unanswered = self.unanswered.remove(endpoint).unwrap_or_default();
        self.silenced.retain(|_, last| now.since(*last) < SILENCE_SPACING_MS);
        let mut crashes = Vec::new();
        for (content, at) in unanswered {
            let is_separate =
                !self.silenced.contains_key(&content) && !self.has_completed(content, now);
            if now.since(at) < UNANSWERED_TTL_MS && is_separate {
                self.silenced.insert(content, now);
                let crash = Crash { content, endpoint: endpoint.to_owned() };
                self.record_crash(&crash);
                crashes.push(crash);
            }
        }
        crashes
    }

    /// Remembers that a request with a content completed.
    pub fn record_completion(&mut self, content: Fingerprint, now: Millis) {
        if self.completed.len() >= MAX_LOCAL_CONTENTS && !self.completed.contains_key(&content) {
            self.completed.retain(|_, at| now.since(*at) < COMPLETED_TTL_MS);
            if self.completed.len() >= MAX_LOCAL_CONTENTS {
                self.completed.pop_first();
            }
        }
        self.completed.insert(content, now);
    }

    /// Returns whether a request with a content has completed recently.
    pub fn has_completed(&self, content: Fingerprint, now: Millis) -> bool {
        self.completed.get(&content).is_some_and(|at| now.since(*at) < COMPLETED_TTL_MS)
    }

    /// Records that a request with a content completed. Returns whether this process had seen the
    /// content crash an endpoint.
    pub fn clear_suspect(&mut self, content: Fingerprint) -> bool {
        for contents in self.unanswered.values_mut() {
            contents.remove(&content);
        }
        self.silenced.remove(&content);
        self.seen.remove(&content).is_some()
    }

    /// Returns whether no content is rejected or suspected.
    pub fn is_empty(&self) -> bool {
        let is_clear = self.suspected.is_empty() && self.unanswered.is_empty();
        is_clear && self.refused.is_empty() && self.seen.is_empty()
    }

    /// Returns whether a content is to be rejected.
    pub fn refuses(&self, content: Fingerprint) -> bool {
        let crashes = self.seen.get(&content).map_or(0, BTreeSet::len);
        self.refused.contains(&content) || crashes >= Rule::default().isolated_crashes as usize
    }
}
