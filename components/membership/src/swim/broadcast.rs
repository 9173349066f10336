//! The queue of updates that are piggybacked on messages.

use std::collections::BTreeMap;

use chicoryford_types::DataCentre;
use chicoryford_types::Node;

use crate::message::Update;

/// The kind of an update. At most one update of each kind is queued per member.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Kind {
    Content,
    Standing,
    /// Concerns a whole data centre and is queued without the name of a process.
    Silence(DataCentre),
}

struct QueuedUpdate {
    update: Update,
    size: usize,
    sent: u64,
}

/// Updates to piggyback, each sent a limited number of times. A newer update about a member
/// replaces the older one, so there are never more than two per member.
#[derive(Default)]
pub(super) struct BroadcastQueue {
    items: BTreeMap<(Node, Kind), QueuedUpdate>,
}

impl BroadcastQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub(super) fn add(&mut self, update: Update) {
        self.add_with_sends(update, 0);
    }

    /// Adds an update as if it had been sent `sent` times already, because it is less important.
    pub(super) fn add_with_sends(&mut self, update: Update, sent: u64) {
        let mut node = update.node().clone();
        let size = update.size();
        let kind = match &update {
            Update::Silent { data_centre, .. } => {
                node = Node::default();
                Kind::Silence(data_centre.clone())
            }
            Update::Alive(_) => Kind::Content,
            Update::Refuted { .. } | Update::Standing(_) => Kind::Standing,
        };
        if kind == Kind::Content {
            // An announcement by the member itself supersedes earlier reports about it.
            self.items.remove(&(node.clone(), Kind::Standing));
        }
        self.items.insert((node, kind), QueuedUpdate { update, size, sent });
    }

    /// Removes queued updates about the standing of these members.
    pub(super) fn remove_standing(&mut self, nodes: &[Node]) {
        for node in nodes {
            self.items.remove(&(node.clone(), Kind::Standing));
        }
    }

    /// Takes updates that fit into `room` bytes, least often sent ones first, and removes those
    /// that have been sent `limit` times.
    pub(super) fn take_batch(&mut self, room: usize, limit: u64, updates: &mut Vec<Update>) {
        if self.items.is_empty() {
            return;
        }
        let mut waiting: Vec<_> = self.items.iter_mut().collect();
        waiting.sort_by_key(|(_, item)| item.sent);
        let mut left = room;
        let mut finished = Vec::new();
        for (key, item) in waiting {
            // An update that is too large for a datagram of the usual size is sent alone in a
            // larger one.
            let alone = item.size > room && updates.is_empty();
            if item.size > left && !alone {
                continue;
            }
            left = left.saturating_sub(item.size);
            item.sent += 1;
            updates.push(item.update.clone());
            if item.sent >= limit {
                finished.push(key.clone());
            }
        }
        for key in finished {
            self.items.remove(&key);
        }
    }
}
