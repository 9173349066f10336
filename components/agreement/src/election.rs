//! Elections: pre-vote, votes, stepping down.

use chicoryford_types::Epoch;
use chicoryford_types::Millis;

use crate::entry::EntryId;
use crate::identity::ReplicaId;
use crate::invariant::Invariant;
use crate::message::Body;
use crate::replica::Replica;
use crate::restart::Since;
use crate::saved::HardState;
use crate::status::Role;

impl Replica {
    /// Tells whether a leader was heard so lately that no other may be elected.
    ///
    /// A leader's lease is counted from the sending of a heartbeat and is shorter than this,
    /// which is counted from its receipt, so a replica that refuses votes meanwhile keeps any
    /// other from being elected before the lease ends.
    pub(crate) fn hears_leader(&self) -> bool {
        let last = if self.role == Role::Leader { self.contact() } else { self.heard };
        let none_left = self.restart.since == Since::Together;
        !none_left && !self.is_empty() && self.now.since(last) < self.settings.min_election_ms()
    }

    /// Tells whether this replica votes by the members that are committed or by any since.
    ///
    /// A leader that is about to leave may be the only one with the entries that a majority needs
    /// before any other can be elected. If it did not stand because its own log already says that
    /// it left, nobody could win.
    pub(crate) fn may_stand(&self) -> bool {
        let settled = self.changes.iter().rposition(|(index, _)| *index <= self.commit);
        let open = &self.changes[settled.unwrap_or(0)..];
        open.iter().any(|(_, members)| members.is_voter(&self.settings.id))
    }

    /// Stands for election: asks first whether it could be won.
    ///
    /// A replica that is cut off would otherwise raise its epoch again and again, and depose a
    /// leader that works when it comes back.
    pub(crate) fn stand(&mut self) {
        if !self.settings.protections.pre_vote {
            self.campaign(false);
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.granted.clear();
        self.granted.insert(self.settings.id.clone());
        self.draw_deadline();
        if self.is_granted() {
            self.campaign(false);
            return;
        }
        let body = Body::PreVote { next: self.hard.epoch.next(), last: self.log.last() };
        for id in self.other_voters() {
            self.send(id, body.clone());
        }
    }

    /// Starts an election in a new epoch.
    pub(crate) fn campaign(&mut self, handed: bool) {
        let reaches = self.reaches_quorum();
        self.check(handed || reaches, Invariant::QuietWhenCutOff);
        let vote = Some(self.settings.id.clone());
        self.set_hard(HardState { epoch: self.hard.epoch.next(), vote });
        self.role = Role::Candidate;
        self.forget_leader();
        self.granted.clear();
        self.draw_deadline();
        let body = Body::Vote { last: self.log.last(), handed };
        for id in self.other_voters() {
            self.send_synced(id, body.clone());
        }
        if !self.settings.protections.sync_first {
            self.count_own_vote();
        }
    }

    /// Counts the vote for itself, once it is on disk.
    pub(crate) fn count_own_vote(&mut self) {
        if self.role == Role::Candidate {
            self.granted.insert(self.settings.id.clone());
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        if self.role == Role::Candidate && self.is_granted() {
            self.become_leader();
        }
    }

    fn is_granted(&self) -> bool {
        self.members().has_majority(|id| self.granted.contains(id))
    }

    fn reaches_quorum(&self) -> bool {
        let window = 2 * self.settings.election_ms;
        self.members().has_majority(|id| {
            let heard = self.contacts.get(id);
            *id == self.settings.id || heard.is_some_and(|at| self.now.since(*at) <= window)
        })
    }

    pub(crate) fn other_voters(&self) -> Vec<ReplicaId> {
        self.members().voters().filter(|id| **id != self.settings.id).cloned().collect()
    }

    /// Sets what must be remembered of elections.
    fn set_hard(&mut self, hard: HardState) {
        self.check(hard.epoch >= self.hard.epoch, Invariant::EpochGrows);
        let same = hard.epoch == self.hard.epoch;
        let kept = !same || self.hard.vote.is_none() || self.hard.vote == hard.vote;
        self.check(kept, Invariant::OneVote);
        self.write.hard = Some(hard.clone());
        self.hard = hard;
    }

    fn forget_leader(&mut self) {
        self.leader = None;
        self.verified = 0;
        self.round = 0;
        self.incoming = None;
    }

    /// Follows a leader, or waits for one, in an epoch that is at least as high.
    pub(crate) fn become_follower(&mut self, epoch: Epoch, leader: Option<ReplicaId>) {
        if epoch > self.hard.epoch {
            self.set_hard(HardState { epoch, vote: None });
            self.forget_leader();
        }
        self.check(epoch == self.hard.epoch, Invariant::EpochGrows);
        self.role = Role::Follower;
        self.granted.clear();
        self.leader = leader;
        self.draw_deadline();
        self.end_leading();
    }

    pub(crate) fn on_pre_vote(&mut self, from: ReplicaId, next: Epoch, last: EntryId) {
        let held = self.settings.protections.vote_hold && self.hears_leader();
        let granted = !held && next > self.hard.epoch && self.is_enough(last);
        self.send(from, Body::PreVoteReply { next, granted });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: ReplicaId, next: Epoch, granted: bool) {
        let asked = self.role == Role::PreCandidate && next == self.hard.epoch.next();
        // What was granted before the process was stopped tells nothing of now.
        let late = self.now >= self.deadline;
        if !asked || !granted || late {
            return;
        }
        self.granted.insert(from);
        if self.is_granted() {
            self.campaign(false);
        }
    }

    pub(crate) fn on_vote(&mut self, from: ReplicaId, epoch: Epoch, last: EntryId, handed: bool) {
        let held = self.settings.protections.vote_hold && self.hears_leader();
        if held && !handed {
            return;
        }
        if epoch > self.hard.epoch {
            self.become_follower(epoch, None);
        }
        let free = self.hard.vote.is_none() || self.hard.vote.as_ref() == Some(&from);
        let granted = epoch == self.hard.epoch && free && self.is_enough(last);
        if granted && self.hard.vote.is_none() {
            self.set_hard(HardState { epoch, vote: Some(from.clone()) });
            self.draw_deadline();
        }
        self.send_synced(from, Body::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        if granted && self.role == Role::Candidate {
            self.granted.insert(from);
            self.count_votes();
        }
    }

    fn is_enough(&self, last: EntryId) -> bool {
        !self.settings.protections.log_check || last >= self.log.last()
    }

    pub(crate) fn on_campaign_now(&mut self, from: &ReplicaId, epoch: Epoch) {
        let led = epoch == self.hard.epoch && self.leader.as_ref() == Some(from);
        if led && self.role == Role::Follower && self.may_stand() {
            self.campaign(true);
        }
    }

    /// Gives when a majority was last heard, as a leader counts it.
    pub(crate) fn contact(&self) -> Millis {
        let Some(lead) = &self.lead else { return Millis::default() };
        self.members().majority_value(|id| {
            let heard = lead.peers.get(id).map(|peer| peer.heard);
            if *id == self.settings.id { self.now } else { heard.unwrap_or_default() }
        })
    }

    /// Steps down if no majority was heard within the shortest election timeout.
    ///
    /// A leader that is cut off, or whose process stood still, would otherwise go on believing
    /// that it leads while another does. It would show as two leaders in the state dumps.
    pub(crate) fn check_quorum(&mut self) {
        let on = self.settings.protections.check_quorum && self.role == Role::Leader;
        if on && self.now.since(self.contact()) >= self.settings.min_election_ms() {
            tracing::warn!(event = "leader_without_quorum", epoch = %self.hard.epoch);
            self.become_follower(self.hard.epoch, None);
        }
    }
}
