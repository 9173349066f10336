//! Dispatch of received messages.

use chicoryford_types::Epoch;

use crate::identity::ReplicaId;
use crate::message::Body;
use crate::message::Message;
use crate::replica::Replica;
use crate::status::Role;

impl Replica {
    /// Processes a received message.
    pub(crate) fn receive(&mut self, message: Message) {
        let Message { from, to, epoch, body } = message;
        if !self.is_addressed_here(&to, &body) {
            return;
        }
        self.contacts.insert(from.clone(), self.now);
        match body {
            Body::Hello => self.on_hello(from),
            Body::HelloReply { empty } => self.on_hello_reply(from, empty),
            Body::PreVote { next, last } => self.on_pre_vote(from, next, last),
            Body::Vote { last, hand_over } => self.on_vote(from, epoch, last, hand_over),
            Body::Append { .. } | Body::SnapshotChunk { .. } => {
                self.receive_from_leader(from, epoch, body)
            }
            Body::Restarted { number } => self.on_restarted(from, number),
            Body::RestartedReply { number, too } => self.on_restarted_reply(from, number, too),
            Body::TimeoutNow => self.on_timeout_now(&from, epoch),
            _ => self.receive_reply(from, epoch, body),
        }
    }

    /// Returns whether a message is addressed to this replica.
    ///
    /// A message for an earlier incarnation of this node's data folder is not: the state of that
    /// incarnation is lost, and a reply would count as if it still existed. `Hello` and `Restarted`
    /// are addressed to the node, whatever its incarnation.
    fn is_addressed_here(&self, to: &ReplicaId, body: &Body) -> bool {
        let to_node = matches!(body, Body::Hello | Body::Restarted { .. });
        to.node == self.settings.id.node && (to_node || *to == self.settings.id)
    }

    fn receive_from_leader(&mut self, from: ReplicaId, epoch: Epoch, body: Body) {
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
        // A pre-vote may be refused from an epoch that is lower than the sender's.
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
