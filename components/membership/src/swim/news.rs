//! News that wait to ride along with messages.

use std::collections::BTreeMap;

use chicoryford_types::DataCentre;
use chicoryford_types::Node;

use crate::message::Update;

/// Whether an update tells what a member is or only how it stands; one of each may wait.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Kind {
    Content,
    Standing,
    /// Of a whole data centre; it waits under no process's name.
    Silence(DataCentre),
}

struct Item {
    update: Update,
    size: usize,
    sent: u64,
}

/// News that wait to ride along, each a bounded number of times. A newer piece of news about a
/// member replaces the older one, so there are never more than two a member.
#[derive(Default)]
pub(super) struct Queue {
    items: BTreeMap<(Node, Kind), Item>,
}

impl Queue {
    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub(super) fn add(&mut self, update: Update) {
        self.add_spent(update, 0);
    }

    /// Adds news as if they had been sent `sent` times before, because less depends on them.
    pub(super) fn add_spent(&mut self, update: Update, sent: u64) {
        let mut node = update.node().clone();
        let size = update.size();
        let kind = match &update {
            Update::Silent { place, .. } => {
                node = Node::default();
                Kind::Silence(place.clone())
            }
            Update::Alive(_) => Kind::Content,
            Update::Refuted { .. } | Update::Accused(_) => Kind::Standing,
        };
        if kind == Kind::Content {
            // What a member announces itself outdates what was said of it before.
            self.items.remove(&(node.clone(), Kind::Standing));
        }
        self.items.insert((node, kind), Item { update, size, sent });
    }

    /// Drops news of how these members stand.
    pub(super) fn drop_standing(&mut self, nodes: &[Node]) {
        for node in nodes {
            self.items.remove(&(node.clone(), Kind::Standing));
        }
    }

    /// Takes news that fit into `room` bytes, those sent least often first, and drops those that
    /// have been sent `limit` times.
    pub(super) fn take(&mut self, room: usize, limit: u64, updates: &mut Vec<Update>) {
        if self.items.is_empty() {
            return;
        }
        let mut waiting: Vec<_> = self.items.iter_mut().collect();
        waiting.sort_by_key(|(_, item)| item.sent);
        let mut left = room;
        let mut spent = Vec::new();
        for (key, item) in waiting {
            // News that no datagram of the usual size can hold go alone, in a larger one.
            let alone = item.size > room && updates.is_empty();
            if item.size > left && !alone {
                continue;
            }
            left = left.saturating_sub(item.size);
            item.sent += 1;
            updates.push(item.update.clone());
            if item.sent >= limit {
                spent.push(key.clone());
            }
        }
        for key in spent {
            self.items.remove(&key);
        }
    }
}
