//! A leader, members and endpoints of the tests.

use std::collections::BTreeMap;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Registry;
use chicoryford_fleet::endpoint::Settings;
use chicoryford_fleet::pick::Picker;
use chicoryford_fleet::reachability::LocalReachability;
use chicoryford_fleet::reachability::ReachabilityTracker;
use chicoryford_fleet::reachability::UnreachableSet;
use chicoryford_types::Millis;

pub fn endpoint(id: &str, service: &str, started_ms: u64) -> Endpoint {
    let announcement = Announcement {
        id: id.to_owned(),
        started_ms,
        service: service.to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "z".to_owned(),
        slots: 6,
        draining: false,
        models: BTreeMap::new(),
        sequence: 1,
    };
    Endpoint { announcement, status: EndpointStatus::Ready }
}

pub fn registry(endpoints: &[Endpoint]) -> Registry {
    Registry::from_known(Settings::default(), endpoints.iter().cloned(), Millis(0))
}

/// Creates the endpoints "e0" to "eN" of the service "desk".
pub fn desk(count: usize) -> Vec<Endpoint> {
    (0..count).map(|number| endpoint(&format!("e{number}"), "desk", 1)).collect()
}

pub struct Leader {
    pub tracker: ReachabilityTracker,
    pub registry: Registry,
    pub endpoints: Vec<Endpoint>,
}

impl Leader {
    pub fn new(endpoints: Vec<Endpoint>) -> Self {
        let registry = registry(&endpoints);
        Self { tracker: ReachabilityTracker::default(), registry, endpoints }
    }

    pub fn report(&mut self, reporter: &str, id: &str, now: u64) {
        let endpoint = self.registry.get(id).unwrap();
        self.tracker.record_unreachable(reporter, endpoint, 1, Millis(now));
    }

    /// Reports an endpoint in the name of two processes, which is enough for it to be marked.
    pub fn report_by_two(&mut self, id: &str, now: u64) {
        self.report("a", id, now);
        self.report("b", id, now);
    }

    /// Updates the marks and returns the ids of the marked endpoints.
    pub fn marked(&mut self, now: u64) -> Vec<String> {
        self.tracker.update(&self.registry, 2, Millis(now));
        let set = self.tracker.take_broadcast(2, Millis(now));
        let set = set.unwrap_or_else(|| self.tracker.published().clone());
        set.endpoints.into_keys().collect()
    }
}

/// Creates a picker with the endpoints of the desk, in a process that shares reachability.
pub fn picker(endpoints: usize, seed: u64) -> Picker {
    picker_with(true, endpoints, seed)
}

/// Creates a picker with the endpoints of the desk.
pub fn picker_with(shared_reachability: bool, endpoints: usize, seed: u64) -> Picker {
    let policy = Policy { shared_reachability, ..Policy::default() };
    let mut picker = Picker::new(seed).with_policy(policy);
    desk(endpoints).iter().for_each(|endpoint| picker.observe(endpoint));
    picker
}

pub fn member(number: usize) -> LocalReachability {
    let mut member = LocalReachability::new(number as u64);
    member.set_enabled(true);
    member
}

pub fn set(ids: &[&str]) -> UnreachableSet {
    let endpoints = ids.iter().map(|id| ((*id).to_owned(), 1)).collect();
    UnreachableSet { endpoints, probe_ms: 1_000 }
}
