//! Membership changes, at most one voter at a time.

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
        if let Some(reason) = self.proposal_refusal() {
            self.refuse(token, reason);
            return;
        }
        if self.is_changing() {
            self.refuse(token, Refusal::ChangePending);
            return;
        }
        match self.plan_change(change) {
            Ok(members) => self.set_members(members, Some(token)),
            Err(reason) => self.refuse(token, reason),
        }
    }

    /// Returns whether a membership change is in progress: the last one is not yet committed, or
    /// the first entry of the epoch is not, so that a change of an earlier epoch might still be
    /// uncommitted.
    fn is_changing(&self) -> bool {
        let last = self.memberships.last().map_or(0, |(index, _)| *index);
        self.settings.protections.one_change && (last > self.commit || !self.is_ready())
    }

    fn plan_change(&self, change: MembershipChange) -> Result<Membership, Refusal> {
        let mut members = self.members().clone();
        match change {
            MembershipChange::Add { id, address, replaces } => {
                if members.contains(&id) {
                    return Err(Refusal::InvalidChange);
                }
                // A replica that took the seat of this one keeps it beside this one.
                let others = members.replicas.values_mut();
                others
                    .filter(|info| info.replaces.as_ref() == Some(&id))
                    .for_each(|info| info.replaces = None);
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

    /// Refuses the promotion of a replica that lacks entries. Such a voter would raise the quorum
    /// without being able to contribute to it: if another voter failed, nothing could be committed
    /// until the new one has caught up.
    fn check_caught_up(&self, id: &ReplicaId) -> Result<(), Refusal> {
        let enabled = self.settings.protections.catch_up;
        if enabled && !self.has_caught_up(id) { Err(Refusal::NotCaughtUp) } else { Ok(()) }
    }

    fn has_caught_up(&self, id: &ReplicaId) -> bool {
        let Some(peer) = self.leader_state.as_ref().and_then(|lead| lead.peers.get(id)) else {
            return false;
        };
        let caught_up =
            peer.matched > 0 && peer.matched + self.settings.catch_up_entries >= self.commit;
        caught_up && self.is_live(id)
    }

    fn is_live(&self, id: &ReplicaId) -> bool {
        let contact = self
            .leader_state
            .as_ref()
            .and_then(|lead| lead.peers.get(id))
            .map(|peer| peer.last_contact);
        let recent = contact.is_some_and(|at| self.now.since(at) < self.settings.min_election_ms());
        *id == self.settings.id || recent
    }

    /// Refuses a change whose new voters lack a live majority, because the change itself must be
    /// committed by that majority.
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
        let mut changed: Vec<&ReplicaId> = ids.filter(differs).collect();
        changed.sort();
        changed.dedup();
        let committed = self.memberships.last().is_none_or(|(index, _)| *index <= self.commit);
        let single = changed.len() <= 1 && committed;
        let added = changed.into_iter().filter(|id| members.is_voter(id));
        let caught_up = added.into_iter().all(|id| self.has_caught_up(id));
        self.check(single, Invariant::OneChange);
        self.check(caught_up, Invariant::VotersHoldLog);
    }

    /// Continues replacements: removes the lost replica and promotes its replacement once that has
    /// caught up. A single command thus replaces a lost replica, even if the leader changes in
    /// between.
    pub(crate) fn advance_members(&mut self) {
        let ready = self.is_ready() && !self.is_changing() && self.proposal_refusal().is_none();
        if !ready {
            return;
        }
        let Some(change) = self.next_change() else { return };
        if let Ok(members) = self.plan_change(change) {
            self.set_members(members, None);
        }
    }

    fn next_change(&self) -> Option<MembershipChange> {
        let members = self.members();
        for (id, info) in &members.replicas {
            let replaced = info.replaces.as_ref().filter(|old| members.contains(old));
            match replaced {
                Some(old) if info.voter => return Some(MembershipChange::Remove(old.clone())),
                // The lost replica is removed first: with four live voters left the quorum is
                // three, whereas with the lost one still counted it would be four of six.
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

    /// Steps down a leader that was removed once its removal is committed, and hands over
    /// leadership.
    pub(crate) fn step_down_if_removed(&mut self) {
        let last = self.memberships.last().map_or(0, |(index, _)| *index);
        let removed = last <= self.commit && !self.members().is_voter(&self.settings.id);
        if removed {
            self.send_timeout_now();
            self.become_follower(self.hard.epoch, None);
        }
    }
}
