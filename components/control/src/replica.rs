//! The duty around [`chicoryford_agreement::Replica`]: tells it what happens, and does what it
//! wants done.

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

/// The replica is told about the time this often.
const TICK: Duration = Duration::from_millis(20);
/// Requests taken at once.
pub const MAX_BATCH: usize = 256;
/// Milliseconds for which the process's end may wait for another leader.
pub const HAND_OVER_TIMEOUT_MS: u64 = 1_000;
/// Milliseconds between two looks for lapsed sessions.
const SESSIONS_MS: u64 = 200;
/// Milliseconds between two looks at the control processes that gossip knows.
const PEER_CHECK_INTERVAL_MS: u64 = 500;

/// The rings that end or begin at the replica's duty.
pub struct Rings {
    /// What the HTTP threads ask.
    pub requests: Receiver<Request>,
    /// What the disk has done.
    pub reports: Receiver<Report>,
    /// What the disk is to do.
    pub jobs: Sender<Job>,
    /// What other replicas are to be told.
    pub outgoing: Sender<Outgoing>,
    /// States to be encoded as snapshots.
    pub takes: Sender<SnapshotJob>,
    /// What the orders' duty depends on.
    pub lead: watch::Sender<Leadership>,
}

/// When a snapshot is taken.
#[derive(Clone, Debug)]
pub struct SnapshotThresholds {
    /// After this many entries.
    pub entries: u64,
    /// Or after commands of this many bytes.
    pub bytes: usize,
}

impl Default for SnapshotThresholds {
    fn default() -> Self {
        Self { entries: 20_000, bytes: 64 << 20 }
    }
}

/// The replica and all that surrounds it.
pub struct Driver {
    pub(crate) kernel: Kernel,
    pub(crate) replica: Replica,
    pub(crate) applied: Applied,
    pub(crate) rings: Rings,
    pub(crate) snapshot_thresholds: SnapshotThresholds,
    /// Requests taken at once; the proposals among them become one event and one write.
    pub(crate) max_batch: usize,
    /// How long the process's end may wait for another leader, in milliseconds.
    pub(crate) hand_over_timeout_ms: u64,
    /// Jobs for which the disk's ring had no room.
    pub(crate) backlog: VecDeque<Job>,
    pub(crate) pending: Pending,
    pub(crate) sessions: Sessions,
    pub(crate) sessions_at: u64,
    /// The control processes that gossip knows; none in a process without gossip.
    pub(crate) control_peers: Option<ControlPeers>,
    pub(crate) peers_checked_at: u64,
    /// Addresses of replicas that the log does not name yet.
    pub(crate) learned: BTreeMap<Node, String>,
    pub(crate) storage: StorageStatus,
    /// The last entry of the snapshot that is on its way to the disk.
    pub(crate) taking: Option<u64>,
    /// What this process cannot read; it takes no part any more.
    pub(crate) unreadable: bool,
}

impl Driver {
    /// Joins a replica, its state and its rings. `founders` tells where replicas answer that the
    /// log does not name yet.
    pub fn new(
        kernel: Kernel,
        replica: Replica,
        applied: Applied,
        rings: Rings,
        founders: BTreeMap<Node, String>,
    ) -> Self {
        let storage = StorageStatus { snapshot: applied.mark.index, ..StorageStatus::default() };
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
            sessions_at: 0,
            control_peers: None,
            peers_checked_at: 0,
            learned: founders,
            storage,
            taking: None,
            unreadable: false,
        }
    }

    /// Runs until the process stops, and until another leads if this replica did.
    pub async fn run(mut self) {
        let phases = self.kernel.phases.clone();
        let mut ticks = actix_rt::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let (mut draining, mut stopping) = (false, None);
        loop {
            if phases.now() >= Phase::Stopping {
                let since = *stopping.get_or_insert(self.kernel.now());
                let over = self.kernel.now().since(since) >= self.hand_over_timeout_ms;
                if over || !self.is_wanted() {
                    return;
                }
            }
            tokio::select! {
                report = self.rings.reports.next() => {
                    let Some(report) = report else { return };
                    self.report(report);
                }
                request = self.rings.requests.next() => {
                    let Some(request) = request else { return };
                    self.requests(request);
                }
                _ = ticks.tick() => self.tick(),
                () = phases.reached(Phase::Draining), if !draining => {
                    draining = true;
                    // A leader that just stops leaves the others without one for a whole
                    // election timeout; handing over first takes a few messages.
                    self.tell(Event::HandOver { to: None });
                }
            }
            self.push_backlog();
            self.take_snapshot();
            self.show_lead();
        }
    }

    /// Tells whether this replica leads others, who would be without a leader if it stopped now.
    fn is_wanted(&self) -> bool {
        self.replica.role() == Role::Leader && self.replica.members().voters().count() > 1
    }

    fn tick(&mut self) {
        self.look_around();
        self.tell(Event::Tick);
        let now = self.kernel.now();
        if self.leads() && now.0 >= self.sessions_at + SESSIONS_MS {
            self.sessions_at = now.0;
            self.sessions.adopt(self.applied.state.sessions().map(|(number, _)| number), now);
            for session in self.sessions.lapsed(now) {
                tracing::info!(event = "session_lapsed", session);
                self.propose(vec![(Command::CloseSession { session }, Waiter::Nobody)]);
            }
        }
    }

    /// Tells the replica of the control processes that gossip knows, when they change.
    fn look_around(&mut self) {
        let now = self.kernel.now().0;
        if now < self.peers_checked_at + PEER_CHECK_INTERVAL_MS {
            return;
        }
        self.peers_checked_at = now;
        let Some(known) = self.control_peers.as_mut().and_then(ControlPeers::changed).cloned()
        else {
            return;
        };
        let nodes = known.keys().cloned().collect();
        // The settings' addresses of founders hold; gossip only adds those they do not name.
        for (node, address) in known {
            self.learned.entry(node).or_insert(address);
        }
        self.tell(Event::KnownNodes(nodes));
    }

    /// Tells whether this replica leads and surely no other does yet.
    pub(crate) fn leads(&self) -> bool {
        self.replica.role() == Role::Leader && self.replica.status().lease_ms > 0
    }

    fn report(&mut self, report: Report) {
        match report {
            Report::Synced { write, bytes } => {
                self.storage.bytes = bytes;
                self.tell(Event::Synced { write });
            }
            Report::SnapshotEncoded(snapshot) => {
                self.backlog.push_back(Job::SaveSnapshot(snapshot))
            }
            Report::SnapshotSaved(snapshot) => {
                let index = snapshot.meta.last.index;
                self.storage.snapshot = self.storage.snapshot.max(index);
                self.taking = None;
                self.tell(Event::SnapshotTaken(snapshot));
            }
            Report::Failed(error) => {
                tracing::error!(event = "disk_failed", %error);
                self.storage.failure = Some(error.to_string());
                self.tell(Event::StorageFailed);
            }
        }
    }

    pub(crate) fn tell(&mut self, event: Event) {
        if self.unreadable {
            return;
        }
        let actions = self.replica.handle(self.kernel.now(), event);
        for action in actions {
            if let Err(error) = self.act(action) {
                self.give_up(&error);
                return;
            }
        }
    }

    fn act(&mut self, action: Action) -> Result<(), DecodeError> {
        match action {
            Action::Persist(write) => self.backlog.push_back(Job::Write(write)),
            Action::Send(message) => self.send(message),
            Action::Commit(batch) => self.commit(batch)?,
            Action::ApplySnapshot(snapshot) => {
                self.storage.snapshot = snapshot.meta.last.index;
                self.applied.reset(&snapshot)?;
            }
            Action::Refuse { token, reason } => {
                let error = self.refused(reason);
                self.pending.refuse(token, error);
            }
            // What it must hold is applied already: commits are handed over before.
            Action::ReadReady { token, index } => self.read_ready(token, index),
            Action::BecameLeader { epoch } => {
                tracing::info!(event = "became_leader", epoch = epoch.0);
                self.sessions.clear();
                let open = self.applied.state.sessions().map(|(number, _)| number);
                self.sessions.adopt(open, self.kernel.now());
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
        if self.applied.mark.index < index {
            let applied = self.applied.mark.index;
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

    /// Stops taking part: a command or snapshot of a later release cannot be skipped, because
    /// this replica's state would then differ from the others'.
    fn give_up(&mut self, error: &DecodeError) {
        tracing::error!(event = "content_unreadable", index = error.index, %error);
        self.unreadable = true;
        self.storage.failure = Some(error.to_string());
        self.kernel.phases.advance(Phase::Stopping);
    }

    fn send(&mut self, message: Message) {
        let seat = self.replica.members().replicas.get(&message.to);
        let address = seat.map(|seat| &seat.address).or(self.learned.get(&message.to.node));
        let Some(address) = address.cloned() else { return };
        // A full ring drops the message as a network would; the replica repeats what matters.
        let _ = self.rings.outgoing.offer(Outgoing { address, message });
    }

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

    /// Tells the orders' duty whether it may give orders, and of which versions.
    fn show_lead(&self) {
        let epoch = self.leads().then(|| self.replica.epoch());
        let weights = &self.applied.state.config.weights;
        self.rings.lead.send_if_modified(|lead| {
            let differs = lead.epoch != epoch || lead.weights != *weights;
            if differs {
                *lead = Leadership { epoch, weights: weights.clone() };
            }
            differs
        });
    }

    fn take_snapshot(&mut self) {
        let index = self.applied.mark.index;
        let many = index.saturating_sub(self.storage.snapshot) >= self.snapshot_thresholds.entries;
        let due = many || self.applied.bytes >= self.snapshot_thresholds.bytes;
        if !due || self.taking.is_some() || self.storage.failure.is_some() {
            return;
        }
        let meta =
            SnapshotMeta { last: self.applied.mark, members: self.replica.members_at(index) };
        let state = Box::new(self.applied.state.clone());
        if self.rings.takes.offer(SnapshotJob { meta, state }).is_ok() {
            self.taking = Some(index);
            self.applied.bytes = 0;
        }
    }
}
