//! Promises that are checked after every event.

use crate::promise::Promise;
use crate::replica::Replica;
use crate::status::PeerStatus;
use crate::status::Role;
use crate::status::Status;

impl Replica {
    pub(crate) fn check_promises(&mut self) {
        let kept = self.commit <= self.log.last().index;
        self.check(kept, Promise::CommittedStays);
        if self.role == Role::Leader {
            let heard = self.now.since(self.contact()) < self.settings.hold_ms();
            self.check(heard, Promise::LeadsOnlyWithQuorum);
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
            snapshot: self.snapshot.meta.mark,
            lease_ms: lease,
            peers: self.peer_statuses(),
            broken: self.broken.count,
            last_broken: self.broken.last,
        }
    }

    fn shown_role(&self) -> Role {
        let unborn = self.role == Role::Follower && self.members().seats.is_empty();
        if unborn { Role::Unborn } else { self.role }
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
