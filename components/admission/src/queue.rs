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
    pub latest: Millis,
    /// Milliseconds in which it is expected to finish once started.
    pub expected_ms: u64,
}

/// A request's place in its line.
pub type Key = (u64, u64);

/// One class's requests: the earliest deadline first, and for samples fair by workspaces' weights.
#[derive(Clone, Debug, Default)]
pub struct Line {
    order: BTreeMap<Key, Waiting>,
    latest: BTreeMap<(Millis, u64), Key>,
    seq: u64,
}

/// Start-time fair queueing of samples by their workspaces' weights, over all models: trainers
/// whose models run on the same engines share them by weight.
#[derive(Clone, Debug, Default)]
pub struct Fair {
    tags: HashMap<Workspace, u64>,
    clock: u64,
}

impl Fair {
    /// Gives the place of a workspace's next sample: behind its last one by the cost over its
    /// weight, or at the present virtual time if it was idle.
    pub fn tag(&mut self, workspace: &Workspace, weight: u32) -> u64 {
        let last = self.tags.get(workspace).copied().unwrap_or(0);
        let tag = last.max(self.clock) + COST / u64::from(weight.max(1));
        self.tags.insert(workspace.clone(), tag);
        tag
    }

    /// Takes in that the sample at this place started.
    pub fn advance(&mut self, tag: u64) {
        self.clock = self.clock.max(tag);
    }
}

/// The cost of one start, in units of a workspace's virtual time, at weight one.
const COST: u64 = 1 << 16;

impl Line {
    /// Adds a request, behind those that go first, and gives its key.
    pub fn push(&mut self, waiting: Waiting, first: u64) -> Key {
        self.seq += 1;
        let key = (first, self.seq);
        self.latest.insert((waiting.latest, self.seq), key);
        self.order.insert(key, waiting);
        key
    }

    /// Takes the request that goes first.
    pub fn pop(&mut self) -> Option<Waiting> {
        let (key, waiting) = self.order.pop_first()?;
        self.latest.remove(&(waiting.latest, key.1));
        Some(waiting)
    }

    /// Takes the request that has had no chance for longest.
    pub fn pop_doomed(&mut self, now: Millis) -> Option<Waiting> {
        let (&(latest, seq), &key) = self.latest.first_key_value()?;
        if latest >= now {
            return None;
        }
        self.latest.remove(&(latest, seq));
        self.order.remove(&key)
    }

    /// Takes the request that goes last.
    pub fn pop_last(&mut self) -> Option<Waiting> {
        let (key, waiting) = self.order.pop_last()?;
        self.latest.remove(&(waiting.latest, key.1));
        Some(waiting)
    }

    /// Takes a request out.
    pub fn remove(&mut self, key: Key) -> Option<Waiting> {
        let waiting = self.order.remove(&key)?;
        self.latest.remove(&(waiting.latest, key.1));
        Some(waiting)
    }

    /// Gives the place of the request that goes first.
    pub fn first(&self) -> Option<u64> {
        self.order.first_key_value().map(|(key, _)| key.0)
    }

    /// Gives when the next request will have no chance any more.
    pub fn next_doom(&self) -> Option<Millis> {
        self.latest.first_key_value().map(|((latest, _), _)| *latest)
    }

    /// Counts the requests.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
