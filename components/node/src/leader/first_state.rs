//! What the leader sends to a new follower, encoded once for all followers that need the same.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::Registry;
use chicoryford_fleet::ranges::RangeCache;
use chicoryford_fleet::ranges::RangeContent;
use chicoryford_fleet::reachability::UnreachableSet;
use chicoryford_types::Fingerprint;

use crate::frame::encode;
use crate::message::LeaderMessage;
use crate::message::Update;

/// The state that all followers get, except for endpoints.
#[derive(Clone, PartialEq)]
pub(super) struct Common {
    /// The link addresses of the control processes.
    pub(super) controls: BTreeSet<SocketAddr>,
    /// The configuration in force.
    pub(super) config: Option<Arc<Config>>,
    /// Contents that are refused because they crash endpoints.
    pub(super) refused: BTreeSet<Fingerprint>,
    /// Contents that are suspected to crash endpoints.
    pub(super) suspected: BTreeSet<Fingerprint>,
    /// Endpoints that are marked as unreachable, if that is shared.
    pub(super) unreachable: Option<UnreachableSet>,
}

/// The encoded state for new followers.
#[derive(Default)]
pub(super) struct FirstState {
    /// All endpoints, for replicas.
    all: RangeCache,
    /// The endpoints that entries and hosts may call.
    callable: RangeCache,
    /// The services of those endpoints.
    services: BTreeSet<String>,
    common: Option<(Common, Bytes)>,
}

impl FirstState {
    /// Adds an endpoint, or replaces its state.
    pub(super) fn insert(&mut self, endpoint: &Endpoint) {
        self.all.insert(endpoint);
        if self.services.contains(&endpoint.announcement.service) {
            self.callable.insert(endpoint);
        }
    }

    /// Removes an endpoint.
    pub(super) fn remove(&mut self, id: &str) {
        self.all.remove(id);
        self.callable.remove(id);
    }

    /// Changes the services whose endpoints entries and hosts may call.
    pub(super) fn set_callable<'a>(
        &mut self,
        services: &BTreeSet<String>,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) {
        self.services.clone_from(services);
        self.callable = RangeCache::default();
        let callable =
            endpoints.filter(|endpoint| services.contains(&endpoint.announcement.service));
        callable.for_each(|endpoint| self.callable.insert(endpoint));
    }

    /// Returns the endpoints that a follower with these digests lacks.
    pub(super) fn lacking(
        &mut self,
        replica: bool,
        digests: &[u64],
        registry: &Registry,
    ) -> Vec<RangeContent> {
        let cache = if replica { &mut self.all } else { &mut self.callable };
        cache.lacking(digests, |ids| {
            let endpoints: Vec<&Endpoint> = ids.iter().filter_map(|id| registry.get(id)).collect();
            encode(&endpoints)
        })
    }

    /// Returns the frame with the other state, which completes a follower's first state.
    pub(super) fn encode_common(&mut self, common: Common) -> Bytes {
        if let Some((known, frame)) = &self.common
            && *known == common
        {
            return frame.clone();
        }
        let config = common.config.as_ref().map(|config| Arc::new(config.without_source()));
        let mut updates = vec![Update::Controls(common.controls.clone())];
        updates.extend(config.map(Update::Config));
        updates.push(Update::Refused(common.refused.clone()));
        updates.push(Update::Suspected(common.suspected.clone()));
        updates.extend(common.unreachable.clone().map(Update::Unreachable));
        let frame = encode(&LeaderMessage::Everything(updates));
        self.common = Some((common, frame.clone()));
        frame
    }
}
