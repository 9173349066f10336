//! Hand-over of leadership, before a planned stop or when the disk fails.

use crate::event::Token;
use crate::identity::ReplicaId;
use crate::leader::HandOver;
use crate::message::Body;
use crate::replica::Replica;
use crate::status::Role;

impl Replica {
    pub(crate) fn hand_over(&mut self, to: Option<ReplicaId>) {
        let closest = self.most_caught_up_voter();
        let to = to.filter(|id| self.members().is_voter(id)).or(closest);
        let deadline = self.now + self.settings.min_election_ms();
        let own = self.settings.id.clone();
        let Some(lead) = &mut self.leader_state else { return };
        let Some(to) = to.filter(|id| *id != own) else { return };
        if lead.hand_over.is_none() {
            lead.hand_over = Some(HandOver { to, deadline, requested: false });
        }
    }

    /// Returns the voter with the most complete log, of those with recent contact.
    fn most_caught_up_voter(&self) -> Option<ReplicaId> {
        let lead = self.leader_state.as_ref()?;
        let max_silence = self.settings.min_election_ms();
        let voters = lead.peers.iter().filter(|(id, _)| self.members().is_voter(id));
        let live = voters.filter(|(_, peer)| self.now.since(peer.last_contact) < max_silence);
        live.max_by_key(|(_, peer)| peer.matched).map(|(id, _)| id.clone())
    }

    /// Asks the chosen replica to start an election once it has the whole log.
    ///
    /// From that moment another replica may be elected at any time. The lease therefore ends here,
    /// and proposals are refused because they might be lost.
    pub(crate) fn advance_hand_over(&mut self) {
        let last = self.log.last().index;
        let Some(lead) = &mut self.leader_state else { return };
        let Some(hand_over) = &mut lead.hand_over else { return };
        if self.now >= hand_over.deadline {
            let requested = hand_over.requested;
            lead.hand_over = None;
            if requested {
                self.renew_epoch();
            }
            return;
        }
        let up_to_date = lead.peers.get(&hand_over.to).is_some_and(|peer| peer.matched == last);
        if up_to_date && !hand_over.requested {
            hand_over.requested = true;
            lead.lease_until = self.now;
            let to = hand_over.to.clone();
            self.send(to, Body::TimeoutNow);
        }
    }

    /// Ends a hand-over that timed out. The request to start an election may still be in flight and
    /// could invalidate a lease, so the leader continues in a new epoch, in which that request has
    /// no effect.
    fn renew_epoch(&mut self) {
        self.become_follower(self.hard.epoch, None);
        self.campaign(true);
    }

    /// Asks the voter with the most complete log to start an election when this replica can no
    /// longer lead.
    pub(crate) fn send_timeout_now(&mut self) {
        if let Some(to) = self.most_caught_up_voter() {
            self.send(to, Body::TimeoutNow);
        }
    }

    /// Deactivates the replica, because the content of the disk can no longer be trusted.
    pub(crate) fn storage_failed(&mut self) {
        tracing::error!(event = "replica_storage_failed", replica = %self.settings.id);
        self.send_timeout_now();
        self.become_follower(self.hard.epoch, None);
        self.role = Role::Failed;
        self.deferred.clear();
        self.awaiting_sync.clear();
        self.pending_write = crate::saved::Write::default();
    }

    /// Returns whether the proposal with this token is waiting for its commit here, for tests and
    /// the state dump.
    pub fn is_pending(&self, token: Token) -> bool {
        let lead = self.leader_state.as_ref();
        lead.is_some_and(|lead| lead.tokens.values().any(|waiting| *waiting == token))
    }
}
