//! Sorting of messages by what they say.

use chicoryford_types::Epoch;

use crate::identity::ReplicaId;
use crate::message::Body;
use crate::message::Message;
use crate::replica::Replica;
use crate::status::Role;

impl Replica {
    /// Takes a message.
    pub(crate) fn receive(&mut self, message: Message) {
        let Message { from, to, epoch, body } = message;
        if !self.is_for_me(&to, &body) {
            return;
        }
        self.contacts.insert(from.clone(), self.now);
        match body {
            Body::Hello => self.on_hello(from),
            Body::HelloReply { empty } => self.on_hello_reply(from, empty),
            Body::PreVote { next, last } => self.on_pre_vote(from, next, last),
            Body::Vote { last, handed } => self.on_vote(from, epoch, last, handed),
            Body::Append { .. } | Body::SnapshotChunk { .. } => self.receive_led(from, epoch, body),
            Body::Restarted { number } => self.on_restarted(from, number),
            Body::RestartedReply { number, too } => self.on_restarted_reply(from, number, too),
            Body::TimeoutNow => self.on_campaign_now(&from, epoch),
            _ => self.receive_reply(from, epoch, body),
        }
    }

    /// A message for an earlier incarnation of this node's folder is not for this replica: what
    /// the earlier one knew is lost, and an answer would be counted as if it were not. Whether it
    /// has restarted is asked of the node, whatever its incarnation.
    fn is_for_me(&self, to: &ReplicaId, body: &Body) -> bool {
        let hello = matches!(body, Body::Hello | Body::Restarted { .. });
        to.node == self.settings.id.node && (hello || *to == self.settings.id)
    }

    fn receive_led(&mut self, from: ReplicaId, epoch: Epoch, body: Body) {
        if epoch < self.hard.epoch {
            self.send(from, Body::AppendReply { round: 0, matched: 0, conflict: None });
            return;
        }
        if !self.follow(&from, epoch) {
            return;
        }
        match body {
            Body::Append { prev, entries, commit, round } => {
                self.on_append(from, prev, entries, commit, round);
            }
            Body::SnapshotChunk { meta, total, offset, data, round } => {
                self.on_snapshot_chunk(from, meta, total, offset, &data, round);
            }
            _ => {}
        }
    }

    fn receive_reply(&mut self, from: ReplicaId, epoch: Epoch, body: Body) {
        if epoch > self.hard.epoch {
            self.become_follower(epoch, None);
            return;
        }
        // A refused pre-vote may come from an epoch that is lower than the asker's.
        if let Body::PreVoteReply { next, granted } = body {
            self.on_pre_vote_reply(from, next, granted);
            return;
        }
        if epoch < self.hard.epoch {
            return;
        }
        match body {
            Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            Body::AppendReply { round, matched, conflict } if self.role == Role::Leader => {
                self.on_append_reply(&from, round, matched, conflict);
            }
            Body::SnapshotChunkReply { last, received, round } if self.role == Role::Leader => {
                self.on_snapshot_chunk_reply(&from, last, received, round);
            }
            _ => {}
        }
    }
}
