//! The rule by which contents are suspected, cleared and convicted.

use std::collections::BTreeMap;

use chicoryford_types::Change;
use chicoryford_types::Fingerprint;
use chicoryford_types::Unix;
use chicoryford_types::config::Conviction;
use serde::Deserialize;
use serde::Serialize;

/// The rule's settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// Crashes that convict a content, the last of them while it ran apart.
    pub apart: u32,
    /// Crashes that convict a content, even if other suspects were in progress each time.
    pub crowd: u32,
    /// Milliseconds for which a conviction holds.
    pub lasts_ms: u64,
    /// Suspects kept at most.
    pub suspects: usize,
    /// Convictions kept at most.
    pub convictions: usize,
}

impl Default for Rule {
    fn default() -> Self {
        Self {
            apart: 3,
            crowd: 6,
            lasts_ms: 24 * 60 * 60 * 1_000,
            suspects: 4_096,
            convictions: 4_096,
        }
    }
}

impl Rule {
    /// Weighs a crash; `blamed` are the suspects among the contents in progress, or else all.
    ///
    /// A content that crashes engines comes back under new request ids for as long as its caller
    /// wants the answer, and takes one endpoint down each time, with all that runs there. What
    /// was in progress at a crash is therefore suspected, and from then on runs apart from other
    /// suspects: the next crash blames it alone. One crash apart may still be chance, as
    /// endpoints crash for other reasons too; docs/SUSPECTS.md has the measured rates of both
    /// errors by which the numbers were chosen.
    pub fn crashed(
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
            let proven = alone && before > 0 && crashes >= self.apart;
            let room = convicted < self.convictions;
            if room && (proven || crashes >= self.crowd) {
                let until = Unix(stamp.0.saturating_add(self.lasts_ms));
                changes.push(Change::Convicted(*content, Conviction { crashes, until }));
                convicted += 1;
            } else if before > 0 || added < self.suspects {
                changes.push(Change::Suspected(*content, crashes));
                added += usize::from(before == 0);
            }
        }
        let mut room = self.make_room(suspects, &blamed, added);
        room.extend(self.make_room_convicted(convictions, convicted));
        room.append(&mut changes);
        room
    }

    /// Takes in that a content ran to its end.
    pub fn cleared(
        &self,
        suspects: &BTreeMap<Fingerprint, u32>,
        content: Fingerprint,
    ) -> Option<Change> {
        suspects.contains_key(&content).then_some(Change::Cleared(content))
    }

    /// Gives the convictions that have lapsed.
    pub fn lapsed(
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

    /// Clears the suspects with the fewest crashes, to keep within the bound.
    fn make_room(
        &self,
        suspects: &BTreeMap<Fingerprint, u32>,
        blamed: &[Fingerprint],
        added: usize,
    ) -> Vec<Change> {
        let excess = (suspects.len() + added).saturating_sub(self.suspects);
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

    fn make_room_convicted(
        &self,
        convictions: &BTreeMap<Fingerprint, Conviction>,
        added: usize,
    ) -> Vec<Change> {
        let excess = (convictions.len() + added).saturating_sub(self.convictions);
        if excess == 0 {
            return Vec::new();
        }
        let mut first: Vec<(Unix, Fingerprint)> =
            convictions.iter().map(|(content, conviction)| (conviction.until, *content)).collect();
        first.sort_unstable();
        first.into_iter().take(excess).map(|(_, content)| Change::Pardoned(content)).collect()
    }
}
