//! Log replication: the follower's side.

use chicoryford_types::Epoch;

use crate::entry::Entry;
use crate::entry::EntryId;
use crate::identity::ReplicaId;
use crate::invariant::Invariant;
use crate::message::Body;
use crate::replica::Replica;
use crate::restart::SinceStart;
use crate::status::Role;

impl Replica {
    /// Follows the leader of an epoch that is not lower than the current one. Returns whether the
    /// message may be processed.
    pub(crate) fn follow(&mut self, from: &ReplicaId, epoch: Epoch) -> bool {
        let same = epoch == self.hard.epoch;
        let other_leader = self.leader.as_ref().is_some_and(|leader| leader != from);
        let rival = same && (self.role == Role::Leader || other_leader);
        self.check(!rival, Invariant::OneLeader);
        if rival {
            return false;
        }
        if !same || self.role != Role::Follower || self.leader.is_none() {
            self.become_follower(epoch, Some(from.clone()));
        }
        self.leader_contact = self.now;
        self.restart.since_start = SinceStart::LeaderSeen;
        self.reset_election_deadline();
        true
    }

    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        prev: EntryId,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        self.round = self.round.max(round);
        let base = self.log.base().index;
        if prev.index >= base && !self.log.contains(prev) {
            let conflict = Some(self.log.find_match(prev));
            self.reply_append(from, conflict);
            return;
        }
        let last = prev.index + entries.len() as u64;
        // Entries at or before the base are committed and therefore equal.
        for entry in entries.into_iter().filter(|entry| entry.id.index > base) {
            self.append_entry(entry);
        }
        self.verified = self.verified.max(last.max(base));
        self.commit_to(commit.min(self.verified));
        self.reply_append(from, None);
    }

    fn append_entry(&mut self, entry: Entry) {
        let index = entry.id.index;
        match self.log.get(index) {
            Some(own) if own.id == entry.id => {
                let equal = *own == entry;
                self.check(equal, Invariant::LogMatching);
            }
            Some(_) => {
                self.truncate(index);
                self.push(entry);
            }
            None => self.push(entry),
        }
    }

    /// Reports to the leader how much of its log is on disk here.
    fn reply_append(&mut self, to: ReplicaId, conflict: Option<EntryId>) {
        let body = Body::AppendReply { round: self.round, matched: self.matched(), conflict };
        self.send(to, body);
    }

    fn matched(&mut self) -> u64 {
        let limit =
            if self.settings.protections.sync_first { self.durable.index } else { u64::MAX };
        let matched = self.verified.min(limit);
        self.check(matched <= self.durable.index, Invariant::SyncedFirst);
        matched
    }

    /// Records that writes are synced, counts the candidate's own vote, and reports newly synced
    /// entries to the leader.
    pub(crate) fn on_synced(&mut self, write: u64) {
        let before = self.durable.index;
        self.durable.mark_synced(write);
        if self.durable.hard == self.hard {
            self.count_own_vote();
        }
        let more = self.durable.index.min(self.verified) > before;
        if more && self.role == Role::Follower {
            self.reply_append_to_leader();
        }
    }

    /// Reports to the leader, if there is one, how much of its log is on disk here.
    pub(crate) fn reply_append_to_leader(&mut self) {
        if let Some(leader) = self.leader.clone() {
            self.reply_append(leader, None);
        }
    }
}
