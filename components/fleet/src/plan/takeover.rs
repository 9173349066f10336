//! Steps of the leader before: they wait until all hosts have told what they run.
//!
//! A host goes on with its runs when the leader is lost. Would the next leader begin those samples
//! anew, two engines would make each of them. So their steps are held; not for a fixed time, but
//! until every host has told, which takes about a tenth of a second. After the loss of all
//! processes that brings the first runs 0.4 s nearer.

use std::collections::BTreeSet;

use chicoryford_types::Millis;

use super::Planner;

impl Planner {
    /// Notes which hosts have been asked what they run. Steps that are held now are held no longer
    /// than until all of them have told.
    pub fn await_hosts(&mut self, hosts: BTreeSet<String>, now: Millis) {
        for work in self.steps.values_mut().filter(|work| work.held_until > now) {
            work.hosts_asked = true;
        }
        self.unreported_hosts = hosts;
    }

    /// Notes that a host has told of all its runs. One that was not asked yet tells when it
    /// connects, which is as good.
    pub fn record_host_reported(&mut self, host: &str) {
        if !self.unreported_hosts.remove(host) || !self.unreported_hosts.is_empty() {
            return;
        }
        for work in self.steps.values_mut().filter(|work| work.hosts_asked) {
            work.held_until = Millis::default();
        }
    }
}
