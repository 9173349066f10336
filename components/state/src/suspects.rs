//! Contents that crash endpoints: resent reports, pardons, and the end of suspicions.
//!
//! Who is suspected and convicted is decided by `chicoryford_suspects::Rule`
//! (docs/SUSPECTS.md); here its changes are put in force.

use std::collections::BTreeMap;

use chicoryford_suspects::Rule;
use chicoryford_types::Change;
use chicoryford_types::Endpoint;
use chicoryford_types::Fingerprint;
use chicoryford_types::Incarnation;
use chicoryford_types::Unix;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Refusal;
use crate::command::Reply;
use crate::machine::State;

/// Milliseconds after its last crash for which a content stays a suspect.
pub const SUSPECTED_MS: u64 = 24 * 60 * 60 * 1_000;
/// Contents weighed of one crash at most.
pub const BLAMED: usize = 1_024;
/// Milliseconds between two looks for what has lapsed, so that not every command takes one.
const LAPSE_MS: u64 = 1_000;
/// Endpoints whose last crash is remembered at most.
pub const ENDPOINTS: usize = 16_384;

/// What is known of crashes beyond what every process needs to know.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Suspects {
    /// The last crash of each endpoint, by which a resent report is recognised.
    seen: BTreeMap<Endpoint, (Incarnation, u64)>,
    /// When each suspicion lapses.
    until: BTreeMap<Fingerprint, Unix>,
    /// When lapses were last looked for.
    looked: Unix,
}

impl State {
    pub(crate) fn crashed(
        &mut self,
        endpoint: Endpoint,
        crash: (Incarnation, u64),
        blamed: &[Fingerprint],
    ) -> Reply {
        let seen = self.suspects.seen.get(&endpoint);
        if seen.is_some_and(|seen| *seen >= crash) {
            return Reply::Done;
        }
        if seen.is_none() && self.suspects.seen.len() >= ENDPOINTS {
            self.suspects.seen.pop_first();
        }
        self.suspects.seen.insert(endpoint, crash);
        let blamed = &blamed[..blamed.len().min(BLAMED)];
        let config = &self.config;
        let rule = Rule::default();
        let changes = rule.crashed(&config.suspects, &config.convictions, self.now, blamed);
        changes.into_iter().for_each(|change| self.put_suspicion(change));
        Reply::Done
    }

    pub(crate) fn cleared(&mut self, fingerprint: Fingerprint) -> Reply {
        let change = Rule::default().cleared(&self.config.suspects, fingerprint);
        change.into_iter().for_each(|change| self.put_suspicion(change));
        Reply::Done
    }

    pub(crate) fn pardon(&mut self, fingerprint: Fingerprint) -> Reply {
        if !self.config.convictions.contains_key(&fingerprint) {
            return Refusal::Missing.into();
        }
        let at = self.accept(Change::Pardoned(fingerprint));
        Reply::Accepted { at, version: 0 }
    }

    /// Ends what has lapsed by the stamps of commands.
    pub(crate) fn lapse(&mut self) {
        let now = self.now;
        if now.0 < self.suspects.looked.0.saturating_add(LAPSE_MS) {
            return;
        }
        self.suspects.looked = now;
        for change in Rule::default().lapsed(&self.config.convictions, now) {
            self.put_suspicion(change);
        }
        let ended = self.suspects.until.iter().filter(|(_, until)| **until <= now);
        let ended: Vec<_> = ended.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in ended {
            self.cleared(fingerprint);
        }
    }

    fn put_suspicion(&mut self, change: Change) {
        match &change {
            Change::Suspected(fingerprint, _) => {
                let until = Unix(self.now.0.saturating_add(SUSPECTED_MS));
                self.suspects.until.insert(*fingerprint, until);
            }
            Change::Cleared(fingerprint) | Change::Convicted(fingerprint, _) => {
                self.suspects.until.remove(fingerprint);
            }
            _ => {}
        }
        self.accept(change);
    }
}
