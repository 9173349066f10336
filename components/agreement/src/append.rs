//! The follower's side of appending.

use chicoryford_types::Epoch;

use crate::entry::Entry;
use crate::entry::EntryId;
use crate::identity::ReplicaId;
use crate::invariant::Invariant;
use crate::message::Body;
use crate::replica::Replica;
use crate::restart::Since;
use crate::status::Role;

impl Replica {
    /// Follows the leader of an epoch that is at least as high; tells whether it may be.
    pub(crate) fn follow(&mut self, from: &ReplicaId, epoch: Epoch) -> bool {
        let same = epoch == self.hard.epoch;
        let other = self.leader.as_ref().is_some_and(|leader| leader != from);
        let rival = same && (self.role == Role::Leader || other);
        self.check(!rival, Invariant::OneLeader);
        if rival {
            return false;
        }
        if !same || self.role != Role::Follower || self.leader.is_none() {
            self.become_follower(epoch, Some(from.clone()));
        }
        self.heard = self.now;
        self.restart.since = Since::Leader;
        self.draw_deadline();
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
        if prev.index >= base && !self.log.has(prev) {
            let conflict = Some(self.log.candidate(prev));
            self.reply_append(from, conflict);
            return;
        }
        let last = prev.index + entries.len() as u64;
        // What lies at or before the base is committed, and so equal.
        for entry in entries.into_iter().filter(|entry| entry.id.index > base) {
            self.take_entry(entry);
        }
        self.verified = self.verified.max(last.max(base));
        self.commit_to(commit.min(self.verified));
        self.reply_append(from, None);
    }

    fn take_entry(&mut self, entry: Entry) {
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

    /// Tells the leader how much of its log is on disk here.
    fn reply_append(&mut self, to: ReplicaId, conflict: Option<EntryId>) {
        let body = Body::AppendReply { round: self.round, matched: self.matched(), conflict };
        self.send(to, body);
    }

    fn matched(&mut self) -> u64 {
        let counted =
            if self.settings.protections.sync_first { self.durable.index } else { u64::MAX };
        let matched = self.verified.min(counted);
        self.check(matched <= self.durable.index, Invariant::SyncedFirst);
        matched
    }

    /// Takes word from the disk: lets go of what waited for it, and counts it.
    pub(crate) fn synced(&mut self, write: u64) {
        let before = self.durable.index;
        self.durable.sync(write);
        if self.durable.hard == self.hard {
            self.count_own_vote();
        }
        let more = self.durable.index.min(self.verified) > before;
        if more && self.role == Role::Follower {
            self.reply_append_to_leader();
        }
    }

    /// Tells the leader, if there is one, how much of its log is on disk here.
    pub(crate) fn reply_append_to_leader(&mut self) {
        if let Some(leader) = self.leader.clone() {
            self.reply_append(leader, None);
        }
    }
}
