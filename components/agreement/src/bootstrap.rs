//! The bootstrap of a deployment.
//!
//! The founders' settings name nodes, but voters are nodes with the incarnations of their data
//! folders. The founder whose name sorts first writes the first log entry, which contains the
//! members, after every other founder has reported its incarnation and that its disk is empty. The
//! other founders wait to receive that entry.
//!
//! Without these reports, a founder that loses its disk later and starts with its original settings
//! would bootstrap a second deployment next to the first one. Operators would see two leaders that
//! are unaware of each other. All founders must reply, and one with a vote, an epoch or an entry
//! prevents the bootstrap, so a second deployment could only arise if every founder lost its disk.
//! That can happen after other replicas have replaced the founders one by one, so the other control
//! processes known from gossip are asked as well, and a single one that is not empty prevents the
//! bootstrap.

use std::collections::BTreeSet;

use chicoryford_types::Node;

use crate::entry::Entry;
use crate::entry::EntryId;
use crate::entry::Payload;
use crate::identity::Founder;
use crate::identity::Membership;
use crate::identity::ReplicaId;
use crate::identity::ReplicaInfo;
use crate::message::Body;
use crate::replica::Replica;

impl Replica {
    /// Returns whether this replica has never written any state.
    pub(crate) fn is_empty(&self) -> bool {
        let never = self.hard.epoch.0 == 0 && self.hard.vote.is_none();
        never && self.log.last() == EntryId::default()
    }

    /// Asks the other founders, if this one is responsible for the first entry.
    pub(crate) fn contact_founders(&mut self) {
        if !self.is_empty() || !self.is_first_founder() {
            return;
        }
        self.try_bootstrap();
        if !self.is_empty() || self.now < self.election_deadline {
            return;
        }
        self.election_deadline = self.now + self.settings.heartbeat_ms;
        let founders = self.settings.founders.iter().map(|founder| founder.node.clone());
        let nodes: BTreeSet<Node> = founders.chain(self.known_nodes.iter().cloned()).collect();
        for node in nodes {
            if node != self.settings.id.node {
                self.send(ReplicaId { node, ..ReplicaId::default() }, Body::Hello);
            }
        }
    }

    fn is_first_founder(&self) -> bool {
        let first = self.settings.founders.iter().map(|founder| &founder.node).min();
        first == Some(&self.settings.id.node)
    }

    pub(crate) fn on_hello(&mut self, from: ReplicaId) {
        let empty = self.is_empty();
        self.send(from, Body::HelloReply { empty });
    }

    pub(crate) fn on_hello_reply(&mut self, from: ReplicaId, empty: bool) {
        self.founder_replies.retain(|id, _| id.node != from.node);
        self.founder_replies.insert(from, empty);
        if self.is_empty() && self.is_first_founder() {
            self.try_bootstrap();
        }
    }

    /// Writes the first entry if the identities of all founders are known and their disks are
    /// empty.
    fn try_bootstrap(&mut self) {
        if self.founder_replies.values().any(|empty| !empty) {
            return;
        }
        let mut members = Membership::default();
        for founder in &self.settings.founders {
            let Some(id) = self.founder_id(founder) else { return };
            let info =
                ReplicaInfo { address: founder.address.clone(), voter: true, replaces: None };
            members.replicas.insert(id, info);
        }
        tracing::info!(event = "founded", replicas = members.replicas.len());
        let id = EntryId { index: 1, ..EntryId::default() };
        self.push(Entry { id, payload: Payload::Members(members) });
        self.election_deadline = self.now;
    }

    fn founder_id(&self, founder: &Founder) -> Option<ReplicaId> {
        if founder.node == self.settings.id.node {
            return Some(self.settings.id.clone());
        }
        let found = self.founder_replies.iter().find(|(id, _)| id.node == founder.node);
        found.filter(|(_, empty)| **empty).map(|(id, _)| id.clone())
    }
}
