//! What this entry knows of endpoints that leave before the members have the news.

use std::collections::BTreeMap;
use std::sync::Arc;

use chicoryford_types::Config;
use chicoryford_types::Endpoint;
use chicoryford_types::Incarnation;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::config::StopTarget;

/// Milliseconds for which an agent's refusal counts, in case its endpoint resumes.
const REFUSAL_TTL_MS: u64 = 5_000;

/// Marks endpoints as leaving that planned stops or agents' refusals say so of.
///
/// News of a planned stop reaches an entry with configuration, and news of a drain with gossip,
/// either of them later than the first refusal. Without this an entry would send new work to a
/// leaving endpoint for as long as the slower one takes.
#[derive(Clone, Debug, Default)]
pub struct DrainingOverlay {
    refused: BTreeMap<Endpoint, (Incarnation, Millis)>,
}

impl DrainingOverlay {
    /// Takes in that an agent refused because its endpoint leaves.
    pub fn refused(&mut self, endpoint: Endpoint, incarnation: Incarnation, now: Millis) {
        self.refused.insert(endpoint, (incarnation, now));
    }

    /// Forgets old refusals; tells whether there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.refused.len();
        self.refused.retain(|_, (_, at)| now.since(*at) < REFUSAL_TTL_MS);
        self.refused.len() != before
    }

    /// Gives the members as they should be routed to.
    pub fn apply(&self, members: &Arc<Members>, config: &Config) -> Arc<Members> {
        if self.refused.is_empty() && config.stops.is_empty() {
            return members.clone();
        }
        let mut laid = Members::clone(members);
        for known in laid.known.values_mut() {
            let leaves = self.leaves(&known.member, config);
            if let Some(info) = &mut known.member.endpoint {
                info.draining |= leaves;
            }
        }
        Arc::new(laid)
    }

    fn leaves(&self, member: &Member, config: &Config) -> bool {
        let Some(info) = &member.endpoint else { return false };
        let refused =
            self.refused.get(&info.name).is_some_and(|(who, _)| *who == member.incarnation);
        let stops = config.stops.values().any(|stop| match &stop.target {
            StopTarget::Endpoint(target) => *target == info.name,
            StopTarget::Node(target) => *target == member.node,
            StopTarget::DataCentre(target) => *target == member.data_centre,
        });
        refused || stops
    }
}
