//! Changes of the members, one seat at a time.

use crate::action::Refusal;
use crate::entry::Payload;
use crate::event::MembershipChange;
use crate::event::Token;
use crate::identity::Membership;
use crate::identity::ReplicaId;
use crate::identity::ReplicaInfo;
use crate::invariant::Invariant;
use crate::replica::Replica;

impl Replica {
    pub(crate) fn change_members(&mut self, token: Token, change: MembershipChange) {
        if let Some(why) = self.why_not() {
            self.refuse(token, why);
            return;
        }
        if self.is_changing() {
            self.refuse(token, Refusal::ChangePending);
            return;
        }
        match self.plan(change) {
            Ok(members) => self.set_members(members, Some(token)),
            Err(why) => self.refuse(token, why),
        }
    }

    /// Tells whether no change may begin: another is not yet committed, or the epoch's first
    /// entry is not, so that one of an earlier epoch might be under way without being known.
    fn is_changing(&self) -> bool {
        let last = self.changes.last().map_or(0, |(index, _)| *index);
        self.settings.protections.one_change && (last > self.commit || !self.is_ready())
    }

    fn plan(&self, change: MembershipChange) -> Result<Membership, Refusal> {
        let mut members = self.members().clone();
        match change {
            MembershipChange::Add { id, address, replaces } => {
                if members.contains(&id) {
                    return Err(Refusal::InvalidChange);
                }
                members.replicas.insert(id, ReplicaInfo { address, voter: false, replaces });
            }
            MembershipChange::Promote(id) => {
                let info = members.replicas.get_mut(&id).filter(|info| !info.voter);
                info.ok_or(Refusal::InvalidChange)?.voter = true;
                self.check_caught_up(&id)?;
                self.check_live(&members)?;
            }
            MembershipChange::Remove(id) => {
                let info = members.replicas.remove(&id).ok_or(Refusal::InvalidChange)?;
                if members.voters().next().is_none() {
                    return Err(Refusal::InvalidChange);
                }
                if info.voter {
                    self.check_live(&members)?;
                }
            }
        }
        Ok(members)
    }

    /// A replica that votes before it holds the log is counted in the quorum but cannot help to
    /// make one: if another is lost then, nothing can be committed until it has caught up.
    fn check_caught_up(&self, id: &ReplicaId) -> Result<(), Refusal> {
        let on = self.settings.protections.catch_up;
        if on && !self.has_caught_up(id) { Err(Refusal::NotCaughtUp) } else { Ok(()) }
    }

    fn has_caught_up(&self, id: &ReplicaId) -> bool {
        let Some(peer) = self.lead.as_ref().and_then(|lead| lead.peers.get(id)) else {
            return false;
        };
        let close =
            peer.matched > 0 && peer.matched + self.settings.catch_up_entries >= self.commit;
        close && self.is_live(id)
    }

    fn is_live(&self, id: &ReplicaId) -> bool {
        let heard = self.lead.as_ref().and_then(|lead| lead.peers.get(id)).map(|peer| peer.heard);
        let lately = heard.is_some_and(|at| self.now.since(at) < self.settings.min_election_ms());
        *id == self.settings.id || lately
    }

    /// The change itself needs a majority of the new voters, so they must be alive.
    fn check_live(&self, members: &Membership) -> Result<(), Refusal> {
        let live = members.has_majority(|id| self.is_live(id));
        if live { Ok(()) } else { Err(Refusal::WouldLoseQuorum) }
    }

    fn set_members(&mut self, members: Membership, token: Option<Token>) {
        self.check_change(&members);
        tracing::info!(event = "members_change", voters = members.voters().count());
        self.add_entry(Payload::Members(members), token);
        self.sync_peers();
    }

    fn check_change(&mut self, members: &Membership) {
        let before = self.members();
        let ids = before.replicas.keys().chain(members.replicas.keys());
        let differs = |id: &&ReplicaId| before.is_voter(id) != members.is_voter(id);
        let mut moved: Vec<&ReplicaId> = ids.filter(differs).collect();
        moved.sort();
        moved.dedup();
        let settled = self.changes.last().is_none_or(|(index, _)| *index <= self.commit);
        let one = moved.len() <= 1 && settled;
        let added = moved.into_iter().filter(|id| members.is_voter(id));
        let held = added.into_iter().all(|id| self.has_caught_up(id));
        self.check(one, Invariant::OneChange);
        self.check(held, Invariant::VotersHoldLog);
    }

    /// Carries on with replacements: a non-voter that has caught up takes its place, by itself, so
    /// that one command replaces a lost replica, also when the leader changes in between.
    pub(crate) fn advance_members(&mut self) {
        let waits = self.is_ready() && !self.is_changing() && self.why_not().is_none();
        if !waits {
            return;
        }
        let Some(change) = self.next_change() else { return };
        if let Ok(members) = self.plan(change) {
            self.set_members(members, None);
        }
    }

    fn next_change(&self) -> Option<MembershipChange> {
        let members = self.members();
        for (id, info) in &members.replicas {
            let replaced = info.replaces.as_ref().filter(|old| members.contains(old));
            match replaced {
                Some(old) if info.voter => return Some(MembershipChange::Remove(old.clone())),
                // The lost one goes first: among four that live the quorum is three, while with
                // the lost one still counted it would be four of six.
                Some(old) if self.may_promote(id) && *old != self.settings.id => {
                    return Some(MembershipChange::Remove(old.clone()));
                }
                _ if !info.voter && self.may_promote(id) => {
                    return Some(MembershipChange::Promote(id.clone()));
                }
                _ => {}
            }
        }
        None
    }

    fn may_promote(&self, id: &ReplicaId) -> bool {
        !self.settings.protections.catch_up || self.has_caught_up(id)
    }

    /// A leader that was removed leads until its removal is committed, and then hands over.
    pub(crate) fn leave_if_removed(&mut self) {
        let last = self.changes.last().map_or(0, |(index, _)| *index);
        let removed = last <= self.commit && !self.members().is_voter(&self.settings.id);
        if removed {
            self.send_campaign_now();
            self.become_follower(self.hard.epoch, None);
        }
    }
}
