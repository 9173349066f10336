//! Builds the status of a control process for operators.

use crate::replica::Driver;
use crate::status::ReplicaStatus;
use crate::status::Status;

impl Driver {
    pub(crate) fn status(&self) -> Status {
        let status = self.replica.status();
        let replicas = status.members.replicas.iter().map(|(id, seat)| {
            let peer = status.peers.iter().find(|peer| peer.id == *id);
            ReplicaStatus {
                node: id.node.clone(),
                identity: id.incarnation,
                address: seat.address.clone(),
                voter: seat.voter,
                lag: peer.map(|peer| status.last.index.saturating_sub(peer.matched)),
                silent_ms: peer.map(|peer| peer.silent_ms),
            }
        });
        let replicas = replicas.collect();
        let state = &self.applied.state;
        Status {
            voter: status.members.is_voter(&status.id),
            node: status.id.node,
            identity: status.id.incarnation,
            role: status.role,
            epoch: status.epoch,
            leader: status.leader.map(|id| id.node),
            committed: status.commit,
            applied: self.applied.last.index,
            position: state.config.at,
            replicas,
            sessions: state.sessions().map(|(n, session)| (n, session.node.clone())).collect(),
            weights: Vec::new(),
            lease_ms: status.lease_ms,
            received: 0,
            waiting: self.pending.len(),
            broken: status.violations + state.violations(),
            storage: self.storage.clone(),
        }
    }
}
