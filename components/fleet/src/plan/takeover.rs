//! Holds back steps taken over from the previous leader until all hosts have reported their runs.
//!
//! Hosts continue their runs when the leader is lost. If the next leader started the same samples
//! again, two engines would generate each of them. Their steps are therefore held until every host
//! has reported, which takes about a tenth of a second, and not for a fixed time. After the loss of
//! all processes this starts the first runs 0.4 s earlier.

use std::collections::BTreeSet;

use chicoryford_types::Millis;

use super::Planner;

impl Planner {
    /// Records which hosts were asked for their runs. Steps that are held now are released once all
    /// of these hosts have reported.
    pub fn await_hosts(&mut self, hosts: BTreeSet<String>, now: Millis) {
        for planned in self.steps.values_mut().filter(|planned| planned.held_until > now) {
            planned.hosts_asked = true;
        }
        self.unreported_hosts = hosts;
    }

    /// Records that a host has reported all its runs. A host that was not asked reports when it
    /// connects, which has the same effect.
    pub fn record_host_reported(&mut self, host: &str) {
        if !self.unreported_hosts.remove(host) || !self.unreported_hosts.is_empty() {
            return;
        }
        for planned in self.steps.values_mut().filter(|planned| planned.hosts_asked) {
            planned.held_until = Millis::default();
        }
    }
}
