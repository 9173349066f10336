//! Queue for requests at a process while all endpoints of a service are full.
//!
//! Without it, every request would retry on its own, and a free slot would go to whoever retries
//! most often, so that a workspace with many requests would starve the others. With the queue,
//! requests retry one after the other, most urgent first. Equally urgent requests are ordered by
//! start-time fair queueing over workspaces (Goyal, Vin and Cheng, 1996), so that a workspace with
//! few requests does not wait behind all requests of a workspace with many. Requests that are
//! abandoned do not count: otherwise, a workspace would get nothing for minutes after an excess.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use chicoryford_types::Millis;

/// Milliseconds without retries after all endpoints were full, which is about the duration of a
/// request.
const PAUSE_MS: u64 = 30;

/// Position of a request: its priority, its workspace, and a number that makes it unique.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuePosition {
    rank: u32,
    /// The number of the workspace.
    workspace: usize,
    number: u64,
    /// The virtual time at which it was admitted; zero before.
    tag: u64,
}

/// The requests of a workspace with the same priority.
#[derive(Clone, Debug, Default)]
struct Flow {
    /// The virtual time of its first request: one after that of the queue when it became the first
    /// one. If it is abandoned, the next one gets it, so that only admitted requests count against
    /// the workspace.
    tag: u64,
    /// The numbers of its requests.
    waiting: BTreeSet<u64>,
}

/// Requests that wait for a slot at an endpoint of a service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    /// The numbers of the workspaces.
    workspaces: HashMap<String, usize>,
    /// The highest virtual time of an admitted request.
    virtual_time: u64,
    /// The waiting requests by priority and workspace; none is empty.
    flows: BTreeMap<(u32, usize), Flow>,
    /// The first request of each flow: its priority, its virtual time, its number and its workspace.
    heads: BTreeSet<(u32, u64, u64, usize)>,
    last_number: u64,
    paused_until: Millis,
}

impl WaitQueue {
    /// Returns whether a new request has to wait, because others do or because all endpoints were
    /// full a moment ago.
    pub fn must_wait(&self, now: Millis) -> bool {
        !self.heads.is_empty() || now < self.paused_until
    }

    /// Pauses retries after a request found all endpoints full.
    pub fn pause(&mut self, now: Millis) {
        self.paused_until = now + PAUSE_MS;
    }

    /// Adds a request of a workspace.
    pub fn push(&mut self, workspace: &str, rank: u32) -> QueuePosition {
        let count = self.workspaces.len();
        let workspace = match self.workspaces.get(workspace) {
            Some(known) => *known,
            None => *self.workspaces.entry(workspace.to_owned()).or_insert(count),
        };
        self.last_number += 1;
        let position = QueuePosition { rank, workspace, number: self.last_number, tag: 0 };
        let next_tag = self.virtual_time + 1;
        self.change(position, |flow| {
            if flow.waiting.is_empty() {
                flow.tag = next_tag;
            }
            flow.waiting.insert(position.number);
        });
        position
    }

    /// Adds a request again at the position at which it was admitted, after it found all endpoints
    /// full.
    pub fn requeue(&mut self, position: QueuePosition) {
        self.change(position, |flow| {
            let is_first = flow.waiting.is_empty();
            flow.tag = if is_first { position.tag } else { flow.tag.min(position.tag) };
            flow.waiting.insert(position.number);
        });
    }

    /// Returns the milliseconds until a request may retry, or `None` while others are ahead of it.
    pub fn wait_ms(&self, position: QueuePosition, now: Millis) -> Option<u64> {
        let (_, _, number, _) = self.heads.first()?;
        (*number == position.number).then(|| self.paused_until.since(now))
    }

    /// Removes a request that is about to retry, and advances the virtual time to its own. Returns
    /// the position at which it may be added again.
    pub fn admit(&mut self, position: QueuePosition) -> QueuePosition {
        let flow = self.flows.get(&(position.rank, position.workspace));
        let Some(tag) = flow.map(|flow| flow.tag) else { return position };
        self.virtual_time = self.virtual_time.max(tag);
        let next_tag = self.virtual_time + 1;
        self.change(position, |flow| {
            flow.waiting.remove(&position.number);
            flow.tag = next_tag;
        });
        QueuePosition { tag, ..position }
    }

    /// Removes a request that was abandoned.
    pub fn remove(&mut self, position: QueuePosition) {
        self.change(position, |flow| {
            flow.waiting.remove(&position.number);
        });
    }

    /// Changes the flow of a request and updates its first request.
    fn change(&mut self, position: QueuePosition, change: impl FnOnce(&mut Flow)) {
        let QueuePosition { rank, workspace, .. } = position;
        let head =
            |flow: &Flow| flow.waiting.first().map(|number| (rank, flow.tag, *number, workspace));
        let flow = self.flows.entry((rank, workspace)).or_default();
        let before = head(flow);
        change(flow);
        let after = head(flow);
        if flow.waiting.is_empty() {
            self.flows.remove(&(rank, workspace));
        }
        if before != after {
            before.map(|head| self.heads.remove(&head));
            self.heads.extend(after);
        }
    }
}
