//! The leader's side of the sessions of entries: which were renewed, and which have lapsed.
//!
//! A session is opened and closed through the log, but renewed only in the leader's memory, on
//! its monotonic clock. So a new leader knows of no renewals; it gives every session a whole
//! period before it closes any.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

/// The leader waits this much longer, in percent, than the period that it grants. The clocks of
/// two VMs do not run equally fast; without a margin, a session could be closed and its steps be
/// taken by another entry while the first still believes that it owns them.
const MARGIN: u64 = 10;

/// The renewals that a leader has seen.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    period: u64,
    renewed: BTreeMap<u64, Millis>,
    closing: BTreeMap<u64, Millis>,
}

impl Sessions {
    /// Grants `period` milliseconds with each renewal.
    pub fn new(period: u64) -> Self {
        Self { period, ..Self::default() }
    }

    /// Gives the period that a renewal grants, counted from when the entry sent it.
    pub fn period(&self) -> u64 {
        self.period
    }

    /// Forgets all renewals, as a replica that does not lead must.
    pub fn clear(&mut self) {
        self.renewed.clear();
        self.closing.clear();
    }

    /// Takes the sessions that are open by the log: new ones start their period now.
    pub fn adopt(&mut self, open: impl Iterator<Item = u64>, now: Millis) {
        let before = std::mem::take(&mut self.renewed);
        for session in open {
            let renewed = before.get(&session).copied().unwrap_or(now);
            self.renewed.insert(session, renewed);
        }
        let renewed = &self.renewed;
        self.closing.retain(|session, _| renewed.contains_key(session));
    }

    /// Renews a session; tells whether it holds. One whose end is on its way does not: the entry
    /// must not run steps that another may take in the next moment.
    pub fn renew(&mut self, session: u64, now: Millis) -> bool {
        if self.closing.contains_key(&session) {
            return false;
        }
        let Some(renewed) = self.renewed.get_mut(&session) else { return false };
        *renewed = now;
        true
    }

    /// Gives the sessions to close now. One whose end was proposed is given again only after
    /// another period, in case the proposal got lost.
    pub fn lapsed(&mut self, now: Millis) -> Vec<u64> {
        let patience = self.period + self.period * MARGIN / 100;
        let late = |since: &Millis| now.since(*since) > patience;
        let lapsed: Vec<u64> = self
            .renewed
            .iter()
            .filter(|(session, renewed)| {
                late(renewed) && self.closing.get(*session).is_none_or(late)
            })
            .map(|(session, _)| *session)
            .collect();
        for session in &lapsed {
            self.closing.insert(*session, now);
        }
        lapsed
    }

    /// Counts the open sessions.
    pub fn len(&self) -> usize {
        self.renewed.len()
    }

    /// Tells whether no session is open.
    pub fn is_empty(&self) -> bool {
        self.renewed.is_empty()
    }
}
