//! A replica of the agreement with its disk and its state machine, driven by the process's single
//! thread.
//!
//! The agreement crate makes the decisions. Writes and syncs run on a separate thread, so that a
//! stalling disk delays neither heartbeats nor the commits of other replicas.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_agreement as agreement;
use chicoryford_agreement::Action;
use chicoryford_agreement::Committed;
use chicoryford_agreement::EntryId;
use chicoryford_agreement::Event;
use chicoryford_agreement::Founder;
use chicoryford_agreement::MembershipChange;
use chicoryford_agreement::Payload;
use chicoryford_agreement::Proposal;
use chicoryford_agreement::Refusal;
use chicoryford_agreement::Replica;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::Snapshot;
use chicoryford_agreement::SnapshotMeta;
use chicoryford_agreement::Token;
use chicoryford_control::convert;
use chicoryford_control::disk;
use chicoryford_control::disk::Job;
use chicoryford_control::disk::Report;
use chicoryford_control::error::DecodeError;
use chicoryford_fleet::ApplyOutcome;
use chicoryford_fleet::Command;
use chicoryford_fleet::Stamped;
use chicoryford_fleet::State;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::Sender;
use chicoryford_kernel::ring;
use chicoryford_kernel::ring::RingError;
use chicoryford_storage::Disk;
use chicoryford_storage::Storage;
use chicoryford_storage::StorageError;
use chicoryford_storage::StorageSettings;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Node;
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::clock;
use crate::message::ReplicaMessage;
use crate::peers::Peers;

/// Interval of the replica's clock ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Writes that may be queued for the disk thread; further ones wait in the replica's backlog.
const DISK_QUEUE_LENGTH: usize = 1_024;
/// Maximum number of writes per sync.
const MAX_WRITES_PER_SYNC: usize = 256;
/// Bytes of commands after which a snapshot is taken. The log on disk stays below about three times
/// this size, and a restart reads no more than that.
const SNAPSHOT_BYTES: usize = 12 << 20;
/// Number of commands after which a snapshot is taken.
const SNAPSHOT_ENTRIES: u64 = 8_000;
/// Log entries kept before a snapshot, for replicas that lag slightly behind.
const LOG_TAIL_ENTRIES: u64 = 512;
/// Bytes of one log segment; whole segments are removed after a snapshot.
const SEGMENT_BYTES: u64 = 4 << 20;
/// Maximum election timeout in milliseconds, counted from the leader's last message; the minimum is
/// half of it. The minimum covers ten round trips and syncs of a healthy disk. No steps or
/// configurations are accepted during this time.
const ELECTION_MS: u64 = 700;
/// Milliseconds between heartbeats; two may be lost before an election starts.
const HEARTBEAT_MS: u64 = 90;

/// The replica could not start.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// Its data folder cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// Its data folder has content that this release cannot read.
    #[error(transparent)]
    Content(#[from] DecodeError),
    /// The state in its snapshot cannot be decoded.
    #[error("the state in the snapshot cannot be read")]
    State(#[from] rmp_serde::decode::Error),
    /// The disk's thread could not be started.
    #[error("cannot start the thread of the disk")]
    Thread(#[source] std::io::Error),
}

/// The channel that delivers the outcome of a command.
type Waiter = oneshot::Sender<Result<ApplyOutcome, Refusal>>;

/// A callback for each applied command.
type Observer = Box<dyn Fn(&Command, ApplyOutcome)>;

/// A replica with its disk and its state machine.
pub struct LocalReplica {
    id: ReplicaId,
    replica: RefCell<Replica>,
    state: RefCell<State>,
    /// The epoch of the newest leader whose commands were applied here, and how far its clock is
    /// ahead of this VM's.
    clock_offset: Cell<Option<(Epoch, i64)>>,
    applied: Cell<EntryId>,
    jobs: Sender<Job>,
    backlog: RefCell<VecDeque<Job>>,
    peers: Peers,
    proposals: RefCell<BTreeMap<Token, Waiter>>,
    reads: RefCell<BTreeMap<Token, oneshot::Sender<Result<(), Refusal>>>>,
    next_token: Cell<u64>,
    leading: watch::Sender<Option<Epoch>>,
    failed: watch::Sender<bool>,
    observer: RefCell<Option<Observer>>,
    bytes_since_snapshot: Cell<usize>,
    snapshot_index: Cell<u64>,
    taking_snapshot: Cell<bool>,
    encoded_reports: Sender<Report>,
}

impl LocalReplica {
    /// Opens the data folder and starts the disk thread. Returns the replica and the receiver of
    /// the disk's reports, which [`LocalReplica::run`] needs.
    ///
    /// # Errors
    ///
    /// [`ReplicaError`].
    pub fn open(
        folder: &Path,
        own: SocketAddr,
        founders: &[SocketAddr],
        peers: Peers,
    ) -> Result<(Rc<Self>, Receiver<Report>), ReplicaError> {
        let storage_settings = StorageSettings {
            segment_bytes: SEGMENT_BYTES,
            retained_entries: LOG_TAIL_ENTRIES,
            identity: new_identity(),
        };
        let (storage, recovered) = Storage::open(folder, storage_settings, Disk::default())?;
        let id = ReplicaId::new(Node::from(own.to_string().as_str()), recovered.identity);
        let saved = convert::saved_state(recovered)?;
        let mut state = State::default();
        let mut applied = EntryId::default();
        if let Some(snapshot) = &saved.snapshot {
            state = rmp_serde::from_slice(&snapshot.data)?;
            applied = snapshot.meta.last;
        }
        let founders = founders.iter().map(|address| Founder {
            node: Node::from(address.to_string().as_str()),
            address: address.to_string(),
        });
        let settings = agreement::Settings {
            id: id.clone(),
            founders: founders.collect(),
            election_ms: ELECTION_MS,
            heartbeat_ms: HEARTBEAT_MS,
            retained_entries: LOG_TAIL_ENTRIES,
            ..agreement::Settings::default()
        };
        let replica = Replica::new(settings, saved, rand::random());
        let (jobs, jobs_end) = ring(DISK_QUEUE_LENGTH);
        let (reports, reports_end) = ring(DISK_QUEUE_LENGTH);
        let encoded_reports = reports.clone();
        std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || disk::run(storage, jobs_end, &reports, MAX_WRITES_PER_SYNC))
            .map_err(ReplicaError::Thread)?;
        let replica = Self {
            id,
            replica: RefCell::new(replica),
            state: RefCell::new(state),
            clock_offset: Cell::default(),
            applied: Cell::new(applied),
            jobs,
            backlog: RefCell::default(),
            peers,
            proposals: RefCell::default(),
            reads: RefCell::default(),
            next_token: Cell::default(),
            leading: watch::Sender::new(None),
            failed: watch::Sender::new(false),
            observer: RefCell::default(),
            bytes_since_snapshot: Cell::default(),
            snapshot_index: Cell::new(applied.index),
            taking_snapshot: Cell::default(),
            encoded_reports,
        };
        Ok((Rc::new(replica), reports_end))
    }

    /// Processes clock ticks and the disk's reports until the disk thread ends.
    pub async fn run(&self, mut reports: Receiver<Report>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                report = reports.next() => {
                    let Some(report) = report else { return };
                    self.handle_report(report);
                }
                _ = ticks.tick() => self.handle_event(Event::Tick),
            }
            self.push_backlog();
        }
    }

    /// Returns this replica's identity.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Returns whether this replica leads and holds a valid lease, so that no other replica can
    /// lead.
    pub fn leads(&self) -> bool {
        self.replica.borrow().holds_lease(clock::now())
    }

    /// Subscribes to this replica's leadership; the value is the epoch in which it leads.
    pub fn leading(&self) -> watch::Receiver<Option<Epoch>> {
        self.leading.subscribe()
    }

    /// Subscribes to whether the disk has failed.
    pub fn failed(&self) -> watch::Receiver<bool> {
        self.failed.subscribe()
    }

    /// Returns the leader's link address, if this replica has one on record.
    pub fn leader(&self) -> Option<SocketAddr> {
        let replica = self.replica.borrow();
        replica.leader().and_then(|id| id.node.to_string().parse().ok())
    }

    /// Returns the status of the replica.
    pub fn status(&self) -> agreement::Status {
        self.replica.borrow().status()
    }

    /// Returns the state. The borrow must not be held across an `await`.
    pub fn state(&self) -> std::cell::Ref<'_, State> {
        self.state.borrow()
    }

    /// Returns the fleet's clock as known to this replica. It continues while there is no leader,
    /// and never runs ahead of the previous leader's clock, because stamps arrive late and never
    /// early.
    pub fn fleet_clock(&self) -> u64 {
        let clock = self.state.borrow().clock;
        let ahead =
            self.clock_offset.get().map(|(_, ahead)| clock::now().0.saturating_add_signed(ahead));
        ahead.map_or(clock, |ahead| ahead.max(clock))
    }

    /// Updates the offset of a leader's clock from a command that it has stamped.
    fn update_clock_offset(&self, epoch: Epoch, stamp: u64) {
        let ahead = stamp as i64 - clock::now().0 as i64;
        self.clock_offset.set(self.clock_offset.get().max(Some((epoch, ahead))));
    }

    /// Sets the callback for applied commands.
    pub fn set_observer(&self, observer: Option<Observer>) {
        *self.observer.borrow_mut() = observer;
    }

    /// Commits a command. Completes when the command is on the disks of a majority.
    ///
    /// # Errors
    ///
    /// [`Refusal`], which shows whether the command may still be committed later.
    pub async fn propose(&self, stamped: &Stamped) -> Result<ApplyOutcome, Refusal> {
        let data = Bytes::from(rmp_serde::to_vec(stamped).expect("commands are plain data"));
        let token = self.new_token();
        let (waiter, answer) = oneshot::channel();
        self.proposals.borrow_mut().insert(token, waiter);
        self.handle_event(Event::Propose(vec![Proposal { token, data }]));
        answer.await.unwrap_or(Err(Refusal::Unknown { leader: None }))
    }

    /// Waits until the state is known to include everything that was committed before this call.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if this replica does not lead.
    pub async fn read(&self) -> Result<(), Refusal> {
        let token = self.new_token();
        let (waiter, answer) = oneshot::channel();
        self.reads.borrow_mut().insert(token, waiter);
        self.handle_event(Event::Read { token });
        answer.await.unwrap_or(Err(Refusal::Unknown { leader: None }))
    }

    /// Changes the members.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if this change is not possible now.
    pub async fn change(&self, change: MembershipChange) -> Result<ApplyOutcome, Refusal> {
        let token = self.new_token();
        let (waiter, answer) = oneshot::channel();
        self.proposals.borrow_mut().insert(token, waiter);
        self.handle_event(Event::ChangeMembers { token, change });
        answer.await.unwrap_or(Err(Refusal::Unknown { leader: None }))
    }

    /// Handles a message from another replica.
    pub fn receive(&self, message: ReplicaMessage) {
        self.handle_event(Event::Message(message));
    }

    /// Hands over the leadership before a stop.
    pub fn hand_over(&self) {
        self.handle_event(Event::HandOver { to: None });
    }

    fn new_token(&self) -> Token {
        self.next_token.set(self.next_token.get() + 1);
        Token(self.next_token.get())
    }

    fn handle_report(&self, report: Report) {
        match report {
            Report::Synced { write, .. } => self.handle_event(Event::Synced { write }),
            Report::SnapshotEncoded(snapshot) => {
                self.backlog.borrow_mut().push_back(Job::SaveSnapshot(snapshot))
            }
            Report::SnapshotSaved(snapshot) => {
                self.taking_snapshot.set(false);
                self.snapshot_index.set(self.snapshot_index.get().max(snapshot.meta.last.index));
                self.handle_event(Event::SnapshotTaken(snapshot));
            }
            Report::Failed(error) => {
                tracing::error!(event = "disk_failed", %error);
                self.handle_event(Event::StorageFailed);
                self.failed.send_replace(true);
            }
        }
    }

    fn handle_event(&self, event: Event) {
        let actions = self.replica.borrow_mut().handle(clock::now(), event);
        for action in actions {
            self.perform(action);
        }
        self.push_backlog();
        self.take_snapshot();
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Persist(write) => self.backlog.borrow_mut().push_back(Job::Write(write)),
            Action::Send(message) => self.peers.send(message),
            Action::Commit(batch) => batch.into_iter().for_each(|one| self.apply_committed(one)),
            Action::ApplySnapshot(snapshot) => self.install_snapshot(&snapshot),
            Action::Refuse { token, reason } => self.refuse(token, reason),
            Action::ReadReady { token, .. } => {
                // The required commits are already applied: they are delivered before this action.
                if let Some(reader) = self.reads.borrow_mut().remove(&token) {
                    let _ = reader.send(Ok(()));
                }
            }
            Action::BecameLeader { epoch } => {
                tracing::info!(event = "became_leader", epoch = epoch.0);
                self.leading.send_replace(Some(epoch));
            }
            Action::BecameFollower { epoch, leader } => {
                let leader = leader.map(|id| id.to_string()).unwrap_or_default();
                tracing::info!(event = "became_follower", epoch = epoch.0, leader);
                self.leading.send_if_modified(|leading| leading.take().is_some());
            }
        }
    }

    fn refuse(&self, token: Token, why: Refusal) {
        if let Some(waiter) = self.proposals.borrow_mut().remove(&token) {
            let _ = waiter.send(Err(why));
        } else if let Some(reader) = self.reads.borrow_mut().remove(&token) {
            let _ = reader.send(Err(why));
        }
    }

    fn apply_committed(&self, committed: Committed) {
        let Committed { entry, token } = committed;
        self.applied.set(entry.id);
        let done = match entry.payload {
            Payload::Data(data) => self.apply(entry.id, &data),
            Payload::Empty | Payload::Members(_) => ApplyOutcome::Changed,
        };
        let waiter = token.and_then(|token| self.proposals.borrow_mut().remove(&token));
        if let Some(waiter) = waiter {
            // The caller may have stopped waiting.
            let _ = waiter.send(Ok(done));
        }
    }

    fn apply(&self, mark: EntryId, data: &Bytes) -> ApplyOutcome {
        self.bytes_since_snapshot.set(self.bytes_since_snapshot.get() + data.len());
        let stamped: Stamped = match rmp_serde::from_slice(data) {
            Ok(stamped) => stamped,
            Err(error) => {
                // Skipping the command would make this replica's state differ from that of the
                // others, so the replica stops participating until a release that can read it is
                // installed.
                tracing::error!(event = "command_unreadable", index = mark.index, %error);
                self.failed.send_replace(true);
                return ApplyOutcome::Unknown;
            }
        };
        self.update_clock_offset(mark.epoch, stamped.at);
        let command = stamped.command.clone();
        let done = self.state.borrow_mut().apply(stamped);
        if let Some(observer) = self.observer.borrow().as_ref() {
            observer(&command, done);
        }
        done
    }

    fn install_snapshot(&self, snapshot: &Snapshot) {
        match rmp_serde::from_slice(&snapshot.data) {
            Ok(state) => *self.state.borrow_mut() = state,
            Err(error) => {
                tracing::error!(event = "snapshot_unreadable", %error);
                self.failed.send_replace(true);
            }
        }
        self.applied.set(snapshot.meta.last);
        self.snapshot_index.set(snapshot.meta.last.index);
        self.bytes_since_snapshot.set(0);
    }

    fn push_backlog(&self) {
        let mut backlog = self.backlog.borrow_mut();
        while let Some(job) = backlog.pop_front() {
            match self.jobs.offer(job) {
                Ok(()) => {}
                Err(RingError::Full(job)) => {
                    backlog.push_front(job);
                    return;
                }
                Err(RingError::Closed(_)) => return,
            }
        }
    }

    fn take_snapshot(&self) {
        let applied = self.applied.get();
        let has_many_entries =
            applied.index.saturating_sub(self.snapshot_index.get()) >= SNAPSHOT_ENTRIES;
        let due = has_many_entries || self.bytes_since_snapshot.get() >= SNAPSHOT_BYTES;
        if !due || self.taking_snapshot.get() || *self.failed.borrow() {
            return;
        }
        self.taking_snapshot.set(true);
        self.bytes_since_snapshot.set(0);
        let members = self.replica.borrow().members_at(applied.index);
        let meta = SnapshotMeta { last: applied, members };
        // Cloning is cheap because steps and results are reference-counted. Encoding takes long and
        // would delay heartbeats on this thread.
        let state = self.state.borrow().clone();
        let encoded_reports = self.encoded_reports.clone();
        drop(std::thread::spawn(move || {
            let data = rmp_serde::to_vec(&state).expect("the state is plain data");
            tracing::info!(event = "snapshot_encoded", index = meta.last.index, bytes = data.len());
            let _ = encoded_reports
                .send_blocking(Report::SnapshotEncoded(convert::build_snapshot(meta, data)));
        }));
    }
}

fn new_identity() -> Incarnation {
    // Random rather than derived from the clock, which may be set back to the time of an earlier
    // data folder.
    Incarnation(rand::random())
}
