//! Endpoints at the leader: what they announce, and who is told.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::endpoint::Effect;
use chicoryford_fleet::hearing::Sign;

use crate::clock;
use crate::leader::Leader;
use crate::message::Answer;
use crate::message::Update;

impl Leader {
    pub(super) async fn announce(&self, said: Announcement) -> Answer {
        if self.registry.borrow().is_foreign(&said, self.config().as_deref()) {
            tracing::warn!(
                event = "announcement_foreign",
                endpoint = said.id,
                service = said.service
            );
            return Answer::Unknown;
        }
        let (id, draining) = (said.id.clone(), said.draining);
        let effect = self.registry.borrow_mut().announce(said, clock::now());
        self.spread(&id, effect);
        if draining && !matches!(self.forget_leaving(&id).await, Answer::Done) {
            return Answer::NotNow;
        }
        Answer::Heard
    }

    /// Takes in whom a control process has heard.
    pub fn record_signs(&self, signs: &[Sign]) {
        let now = clock::now();
        let mut registry = self.registry.borrow_mut();
        let mut plan = self.plan.borrow_mut();
        for sign in signs {
            if registry.heard(sign, now) {
                plan.heard(&sign.id, sign.sequence);
            }
        }
    }

    pub(super) async fn leave(&self, id: &str) -> Answer {
        let effect = self.registry.borrow_mut().leave(id, clock::now());
        self.spread(id, effect);
        self.forget_leaving(id).await
    }

    /// Notes the version of a model that an engine was seen to have.
    pub fn learn_version(&self, id: &str, model: &str, version: u64) {
        let effect = self.registry.borrow_mut().learn(id, model, version);
        self.spread(id, effect);
    }

    pub(super) fn spread(&self, id: &str, effect: Effect) {
        if effect == Effect::Old {
            return;
        }
        let Some(endpoint) = self.registry.borrow().get(id).cloned() else { return };
        self.plan.borrow_mut().observe(&endpoint);
        let service = endpoint.said.service.clone();
        let news = Update::Endpoint(endpoint);
        self.context.forwarder.apply(&news);
        if effect == Effect::Changed {
            if let Update::Endpoint(endpoint) = &news {
                let said = &endpoint.said;
                tracing::info!(event = "endpoint_changed", endpoint = id, service = said.service,
                    standing = ?endpoint.standing, address = %said.address, born = said.born,
                    sequence = said.sequence,
                    models = ?said.models);
            }
            self.context.followers.broadcast_to_replicas(&news);
            if self.called.borrow().contains(&service) {
                self.context.followers.broadcast_to_others(&news);
            }
            self.kick.notify_one();
        }
    }

    /// Tells entries and hosts of endpoints that they may call under a configuration and could not
    /// under the one before.
    ///
    /// They are told of no others. An engine changes with each of its weights, and thousands of them
    /// told to hundreds of members would take all the leader's time, for news of endpoints to which
    /// the leader alone sends work.
    pub(super) fn spread_called(&self, config: &Config) {
        let called: BTreeSet<String> =
            config.called_services().into_iter().map(str::to_owned).collect();
        let before = self.called.replace(called.clone());
        for endpoint in self.registry.borrow().all() {
            let service = &endpoint.said.service;
            if called.contains(service) && !before.contains(service) {
                self.context.followers.broadcast_to_others(&Update::Endpoint(endpoint.clone()));
            }
        }
    }

    /// Notes in the log which endpoints are known, if others are than are noted.
    pub(super) async fn know(&self) {
        let (live, gone) = self.registry.borrow().unlike(&self.context.replica.state().endpoints);
        let known = |endpoint: &Endpoint| {
            self.context.replica.state().endpoints.contains_key(&endpoint.said.id)
        };
        if gone.is_empty() && live.iter().all(known) {
            return;
        }
        self.commit(Command::Know { live, gone }).await;
    }

    /// Has the log forget an endpoint that leaves. A leader that is elected later and knows nobody
    /// who heard of it would otherwise send it work again.
    pub(super) async fn forget_leaving(&self, id: &str) -> Answer {
        if !self.context.replica.state().endpoints.contains_key(id) {
            return Answer::Done;
        }
        self.commit(Command::Know { live: Vec::new(), gone: vec![id.to_owned()] }).await
    }

    pub(super) fn tick_registry(&self) {
        let (changed, forgotten) = self.registry.borrow_mut().tick(clock::now());
        for endpoint in changed {
            self.spread(&endpoint.said.id, Effect::Changed);
        }
        for id in forgotten {
            self.plan.borrow_mut().forget(&id);
            let news = Update::Forgotten(id);
            self.context.forwarder.apply(&news);
            self.context.followers.broadcast(&news);
        }
    }

    /// Counts the endpoints by standing.
    pub fn endpoint_counts(&self) -> BTreeMap<String, i64> {
        let mut counts = BTreeMap::new();
        for endpoint in self.registry.borrow().all() {
            let standing = format!("{:?}", endpoint.standing).to_lowercase();
            *counts.entry(standing).or_default() += 1;
        }
        counts
    }

    /// Gives the data centre of an endpoint, as far as it is known.
    pub(super) fn data_centre(&self, id: &str) -> String {
        let registry = self.registry.borrow();
        registry.get(id).map(|endpoint| endpoint.said.data_centre.clone()).unwrap_or_default()
    }
}
