//! Fast elections after all replicas restarted together.
//!
//! A replica that has just started withholds its vote for the shortest election timeout, because a
//! leader that it answered before it stopped may still hold its lease. After a simultaneous power
//! loss of all replicas there is no such leader, and clients would wait for nothing. A replica that
//! has started therefore asks the others whether they have, too. Once all of them report that they
//! have had no contact with a leader since, none of them leads, no lease can be valid, and the
//! election starts at once: after about two round trips instead of 350 to 700 ms with the election
//! timeout of the control processes.
//!
//! A replica that lost its disk replies as another incarnation. A reply from a new process on the
//! same node is sufficient: the previous process no longer runs, so its lease no longer matters.
//!
//! All replicas must reply, not only a majority, because the missing one may be the leader. All
//! members of the last two memberships must reply, because a leader may lead until its own removal
//! is committed. The request contains a random number drawn at startup, so that a reply to an
//! earlier process of this replica, which may be older than a leader's election, is not counted.

use std::collections::BTreeSet;

use chicoryford_types::Millis;

use crate::identity::ReplicaId;
use crate::message::Body;
use crate::replica::Replica;

/// Contact with leaders since the process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum SinceStart {
    /// No contact with a leader, but an earlier leader may still hold its lease.
    #[default]
    NoLeader,
    /// No contact with a leader, and all replicas have restarted, so no earlier leader exists.
    AllRestarted,
    /// Contact with a leader, or this replica led.
    LeaderSeen,
}

/// State of the restart protocol.
#[derive(Debug, Default)]
pub(crate) struct RestartState {
    pub(crate) since_start: SinceStart,
    /// When the process started.
    pub(crate) started_at: Millis,
    /// Distinguishes this process from earlier ones of the same replica.
    pub(crate) number: u64,
    /// The time of the next request to the others.
    next_query: Millis,
    /// The replicas that reported a restart.
    restarted: BTreeSet<ReplicaId>,
}

impl Replica {
    /// Asks the others whether they have just started, as long as the reply can save time.
    pub(crate) fn query_restarts(&mut self) {
        let pending =
            self.restart.since_start == SinceStart::NoLeader && self.is_recently_started();
        if !pending || self.is_empty() || self.now < self.restart.next_query {
            return;
        }
        self.restart.next_query = self.now + self.settings.heartbeat_ms / 4;
        let number = self.restart.number;
        for id in self.others() {
            if !self.has_restarted(&id) {
                self.send(id, Body::Restarted { number });
            }
        }
    }

    /// Returns whether the process started less than the shortest election timeout ago.
    pub(crate) fn is_recently_started(&self) -> bool {
        self.now.since(self.restart.started_at) < self.settings.min_election_ms()
    }

    pub(crate) fn on_restarted(&mut self, from: ReplicaId, number: u64) {
        let too = self.restart.since_start != SinceStart::LeaderSeen;
        self.send(from, Body::RestartedReply { number, too });
    }

    pub(crate) fn on_restarted_reply(&mut self, from: ReplicaId, number: u64, too: bool) {
        let pending =
            self.restart.since_start == SinceStart::NoLeader && number == self.restart.number;
        if !pending || !too {
            return;
        }
        self.restart.restarted.insert(from);
        if !self.all_restarted() {
            return;
        }
        self.restart.since_start = SinceStart::AllRestarted;
        // The deadlines are staggered, so that the replicas do not compete for votes.
        let before = self.members().voters().take_while(|id| **id != self.settings.id).count();
        self.election_deadline = self.now + before as u64 * self.settings.heartbeat_ms / 3;
        tracing::info!(event = "restarted_together", replicas = self.restart.restarted.len() + 1);
    }

    fn all_restarted(&self) -> bool {
        let has_restarted = |id: &ReplicaId| *id == self.settings.id || self.has_restarted(id);
        if !self.settings.protections.all_restarted {
            return self.members().has_majority(has_restarted);
        }
        self.others().iter().all(has_restarted)
    }

    fn has_restarted(&self, id: &ReplicaId) -> bool {
        self.restart.restarted.iter().any(|other| other.node == id.node)
    }

    /// Returns all other members of the last two memberships.
    fn others(&self) -> BTreeSet<ReplicaId> {
        let last = self.memberships.iter().rev().take(2);
        let replicas = last.flat_map(|(_, members)| members.replicas.keys());
        replicas.filter(|id| **id != self.settings.id).cloned().collect()
    }
}
