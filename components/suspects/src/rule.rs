//! The rule that decides when contents are suspected, cleared and convicted.

use std::collections::BTreeMap;

use chicoryford_types::Change;
use chicoryford_types::Fingerprint;
use chicoryford_types::Unix;
use chicoryford_types::config::Conviction;
use serde::Deserialize;
use serde::Serialize;

/// The settings of the rule.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// Crashes after which a content is convicted, if it was the only blamed content in the last
    /// one.
    #[serde(rename = "apart")]
    pub isolated_crashes: u32,
    /// Crashes after which a content is convicted even if other suspects were in progress at each
    /// of them.
    #[serde(rename = "crowd")]
    pub shared_crashes: u32,
    /// Milliseconds until a conviction expires.
    #[serde(rename = "lasts_ms")]
    pub conviction_ms: u64,
    /// Maximum number of suspects.
    #[serde(rename = "suspects")]
    pub max_suspects: usize,
    /// Maximum number of convictions.
    #[serde(rename = "convictions")]
    pub max_convictions: usize,
}

impl Default for Rule {
    fn default() -> Self {
        Self {
            isolated_crashes: 3,
            shared_crashes: 6,
            conviction_ms: 24 * 60 * 60 * 1_000,
            max_suspects: 4_096,
            max_convictions: 4_096,
        }
    }
}

impl Rule {
    /// Returns the changes caused by a crash. `blamed` are the suspects among the contents in
    /// progress, or all contents in progress if there are no suspects among them.
    ///
    /// A content that crashes engines is sent again under new request ids for as long as its caller
    /// wants the answer, and each time stops an endpoint with everything that runs there. The
    /// contents in progress at a crash are therefore suspected and from then on run separately from
    /// other suspects, so that the next crash blames only one of them. A single crash of a content
    /// that ran separately may still be a coincidence, because endpoints also crash for other
    /// reasons. docs/SUSPECTS.md has the measured rates of both kinds of errors, from which the
    /// numbers follow.
    pub fn on_crash(
        &self,
        suspects: &BTreeMap<Fingerprint, u32>,
        convictions: &BTreeMap<Fingerprint, Conviction>,
        stamp: Unix,
        blamed: &[Fingerprint],
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut blamed = blamed.to_vec();
        blamed.sort_unstable();
        blamed.dedup();
        let alone = blamed.len() == 1;
        let mut convicted = 0;
        let mut added = 0;
        for content in &blamed {
            if convictions.contains_key(content) {
                continue;
            }
            let before = suspects.get(content).copied().unwrap_or(0);
            let crashes = before.saturating_add(1);
            let is_proven = alone && before > 0 && crashes >= self.isolated_crashes;
            let has_room = convicted < self.max_convictions;
            if has_room && (is_proven || crashes >= self.shared_crashes) {
                let until = Unix(stamp.0.saturating_add(self.conviction_ms));
                changes.push(Change::Convicted(*content, Conviction { crashes, until }));
                convicted += 1;
            } else if before > 0 || added < self.max_suspects {
                changes.push(Change::Suspected(*content, crashes));
                added += usize::from(before == 0);
            }
        }
        let mut evicted = self.evict_suspects(suspects, &blamed, added);
        evicted.extend(self.evict_convictions(convictions, convicted));
        evicted.append(&mut changes);
        evicted
    }

    /// Returns the change caused by the completion of a request with this content, if any.
    pub fn on_completion(
        &self,
        suspects: &BTreeMap<Fingerprint, u32>,
        content: Fingerprint,
    ) -> Option<Change> {
        suspects.contains_key(&content).then_some(Change::Cleared(content))
    }

    /// Returns the changes that remove expired convictions.
    pub fn expired(
        &self,
        convictions: &BTreeMap<Fingerprint, Conviction>,
        stamp: Unix,
    ) -> Vec<Change> {
        convictions
            .iter()
            .filter(|(_, conviction)| conviction.until <= stamp)
            .map(|(content, _)| Change::Pardoned(*content))
            .collect()
    }

    /// Returns the changes that clear the suspects with the fewest crashes, to stay within the
    /// limit.
    fn evict_suspects(
        &self,
        suspects: &BTreeMap<Fingerprint, u32>,
        blamed: &[Fingerprint],
        added: usize,
    ) -> Vec<Change> {
        let excess = (suspects.len() + added).saturating_sub(self.max_suspects);
        if excess == 0 {
            return Vec::new();
        }
        let mut least: Vec<(u32, Fingerprint)> = suspects
            .iter()
            .filter(|(content, _)| blamed.binary_search(content).is_err())
            .map(|(content, crashes)| (*crashes, *content))
            .collect();
        least.sort_unstable();
        least.into_iter().take(excess).map(|(_, content)| Change::Cleared(content)).collect()
    }

    /// Returns the changes that remove the convictions that expire first, to stay within the limit.
    fn evict_convictions(
        &self,
        convictions: &BTreeMap<Fingerprint, Conviction>,
        added: usize,
    ) -> Vec<Change> {
        let excess = (convictions.len() + added).saturating_sub(self.max_convictions);
        if excess == 0 {
            return Vec::new();
        }
        let mut first: Vec<(Unix, Fingerprint)> =
            convictions.iter().map(|(content, conviction)| (conviction.until, *content)).collect();
        first.sort_unstable();
        first.into_iter().take(excess).map(|(_, content)| Change::Pardoned(content)).collect()
    }
}
