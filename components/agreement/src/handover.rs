//! Handing leadership over, before a planned stop or when the disk fails.

use crate::event::Token;
use crate::identity::ReplicaId;
use crate::leader::Handing;
use crate::message::Body;
use crate::replica::Replica;
use crate::status::Role;

impl Replica {
    pub(crate) fn hand_over(&mut self, to: Option<ReplicaId>) {
        let closest = self.closest_voter();
        let to = to.filter(|id| self.members().is_voter(id)).or(closest);
        let until = self.now + self.settings.min_election_ms();
        let own = self.settings.id.clone();
        let Some(lead) = &mut self.lead else { return };
        let Some(to) = to.filter(|id| *id != own) else { return };
        if lead.handing.is_none() {
            lead.handing = Some(Handing { to, until, told: false });
        }
    }

    /// Finds the voter that holds most of the log, of those heard lately.
    fn closest_voter(&self) -> Option<ReplicaId> {
        let lead = self.lead.as_ref()?;
        let live = self.settings.min_election_ms();
        let voters = lead.peers.iter().filter(|(id, _)| self.members().is_voter(id));
        let heard = voters.filter(|(_, peer)| self.now.since(peer.heard) < live);
        heard.max_by_key(|(_, peer)| peer.matched).map(|(id, _)| id.clone())
    }

    /// Tells the chosen replica to start an election once it holds the whole log.
    ///
    /// From that moment another may be elected at any time, so the lease ends here, and proposals
    /// are refused, because they might be lost.
    pub(crate) fn advance_handing(&mut self) {
        let last = self.log.last().index;
        let Some(lead) = &mut self.lead else { return };
        let Some(handing) = &mut lead.handing else { return };
        if self.now >= handing.until {
            let told = handing.told;
            lead.handing = None;
            if told {
                self.renew_epoch();
            }
            return;
        }
        let whole = lead.peers.get(&handing.to).is_some_and(|peer| peer.matched == last);
        if whole && !handing.told {
            handing.told = true;
            lead.lease = self.now;
            let to = handing.to.clone();
            self.send(to, Body::TimeoutNow);
        }
    }

    /// Gives up a hand-over that came to nothing. The order to start an election may still be
    /// under way, and would break a lease, so the leader goes on in a new epoch, in which that
    /// order means nothing.
    fn renew_epoch(&mut self) {
        self.become_follower(self.hard.epoch, None);
        self.campaign(true);
    }

    /// Tells the closest voter to start an election, when this replica can lead no longer.
    pub(crate) fn send_campaign_now(&mut self) {
        if let Some(to) = self.closest_voter() {
            self.send(to, Body::TimeoutNow);
        }
    }

    /// Takes no part any more: what is on the disk can no longer be trusted.
    pub(crate) fn storage_failed(&mut self) {
        tracing::error!(event = "replica_storage_failed", replica = %self.settings.id);
        self.send_campaign_now();
        self.become_follower(self.hard.epoch, None);
        self.role = Role::Failed;
        self.fresh.clear();
        self.held.clear();
        self.write = crate::saved::Write::default();
    }

    /// Answers whether a token's proposal waits here, for tests and the state dump.
    pub fn is_pending(&self, token: Token) -> bool {
        let lead = self.lead.as_ref();
        lead.is_some_and(|lead| lead.tokens.values().any(|waiting| *waiting == token))
    }
}
