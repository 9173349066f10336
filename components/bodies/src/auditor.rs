//! When an entry asks the ledger about bodies.

use chicoryford_ledger::Audit;
use chicoryford_ledger::AuditReply;
use chicoryford_ledger::Holder;
use chicoryford_ledger::StepKey;
use chicoryford_types::Millis;

/// Milliseconds between two questions for what is still of use. Acknowledged batches are dropped
/// by the entry that takes the acknowledgement; the question finds what that missed.
const TIDY: u64 = 60_000;
/// Milliseconds between two questions for what lacks holders while nothing seems to have changed:
/// bodies may have been recorded after their holder died.
const LOOK: u64 = 10_000;

/// Decides when an entry asks the ledger about bodies.
#[derive(Clone, Debug, Default)]
pub struct Auditor {
    present: Vec<Holder>,
    looked: Option<Millis>,
    tidied: Option<Millis>,
}

impl Auditor {
    /// Gives the question to send with a renewal of a session, if it is time.
    ///
    /// The leader looks at each record of the asker's steps to answer it, so it is asked at once
    /// when an entry came, went or restarted, and seldom otherwise.
    pub fn question(
        &mut self,
        mut present: Vec<Holder>,
        holds: impl FnOnce() -> Vec<StepKey>,
        now: Millis,
    ) -> Option<Audit> {
        present.sort();
        let is_due =
            |last: Option<Millis>, every: u64| last.is_none_or(|last| now.since(last) >= every);
        let looks = present != self.present || is_due(self.looked, LOOK);
        let tidies = is_due(self.tidied, TIDY);
        if !looks && !tidies {
            return None;
        }
        let mut audit = Audit::default();
        if looks {
            self.present = present.clone();
            self.looked = Some(now);
            audit.present = present;
        }
        if tidies {
            self.tidied = Some(now);
            audit.holds = holds();
        }
        Some(audit)
    }

    /// Asks again with the next renewal if a question got lost or an answer names work: there may
    /// be more than fits into one.
    pub fn answered(&mut self, audited: Option<&AuditReply>) {
        if audited.is_none_or(|audited| !audited.lacking.is_empty()) {
            self.looked = None;
        }
        if audited.is_none() {
            self.tidied = None;
        }
    }
}
