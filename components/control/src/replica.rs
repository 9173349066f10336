//! The task that runs [`chicoryford_agreement::Replica`]: passes events to it and performs the
//! actions that it returns.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use chicoryford_agreement::Action;
use chicoryford_agreement::Committed;
use chicoryford_agreement::Event;
use chicoryford_agreement::Message;
use chicoryford_agreement::Replica;
use chicoryford_agreement::Role;
use chicoryford_agreement::SnapshotMeta;
use chicoryford_agreement::Token;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::Sender;
use chicoryford_state::Command;
use chicoryford_types::Node;
use tokio::sync::watch;

use crate::apply::Applied;
use crate::control_peers::ControlPeers;
use crate::disk::Job;
use crate::disk::Report;
use crate::error::DecodeError;
use crate::handle::Request;
use crate::orders::Leadership;
use crate::peers::Outgoing;
use crate::pending::Pending;
use crate::pending::Waiter;
use crate::sessions::Sessions;
use crate::snapshots::SnapshotJob;
use crate::status::StorageStatus;

/// Interval of the replica's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of requests in one batch.
pub const MAX_BATCH: usize = 256;
/// Maximum time in milliseconds for which a stopping leader waits until another replica leads.
pub const HAND_OVER_TIMEOUT_MS: u64 = 1_000;
/// Interval in milliseconds between two checks for expired sessions.
const SESSION_CHECK_INTERVAL_MS: u64 = 200;
/// Interval in milliseconds between two checks for control processes found by gossip.
const PEER_CHECK_INTERVAL_MS: u64 = 500;

/// The queues that the replica's task reads or fills.
pub struct Rings {
    /// Requests of the HTTP threads.
    pub requests: Receiver<Request>,
    /// Reports of the disk and snapshot tasks.
    pub reports: Receiver<Report>,
    /// Jobs for the disk.
    pub jobs: Sender<Job>,
    /// Messages to other replicas.
    pub outgoing: Sender<Outgoing>,
    /// States to be encoded as snapshots.
    pub snapshot_jobs: Sender<SnapshotJob>,
    /// The state that the orders' task depends on.
    pub leadership: watch::Sender<Leadership>,
}

/// The thresholds at which a snapshot is taken. The one that is reached first counts.
#[derive(Clone, Debug)]
pub struct SnapshotThresholds {
    /// Entries applied since the last snapshot.
    pub entries: u64,
    /// Bytes of commands applied since the last snapshot.
    pub bytes: usize,
}

impl Default for SnapshotThresholds {
    fn default() -> Self {
        Self { entries: 20_000, bytes: 64 << 20 }
    }
}

/// The replica with its state, queues and waiting callers.
pub struct Driver {
    pub(crate) kernel: Kernel,
    pub(crate) replica: Replica,
    pub(crate) applied: Applied,
    pub(crate) rings: Rings,
    pub(crate) snapshot_thresholds: SnapshotThresholds,
    /// Maximum number of requests in one batch; the proposals among them become one event and one
    /// write.
    pub(crate) max_batch: usize,
    /// Maximum time in milliseconds for which a stopping leader waits until another replica leads.
    pub(crate) hand_over_timeout_ms: u64,
    /// Jobs for which the disk's queue had no capacity.
    pub(crate) backlog: VecDeque<Job>,
    pub(crate) pending: Pending,
    pub(crate) sessions: Sessions,
    pub(crate) sessions_checked_at: u64,
    /// The control processes found by gossip; none in a process without gossip.
    pub(crate) control_peers: Option<ControlPeers>,
    pub(crate) peers_checked_at: u64,
    /// Addresses of replicas that are not in the log yet.
    pub(crate) extra_addresses: BTreeMap<Node, String>,
    pub(crate) storage: StorageStatus,
    /// The last entry of the snapshot that is being encoded or written.
    pub(crate) pending_snapshot: Option<u64>,
    /// Whether an entry or snapshot could not be decoded. The replica then handles no more events.
    pub(crate) unreadable: bool,
}

impl Driver {
    /// Creates the task's state. `founders` has the addresses of replicas that are not in the log
    /// yet.
    pub fn new(
        kernel: Kernel,
        replica: Replica,
        applied: Applied,
        rings: Rings,
        founders: BTreeMap<Node, String>,
    ) -> Self {
        let storage = StorageStatus { snapshot: applied.last.index, ..StorageStatus::default() };
        Self {
            kernel,
            replica,
            applied,
            rings,
            snapshot_thresholds: SnapshotThresholds::default(),
            max_batch: MAX_BATCH,
            hand_over_timeout_ms: HAND_OVER_TIMEOUT_MS,
            backlog: VecDeque::new(),
            pending: Pending::default(),
            sessions: Sessions::default(),
            sessions_checked_at: 0,
            control_peers: None,
            peers_checked_at: 0,
            extra_addresses: founders,
            storage,
            pending_snapshot: None,
            unreadable: false,
        }
    }

    /// Runs until the process stops and, if this replica leads others, until another replica leads
    /// or the hand-over timeout expires.
    pub async fn run(mut self) {
        let phases = self.kernel.phases.clone();
        let mut ticks = actix_rt::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let (mut draining, mut stopping) = (false, None);
        loop {
            if phases.now() >= Phase::Stopping {
                let stopping_since = *stopping.get_or_insert(self.kernel.now());
                let timed_out =
                    self.kernel.now().since(stopping_since) >= self.hand_over_timeout_ms;
                if timed_out || !self.leads_others() {
                    return;
                }
            }
            tokio::select! {
                report = self.rings.reports.next() => {
                    let Some(report) = report else { return };
                    self.handle_report(report);
                }
                request = self.rings.requests.next() => {
                    let Some(request) = request else { return };
                    self.handle_requests(request);
                }
                _ = ticks.tick() => self.tick(),
                () = phases.reached(Phase::Draining), if !draining => {
                    draining = true;
                    // If a leader stops without a hand-over, the others have no leader for a
                    // whole election timeout. A hand-over takes a few messages.
                    self.handle_event(Event::HandOver { to: None });
                }
            }
            self.push_backlog();
            self.take_snapshot();
            self.publish_leadership();
        }
    }

    /// Returns whether this replica leads other voters, which would have no leader if it stopped.
    fn leads_others(&self) -> bool {
        self.replica.role() == Role::Leader && self.replica.members().voters().count() > 1
    }

    fn tick(&mut self) {
        self.update_peers();
        self.handle_event(Event::Tick);
        let now = self.kernel.now();
        if self.has_lease() && now.0 >= self.sessions_checked_at + SESSION_CHECK_INTERVAL_MS {
            self.sessions_checked_at = now.0;
            self.sessions.set_open(self.applied.state.sessions().map(|(number, _)| number), now);
            for session in self.sessions.expired(now) {
                tracing::info!(event = "session_lapsed", session);
                self.propose(vec![(Command::CloseSession { session }, Waiter::Internal)]);
            }
        }
    }

    /// Reports the control processes found by gossip to the replica when they change.
    fn update_peers(&mut self) {
        let now = self.kernel.now().0;
        if now < self.peers_checked_at + PEER_CHECK_INTERVAL_MS {
            return;
        }
        self.peers_checked_at = now;
        let Some(peers) = self.control_peers.as_mut().and_then(ControlPeers::changed).cloned()
        else {
            return;
        };
        let nodes = peers.keys().cloned().collect();
        // The founders' addresses in the settings take precedence; gossip only adds other nodes.
        for (node, address) in peers {
            self.extra_addresses.entry(node).or_insert(address);
        }
        self.handle_event(Event::KnownNodes(nodes));
    }

    /// Returns whether this replica leads with a valid lease, so that no other replica can lead
    /// yet.
    pub(crate) fn has_lease(&self) -> bool {
        self.replica.role() == Role::Leader && self.replica.status().lease_ms > 0
    }

    fn handle_report(&mut self, report: Report) {
        match report {
            Report::Synced { write, bytes } => {
                self.storage.bytes = bytes;
                self.handle_event(Event::Synced { write });
            }
            Report::SnapshotEncoded(snapshot) => {
                self.backlog.push_back(Job::SaveSnapshot(snapshot))
            }
            Report::SnapshotSaved(snapshot) => {
                let index = snapshot.meta.last.index;
                self.storage.snapshot = self.storage.snapshot.max(index);
                self.pending_snapshot = None;
                self.handle_event(Event::SnapshotTaken(snapshot));
            }
            Report::Failed(error) => {
                tracing::error!(event = "disk_failed", %error);
                self.storage.failure = Some(error.to_string());
                self.handle_event(Event::StorageFailed);
            }
        }
    }

    pub(crate) fn handle_event(&mut self, event: Event) {
        if self.unreadable {
            return;
        }
        let actions = self.replica.handle(self.kernel.now(), event);
        for action in actions {
            if let Err(error) = self.perform(action) {
                self.stop_unreadable(&error);
                return;
            }
        }
    }

    fn perform(&mut self, action: Action) -> Result<(), DecodeError> {
        match action {
            Action::Persist(write) => self.backlog.push_back(Job::Write(write)),
            Action::Send(message) => self.send(message),
            Action::Commit(batch) => self.commit(batch)?,
            Action::ApplySnapshot(snapshot) => {
                self.storage.snapshot = snapshot.meta.last.index;
                self.applied.reset(&snapshot)?;
            }
            Action::Refuse { token, reason } => {
                let error = self.request_error(reason);
                self.pending.refuse(token, error);
            }
            // The required entries are already applied: commits precede this action.
            Action::ReadReady { token, index } => self.read_ready(token, index),
            Action::BecameLeader { epoch } => {
                tracing::info!(event = "became_leader", epoch = epoch.0);
                self.sessions.clear();
                let open = self.applied.state.sessions().map(|(number, _)| number);
                self.sessions.set_open(open, self.kernel.now());
            }
            Action::BecameFollower { epoch, leader } => {
                let leader = leader.map(|id| id.to_string()).unwrap_or_default();
                tracing::info!(event = "became_follower", epoch = epoch.0, leader);
                self.sessions.clear();
            }
        }
        self.push_backlog();
        Ok(())
    }

    fn read_ready(&mut self, token: Token, index: u64) {
        if self.applied.last.index < index {
            let applied = self.applied.last.index;
            tracing::error!(event = "promise_broken", promise = "read_applied", index, applied);
        }
        self.pending.read(token, &self.applied.state.config);
    }

    fn commit(&mut self, batch: Vec<Committed>) -> Result<(), DecodeError> {
        for Committed { entry, token } in batch {
            let reply = self.applied.apply(entry)?;
            if let Some(token) = token {
                self.pending.applied(token, reply);
            }
        }
        Ok(())
    }

    /// Stops the replica and the process: a command or snapshot of a later release cannot be
    /// skipped, because this replica's state would then differ from the others'.
    fn stop_unreadable(&mut self, error: &DecodeError) {
        tracing::error!(event = "content_unreadable", index = error.index, %error);
        self.unreadable = true;
        self.storage.failure = Some(error.to_string());
        self.kernel.phases.advance(Phase::Stopping);
    }

    fn send(&mut self, message: Message) {
        let seat = self.replica.members().replicas.get(&message.to);
        let address = seat.map(|seat| &seat.address).or(self.extra_addresses.get(&message.to.node));
        let Some(address) = address.cloned() else { return };
        // A full queue drops the message, as a network may; the replica resends if necessary.
        let _ = self.rings.outgoing.offer(Outgoing { address, message });
    }

    /// Moves jobs from the backlog to the disk's queue until the queue is full.
    fn push_backlog(&mut self) {
        while let Some(job) = self.backlog.pop_front() {
            match self.rings.jobs.offer(job) {
                Ok(()) => {}
                Err(chicoryford_kernel::ring::RingError::Full(job)) => {
                    self.backlog.push_front(job);
                    return;
                }
                Err(chicoryford_kernel::ring::RingError::Closed(_)) => return,
            }
        }
    }

    /// Publishes to the orders' task whether it may send orders, and for which versions.
    fn publish_leadership(&self) {
        let epoch = self.has_lease().then(|| self.replica.epoch());
        let weights = &self.applied.state.config.weights;
        self.rings.leadership.send_if_modified(|lead| {
            let has_changed = lead.epoch != epoch || lead.weights != *weights;
            if has_changed {
                *lead = Leadership { epoch, weights: weights.clone() };
            }
            has_changed
        });
    }

    /// Sends a copy of the state to the snapshot task if a threshold is reached and no other
    /// snapshot is pending.
    fn take_snapshot(&mut self) {
        let index = self.applied.last.index;
        let enough_entries =
            index.saturating_sub(self.storage.snapshot) >= self.snapshot_thresholds.entries;
        let due = enough_entries || self.applied.bytes >= self.snapshot_thresholds.bytes;
        if !due || self.pending_snapshot.is_some() || self.storage.failure.is_some() {
            return;
        }
        let meta =
            SnapshotMeta { last: self.applied.last, members: self.replica.members_at(index) };
        let state = Box::new(self.applied.state.clone());
        if self.rings.snapshot_jobs.offer(SnapshotJob { meta, state }).is_ok() {
            self.pending_snapshot = Some(index);
            self.applied.bytes = 0;
        }
    }
}
