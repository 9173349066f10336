//! The queued requests of one model, by class.

use std::collections::BTreeMap;
use std::collections::HashMap;

use chicoryford_types::Class;
use chicoryford_types::Millis;
use chicoryford_types::RequestId;
use chicoryford_types::Workspace;

/// A queued request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// The request's id.
    pub id: RequestId,
    /// The workspace that sent it.
    pub workspace: Workspace,
    /// Its priority class.
    pub class: Class,
    /// The latest start at which it may still meet its deadline.
    pub latest_start: Millis,
    /// Its expected run time once started, in milliseconds.
    pub expected_ms: u64,
}

/// The position of a request in its queue: its order, then its arrival number.
pub type QueueKey = (u64, u64);

/// The queue of one class, ordered by latest start; samples are ordered by the fair clock instead.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    by_order: BTreeMap<QueueKey, Waiting>,
    by_latest_start: BTreeMap<(Millis, u64), QueueKey>,
    seq: u64,
}

/// Start-time fair queueing of samples by the weights of their workspaces, over all models:
/// trainers whose models run on the same engines share those engines by weight.
#[derive(Clone, Debug, Default)]
pub struct FairClock {
    last_tags: HashMap<Workspace, u64>,
    virtual_time: u64,
}

impl FairClock {
    /// Returns the tag of a workspace's next sample: its last tag, or the virtual time if the
    /// workspace was idle, plus the cost of a start divided by its weight.
    pub fn next_tag(&mut self, workspace: &Workspace, weight: u32) -> u64 {
        let last = self.last_tags.get(workspace).copied().unwrap_or(0);
        let tag = last.max(self.virtual_time) + START_COST / u64::from(weight.max(1));
        self.last_tags.insert(workspace.clone(), tag);
        tag
    }

    /// Advances the virtual time to the tag of a sample that started.
    pub fn advance(&mut self, tag: u64) {
        self.virtual_time = self.virtual_time.max(tag);
    }
}

/// The cost of one start at weight one, in units of virtual time.
const START_COST: u64 = 1 << 16;

impl ClassQueue {
    /// Adds a request in ascending `order`, after those of equal order, and returns its key.
    pub fn push(&mut self, waiting: Waiting, order: u64) -> QueueKey {
        self.seq += 1;
        let key = (order, self.seq);
        self.by_latest_start.insert((waiting.latest_start, self.seq), key);
        self.by_order.insert(key, waiting);
        key
    }

    /// Removes and returns the first request.
    pub fn pop(&mut self) -> Option<Waiting> {
        let (key, waiting) = self.by_order.pop_first()?;
        self.by_latest_start.remove(&(waiting.latest_start, key.1));
        Some(waiting)
    }

    /// Removes and returns the request whose latest start passed first, if any has passed.
    pub fn pop_expired(&mut self, now: Millis) -> Option<Waiting> {
        let (&(latest_start, seq), &key) = self.by_latest_start.first_key_value()?;
        if latest_start >= now {
            return None;
        }
        self.by_latest_start.remove(&(latest_start, seq));
        self.by_order.remove(&key)
    }

    /// Removes and returns the last request.
    pub fn pop_last(&mut self) -> Option<Waiting> {
        let (key, waiting) = self.by_order.pop_last()?;
        self.by_latest_start.remove(&(waiting.latest_start, key.1));
        Some(waiting)
    }

    /// Removes a request.
    pub fn remove(&mut self, key: QueueKey) -> Option<Waiting> {
        let waiting = self.by_order.remove(&key)?;
        self.by_latest_start.remove(&(waiting.latest_start, key.1));
        Some(waiting)
    }

    /// Returns the order of the first request.
    pub fn first_order(&self) -> Option<u64> {
        self.by_order.first_key_value().map(|(key, _)| key.0)
    }

    /// Returns when the next request expires, which is the earliest of the latest starts.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.by_latest_start.first_key_value().map(|((latest_start, _), _)| *latest_start)
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.by_order.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.by_order.is_empty()
    }
}
