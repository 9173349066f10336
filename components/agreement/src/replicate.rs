//! The leader's side of appending: proposals, batches, windows, heartbeats, commitment.

use chicoryford_types::Millis;

use crate::action::Refusal;
use crate::entry::Entry;
use crate::entry::EntryId;
use crate::entry::Payload;
use crate::event::Proposal;
use crate::event::Token;
use crate::identity::ReplicaId;
use crate::invariant::Invariant;
use crate::leader::Leader;
use crate::message::Body;
use crate::progress::Progress;
use crate::replica::Replica;
use crate::restart::Since;
use crate::status::Role;

impl Replica {
    pub(crate) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.restart.since = Since::Leader;
        self.leader = Some(self.settings.id.clone());
        self.granted.clear();
        let first = self.log.last().index + 1;
        let beat = self.now + self.settings.heartbeat_ms;
        self.lead = Some(Box::new(Leader { first, beat, ..Leader::default() }));
        self.sync_peers();
        self.add_entry(Payload::Empty, None);
        self.start_round();
        tracing::info!(event = "leader_elected", epoch = %self.hard.epoch);
    }

    /// Stops leading, if it did: everything that waits gets its final answer at once.
    pub(crate) fn end_leading(&mut self) {
        let Some(lead) = self.lead.take() else { return };
        let leader = self.leader.clone().filter(|id| *id != self.settings.id);
        for token in lead.tokens.into_values() {
            self.refuse(token, Refusal::Unknown { leader: leader.clone() });
        }
        for read in lead.reads {
            self.refuse(read.token, Refusal::NotLeader { leader: leader.clone() });
        }
    }

    /// Tells whether this replica leads and knows all that earlier epochs committed.
    pub(crate) fn is_ready(&self) -> bool {
        self.lead.as_ref().is_some_and(|lead| lead.first <= self.commit)
    }

    /// Tells whether this replica leads and no other can have been elected: its lease holds.
    pub fn holds_lease(&self, now: Millis) -> bool {
        let lease = self.lead.as_ref().map(|lead| lead.lease);
        self.is_ready() && lease.is_some_and(|lease| now < lease)
    }

    pub(crate) fn propose(&mut self, proposals: Vec<Proposal>) {
        for Proposal { token, data } in proposals {
            match self.why_not() {
                None => self.add_entry(Payload::Data(data), Some(token)),
                Some(why) => self.refuse(token, why),
            }
        }
    }

    /// Tells why nothing may be proposed here, if so.
    pub(crate) fn why_not(&self) -> Option<Refusal> {
        let Some(lead) = &self.lead else {
            return Some(Refusal::NotLeader { leader: self.leader.clone() });
        };
        if lead.handing.is_some() {
            return Some(Refusal::HandingOver);
        }
        let uncommitted = self.log.last().index - self.commit;
        (uncommitted >= self.settings.max_uncommitted as u64).then_some(Refusal::Full)
    }

    pub(crate) fn add_entry(&mut self, payload: Payload, token: Option<Token>) {
        let id = EntryId { epoch: self.hard.epoch, index: self.log.last().index + 1 };
        self.push(Entry { id, payload });
        if let (Some(lead), Some(token)) = (&mut self.lead, token) {
            lead.tokens.insert(id.index, token);
        }
    }

    /// Does what a leader does after any event.
    pub(crate) fn lead_on(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        self.advance_commit();
        self.advance_round();
        self.advance_reads();
        self.advance_members();
        self.advance_handing();
        if self.role == Role::Leader {
            self.beat();
            self.send_entries();
        }
    }

    /// Commits what a majority holds on disk.
    ///
    /// Only entries of the own epoch are counted. One of an earlier epoch may be held by a
    /// majority and yet be replaced by a leader that has a later one in its place; it is committed
    /// together with the first that follows it in the own epoch.
    fn advance_commit(&mut self) {
        let index = self.held_by_majority();
        let own = self.log.epoch(index) == Some(self.hard.epoch);
        if index > self.commit && (own || !self.settings.protections.own_epoch) {
            self.check(own, Invariant::CountsOwnEpoch);
            self.commit_to(index);
            self.leave_if_removed();
        }
    }

    fn held_by_majority(&mut self) -> u64 {
        let last = self.log.last().index;
        let own = if self.settings.protections.sync_first { self.durable.index } else { last };
        self.check(own <= self.durable.index, Invariant::SyncedFirst);
        let Some(lead) = &self.lead else { return 0 };
        self.members().majority_value(|id| {
            let peer = lead.peers.get(id).map_or(0, |peer| peer.matched);
            if *id == self.settings.id { own } else { peer }
        })
    }

    /// Starts a round of heartbeats when one is due.
    fn beat(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        if self.now < lead.beat {
            return;
        }
        self.start_round();
    }

    /// Sends a heartbeat to all. Its round tells answers to it from earlier ones, so that a lease
    /// and a read are confirmed only by what was said after they began.
    pub(crate) fn start_round(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        lead.round += 1;
        lead.rounds.push_back((lead.round, self.now));
        lead.beat = self.now + self.settings.heartbeat_ms;
        let ids: Vec<ReplicaId> = lead.peers.keys().cloned().collect();
        for id in ids {
            self.send_heartbeat(&id);
        }
    }

    fn send_heartbeat(&mut self, id: &ReplicaId) {
        let patience = 2 * self.settings.heartbeat_ms;
        let base = self.log.base().index;
        let Some(lead) = &mut self.lead else { return };
        let Some(peer) = lead.peers.get_mut(id) else { return };
        let stalled = self.now.since(peer.moved) >= patience;
        if stalled && (!peer.flying.is_empty() || peer.next > peer.matched + 1) {
            let next = if peer.probing { peer.next } else { peer.matched + 1 };
            peer.probe(next);
            peer.moved = self.now;
        }
        if peer.transfer.is_some() || peer.next <= base {
            self.send_snapshot_chunks(id, true);
            return;
        }
        let at = if peer.probing { peer.next - 1 } else { peer.matched.max(base) };
        self.send_append(id, at, Vec::new());
    }

    fn send_append(&mut self, id: &ReplicaId, prev: u64, entries: Vec<Entry>) {
        let Some(prev) = self.log.entry_id(prev) else { return };
        let Some(lead) = &mut self.lead else { return };
        let Some(peer) = lead.peers.get_mut(id) else { return };
        let commit = self.commit;
        peer.told = commit.min(prev.index + entries.len() as u64);
        let round = lead.round;
        self.send(id.clone(), Body::Append { prev, entries, commit, round });
    }

    /// Sends each replica the entries that it lacks, as far as its window allows, or word of what
    /// is committed if nothing else is on its way.
    fn send_entries(&mut self) {
        let Some(lead) = &self.lead else { return };
        let ids: Vec<ReplicaId> = lead.peers.keys().cloned().collect();
        for id in ids {
            self.fill_window(&id);
        }
    }

    fn fill_window(&mut self, id: &ReplicaId) {
        let (last, base) = (self.log.last().index, self.log.base().index);
        loop {
            let Some(peer) = self.lead.as_ref().and_then(|lead| lead.peers.get(id)) else { return };
            if peer.transfer.is_some() || peer.next <= base {
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
            if let Some(peer) = self.lead.as_mut().and_then(|lead| lead.peers.get_mut(id)) {
                peer.sent(end, now);
            }
        }
        self.tell_commit(id);
    }

    fn tell_commit(&mut self, id: &ReplicaId) {
        let commit = self.commit;
        let Some(peer) = self.lead.as_ref().and_then(|lead| lead.peers.get(id)) else { return };
        let news = peer.told < commit.min(peer.matched);
        if news && peer.flying.is_empty() {
            let at = peer.matched;
            self.send_append(id, at, Vec::new());
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

    /// Finds the newest round that a majority answered: it proves that this replica led when the
    /// round was sent, and no other can be elected for a while from then.
    fn advance_round(&mut self) {
        let lease_ms = self.settings.lease_ms();
        let Some(lead) = &self.lead else { return };
        let round = self.members().majority_value(|id| {
            let peer = lead.peers.get(id).map_or(0, |peer| peer.round);
            if *id == self.settings.id { lead.round } else { peer }
        });
        let Some(lead) = &mut self.lead else { return };
        lead.confirmed = lead.confirmed.max(round);
        let told = lead.handing.as_ref().is_some_and(|handing| handing.told);
        while let Some(&(sent, at)) = lead.rounds.front() {
            if sent > lead.confirmed {
                break;
            }
            lead.rounds.pop_front();
            if !told {
                lead.lease = lead.lease.max(at + lease_ms);
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
        let place = conflict.map(|id| self.log.candidate(id).index);
        let (now, last) = (self.now, self.log.last().index);
        let Some(peer) = self.peer(from) else { return };
        peer.heard = now;
        peer.round = peer.round.max(round);
        peer.reach(matched, now);
        if let Some(place) = place.filter(|place| *place < peer.next) {
            peer.probe(place + 1);
            peer.moved = now;
        }
        self.check(matched <= last, Invariant::LogMatching);
    }

    pub(crate) fn peer(&mut self, id: &ReplicaId) -> Option<&mut Progress> {
        self.lead.as_mut().and_then(|lead| lead.peers.get_mut(id))
    }

    /// Keeps one progress for each other member.
    pub(crate) fn sync_peers(&mut self) {
        let members = self.members().clone();
        let next = self.log.last().index + 1;
        let (id, now) = (self.settings.id.clone(), self.now);
        let Some(lead) = &mut self.lead else { return };
        lead.peers.retain(|peer, _| members.contains(peer));
        for peer in members.replicas.into_keys().filter(|peer| *peer != id) {
            lead.peers.entry(peer).or_insert_with(|| Progress::new(next, now));
        }
    }
}
