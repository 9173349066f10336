//! What is known of the other members.

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
    /// The number of its last announcement or refutation.
    pub(super) announced: u64,
    pub(super) standing: Standing,
    /// The announcement that the standing accuses; a later one refutes.
    pub(super) accused: u64,
    pub(super) since: Millis,
}

impl Entry {
    pub(super) fn is_present(&self) -> bool {
        self.standing <= Standing::Suspect
    }
}

/// The other members, and the numbers of those that were forgotten.
pub(super) struct Table {
    entries: BTreeMap<Node, Entry>,
    names: Vec<Node>,
    present: usize,
    past: BTreeMap<Node, Past>,
    remembered: usize,
    pub(super) broken: u64,
}

#[derive(Clone, Copy)]
struct Past {
    incarnation: Incarnation,
    announced: u64,
    forgotten: Millis,
}

impl Table {
    pub(super) fn new(remembered: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            names: Vec::new(),
            present: 0,
            past: BTreeMap::new(),
            remembered,
            broken: 0,
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

    /// Gives the names of all entries, for choosing at random.
    pub(super) fn names(&self) -> &[Node] {
        &self.names
    }

    /// Counts the members that are alive or suspect.
    pub(super) fn present(&self) -> usize {
        self.present
    }

    /// Gives the numbers of a member since forgotten, if an announcement is not beyond them.
    ///
    /// Old announcements travel for a while. Without this one of them would bring back a member
    /// that was declared dead, and work would be sent to it.
    pub(super) fn past(&self, member: &Member) -> Option<(Incarnation, u64)> {
        let past = self.past.get(&member.node).map(|past| (past.incarnation, past.announced));
        past.filter(|past| (member.incarnation, member.announced) <= *past)
    }

    /// Takes an announcement that is newer than what is held.
    pub(super) fn put(&mut self, member: Arc<Member>, now: Millis) {
        let node = member.node.clone();
        let address = member.gossip.parse().ok();
        let announced = member.announced;
        let Some(entry) = self.entries.get_mut(&node) else {
            let (standing, accused) = (Standing::Alive, 0);
            let entry = Entry { member, address, announced, standing, accused, since: now };
            self.entries.insert(node.clone(), entry);
            self.names.push(node.clone());
            self.past.remove(&node);
            self.present += 1;
            return;
        };
        if member.incarnation < entry.member.incarnation {
            tracing::error!(event = "promise_broken", promise = "incarnation_goes_back", %node);
            self.broken += 1;
            return;
        }
        entry.member = member;
        entry.address = address;
        entry.announced = announced;
    }

    /// Takes a refutation without content.
    pub(super) fn refute(&mut self, node: &Node, announced: u64) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.announced = entry.announced.max(announced);
        }
    }

    /// Sets how a member stands.
    pub(super) fn stand(&mut self, node: &Node, standing: Standing, accused: u64, now: Millis) {
        let Some(entry) = self.entries.get_mut(node) else { return };
        let before = entry.is_present();
        entry.standing = standing;
        entry.accused = accused;
        entry.since = now;
        let after = entry.is_present();
        self.present = self.present + usize::from(after) - usize::from(before);
    }

    /// Forgets those that have long been dead or gone, but not their numbers.
    pub(super) fn forget(&mut self, now: Millis, forget_ms: u64) -> bool {
        let before = self.entries.len();
        let past = &mut self.past;
        self.entries.retain(|node, entry| {
            let keep = entry.is_present() || now.since(entry.since) < forget_ms;
            if !keep {
                let announced = entry.announced.max(entry.accused);
                let incarnation = entry.member.incarnation;
                past.insert(node.clone(), Past { incarnation, announced, forgotten: now });
            }
            keep
        });
        let forgot = self.entries.len() != before;
        if forgot {
            self.names = self.entries.keys().cloned().collect();
            self.bound_past();
        }
        forgot
    }

    fn bound_past(&mut self) {
        while self.past.len() > self.remembered {
            let oldest = self.past.iter().min_by_key(|(_, past)| past.forgotten);
            let Some(node) = oldest.map(|(node, _)| node.clone()) else { return };
            self.past.remove(&node);
        }
    }
}
