//! What the planner knows of one endpoint.

use std::collections::BTreeMap;

use chicoryford_types::DataCentre;
use chicoryford_types::Endpoint;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Version;

/// An endpoint as its agent announces it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SamplerStatus {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The incarnation of its agent.
    pub incarnation: Incarnation,
    /// The number of the agent's announcement; the greatest holds.
    pub sequence: u64,
    /// Where it stands; a holder there feeds it first.
    pub data_centre: DataCentre,
    /// The models that it serves, each with the version that it reported.
    pub models: BTreeMap<Model, Version>,
    /// Whether it works and is not leaving.
    pub ready: bool,
    /// Where it gives its weights to others, if its engine offers that.
    pub source: Option<String>,
}

/// Where an order in progress fetches from.
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
    /// When to ask how it goes; none while an answer is awaited.
    pub(crate) poll_at: Option<Millis>,
}

/// An endpoint and its order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sampler {
    pub(crate) status: SamplerStatus,
    /// The versions it has, as announced or as confirmed by replies, whichever came last.
    pub(crate) versions: BTreeMap<Model, Version>,
    pub(crate) order: Option<RunningOrder>,
    pub(crate) failures: u32,
    /// Why it failed last.
    pub(crate) reason: String,
    pub(crate) retry_at: Millis,
    /// Until when versions count that were confirmed by replies but are not announced yet.
    pub(crate) confirmed_until: Option<Millis>,
    /// Whether its last order ran out of time, so that it may be out of service still.
    pub(crate) timed_out: bool,
    /// The version at which it was given up.
    pub(crate) given_up: Option<(Model, Version)>,
}

impl Sampler {
    pub(crate) fn version_of(&self, model: &Model) -> Version {
        self.versions.get(model).copied().unwrap_or_default()
    }

    /// Tells whether it can be expected to serve just now.
    pub(crate) fn is_serving(&self) -> bool {
        self.status.ready && self.order.is_none() && !self.timed_out
    }

    /// Stops believing confirmed versions that were not announced in time.
    ///
    /// An engine can lose a swap right after its agent saw it succeed. If it falls back before
    /// the agent's next look, its announcement does not change, and it would stay on old weights
    /// for good; samples would show it.
    pub(crate) fn expire_confirmed(&mut self, now: Millis) {
        if self.confirmed_until.is_some_and(|until| now >= until) {
            self.confirmed_until = None;
            self.versions = self.status.models.clone();
        }
    }

    /// Takes a newer announcement.
    ///
    /// A version that fell means that the engine lost its weights, most likely by a restart; it
    /// is held for true, and the endpoint is ordered the newest version again.
    pub(crate) fn update(&mut self, offer: SamplerStatus) {
        let (old, new) = (&self.status, &offer);
        if (new.incarnation, new.sequence) > (old.incarnation, old.sequence) {
            self.versions = offer.models.clone();
            self.confirmed_until = None;
        }
        // The order of an agent that restarted is lost, and its next incarnation refuses it.
        if new.incarnation > old.incarnation {
            self.order = None;
        }
        let recovered = new.incarnation > old.incarnation || (new.ready && !old.ready);
        if recovered {
            self.failures = 0;
            self.timed_out = false;
            self.given_up = None;
        }
        self.status = offer;
    }
}
