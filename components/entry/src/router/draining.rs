//! Marks leaving endpoints before membership reports them as draining.

use std::collections::BTreeMap;
use std::sync::Arc;

use chicoryford_types::Config;
use chicoryford_types::Endpoint;
use chicoryford_types::Incarnation;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::config::StopTarget;

/// Milliseconds for which an agent's refusal marks its endpoint as leaving. It is limited because
/// the endpoint may resume.
const REFUSAL_TTL_MS: u64 = 5_000;

/// Marks endpoints as draining if a planned stop names them or their agent has refused an attempt.
///
/// An entry learns of a planned stop with the configuration and of a drain by gossip, and both may
/// arrive after the first refusal. Without the overlay, an entry would send new work to a leaving
/// endpoint until the slower of the two arrives.
#[derive(Clone, Debug, Default)]
pub struct DrainingOverlay {
    refused: BTreeMap<Endpoint, (Incarnation, Millis)>,
}

impl DrainingOverlay {
    /// Records that an agent refused an attempt because its endpoint is leaving.
    pub fn record_refusal(&mut self, endpoint: Endpoint, incarnation: Incarnation, now: Millis) {
        self.refused.insert(endpoint, (incarnation, now));
    }

    /// Removes expired refusals. Returns whether there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.refused.len();
        self.refused.retain(|_, (_, at)| now.since(*at) < REFUSAL_TTL_MS);
        self.refused.len() != before
    }

    /// Returns the members with leaving endpoints marked as draining.
    pub fn apply(&self, members: &Arc<Members>, config: &Config) -> Arc<Members> {
        if self.refused.is_empty() && config.stops.is_empty() {
            return members.clone();
        }
        let mut marked = Members::clone(members);
        for known in marked.known.values_mut() {
            let is_leaving = self.is_leaving(&known.member, config);
            if let Some(info) = &mut known.member.endpoint {
                info.draining |= is_leaving;
            }
        }
        Arc::new(marked)
    }

    fn is_leaving(&self, member: &Member, config: &Config) -> bool {
        let Some(info) = &member.endpoint else { return false };
        let refused = self
            .refused
            .get(&info.name)
            .is_some_and(|(incarnation, _)| *incarnation == member.incarnation);
        let is_stopped = config.stops.values().any(|stop| match &stop.target {
            StopTarget::Endpoint(target) => *target == info.name,
            StopTarget::Node(target) => *target == member.node,
            StopTarget::DataCentre(target) => *target == member.data_centre,
        });
        refused || is_stopped
    }
}
