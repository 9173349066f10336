//! The requests of one model that wait, by class.

use std::collections::BTreeMap;
use std::collections::HashMap;

use chicoryford_types::Class;
use chicoryford_types::Millis;
use chicoryford_types::RequestId;
use chicoryford_types::Workspace;

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// The request.
    pub id: RequestId,
    /// On whose behalf.
    pub workspace: Workspace,
    /// How urgent it is.
    pub class: Class,
    /// When it must have started to have a chance.
    pub latest_start: Millis,
    /// Milliseconds in which it is expected to finish once started.
    pub expected_ms: u64,
}

/// A request's place in its line.
pub type QueueKey = (u64, u64);

/// One class's requests: the earliest deadline first, and for samples fair by workspaces' weights.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    by_order: BTreeMap<QueueKey, Waiting>,
    by_latest_start: BTreeMap<(Millis, u64), QueueKey>,
    seq: u64,
}

/// Start-time fair queueing of samples by their workspaces' weights, over all models: trainers
/// whose models run on the same engines share them by weight.
#[derive(Clone, Debug, Default)]
pub struct FairClock {
    last_tags: HashMap<Workspace, u64>,
    virtual_time: u64,
}

impl FairClock {
    /// Gives the place of a workspace's next sample: behind its last one by the cost over its
    /// weight, or at the present virtual time if it was idle.
    pub fn next_tag(&mut self, workspace: &Workspace, weight: u32) -> u64 {
        let last = self.last_tags.get(workspace).copied().unwrap_or(0);
        let tag = last.max(self.virtual_time) + START_COST / u64::from(weight.max(1));
        self.last_tags.insert(workspace.clone(), tag);
        tag
    }

    /// Takes in that the sample at this place started.
    pub fn advance(&mut self, tag: u64) {
        self.virtual_time = self.virtual_time.max(tag);
    }
}

/// The cost of one start, in units of a workspace's virtual time, at weight one.
const START_COST: u64 = 1 << 16;

impl ClassQueue {
    /// Adds a request, behind those that go first, and gives its key.
    pub fn push(&mut self, waiting: Waiting, first: u64) -> QueueKey {
        self.seq += 1;
        let key = (first, self.seq);
        self.by_latest_start.insert((waiting.latest_start, self.seq), key);
        self.by_order.insert(key, waiting);
        key
    }

    /// Takes the request that goes first.
    pub fn pop(&mut self) -> Option<Waiting> {
        let (key, waiting) = self.by_order.pop_first()?;
        self.by_latest_start.remove(&(waiting.latest_start, key.1));
        Some(waiting)
    }

    /// Takes the request that has had no chance for longest.
    pub fn pop_expired(&mut self, now: Millis) -> Option<Waiting> {
        let (&(latest, seq), &key) = self.by_latest_start.first_key_value()?;
        if latest >= now {
            return None;
        }
        self.by_latest_start.remove(&(latest, seq));
        self.by_order.remove(&key)
    }

    /// Takes the request that goes last.
    pub fn pop_last(&mut self) -> Option<Waiting> {
        let (key, waiting) = self.by_order.pop_last()?;
        self.by_latest_start.remove(&(waiting.latest_start, key.1));
        Some(waiting)
    }

    /// Takes a request out.
    pub fn remove(&mut self, key: QueueKey) -> Option<Waiting> {
        let waiting = self.by_order.remove(&key)?;
        self.by_latest_start.remove(&(waiting.latest_start, key.1));
        Some(waiting)
    }

    /// Gives the place of the request that goes first.
    pub fn first_order(&self) -> Option<u64> {
        self.by_order.first_key_value().map(|(key, _)| key.0)
    }

    /// Gives when the next request will have no chance any more.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.by_latest_start.first_key_value().map(|((latest, _), _)| *latest)
    }

    /// Counts the requests.
    pub fn len(&self) -> usize {
        self.by_order.len()
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.by_order.is_empty()
    }
}
