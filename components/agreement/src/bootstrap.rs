//! The first start of a deployment.
//!
//! The founders' settings name nodes, but voters are nodes with the incarnations of their data
//! folders. The founder that is first by name writes the first entry, the members, after every
//! other has told its incarnation and that its disk is empty. The others wait to be sent it.
//!
//! Without the question a founder whose disk is lost later, and which starts with the settings
//! of the first day, would found a second deployment beside the first. It would show as two
//! leaders that do not know each other. As any other founder that has a vote, an epoch or an
//! entry says so, and all must answer, that takes the loss of every founder's disk. It may come to
//! that when other replicas took the founders' places one by one, so the other control processes
//! that gossip knows are asked as well, and one that is not empty is enough to forbid it.

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
    /// Tells whether nothing was ever written here.
    pub(crate) fn is_empty(&self) -> bool {
        let never = self.hard.epoch.0 == 0 && self.hard.vote.is_none();
        never && self.log.last() == EntryId::default()
    }

    /// Asks the other founders, if this one is to write the first entry.
    pub(crate) fn seek_founders(&mut self) {
        if !self.is_empty() || !self.is_first_founder() {
            return;
        }
        self.found();
        if !self.is_empty() || self.now < self.deadline {
            return;
        }
        self.deadline = self.now + self.settings.heartbeat_ms;
        let founders = self.settings.founders.iter().map(|founder| founder.node.clone());
        let nodes: BTreeSet<Node> = founders.chain(self.neighbours.iter().cloned()).collect();
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
        self.founders.retain(|id, _| id.node != from.node);
        self.founders.insert(from, empty);
        if self.is_empty() && self.is_first_founder() {
            self.found();
        }
    }

    /// Writes the first entry if all founders are known and empty.
    fn found(&mut self) {
        if self.founders.values().any(|empty| !empty) {
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
        self.deadline = self.now;
    }

    fn founder_id(&self, founder: &Founder) -> Option<ReplicaId> {
        if founder.node == self.settings.id.node {
            return Some(self.settings.id.clone());
        }
        let found = self.founders.iter().find(|(id, _)| id.node == founder.node);
        found.filter(|(_, empty)| **empty).map(|(id, _)| id.clone())
    }
}
