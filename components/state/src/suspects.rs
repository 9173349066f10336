//! Contents that crash endpoints: suspects, convictions, pardons.
//!
//! The rule is simple: each content that was in progress at a crash becomes a suspect, suspects
//! run apart, and one that is blamed alone at its second crash or later is convicted for a time
//! (docs/SUSPECTS.md). An innocent that shared the first crash is cleared when it runs to its
//! end.

use std::collections::BTreeMap;

use chicoryford_types::Change;
use chicoryford_types::Endpoint;
use chicoryford_types::Fingerprint;
use chicoryford_types::Incarnation;
use chicoryford_types::Unix;
use chicoryford_types::config::Conviction;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Refusal;
use crate::command::Reply;
use crate::machine::State;

/// Crashes, the last one alone, after which a content is convicted.
pub const CRASHES: u32 = 2;
/// Milliseconds for which a conviction holds.
pub const CONVICTED_MS: u64 = 60 * 60 * 1_000;
/// Milliseconds after its last crash for which a content stays a suspect.
pub const SUSPECTED_MS: u64 = 60 * 60 * 1_000;
/// Suspects and convictions that are kept at most, each.
pub const CONTENTS: usize = 4_096;
/// Endpoints whose last crash is remembered at most.
pub const ENDPOINTS: usize = 16_384;

/// What is known of crashes beyond what every process needs to know.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Suspects {
    /// The last crash of each endpoint, by which a resent report is recognised.
    seen: BTreeMap<Endpoint, (Incarnation, u64)>,
    /// When each suspicion lapses.
    until: BTreeMap<Fingerprint, Unix>,
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
        for fingerprint in blamed {
            self.blame(*fingerprint, blamed.len() == 1);
        }
        Reply::Done
    }

    pub(crate) fn cleared(&mut self, fingerprint: Fingerprint) -> Reply {
        self.suspects.until.remove(&fingerprint);
        if self.config.suspects.contains_key(&fingerprint) {
            self.accept(Change::Cleared(fingerprint));
        }
        Reply::Done
    }

    pub(crate) fn pardon(&mut self, fingerprint: Fingerprint) -> Reply {
        if !self.config.convictions.contains_key(&fingerprint) {
            return Refusal::Missing.into();
        }
        let at = self.accept(Change::Pardoned(fingerprint));
        Reply::Accepted { at, version: 0 }
    }

    fn blame(&mut self, fingerprint: Fingerprint, is_alone: bool) {
        if self.config.convictions.contains_key(&fingerprint) {
            return;
        }
        let before = self.config.suspects.get(&fingerprint).copied();
        if before.is_none() && self.config.suspects.len() >= CONTENTS {
            return;
        }
        let crashes = before.unwrap_or(0) + 1;
        let has_room = self.config.convictions.len() < CONTENTS;
        if is_alone && crashes >= CRASHES && has_room {
            let until = Unix(self.now.0 + CONVICTED_MS);
            self.suspects.until.remove(&fingerprint);
            self.accept(Change::Convicted(fingerprint, Conviction { crashes, until }));
        } else {
            self.suspects.until.insert(fingerprint, Unix(self.now.0 + SUSPECTED_MS));
            self.accept(Change::Suspected(fingerprint, crashes));
        }
    }

    /// Ends what has lapsed by the stamps of commands.
    pub(crate) fn lapse(&mut self) {
        let now = self.now;
        let convictions = self.config.convictions.iter();
        let ended = convictions.filter(|(_, conviction)| conviction.until <= now);
        let ended: Vec<_> = ended.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in ended {
            self.accept(Change::Pardoned(fingerprint));
        }
        let cleared = self.suspects.until.iter().filter(|(_, until)| **until <= now);
        let cleared: Vec<_> = cleared.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in cleared {
            self.cleared(fingerprint);
        }
    }
}
