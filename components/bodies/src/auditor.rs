//! The schedule of audits with the ledger.

use chicoryford_ledger::Audit;
use chicoryford_ledger::AuditReply;
use chicoryford_ledger::Holder;
use chicoryford_ledger::StepKey;
use chicoryford_types::Millis;

/// Milliseconds between audits of which bodies are still needed. The entry that receives an
/// acknowledgement drops the bodies of the batch; the audit finds those that this missed.
const NEEDED_INTERVAL_MS: u64 = 60_000;
/// Milliseconds between audits of bodies with too few holders while the members do not change:
/// bodies may have been recorded after a holder died.
const REPAIR_INTERVAL_MS: u64 = 10_000;

/// Decides when an entry sends an audit to the ledger.
#[derive(Clone, Debug, Default)]
pub struct Auditor {
    present: Vec<Holder>,
    repair_asked_at: Option<Millis>,
    needed_asked_at: Option<Millis>,
}

impl Auditor {
    /// Returns the audit to send with the renewal of a session, if one is due.
    ///
    /// The leader checks each record of the entry's steps to answer it. The audit is therefore sent
    /// at once when an entry joins, leaves or restarts, and rarely otherwise.
    pub fn next_audit(
        &mut self,
        mut present: Vec<Holder>,
        holds: impl FnOnce() -> Vec<StepKey>,
        now: Millis,
    ) -> Option<Audit> {
        present.sort();
        let is_due = |last: Option<Millis>, interval_ms: u64| {
            last.is_none_or(|last| now.since(last) >= interval_ms)
        };
        let asks_repair =
            present != self.present || is_due(self.repair_asked_at, REPAIR_INTERVAL_MS);
        let asks_needed = is_due(self.needed_asked_at, NEEDED_INTERVAL_MS);
        if !asks_repair && !asks_needed {
            return None;
        }
        let mut audit = Audit::default();
        if asks_repair {
            self.present = present.clone();
            self.repair_asked_at = Some(now);
            audit.present = present;
        }
        if asks_needed {
            self.needed_asked_at = Some(now);
            audit.holds = holds();
        }
        Some(audit)
    }

    /// Repeats the audit with the next renewal if the audit was lost, or if the reply lists bodies
    /// to repair, as there may be more than fit in one reply.
    pub fn handle_reply(&mut self, reply: Option<&AuditReply>) {
        if reply.is_none_or(|reply| !reply.lacking.is_empty()) {
            self.repair_asked_at = None;
        }
        if reply.is_none() {
            self.needed_asked_at = None;
        }
    }
}
