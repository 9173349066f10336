//! Endpoints as they announce themselves.
//!
//! Nobody else keeps a list of them. Announcements come late, out of order, and even after their
//! sender has ended and another endpoint has taken over its address.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chicoryford_types::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::heartbeats::Heartbeat;

/// What an endpoint says of itself.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Announcement {
    /// The incarnation. Most starts have a new one; `born` tells those apart that share one.
    pub id: String,
    /// The Unix millisecond of its start, by its own clock; zero if it does not say. An endpoint may
    /// start again under its old identity, with nothing of before, and counts anew from then on.
    pub started_ms: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// The version of each model that it holds.
    pub models: BTreeMap<String, u64>,
    /// Counts its announcements since its start.
    pub sequence: u64,
}

impl Announcement {
    /// Tells whether this says just what another one said, but for its number.
    pub fn is_repeat_of(&self, other: &Self) -> bool {
        Self { sequence: other.sequence, ..self.clone() } == *other
    }
}

/// Whether an endpoint may be given work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum EndpointStatus {
    /// It may.
    Ready,
    /// It leaves: no new work, but what it has may finish.
    Draining,
    /// It has said that it is gone, though it may still finish what it has.
    Gone,
    /// Nothing was heard of it for so long that it has probably crashed.
    Silent,
}

/// What is known of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Endpoint {
    /// What it last said.
    pub announcement: Announcement,
    /// Whether it may be given work.
    pub status: EndpointStatus,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Something that others must be told.
    Changed,
    /// Nothing but the time at which it was heard.
    Refreshed,
    /// Nothing: it was older than what is known, or its endpoint is gone.
    Stale,
}

struct Held {
    endpoint: Endpoint,
    heard: Millis,
}

/// Times after which the registry changes its mind.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Milliseconds of silence after which an endpoint gets no more work. Announcements come
    /// about every 1.2 s and may come seconds late.
    pub silent_ms: u64,
    /// Milliseconds after which a silent or gone endpoint is forgotten. Until then its late
    /// announcements are recognised as such.
    pub forget_ms: u64,
    /// Milliseconds for which an endpoint that nobody knew when it said that it is gone is not believed
    /// to be there: its announcements come late by seconds, not by tens of them.
    pub left_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { silent_ms: 6_000, forget_ms: 60_000, left_ms: 12_000 }
    }
}

/// All endpoints that are known, kept by the leader.
#[derive(Default)]
pub struct Registry {
    settings: Settings,
    entries: BTreeMap<String, Held>,
    /// Endpoints that were not known when they said that they are gone, and when they said so.
    left: BTreeMap<String, Millis>,
}

impl Registry {
    /// Starts from what another process knew; all count as heard now, since nothing tells when
    /// they were.
    pub fn from_known(
        settings: Settings,
        known: impl Iterator<Item = Endpoint>,
        now: Millis,
    ) -> Self {
        let held =
            known.map(|endpoint| (endpoint.announcement.id.clone(), Held { endpoint, heard: now }));
        Self { settings, entries: held.collect(), left: BTreeMap::new() }
    }

    /// Tells whether an announcement names a service that the configuration does not. Somebody else
    /// may have written it, even under the identity of an endpoint that is known; it must then
    /// change nothing. Without a configuration nothing can be told yet.
    pub fn is_foreign(&self, said: &Announcement, config: Option<&Config>) -> bool {
        let Some(config) = config else { return false };
        let known =
            self.get(&said.id).is_some_and(|known| known.announcement.service == said.service);
        !known && config.services.iter().all(|service| service.name != said.service)
    }

    /// Takes in an announcement.
    pub fn announce(&mut self, said: Announcement, now: Millis) -> Effect {
        let standing = if said.draining { EndpointStatus::Draining } else { EndpointStatus::Ready };
        let Some(held) = self.entries.get_mut(&said.id) else {
            if self.left.contains_key(&said.id) {
                return Effect::Stale;
            }
            let id = said.id.clone();
            let endpoint = Endpoint { announcement: said, status: standing };
            self.entries.insert(id, Held { endpoint, heard: now });
            return Effect::Changed;
        };
        let before = &held.endpoint;
        // Its numbers begin anew with each start. Went the numbers alone, an endpoint that started
        // again under its identity would be taken for its own past, and get no work until it had
        // announced itself as often as before.
        let started_again = said.started_ms > before.announcement.started_ms;
        let gone = before.status == EndpointStatus::Gone;
        let late = said.started_ms < before.announcement.started_ms
            || said.sequence <= before.announcement.sequence;
        if !started_again && (gone || late) {
            return Effect::Stale;
        }
        held.heard = now;
        // An endpoint that leaves does not come back without a new start; a word that it is ready
        // is one that was overtaken.
        let leaves = before.status == EndpointStatus::Draining;
        if !started_again && leaves && standing == EndpointStatus::Ready {
            return Effect::Stale;
        }
        let changed = !said.is_repeat_of(&before.announcement) || before.status != standing;
        held.endpoint = Endpoint { announcement: said, status: standing };
        if changed { Effect::Changed } else { Effect::Refreshed }
    }

    /// Takes in that a control process has heard an endpoint say again what is known; tells whether
    /// that is news of it. A sign changes nothing but the time at which it was heard: one of an endpoint
    /// that leaves, that was taken for silent or that started again meanwhile is older than that.
    pub fn record_heartbeat(&mut self, sign: &Heartbeat, now: Millis) -> bool {
        let Some(held) = self.entries.get_mut(&sign.id) else { return false };
        let said = &mut held.endpoint.announcement;
        let ready = held.endpoint.status == EndpointStatus::Ready;
        if !ready || sign.started_ms != said.started_ms || sign.sequence <= said.sequence {
            return false;
        }
        said.sequence = sign.sequence;
        held.heard = held.heard.max(Millis(now.0.saturating_sub(sign.age_ms)));
        true
    }

    /// Notes that an endpoint says it is gone. One that is not known is noted too, so that an
    /// announcement of it that comes later is not believed.
    pub fn leave(&mut self, id: &str, now: Millis) -> Effect {
        let Some(held) = self.entries.get_mut(id) else {
            self.left.insert(id.to_owned(), now);
            return Effect::Stale;
        };
        held.heard = now;
        if held.endpoint.status == EndpointStatus::Gone {
            return Effect::Stale;
        }
        held.endpoint.status = EndpointStatus::Gone;
        Effect::Changed
    }

    /// Notes what was learned of an endpoint's weights other than by its announcements.
    pub fn set_version(&mut self, id: &str, model: &str, version: u64) -> Effect {
        let Some(held) = self.entries.get_mut(id) else { return Effect::Stale };
        let known = held.endpoint.announcement.models.insert(model.to_owned(), version);
        if known == Some(version) { Effect::Refreshed } else { Effect::Changed }
    }

    /// Lets time pass. Gives the endpoints that changed, and those that are forgotten.
    pub fn tick(&mut self, now: Millis) -> (Vec<Endpoint>, Vec<String>) {
        let mut changed = Vec::new();
        for held in self.entries.values_mut() {
            let silent = now.since(held.heard) >= self.settings.silent_ms;
            let live =
                matches!(held.endpoint.status, EndpointStatus::Ready | EndpointStatus::Draining);
            if silent && live {
                held.endpoint.status = EndpointStatus::Silent;
                changed.push(held.endpoint.clone());
            }
        }
        let left_ms = self.settings.left_ms;
        self.left.retain(|_, left| now.since(*left) < left_ms);
        let old = |held: &Held| now.since(held.heard) >= self.settings.forget_ms;
        let forgotten: Vec<String> =
            self.entries.iter().filter(|(_, held)| old(held)).map(|(id, _)| id.clone()).collect();
        for id in &forgotten {
            self.entries.remove(id);
        }
        (changed, forgotten)
    }

    /// Compares with the endpoints that are noted: gives those that may be given work and are new or
    /// otherwise than noted, and those noted that may not any more.
    pub fn diff(&self, noted: &BTreeMap<String, Endpoint>) -> (Vec<Endpoint>, Vec<String>) {
        let ready = |id: &str| self.get(id).filter(|known| known.status == EndpointStatus::Ready);
        let same = |known: &Endpoint| {
            noted
                .get(&known.announcement.id)
                .is_some_and(|noted| known.announcement.is_repeat_of(&noted.announcement))
        };
        let live = self.all().filter(|known| known.status == EndpointStatus::Ready && !same(known));
        let gone = noted.keys().filter(|id| ready(id).is_none());
        (live.cloned().collect(), gone.cloned().collect())
    }

    /// Gives an endpoint.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.entries.get(id).map(|held| &held.endpoint)
    }

    /// Gives all endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().map(|held| &held.endpoint)
    }
}
