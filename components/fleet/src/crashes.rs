//! Contents that crash the endpoints that run them (docs/SUSPECTS.md).
//!
//! A request that crashes its endpoint comes again under another identity, at any entry. So what is
//! counted is its content, and the count is the fleet's.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_suspects::Rule;
use chicoryford_types::Change;
use chicoryford_types::Fingerprint;
use chicoryford_types::Unix;
use chicoryford_types::config::Conviction;
use serde::Deserialize;
use serde::Serialize;

/// Contents of which one process remembers by itself that they crashed endpoints.
const KEPT: usize = 1_024;

/// A crash of an endpoint while it ran a request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Crash {
    /// The content of the request.
    pub content: Fingerprint,
    /// The incarnation of the endpoint.
    pub endpoint: String,
}

/// What the fleet knows of such contents, as the log holds it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CrashState {
    suspects: BTreeMap<Fingerprint, BTreeSet<String>>,
    convictions: BTreeMap<Fingerprint, Conviction>,
}

impl CrashState {
    /// Takes in a crash; tells whether it was not known. `at` is the fleet's clock.
    pub fn record_crash(&mut self, crash: Crash, at: u64) -> bool {
        let (rule, now) = (Rule::default(), Unix(at));
        let Crash { content, endpoint } = crash;
        let known = self.suspects.get(&content).is_some_and(|by| by.contains(&endpoint));
        if known || self.convictions.contains_key(&content) {
            return false;
        }
        let counts = self.suspects.iter().map(|(content, by)| (*content, by.len() as u32));
        let counts: BTreeMap<Fingerprint, u32> = counts.collect();
        let lapsed = rule.lapsed(&self.convictions, now);
        let changes = rule.crashed(&counts, &self.convictions, now, &[content]);
        for change in lapsed.into_iter().chain(changes) {
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

    /// Takes in that a content ran to its end; tells whether it was suspected.
    pub fn clear_suspect(&mut self, content: Fingerprint) -> bool {
        self.suspects.remove(&content).is_some()
    }

    /// Gives the contents that are refused.
    pub fn refused(&self) -> BTreeSet<Fingerprint> {
        self.convictions.keys().copied().collect()
    }

    /// Tells whether a content is refused.
    pub fn refuses(&self, content: Fingerprint) -> bool {
        self.convictions.contains_key(&content)
    }
}

/// What one process knows: what the fleet refuses, and what it saw by itself, so that it refuses a content
/// also while no leader can be told.
#[derive(Clone, Debug, Default)]
pub struct LocalCrashes {
    refused: BTreeSet<Fingerprint>,
    seen: BTreeMap<Fingerprint, BTreeSet<String>>,
}

impl LocalCrashes {
    /// Takes in what the fleet refuses.
    pub fn set_refused(&mut self, refused: BTreeSet<Fingerprint>) {
        self.refused = refused;
    }

    /// Takes in a crash that this process saw.
    pub fn record_crash(&mut self, crash: &Crash) {
        if self.seen.len() >= KEPT && !self.seen.contains_key(&crash.content) {
            self.seen.pop_first();
        }
        self.seen.entry(crash.content).or_default().insert(crash.endpoint.clone());
    }

    /// Takes in that a content ran to its end; tells whether this process saw it crash an endpoint.
    pub fn clear_suspect(&mut self, content: Fingerprint) -> bool {
        self.seen.remove(&content).is_some()
    }

    /// Tells whether any content may be refused.
    pub fn is_empty(&self) -> bool {
        self.refused.is_empty() && self.seen.is_empty()
    }

    /// Tells whether a content is to be refused.
    pub fn refuses(&self, content: Fingerprint) -> bool {
        let crashes = self.seen.get(&content).map_or(0, BTreeSet::len);
        self.refused.contains(&content) || crashes >= Rule::default().apart as usize
    }
}
