//! The leader's record of the sessions of entry processes: which were renewed and which expired.
//!
//! A session is opened and closed through the log, but renewals are recorded only in the leader's
//! memory, by its monotonic clock. A new leader therefore has no renewals and grants every session
//! a whole period before it closes any.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

/// Percentage of the granted period that the leader waits in addition before it closes a session.
/// The clocks of two VMs do not run equally fast. Without the margin, a session could be closed and
/// its steps be taken over by another entry process while the first still counts it as valid.
const EXPIRY_MARGIN_PERCENT: u64 = 10;

/// The renewals that a leader has received.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    period: u64,
    renewed: BTreeMap<u64, Millis>,
    closing: BTreeMap<u64, Millis>,
}

impl Sessions {
    /// Creates an empty record that grants `period` milliseconds with each renewal.
    pub fn new(period: u64) -> Self {
        Self { period, ..Self::default() }
    }

    /// Returns the period that a renewal grants, in milliseconds, counted from when the entry
    /// process sent the renewal.
    pub fn period(&self) -> u64 {
        self.period
    }

    /// Removes all renewals. A replica that starts or stops leading must call this.
    pub fn clear(&mut self) {
        self.renewed.clear();
        self.closing.clear();
    }

    /// Updates the set of sessions to those that the log has open. The period of a new session
    /// starts now.
    pub fn set_open(&mut self, open: impl Iterator<Item = u64>, now: Millis) {
        let before = std::mem::take(&mut self.renewed);
        for session in open {
            let renewed = before.get(&session).copied().unwrap_or(now);
            self.renewed.insert(session, renewed);
        }
        let renewed = &self.renewed;
        self.closing.retain(|session, _| renewed.contains_key(session));
    }

    /// Renews a session and returns whether it is valid. A session whose closing was proposed is
    /// not: its entry process must not run steps that another may take over at any moment.
    pub fn renew(&mut self, session: u64, now: Millis) -> bool {
        if self.closing.contains_key(&session) {
            return false;
        }
        let Some(renewed) = self.renewed.get_mut(&session) else { return false };
        *renewed = now;
        true
    }

    /// Returns the sessions to close now. A session whose closing was proposed is returned again
    /// only after another period, in case the proposal was lost.
    pub fn expired(&mut self, now: Millis) -> Vec<u64> {
        let timeout = self.period + self.period * EXPIRY_MARGIN_PERCENT / 100;
        let is_overdue = |since: &Millis| now.since(*since) > timeout;
        let expired: Vec<u64> = self
            .renewed
            .iter()
            .filter(|(session, renewed)| {
                is_overdue(renewed) && self.closing.get(*session).is_none_or(is_overdue)
            })
            .map(|(session, _)| *session)
            .collect();
        for session in &expired {
            self.closing.insert(*session, now);
        }
        expired
    }

    /// Returns the number of open sessions.
    pub fn len(&self) -> usize {
        self.renewed.len()
    }

    /// Returns whether no session is open.
    pub fn is_empty(&self) -> bool {
        self.renewed.is_empty()
    }
}
