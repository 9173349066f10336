//! Contents that crash endpoints: deduplication of reports, pardons, and the expiry of suspicions.
//!
//! `chicoryford_suspects::Rule` decides which contents are suspected and convicted
//! (docs/SUSPECTS.md). This module puts its changes in force.

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

/// Milliseconds after its last crash for which a content remains suspect.
pub const SUSPICION_MS: u64 = 24 * 60 * 60 * 1_000;
/// Maximum number of contents evaluated per crash.
pub const MAX_BLAMED: usize = 1_024;
/// Milliseconds between two checks for expired suspicions, so that not every command runs one.
const EXPIRY_CHECK_MS: u64 = 1_000;
/// Maximum number of endpoints whose last crash is stored.
pub const MAX_ENDPOINTS: usize = 16_384;

/// Crash data that other processes do not need.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Suspects {
    /// The last crash of each endpoint, to identify resent reports.
    #[serde(rename = "seen")]
    last_crashes: BTreeMap<Endpoint, (Incarnation, u64)>,
    /// The expiry time of each suspicion.
    #[serde(rename = "until")]
    expiries: BTreeMap<Fingerprint, Unix>,
    /// The time of the last check for expired suspicions.
    #[serde(rename = "looked")]
    last_check: Unix,
}

impl State {
    /// Applies the report of a crash. The reply has the position from which on the configuration
    /// contains the decision, also for a resent report, so that requests can wait for it.
    pub(crate) fn crashed(
        &mut self,
        endpoint: Endpoint,
        crash: (Incarnation, u64),
        blamed: &[Fingerprint],
    ) -> Reply {
        let seen = self.suspects.last_crashes.get(&endpoint);
        if seen.is_some_and(|seen| *seen >= crash) {
            return Reply::Accepted { at: self.config.at, version: 0 };
        }
        if seen.is_none() && self.suspects.last_crashes.len() >= MAX_ENDPOINTS {
            self.suspects.last_crashes.pop_first();
        }
        self.suspects.last_crashes.insert(endpoint, crash);
        let blamed = &blamed[..blamed.len().min(MAX_BLAMED)];
        let config = &self.config;
        let rule = Rule::default();
        let changes = rule.on_crash(&config.suspects, &config.convictions, self.now, blamed);
        changes.into_iter().for_each(|change| self.accept_suspicion(change));
        Reply::Accepted { at: self.config.at, version: 0 }
    }

    pub(crate) fn cleared(&mut self, fingerprint: Fingerprint) -> Reply {
        let change = Rule::default().on_completion(&self.config.suspects, fingerprint);
        change.into_iter().for_each(|change| self.accept_suspicion(change));
        Reply::Done
    }

    pub(crate) fn pardon(&mut self, fingerprint: Fingerprint) -> Reply {
        if !self.config.convictions.contains_key(&fingerprint) {
            return Refusal::Missing.into();
        }
        let at = self.accept(Change::Pardoned(fingerprint));
        Reply::Accepted { at, version: 0 }
    }

    /// Ends suspicions and convictions that have expired according to the timestamps of commands.
    pub(crate) fn expire_suspicions(&mut self) {
        let now = self.now;
        if now.0 < self.suspects.last_check.0.saturating_add(EXPIRY_CHECK_MS) {
            return;
        }
        self.suspects.last_check = now;
        for change in Rule::default().expired(&self.config.convictions, now) {
            self.accept_suspicion(change);
        }
        let expired = self.suspects.expiries.iter().filter(|(_, expiry)| **expiry <= now);
        let expired: Vec<_> = expired.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in expired {
            self.cleared(fingerprint);
        }
    }

    fn accept_suspicion(&mut self, change: Change) {
        match &change {
            Change::Suspected(fingerprint, _) => {
                let expiry = Unix(self.now.0.saturating_add(SUSPICION_MS));
                self.suspects.expiries.insert(*fingerprint, expiry);
            }
            Change::Cleared(fingerprint) | Change::Convicted(fingerprint, _) => {
                self.suspects.expiries.remove(fingerprint);
            }
            _ => {}
        }
        self.accept(change);
    }
}
