//! Log replication: the leader's side. Proposals, batches, flow control, heartbeats and commitment.

use chicoryford_types::Millis;

use crate::action::Refusal;
use crate::entry::Entry;
use crate::entry::EntryId;
use crate::entry::Payload;
use crate::event::Proposal;
use crate::event::Token;
use crate::identity::ReplicaId;
use crate::invariant::Invariant;
use crate::leader::LeaderState;
use crate::message::Body;
use crate::progress::Progress;
use crate::replica::Replica;
use crate::restart::SinceStart;
use crate::status::Role;

impl Replica {
    pub(crate) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.restart.since_start = SinceStart::LeaderSeen;
        self.leader = Some(self.settings.id.clone());
        self.granted.clear();
        let first_index = self.log.last().index + 1;
        let next_heartbeat = self.now + self.settings.heartbeat_ms;
        self.leader_state =
            Some(Box::new(LeaderState { first_index, next_heartbeat, ..LeaderState::default() }));
        self.sync_peers();
        self.add_entry(Payload::Empty, None);
        self.start_round();
        tracing::info!(event = "leader_elected", epoch = %self.hard.epoch);
    }

    /// Discards the leader state, if there is any, and answers everything that waits for it.
    pub(crate) fn clear_leader_state(&mut self) {
        let Some(lead) = self.leader_state.take() else { return };
        let leader = self.leader.clone().filter(|id| *id != self.settings.id);
        for token in lead.tokens.into_values() {
            self.refuse(token, Refusal::Unknown { leader: leader.clone() });
        }
        for read in lead.pending_reads {
            self.refuse(read.token, Refusal::NotLeader { leader: leader.clone() });
        }
    }

    /// Returns whether this replica leads and has learned everything that earlier epochs committed.
    pub(crate) fn is_ready(&self) -> bool {
        self.leader_state.as_ref().is_some_and(|lead| lead.first_index <= self.commit)
    }

    /// Returns whether this replica leads and holds the lease, so that no other replica can have
    /// been elected.
    pub fn holds_lease(&self, now: Millis) -> bool {
        let lease = self.leader_state.as_ref().map(|lead| lead.lease_until);
        self.is_ready() && lease.is_some_and(|lease| now < lease)
    }

    pub(crate) fn propose(&mut self, proposals: Vec<Proposal>) {
        for Proposal { token, data } in proposals {
            match self.proposal_refusal() {
                None => self.add_entry(Payload::Data(data), Some(token)),
                Some(reason) => self.refuse(token, reason),
            }
        }
    }

    /// Returns why proposals are refused, `None` if they are accepted.
    pub(crate) fn proposal_refusal(&self) -> Option<Refusal> {
        let Some(lead) = &self.leader_state else {
            return Some(Refusal::NotLeader { leader: self.leader.clone() });
        };
        // A leader that removes itself steps down with the commit of that change.
        if lead.hand_over.is_some() || !self.members().is_voter(&self.settings.id) {
            return Some(Refusal::HandingOver);
        }
        let uncommitted = self.log.last().index - self.commit;
        (uncommitted >= self.settings.max_uncommitted as u64).then_some(Refusal::Full)
    }

    pub(crate) fn add_entry(&mut self, payload: Payload, token: Option<Token>) {
        let id = EntryId { epoch: self.hard.epoch, index: self.log.last().index + 1 };
        self.push(Entry { id, payload });
        if let (Some(lead), Some(token)) = (&mut self.leader_state, token) {
            lead.tokens.insert(id.index, token);
        }
    }

    /// Runs the tasks of a leader that are due after any event.
    pub(crate) fn run_leader_tasks(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        self.advance_commit();
        self.advance_round();
        self.advance_reads();
        self.advance_members();
        self.advance_hand_over();
        if self.role == Role::Leader {
            self.send_due_heartbeat();
            self.send_entries();
        }
    }

    /// Commits the entries that a majority has on disk.
    ///
    /// Only entries of the leader's own epoch are counted. A majority may have an entry of an
    /// earlier epoch that can still be replaced by a leader with a later entry at the same index.
    /// Such an entry is committed together with the first following entry of the own epoch.
    fn advance_commit(&mut self) {
        let index = self.majority_index();
        let own_epoch = self.log.epoch(index) == Some(self.hard.epoch);
        if index > self.commit && (own_epoch || !self.settings.protections.own_epoch) {
            self.check(own_epoch, Invariant::CountsOwnEpoch);
            self.commit_to(index);
            self.step_down_if_removed();
        }
    }

    fn majority_index(&mut self) -> u64 {
        let last = self.log.last().index;
        let own = if self.settings.protections.sync_first { self.durable.index } else { last };
        self.check(own <= self.durable.index, Invariant::SyncedFirst);
        let Some(lead) = &self.leader_state else { return 0 };
        self.members().majority_value(|id| {
            let peer = lead.peers.get(id).map_or(0, |peer| peer.matched);
            if *id == self.settings.id { own } else { peer }
        })
    }

    /// Starts a heartbeat round when one is due.
    fn send_due_heartbeat(&mut self) {
        let Some(lead) = &mut self.leader_state else { return };
        if self.now < lead.next_heartbeat {
            return;
        }
        self.start_round();
    }

    /// Starts a heartbeat round with a heartbeat to every member. The round number distinguishes
    /// replies to it from replies to earlier rounds, so that leases and reads are confirmed only by
    /// replies to heartbeats that were sent after they began.
    pub(crate) fn start_round(&mut self) {
        let Some(lead) = &mut self.leader_state else { return };
        lead.round += 1;
        lead.pending_rounds.push_back((lead.round, self.now));
        lead.next_heartbeat = self.now + self.settings.heartbeat_ms;
        let ids: Vec<ReplicaId> = lead.peers.keys().cloned().collect();
        for id in ids {
            self.send_heartbeat(&id);
        }
    }

    fn send_heartbeat(&mut self, id: &ReplicaId) {
        let stall_timeout = 2 * self.settings.heartbeat_ms;
        let base = self.log.base().index;
        let Some(lead) = &mut self.leader_state else { return };
        let Some(peer) = lead.peers.get_mut(id) else { return };
        if peer.snapshot.is_some() {
            self.send_snapshot_chunks(id, true);
            return;
        }
        let stalled = self.now.since(peer.last_progress) >= stall_timeout;
        if stalled && (!peer.in_flight.is_empty() || peer.next > peer.matched + 1) {
            let next = if peer.probing { peer.next } else { peer.matched + 1 };
            peer.start_probing(next);
            peer.last_progress = self.now;
        }
        if peer.next <= base {
            self.send_snapshot_chunks(id, true);
            return;
        }
        let prev = if peer.probing { peer.next - 1 } else { peer.matched.max(base) };
        self.send_append(id, prev, Vec::new());
    }

    fn send_append(&mut self, id: &ReplicaId, prev: u64, entries: Vec<Entry>) {
        let Some(prev) = self.log.entry_id(prev) else { return };
        let Some(lead) = &mut self.leader_state else { return };
        let Some(peer) = lead.peers.get_mut(id) else { return };
        let commit = self.commit;
        peer.sent_commit = commit.min(prev.index + entries.len() as u64);
        let round = lead.round;
        self.send(id.clone(), Body::Append { prev, entries, commit, round });
    }

    /// Sends each replica the entries that it lacks, as far as its window allows, or the new commit
    /// index if no entries are in flight.
    fn send_entries(&mut self) {
        let Some(lead) = &self.leader_state else { return };
        let ids: Vec<ReplicaId> = lead.peers.keys().cloned().collect();
        for id in ids {
            self.fill_window(&id);
        }
    }

    fn fill_window(&mut self, id: &ReplicaId) {
        let (last, base) = (self.log.last().index, self.log.base().index);
        loop {
            let Some(peer) = self.leader_state.as_ref().and_then(|lead| lead.peers.get(id)) else {
                return;
            };
            if peer.snapshot.is_some() || peer.next <= base {
                self.send_snapshot_chunks(id, false);
                return;
            }
            if peer.next > last || !peer.has_room(self.settings.max_in_flight) {
                break;
            }
            let next = peer.next;
            let entries = self.batch(next);
            let end = next + entries.len() as u64 - 1;
            self.send_append(id, next - 1, entries);
            let now = self.now;
            if let Some(peer) = self.leader_state.as_mut().and_then(|lead| lead.peers.get_mut(id)) {
                peer.record_sent(end, now);
            }
        }
        self.send_commit(id);
    }

    fn send_commit(&mut self, id: &ReplicaId) {
        let commit = self.commit;
        let Some(peer) = self.leader_state.as_ref().and_then(|lead| lead.peers.get(id)) else {
            return;
        };
        let outdated = peer.sent_commit < commit.min(peer.matched);
        if outdated && peer.in_flight.is_empty() {
            let prev = peer.matched;
            self.send_append(id, prev, Vec::new());
        }
    }

    fn batch(&self, from: u64) -> Vec<Entry> {
        let to = from + self.settings.batch_entries.max(1) as u64 - 1;
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.log.range(from, to) {
            bytes += entry.payload.size();
            if !entries.is_empty() && bytes > self.settings.batch_bytes {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Determines the newest heartbeat round that a majority answered. It proves that this replica
    /// led when the round was sent, and that no other can be elected for the duration of the lease
    /// from then on.
    fn advance_round(&mut self) {
        let lease_ms = self.settings.lease_ms();
        let Some(lead) = &self.leader_state else { return };
        let round = self.members().majority_value(|id| {
            let peer = lead.peers.get(id).map_or(0, |peer| peer.round);
            if *id == self.settings.id { lead.round } else { peer }
        });
        let Some(lead) = &mut self.leader_state else { return };
        lead.confirmed_round = lead.confirmed_round.max(round);
        let requested = lead.hand_over.as_ref().is_some_and(|hand_over| hand_over.requested);
        while let Some(&(sent, at)) = lead.pending_rounds.front() {
            if sent > lead.confirmed_round {
                break;
            }
            lead.pending_rounds.pop_front();
            if !requested {
                lead.lease_until = lead.lease_until.max(at + lease_ms);
            }
        }
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: &ReplicaId,
        round: u64,
        matched: u64,
        conflict: Option<EntryId>,
    ) {
        let matched_until = conflict.map(|id| self.log.find_match(id).index);
        let (now, last) = (self.now, self.log.last().index);
        let Some(peer) = self.peer(from) else { return };
        peer.last_contact = now;
        peer.round = peer.round.max(round);
        peer.advance_matched(matched, now);
        if let Some(index) = matched_until.filter(|index| *index < peer.next) {
            peer.start_probing(index + 1);
            peer.last_progress = now;
        }
        self.check(matched <= last, Invariant::LogMatching);
    }

    pub(crate) fn peer(&mut self, id: &ReplicaId) -> Option<&mut Progress> {
        self.leader_state.as_mut().and_then(|lead| lead.peers.get_mut(id))
    }

    /// Keeps the progress of each other member in line with the current membership.
    pub(crate) fn sync_peers(&mut self) {
        let members = self.members().clone();
        let next = self.log.last().index + 1;
        let (id, now) = (self.settings.id.clone(), self.now);
        let Some(lead) = &mut self.leader_state else { return };
        lead.peers.retain(|peer, _| members.contains(peer));
        for peer in members.replicas.into_keys().filter(|peer| *peer != id) {
            lead.peers.entry(peer).or_insert_with(|| Progress::new(next, now));
        }
    }
}
