//! The leader's endpoint registry: announcements, liveness, and updates to members.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::endpoint::Effect;
use chicoryford_fleet::heartbeats::Heartbeat;

use crate::clock;
use crate::leader::Leader;
use crate::message::Answer;
use crate::message::Update;

impl Leader {
    pub(super) async fn announce(&self, announcement: Announcement) -> Answer {
        if self.registry.borrow().is_foreign(&announcement, self.config().as_deref()) {
            tracing::warn!(
                event = "announcement_foreign",
                endpoint = announcement.id,
                service = announcement.service
            );
            return Answer::Unknown;
        }
        let (id, draining) = (announcement.id.clone(), announcement.draining);
        let effect = self.registry.borrow_mut().announce(announcement, clock::now());
        if effect == Effect::Changed {
            // It may have restarted under its id.
            self.found_ended.borrow_mut().remove(&id);
        }
        self.publish_endpoint(&id, effect);
        if draining && !matches!(self.persist_departure(&id).await, Answer::Done) {
            return Answer::NotNow;
        }
        Answer::Heard
    }

    /// Records the endpoints whose unchanged announcements the control process on a VM has answered
    /// itself.
    pub fn record_heartbeats(&self, node: &str, heartbeats: &[Heartbeat]) {
        let mut registry = self.registry.borrow_mut();
        let mut plan = self.plan.borrow_mut();
        for heartbeat in registry.record_report(node, heartbeats, clock::now()) {
            plan.record_heartbeat(&heartbeat.id, heartbeat.sequence);
        }
    }

    pub(super) async fn leave(&self, id: &str) -> Answer {
        let effect = self.registry.borrow_mut().leave(id, clock::now());
        self.publish_endpoint(id, effect);
        self.persist_departure(id).await
    }

    /// Records the version of a model that an engine reported.
    pub fn record_version(&self, id: &str, model: &str, version: u64) {
        let effect = self.registry.borrow_mut().set_version(id, model, version);
        self.publish_endpoint(id, effect);
    }

    pub(super) fn publish_endpoint(&self, id: &str, effect: Effect) {
        if effect == Effect::Stale {
            return;
        }
        let Some(endpoint) = self.registry.borrow().get(id).cloned() else { return };
        if effect == Effect::Changed {
            self.first_state.borrow_mut().insert(&endpoint);
        }
        self.plan.borrow_mut().update_engine(&endpoint);
        let service = endpoint.announcement.service.clone();
        let update = Update::Endpoint(endpoint);
        self.context.forwarder.apply(&update);
        if effect == Effect::Changed {
            if let Update::Endpoint(endpoint) = &update {
                let announcement = &endpoint.announcement;
                tracing::info!(event = "endpoint_changed", endpoint = id,
                    service = announcement.service, standing = ?endpoint.status,
                    address = %announcement.address, born = announcement.started_ms,
                    sequence = announcement.sequence, models = ?announcement.models);
            }
            self.context.followers.broadcast_to_replicas(&update);
            if self.callable.borrow().contains(&service) {
                self.context.followers.broadcast_to_others(&update);
            }
            self.wake_planner.notify_one();
        }
    }

    /// Sends entries and hosts the endpoints that they may call under the new configuration but
    /// could not call under the previous one.
    ///
    /// No other endpoints are sent to them. An engine changes with each version of its weights, and
    /// sending thousands of engines to hundreds of members would take all of the leader's time,
    /// although only the leader sends work to engines.
    pub(super) fn publish_callable(&self, config: &Config) {
        let callable: BTreeSet<String> =
            config.called_services().into_iter().map(str::to_owned).collect();
        let before = self.callable.replace(callable.clone());
        if callable != before {
            self.first_state.borrow_mut().set_callable(&callable, self.registry.borrow().all());
        }
        for endpoint in self.registry.borrow().all() {
            let service = &endpoint.announcement.service;
            if callable.contains(service) && !before.contains(service) {
                self.context.followers.broadcast_to_others(&Update::Endpoint(endpoint.clone()));
            }
        }
    }

    /// Commits the set of known endpoints to the log if it differs from the logged one.
    pub(super) async fn persist_endpoints(&self) {
        let (live, gone) = self.registry.borrow().diff(&self.context.replica.state().endpoints);
        let is_logged = |endpoint: &Endpoint| {
            self.context.replica.state().endpoints.contains_key(&endpoint.announcement.id)
        };
        if gone.is_empty() && live.iter().all(is_logged) {
            return;
        }
        self.commit(Command::Know { live, gone }).await;
    }

    /// Records in the log that an endpoint leaves. Otherwise, a later leader that has not received the
    /// departure, or receives an announcement that was sent before it, would send it work again.
    pub(super) async fn persist_departure(&self, id: &str) -> Answer {
        let started_ms = self.registry.borrow().get(id).map(|known| known.announcement.started_ms);
        let is_recorded = {
            let state = self.context.replica.state();
            let departed = state.departed.get(id);
            departed.is_some_and(|known| started_ms.is_none_or(|at| known.started_ms >= at))
                && !state.endpoints.contains_key(id)
        };
        if is_recorded {
            return Answer::Done;
        }
        // Of an endpoint that is unknown here, no start is a later one.
        let started_ms = started_ms.unwrap_or(u64::MAX);
        self.commit(Command::Depart { id: id.to_owned(), started_ms }).await
    }

    pub(super) fn tick_registry(&self) {
        let (changed, forgotten) = self.registry.borrow_mut().tick(clock::now());
        for endpoint in changed {
            self.publish_endpoint(&endpoint.announcement.id, Effect::Changed);
        }
        for id in forgotten {
            self.plan.borrow_mut().remove_engine(&id);
            self.found_ended.borrow_mut().remove(&id);
            self.first_state.borrow_mut().remove(&id);
            let update = Update::Forgotten(id);
            self.context.forwarder.apply(&update);
            self.context.followers.broadcast(&update);
        }
    }

    /// Returns the number of endpoints by standing.
    pub fn endpoint_counts(&self) -> BTreeMap<String, i64> {
        let mut counts = BTreeMap::new();
        for endpoint in self.registry.borrow().all() {
            let standing = format!("{:?}", endpoint.status).to_lowercase();
            *counts.entry(standing).or_default() += 1;
        }
        counts
    }

    /// Returns the data centre of an endpoint, or an empty string if the endpoint is unknown.
    pub(super) fn data_centre(&self, id: &str) -> String {
        let registry = self.registry.borrow();
        registry
            .get(id)
            .map(|endpoint| endpoint.announcement.data_centre.clone())
            .unwrap_or_default()
    }
}
