//! Registry of endpoints, built from their announcements.
//!
//! There is no other list of endpoints. Announcements may be late, out of order, or arrive after
//! their sender has stopped and another endpoint uses its address.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::net::SocketAddr;

use chicoryford_types::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::heartbeats::Heartbeat;
use crate::reporters::ReporterId;
use crate::reporters::Reporters;
use crate::state::Departed;

/// What an endpoint announces about itself.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Announcement {
    /// The id of the incarnation. Most restarts get a new one; `started_ms` distinguishes those
    /// that share an id.
    pub id: String,
    /// The start time as Unix milliseconds by its own clock, or zero if unknown. An endpoint may
    /// restart under its previous id; it has lost its state then and its `sequence` starts again.
    pub started_ms: u64,
    /// The service that it belongs to.
    pub service: String,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to stop.
    pub draining: bool,
    /// The version of each model that it holds.
    pub models: BTreeMap<String, u64>,
    /// The number of the announcement, counted since its start.
    pub sequence: u64,
}

impl Announcement {
    /// Returns whether this announcement equals another one except for its sequence number.
    pub fn is_repeat_of(&self, other: &Self) -> bool {
        self.state() == other.state()
    }

    /// Returns everything but the sequence number, which changes with each announcement.
    pub fn state(&self) -> impl Hash + PartialEq {
        let Self {
            id,
            started_ms,
            service,
            address,
            data_centre,
            slots,
            draining,
            models,
            sequence: _,
        } = self;
        (id, started_ms, service, address, data_centre, slots, draining, models)
    }
}

/// Whether an endpoint may be given work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub enum EndpointStatus {
    /// It may be given work.
    Ready,
    /// It is about to stop: it gets no new work but may finish its current work.
    Draining,
    /// It has announced that it is gone, though it may still finish its current work.
    Gone,
    /// No announcement has arrived for so long that it has probably crashed.
    Silent,
}

/// An endpoint and its status.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Endpoint {
    /// Its last announcement.
    pub announcement: Announcement,
    /// Whether it may be given work.
    pub status: EndpointStatus,
}

/// The effect of an announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// It changed something that other processes must be informed of.
    Changed,
    /// It changed only the time of the last announcement.
    Refreshed,
    /// It was ignored, because it is older than the last one or its endpoint is gone.
    Stale,
}

/// An endpoint and the time of its last announcement or heartbeat.
struct Entry {
    endpoint: Endpoint,
    last_heard: Millis,
    /// The control process that last reported it.
    reporter: Option<ReporterId>,
}

/// An endpoint that has left and has no entry.
#[derive(Clone, Copy, Debug)]
struct Left {
    since: Millis,
    /// When it started, by its own clock; `None` if unknown.
    started_ms: Option<u64>,
}

impl Entry {
    fn new(endpoint: Endpoint, now: Millis) -> Self {
        Self { endpoint, last_heard: now, reporter: None }
    }
}

/// Timeouts of the registry.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Milliseconds without announcements after which an endpoint gets no more work. Announcements
    /// are sent about every 1.2 s and may be late by seconds.
    pub silent_ms: u64,
    /// Milliseconds after which a silent or gone endpoint is removed. Until then, late
    /// announcements are recognised as such.
    pub forget_ms: u64,
    /// Milliseconds for which announcements of an endpoint are ignored that was unknown when it
    /// announced that it is gone. Its announcements may be late by seconds, but not by tens of
    /// seconds.
    pub left_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { silent_ms: 6_000, forget_ms: 60_000, left_ms: 12_000 }
    }
}

/// All known endpoints, kept by the leader.
#[derive(Default)]
pub struct Registry {
    settings: Settings,
    entries: BTreeMap<String, Entry>,
    /// Endpoints that have left and have no entry.
    left: BTreeMap<String, Left>,
    /// The control processes that report heartbeats.
    reporters: Reporters,
}

impl Registry {
    /// Creates a registry from the endpoints known to another process. All of them count as
    /// announced at `now`, as the actual times are unknown.
    pub fn from_known(
        settings: Settings,
        known: impl Iterator<Item = Endpoint>,
        now: Millis,
    ) -> Self {
        let entries = known
            .map(|endpoint| (endpoint.announcement.id.clone(), Entry::new(endpoint, now)))
            .collect();
        Self { settings, entries, ..Self::default() }
    }

    /// Adopts endpoints whose departure was recorded under an earlier leader, so that their late
    /// announcements are ignored.
    pub fn adopt_departed(&mut self, departed: &BTreeMap<String, Departed>, now: Millis) {
        for (id, Departed { started_ms, .. }) in departed {
            let Some(entry) = self.entries.get_mut(id) else {
                self.left.insert(id.clone(), Left { since: now, started_ms: Some(*started_ms) });
                continue;
            };
            let Endpoint { announcement, status } = &mut entry.endpoint;
            if announcement.started_ms <= *started_ms && *status == EndpointStatus::Ready {
                *status = EndpointStatus::Gone;
            }
        }
    }

    /// Returns the control processes that report heartbeats.
    pub fn reporters(&mut self) -> &mut Reporters {
        &mut self.reporters
    }

    /// Returns whether an announcement names a service that is not in the configuration. It may
    /// come from another sender, even if it has the id of a known endpoint, and must then be
    /// ignored. Without a configuration, this cannot be determined, so the result is false.
    pub fn is_foreign(&self, announcement: &Announcement, config: Option<&Config>) -> bool {
        let Some(config) = config else { return false };
        let known = self
            .get(&announcement.id)
            .is_some_and(|known| known.announcement.service == announcement.service);
        !known && config.services.iter().all(|service| service.name != announcement.service)
    }

    /// Records an announcement and returns its effect.
    pub fn announce(&mut self, announcement: Announcement, now: Millis) -> Effect {
        let status =
            if announcement.draining { EndpointStatus::Draining } else { EndpointStatus::Ready };
        let Some(entry) = self.entries.get_mut(&announcement.id) else {
            // One that has started again since has not left.
            let is_late = |left: &Left| {
                left.started_ms.is_none_or(|started_ms| announcement.started_ms <= started_ms)
            };
            if self.left.get(&announcement.id).is_some_and(is_late) {
                return Effect::Stale;
            }
            let id = announcement.id.clone();
            let endpoint = Endpoint { announcement, status };
            self.entries.insert(id, Entry::new(endpoint, now));
            return Effect::Changed;
        };
        let previous = &entry.endpoint;
        // Sequence numbers start again with every restart. Without the comparison of start times,
        // announcements of an endpoint restarted under its previous id would be considered stale,
        // and it would get no work until it had sent as many of them as before.
        let restarted = announcement.started_ms > previous.announcement.started_ms;
        let is_gone = previous.status == EndpointStatus::Gone;
        let is_late = announcement.started_ms < previous.announcement.started_ms
            || announcement.sequence <= previous.announcement.sequence;
        if !restarted && (is_gone || is_late) {
            return Effect::Stale;
        }
        entry.last_heard = now;
        // A draining endpoint becomes ready only by a restart; an announcement that it is ready was
        // sent before it started draining.
        let was_draining = previous.status == EndpointStatus::Draining;
        if !restarted && was_draining && status == EndpointStatus::Ready {
            return Effect::Stale;
        }
        let changed =
            !announcement.is_repeat_of(&previous.announcement) || previous.status != status;
        entry.endpoint = Endpoint { announcement, status };
        if changed { Effect::Changed } else { Effect::Refreshed }
    }

    /// Records a heartbeat that a control process received and returns whether it is newer than the
    /// last announcement. A heartbeat only updates the time of the last announcement. It is
    /// outdated if the endpoint has since started draining, become silent or restarted.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Millis) -> bool {
        let Some(entry) = self.entries.get_mut(&heartbeat.id) else { return false };
        let announcement = &mut entry.endpoint.announcement;
        let ready = entry.endpoint.status == EndpointStatus::Ready;
        if !ready
            || heartbeat.started_ms != announcement.started_ms
            || heartbeat.sequence <= announcement.sequence
        {
            return false;
        }
        announcement.sequence = heartbeat.sequence;
        entry.last_heard = entry.last_heard.max(Millis(now.0.saturating_sub(heartbeat.age_ms)));
        true
    }

    /// Records the heartbeats that the control process on a VM reports, and returns those that are
    /// newer than the last announcement.
    pub fn record_report<'a>(
        &mut self,
        node: &str,
        heartbeats: &'a [Heartbeat],
        now: Millis,
    ) -> Vec<&'a Heartbeat> {
        let reporter = self.reporters.record(node, now);
        let mut newer = Vec::new();
        for heartbeat in heartbeats {
            if !self.record_heartbeat(heartbeat, now) {
                continue;
            }
            if let Some(entry) = self.entries.get_mut(&heartbeat.id) {
                entry.reporter = Some(reporter);
            }
            newer.push(heartbeat);
        }
        newer
    }

    /// Records that an endpoint announced that it is gone. This is also recorded for an unknown
    /// endpoint, so that its late announcements are ignored.
    pub fn leave(&mut self, id: &str, now: Millis) -> Effect {
        let Some(entry) = self.entries.get_mut(id) else {
            self.left.entry(id.to_owned()).or_insert(Left { since: now, started_ms: None });
            return Effect::Stale;
        };
        entry.last_heard = now;
        if entry.endpoint.status == EndpointStatus::Gone {
            return Effect::Stale;
        }
        entry.endpoint.status = EndpointStatus::Gone;
        Effect::Changed
    }

    /// Records the version of an endpoint's model, learned by other means than an announcement.
    pub fn set_version(&mut self, id: &str, model: &str, version: u64) -> Effect {
        let Some(entry) = self.entries.get_mut(id) else { return Effect::Stale };
        let known = entry.endpoint.announcement.models.insert(model.to_owned(), version);
        if known == Some(version) { Effect::Refreshed } else { Effect::Changed }
    }

    /// Applies the timeouts and returns the endpoints that changed and the ids of those that were
    /// removed.
    pub fn tick(&mut self, now: Millis) -> (Vec<Endpoint>, Vec<String>) {
        self.reporters.tick(now);
        let mut changed = Vec::new();
        for entry in self.entries.values_mut() {
            let since = self.reporters.silent_since(entry.last_heard, entry.reporter);
            let is_silent = now.since(since) >= self.settings.silent_ms;
            let is_active =
                matches!(entry.endpoint.status, EndpointStatus::Ready | EndpointStatus::Draining);
            if is_silent && is_active {
                entry.endpoint.status = EndpointStatus::Silent;
                changed.push(entry.endpoint.clone());
            }
        }
        let left_ms = self.settings.left_ms;
        self.left.retain(|_, left| now.since(left.since) < left_ms);
        let is_expired = |entry: &Entry| {
            matches!(entry.endpoint.status, EndpointStatus::Gone | EndpointStatus::Silent)
                && now.since(entry.last_heard) >= self.settings.forget_ms
        };
        let removed: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &removed {
            self.entries.remove(id);
        }
        (changed, removed)
    }

    /// Compares the registry with the endpoints recorded in the log. Returns ready endpoints that
    /// are new or differ from their record, and the ids of recorded endpoints that are no longer
    /// ready.
    pub fn diff(&self, recorded: &BTreeMap<String, Endpoint>) -> (Vec<Endpoint>, Vec<String>) {
        let ready_endpoint =
            |id: &str| self.get(id).filter(|known| known.status == EndpointStatus::Ready);
        let is_unchanged = |known: &Endpoint| {
            recorded
                .get(&known.announcement.id)
                .is_some_and(|recorded| known.announcement.is_repeat_of(&recorded.announcement))
        };
        let live = self
            .all()
            .filter(|known| known.status == EndpointStatus::Ready && !is_unchanged(known));
        let gone = recorded.keys().filter(|id| ready_endpoint(id).is_none());
        (live.cloned().collect(), gone.cloned().collect())
    }

    /// Returns an endpoint.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.entries.get(id).map(|entry| &entry.endpoint)
    }

    /// Returns all endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().map(|entry| &entry.endpoint)
    }
}
