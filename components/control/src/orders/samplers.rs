//! The samplers, as listed in the membership view.

use std::collections::BTreeMap;

use chicoryford_types::Endpoint;
use chicoryford_types::EndpointKind;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_weights::SamplerStatus;

/// The samplers, each with the address of its agent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Samplers(pub BTreeMap<Endpoint, (SamplerStatus, String)>);

impl Samplers {
    /// Returns what each sampler announces, for the planner.
    pub fn statuses(&self) -> Vec<SamplerStatus> {
        self.0.values().map(|(status, _)| status.clone()).collect()
    }

    /// Returns the HTTP address of an endpoint's agent.
    pub fn address(&self, endpoint: &Endpoint) -> Option<&str> {
        self.0.get(endpoint).map(|(_, address)| address.as_str())
    }
}

/// Returns the model engines that are present. Those that are unhealthy or draining are included
/// as not ready.
///
/// Two processes may announce the same endpoint for a while after an agent was replaced by one with
/// another node name. The one that started last is used; otherwise orders could be sent to an agent
/// that no longer exists.
pub fn samplers(members: &Members) -> Samplers {
    let mut found = Samplers::default();
    for member in members.present() {
        let Some(status) = sampler_status(member) else { continue };
        let known_order =
            found.0.get(&status.endpoint).map(|(known, _)| (known.incarnation, known.sequence));
        if known_order.is_none_or(|known| known < (status.incarnation, status.sequence)) {
            found.0.insert(status.endpoint.clone(), (status, member.address.clone()));
        }
    }
    found
}

fn sampler_status(member: &Member) -> Option<SamplerStatus> {
    let info = member.endpoint.as_ref().filter(|info| info.kind == EndpointKind::Engine)?;
    Some(SamplerStatus {
        endpoint: info.name.clone(),
        incarnation: member.incarnation,
        sequence: member.announced,
        data_centre: member.data_centre.clone(),
        models: info.models.clone(),
        ready: info.healthy && !info.draining,
        source: info.gives.clone(),
    })
}
