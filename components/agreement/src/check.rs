//! Promises that are checked after every event.

use crate::invariant::Invariant;
use crate::replica::Replica;
use crate::status::PeerStatus;
use crate::status::Role;
use crate::status::Status;

impl Replica {
    pub(crate) fn check_invariants(&mut self) {
        let kept = self.commit <= self.log.last().index;
        self.check(kept, Invariant::CommittedStays);
        if self.role == Role::Leader {
            let heard = self.now.since(self.contact()) < self.settings.min_election_ms();
            self.check(heard, Invariant::LeadsOnlyWithQuorum);
        }
    }

    /// Gives how the replica stands.
    pub fn status(&self) -> Status {
        let lease = self.lead.as_ref().map_or(0, |lead| lead.lease.since(self.now));
        Status {
            id: self.settings.id.clone(),
            role: self.shown_role(),
            epoch: self.hard.epoch,
            leader: self.leader.clone(),
            members: self.members().clone(),
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

    fn shown_role(&self) -> Role {
        let unborn = self.role == Role::Follower && self.members().replicas.is_empty();
        if unborn { Role::Uninitialized } else { self.role }
    }

    fn peer_statuses(&self) -> Vec<PeerStatus> {
        let Some(lead) = &self.lead else { return Vec::new() };
        let peers = lead.peers.iter();
        peers
            .map(|(id, peer)| PeerStatus {
                id: id.clone(),
                matched: peer.matched,
                silent_ms: self.now.since(peer.heard),
                snapshot: peer.transfer.is_some(),
            })
            .collect()
    }
}
