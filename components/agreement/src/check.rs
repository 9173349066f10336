//! Invariant checks after every event, and the status report.

use crate::invariant::Invariant;
use crate::replica::Replica;
use crate::status::PeerStatus;
use crate::status::Role;
use crate::status::Status;

impl Replica {
    pub(crate) fn check_invariants(&mut self) {
        let holds = self.commit <= self.log.last().index;
        self.check(holds, Invariant::CommittedStays);
        if self.role == Role::Leader {
            let has_quorum =
                self.now.since(self.quorum_contact()) < self.settings.min_election_ms();
            self.check(has_quorum, Invariant::LeadsOnlyWithQuorum);
        }
    }

    /// Returns the status of the replica.
    pub fn status(&self) -> Status {
        let lease = self.leader_state.as_ref().map_or(0, |lead| lead.lease_until.since(self.now));
        let changed = self.memberships.last().map_or(0, |(index, _)| *index);
        Status {
            id: self.settings.id.clone(),
            role: self.reported_role(),
            epoch: self.hard.epoch,
            leader: self.leader.clone(),
            members: self.members().clone(),
            changing: changed > self.commit,
            last: self.log.last(),
            commit: self.commit,
            durable: self.durable.index,
            snapshot: self.snapshot.meta.last,
            lease_ms: lease,
            peers: self.peer_statuses(),
            violations: self.violations.count,
            last_violation: self.violations.last,
        }
    }

    fn reported_role(&self) -> Role {
        let uninitialized = self.role == Role::Follower && self.members().replicas.is_empty();
        if uninitialized { Role::Uninitialized } else { self.role }
    }

    fn peer_statuses(&self) -> Vec<PeerStatus> {
        let Some(lead) = &self.leader_state else { return Vec::new() };
        let peers = lead.peers.iter();
        peers
            .map(|(id, peer)| PeerStatus {
                id: id.clone(),
                matched: peer.matched,
                silent_ms: self.now.since(peer.last_contact),
                snapshot: peer.snapshot.is_some(),
            })
            .collect()
    }
}
