//! The table of the other members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

use chicoryford_types::Incarnation;
use chicoryford_types::Member;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Standing;

/// One other member.
pub(super) struct Entry {
    pub(super) member: Arc<Member>,
    pub(super) address: Option<SocketAddr>,
    /// The sequence number of its last announcement or refutation.
    pub(super) announced: u64,
    pub(super) standing: Standing,
    /// The sequence number of the announcement to which the standing refers; a later one refutes
    /// it.
    pub(super) reported_number: u64,
    pub(super) since: Millis,
}

impl Entry {
    pub(super) fn is_present(&self) -> bool {
        self.standing <= Standing::Suspect
    }
}

/// The other members, and the tombstones of removed ones.
pub(super) struct Table {
    entries: BTreeMap<Node, Entry>,
    names: Vec<Node>,
    present: usize,
    tombstones: BTreeMap<Node, Tombstone>,
    max_tombstones: usize,
    pub(super) violations: u64,
}

#[derive(Clone, Copy)]
struct Tombstone {
    incarnation: Incarnation,
    announced: u64,
    removed_at: Millis,
}

impl Table {
    pub(super) fn new(max_tombstones: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            names: Vec::new(),
            present: 0,
            tombstones: BTreeMap::new(),
            max_tombstones,
            violations: 0,
        }
    }

    pub(super) fn get(&self, node: &Node) -> Option<&Entry> {
        self.entries.get(node)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(super) fn after(&self, node: &Node) -> impl Iterator<Item = &Entry> {
        self.entries.range((Bound::Excluded(node), Bound::Unbounded)).map(|(_, entry)| entry)
    }

    /// Returns the names of all entries, for random selection.
    pub(super) fn names(&self) -> &[Node] {
        &self.names
    }

    /// Returns the number of members that are alive or suspect.
    pub(super) fn present(&self) -> usize {
        self.present
    }

    /// Returns the incarnation and sequence number of a removed member, if an announcement does not
    /// exceed them.
    ///
    /// Old announcements circulate for a while. Without tombstones, one of them could bring back a
    /// member that was declared dead, and work would be sent to it.
    pub(super) fn tombstone(&self, member: &Member) -> Option<(Incarnation, u64)> {
        let numbers = self
            .tombstones
            .get(&member.node)
            .map(|tombstone| (tombstone.incarnation, tombstone.announced));
        numbers.filter(|numbers| (member.incarnation, member.announced) <= *numbers)
    }

    /// Stores an announcement that is newer than the stored one.
    pub(super) fn put(&mut self, member: Arc<Member>, now: Millis) {
        let node = member.node.clone();
        let address = member.gossip.parse().ok();
        let announced = member.announced;
        let Some(entry) = self.entries.get_mut(&node) else {
            let (standing, reported_number) = (Standing::Alive, 0);
            let entry = Entry { member, address, announced, standing, reported_number, since: now };
            self.entries.insert(node.clone(), entry);
            self.names.push(node.clone());
            self.tombstones.remove(&node);
            self.present += 1;
            return;
        };
        if member.incarnation < entry.member.incarnation {
            tracing::error!(event = "promise_broken", promise = "incarnation_goes_back", %node);
            self.violations += 1;
            return;
        }
        entry.member = member;
        entry.address = address;
        entry.announced = announced;
    }

    /// Applies a refutation without content.
    pub(super) fn record_refutation(&mut self, node: &Node, announced: u64) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.announced = entry.announced.max(announced);
        }
    }

    /// Sets the standing of a member.
    pub(super) fn set_standing(
        &mut self,
        node: &Node,
        standing: Standing,
        reported_number: u64,
        now: Millis,
    ) {
        let Some(entry) = self.entries.get_mut(node) else { return };
        let before = entry.is_present();
        entry.standing = standing;
        entry.reported_number = reported_number;
        entry.since = now;
        let after = entry.is_present();
        self.present = self.present + usize::from(after) - usize::from(before);
    }

    /// Removes members that have long been dead or departed, and stores tombstones for them.
    pub(super) fn remove_expired(&mut self, now: Millis, dead_retention_ms: u64) -> bool {
        let before = self.entries.len();
        let tombstones = &mut self.tombstones;
        self.entries.retain(|node, entry| {
            let keep = entry.is_present() || now.since(entry.since) < dead_retention_ms;
            if !keep {
                let announced = entry.announced.max(entry.reported_number);
                let incarnation = entry.member.incarnation;
                tombstones
                    .insert(node.clone(), Tombstone { incarnation, announced, removed_at: now });
            }
            keep
        });
        let removed = self.entries.len() != before;
        if removed {
            self.names = self.entries.keys().cloned().collect();
            self.limit_tombstones();
        }
        removed
    }

    fn limit_tombstones(&mut self) {
        while self.tombstones.len() > self.max_tombstones {
            let oldest = self.tombstones.iter().min_by_key(|(_, tombstone)| tombstone.removed_at);
            let Some(node) = oldest.map(|(node, _)| node.clone()) else { return };
            self.tombstones.remove(&node);
        }
    }
}
