//! Elections: pre-vote, votes and stepping down.

use chicoryford_types::Epoch;
use chicoryford_types::Millis;

use crate::entry::EntryId;
use crate::identity::ReplicaId;
use crate::invariant::Invariant;
use crate::message::Body;
use crate::replica::Replica;
use crate::restart::SinceStart;
use crate::saved::HardState;
use crate::status::Role;

impl Replica {
    /// Returns whether contact with a leader is so recent that no other may be elected.
    ///
    /// A lease is counted from the sending of a heartbeat and is shorter than this period, which is
    /// counted from its receipt. A replica that refuses votes during this period therefore prevents
    /// the election of another leader before the lease ends.
    pub(crate) fn has_recent_leader(&self) -> bool {
        let last =
            if self.role == Role::Leader { self.quorum_contact() } else { self.leader_contact };
        let all_restarted = self.restart.since_start == SinceStart::AllRestarted;
        !all_restarted && !self.is_empty() && self.now.since(last) < self.settings.min_election_ms()
    }

    /// Returns whether this replica is a voter in the committed membership or in any later one.
    ///
    /// A leader that is about to leave may be the only replica with the entries that a majority
    /// needs before any other can be elected. If it did not campaign because its own log already
    /// contains its removal, no replica could win.
    pub(crate) fn can_campaign(&self) -> bool {
        let committed = self.memberships.iter().rposition(|(index, _)| *index <= self.commit);
        let candidates = &self.memberships[committed.unwrap_or(0)..];
        candidates.iter().any(|(_, members)| members.is_voter(&self.settings.id))
    }

    /// Starts an election with a pre-vote, which asks whether an election could be won.
    ///
    /// Without it, an isolated replica would raise its epoch again and again and depose a working
    /// leader when it reconnects.
    pub(crate) fn start_election(&mut self) {
        if !self.settings.protections.pre_vote {
            self.campaign(false);
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.granted.clear();
        self.granted.insert(self.settings.id.clone());
        self.reset_election_deadline();
        if self.has_vote_majority() {
            self.campaign(false);
            return;
        }
        let body = Body::PreVote { next: self.hard.epoch.next(), last: self.log.last() };
        for id in self.other_voters() {
            self.send(id, body.clone());
        }
    }

    /// Requests votes in a new epoch.
    pub(crate) fn campaign(&mut self, hand_over: bool) {
        let reachable = self.is_quorum_reachable();
        self.check(hand_over || reachable, Invariant::QuietWhenCutOff);
        let vote = Some(self.settings.id.clone());
        self.set_hard_state(HardState { epoch: self.hard.epoch.next(), vote });
        self.role = Role::Candidate;
        self.forget_leader();
        self.granted.clear();
        self.reset_election_deadline();
        let body = Body::Vote { last: self.log.last(), hand_over };
        for id in self.other_voters() {
            self.send_synced(id, body.clone());
        }
        if !self.settings.protections.sync_first {
            self.count_own_vote();
        }
    }

    /// Counts the candidate's own vote once it is on disk.
    pub(crate) fn count_own_vote(&mut self) {
        if self.role == Role::Candidate {
            self.granted.insert(self.settings.id.clone());
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        if self.role == Role::Candidate && self.has_vote_majority() {
            self.become_leader();
        }
    }

    fn has_vote_majority(&self) -> bool {
        self.members().has_majority(|id| self.granted.contains(id))
    }

    fn is_quorum_reachable(&self) -> bool {
        let window = 2 * self.settings.election_ms;
        self.members().has_majority(|id| {
            let contact = self.contacts.get(id);
            *id == self.settings.id || contact.is_some_and(|at| self.now.since(*at) <= window)
        })
    }

    pub(crate) fn other_voters(&self) -> Vec<ReplicaId> {
        self.members().voters().filter(|id| **id != self.settings.id).cloned().collect()
    }

    /// Updates the election state that must be persisted.
    fn set_hard_state(&mut self, hard: HardState) {
        self.check(hard.epoch >= self.hard.epoch, Invariant::EpochGrows);
        let same = hard.epoch == self.hard.epoch;
        let holds = !same || self.hard.vote.is_none() || self.hard.vote == hard.vote;
        self.check(holds, Invariant::OneVote);
        self.pending_write.hard = Some(hard.clone());
        self.hard = hard;
    }

    fn forget_leader(&mut self) {
        self.leader = None;
        self.verified = 0;
        self.round = 0;
        self.incoming_snapshot = None;
    }

    /// Becomes a follower of `leader`, or waits for a leader, in an epoch that is not lower than
    /// the current one.
    pub(crate) fn become_follower(&mut self, epoch: Epoch, leader: Option<ReplicaId>) {
        if epoch > self.hard.epoch {
            self.set_hard_state(HardState { epoch, vote: None });
            self.forget_leader();
        }
        self.check(epoch == self.hard.epoch, Invariant::EpochGrows);
        self.role = Role::Follower;
        self.granted.clear();
        self.leader = leader;
        self.reset_election_deadline();
        self.clear_leader_state();
    }

    pub(crate) fn on_pre_vote(&mut self, from: ReplicaId, next: Epoch, last: EntryId) {
        let withheld = self.settings.protections.vote_hold && self.has_recent_leader();
        let granted = !withheld && next > self.hard.epoch && self.is_log_up_to_date(last);
        self.send(from, Body::PreVoteReply { next, granted });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: ReplicaId, next: Epoch, granted: bool) {
        let pending = self.role == Role::PreCandidate && next == self.hard.epoch.next();
        // A reply that arrives after the deadline, for example after the process was suspended,
        // says nothing about the current state.
        let late = self.now >= self.election_deadline;
        if !pending || !granted || late {
            return;
        }
        self.granted.insert(from);
        if self.has_vote_majority() {
            self.campaign(false);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        from: ReplicaId,
        epoch: Epoch,
        last: EntryId,
        hand_over: bool,
    ) {
        let withheld = self.settings.protections.vote_hold && self.has_recent_leader();
        if withheld && !hand_over {
            return;
        }
        if epoch > self.hard.epoch {
            self.become_follower(epoch, None);
        }
        let free = self.hard.vote.is_none() || self.hard.vote.as_ref() == Some(&from);
        let granted = epoch == self.hard.epoch && free && self.is_log_up_to_date(last);
        if granted && self.hard.vote.is_none() {
            self.set_hard_state(HardState { epoch, vote: Some(from.clone()) });
            self.reset_election_deadline();
        }
        self.send_synced(from, Body::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        if granted && self.role == Role::Candidate {
            self.granted.insert(from);
            self.count_votes();
        }
    }

    fn is_log_up_to_date(&self, last: EntryId) -> bool {
        !self.settings.protections.log_check || last >= self.log.last()
    }

    pub(crate) fn on_timeout_now(&mut self, from: &ReplicaId, epoch: Epoch) {
        let from_leader = epoch == self.hard.epoch && self.leader.as_ref() == Some(from);
        if from_leader && self.role == Role::Follower && self.can_campaign() {
            self.campaign(true);
        }
    }

    /// Returns the time of the leader's last contact with a majority.
    pub(crate) fn quorum_contact(&self) -> Millis {
        let Some(lead) = &self.leader_state else { return Millis::default() };
        self.members().majority_value(|id| {
            let contact = lead.peers.get(id).map(|peer| peer.last_contact);
            if *id == self.settings.id { self.now } else { contact.unwrap_or_default() }
        })
    }

    /// Steps down if there was no contact with a majority within the shortest election timeout.
    ///
    /// A leader that is isolated, or whose process was suspended, would otherwise continue to
    /// report itself as leader while another one leads, and the state dumps would show two leaders.
    pub(crate) fn check_quorum(&mut self) {
        let enabled = self.settings.protections.check_quorum && self.role == Role::Leader;
        if enabled && self.now.since(self.quorum_contact()) >= self.settings.min_election_ms() {
            tracing::warn!(event = "leader_without_quorum", epoch = %self.hard.epoch);
            self.become_follower(self.hard.epoch, None);
        }
    }
}
