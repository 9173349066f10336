//! Endpoints that cannot be connected to: reported by members, and broadcast to all of them.

use std::rc::Weak;
use std::time::Duration;

use chicoryford_fleet::reachability::Reason;
use chicoryford_fleet::reachability::Transition;
use chicoryford_fleet::reachability::UnreachableSet;

use crate::clock;
use crate::leader::Leader;
use crate::message::Update;

/// Interval between evaluations of the reports. Each process makes further attempts at an
/// unreachable endpoint until the leader has marked it.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);

impl Leader {
    /// Records that a process could not connect to an endpoint.
    pub fn record_unreachable(&self, node: &str, id: &str, started_ms: u64) {
        if !self.shares_reachability() {
            return;
        }
        let registry = self.registry.borrow();
        let Some(endpoint) = registry.get(id) else { return };
        // The leader itself decides where samples run, so engines are of no interest to members.
        if self.callable.borrow().contains(&endpoint.announcement.service) {
            let mut tracker = self.reachability.borrow_mut();
            tracker.record_unreachable(node, endpoint, started_ms, clock::now());
        }
    }

    /// Records that a process connected to an endpoint that was considered unreachable.
    pub fn record_reachable(&self, node: &str, id: &str, started_ms: u64) {
        let mut tracker = self.reachability.borrow_mut();
        let cleared = tracker.record_reachable(node, id, started_ms, clock::now());
        cleared.iter().for_each(log_transition);
    }

    /// Returns the number of endpoints that are marked as unreachable.
    pub fn unreachable_count(&self) -> usize {
        self.reachability.borrow().marked_count()
    }

    /// Returns the set for new followers, or `None` if it is not shared.
    pub(super) fn unreachable_set(&self) -> Option<UnreachableSet> {
        self.shares_reachability().then(|| self.reachability.borrow().published().clone())
    }

    fn shares_reachability(&self) -> bool {
        self.context.settings.policy.shared_reachability
    }

    /// Evaluates the reports, and broadcasts the set if it has changed.
    fn update_reachability(&self) {
        let (now, followers) = (clock::now(), &self.context.followers);
        let processes = followers.count_members();
        let mut tracker = self.reachability.borrow_mut();
        let transitions = tracker.update(&self.registry.borrow(), processes, now);
        transitions.iter().for_each(log_transition);
        if let Some(set) = tracker.take_broadcast(processes, now) {
            followers.broadcast(&Update::Unreachable(set));
        }
    }
}

fn log_transition(transition: &Transition) {
    let Transition { endpoint, service, reason, reporters } = transition;
    let reporters = reporters.join(",");
    if *reason == Reason::Reported {
        tracing::warn!(event = "endpoint_unreachable", endpoint, service, reporters);
    } else {
        tracing::info!(event = "endpoint_reachable", endpoint, service, reporters, why = ?reason);
    }
}

/// Evaluates the reports while this term lasts.
pub(super) async fn run(leader: Weak<Leader>) {
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        let Some(leader) = leader.upgrade() else { return };
        if !leader.shares_reachability() {
            return;
        }
        if leader.leads() {
            leader.update_reachability();
        }
    }
}
