//! The planner's state of one endpoint.

use std::collections::BTreeMap;

use chicoryford_types::DataCentre;
use chicoryford_types::Endpoint;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Version;

/// The status of an endpoint, as announced by its agent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SamplerStatus {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The incarnation of its agent.
    pub incarnation: Incarnation,
    /// The sequence number of the announcement; the highest one counts.
    pub sequence: u64,
    /// Its data centre; holders there are preferred as sources.
    pub data_centre: DataCentre,
    /// Its models, each with the version that it reported.
    pub models: BTreeMap<Model, Version>,
    /// Whether it is healthy and not draining.
    pub ready: bool,
    /// The address at which other endpoints can fetch its weights, if its engine supports it.
    pub source: Option<String>,
}

/// Where an order in progress fetches the weights from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LoadSource {
    Store,
    Holder(Endpoint),
}

/// An order in progress.
#[derive(Clone, Debug)]
pub(crate) struct RunningOrder {
    pub(crate) number: u64,
    pub(crate) model: Model,
    pub(crate) version: Version,
    pub(crate) sources: Vec<String>,
    pub(crate) fetch_from: LoadSource,
    pub(crate) deadline: Millis,
    /// When to poll its state; none while a reply is pending.
    pub(crate) poll_at: Option<Millis>,
}

/// An endpoint and its order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sampler {
    pub(crate) status: SamplerStatus,
    /// Its versions, from the last announcement or confirming reply, whichever arrived last.
    pub(crate) versions: BTreeMap<Model, Version>,
    pub(crate) order: Option<RunningOrder>,
    pub(crate) failures: u32,
    /// The reason of the last failure.
    pub(crate) reason: String,
    pub(crate) retry_at: Millis,
    /// Until when versions count that a reply confirmed but that are not announced yet.
    pub(crate) confirmed_until: Option<Millis>,
    /// Whether its last order timed out, so that it may still be out of service.
    pub(crate) timed_out: bool,
    /// The version that the planner gave up on for this endpoint.
    pub(crate) given_up: Option<(Model, Version)>,
}

impl Sampler {
    pub(crate) fn version_of(&self, model: &Model) -> Version {
        self.versions.get(model).copied().unwrap_or_default()
    }

    /// Returns whether it is expected to serve requests now.
    pub(crate) fn is_serving(&self) -> bool {
        self.status.ready && self.order.is_none() && !self.timed_out
    }

    /// Drops confirmed versions that were not announced in time.
    ///
    /// An engine can lose a swap right after its agent observed its success. If it returns to the
    /// old weights before the agent checks again, its announcement does not change. The endpoint
    /// would stay on old weights for good, which its samples would show.
    pub(crate) fn expire_confirmed(&mut self, now: Millis) {
        if self.confirmed_until.is_some_and(|until| now >= until) {
            self.confirmed_until = None;
            self.versions = self.status.models.clone();
        }
    }

    /// Applies a newer announcement.
    ///
    /// A lower version means that the engine lost its weights, most likely by a restart. It is
    /// accepted, and the endpoint is ordered to load the newest version again.
    pub(crate) fn update(&mut self, status: SamplerStatus) {
        let (old, new) = (&self.status, &status);
        if (new.incarnation, new.sequence) > (old.incarnation, old.sequence) {
            self.versions = status.models.clone();
            self.confirmed_until = None;
        }
        // The order of an agent that restarted is lost, and its next incarnation refuses it.
        if new.incarnation > old.incarnation {
            self.order = None;
        }
        let has_recovered = new.incarnation > old.incarnation || (new.ready && !old.ready);
        if has_recovered {
            self.failures = 0;
            self.timed_out = false;
            self.given_up = None;
        }
        self.status = status;
    }
}
