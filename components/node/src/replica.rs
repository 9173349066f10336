//! A replica with its disk and state, on the process's one thread.
//!
//! The decisions are the agreement's; writing and syncing is the disk duty's, on a thread of its
//! own, so that a disk that stalls holds up neither heartbeats nor the commits of the others.

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
use chicoryford_agreement::Change;
use chicoryford_agreement::Committed;
use chicoryford_agreement::Event;
use chicoryford_agreement::Founder;
use chicoryford_agreement::Mark;
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
use chicoryford_control::error::ContentError;
use chicoryford_fleet::Command;
use chicoryford_fleet::Done;
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

/// The replica is told about the time this often.
const TICK: Duration = Duration::from_millis(25);
/// Writes that may wait for the disk before the replica holds them back itself.
const JOBS: usize = 1_024;
/// Writes that one sync serves at most.
const GROUP: usize = 256;
/// A snapshot is taken after commands of this many bytes. The log on disk stays below about three
/// times of it, and restarting reads no more than that.
const SNAPSHOT_BYTES: usize = 12 << 20;
/// Or after this many commands.
const SNAPSHOT_ENTRIES: u64 = 8_000;
/// Entries kept behind a snapshot for replicas that lag a little.
const TAIL: u64 = 512;
/// Bytes of one segment of the log; whole segments are removed behind a snapshot.
const SEGMENT: u64 = 4 << 20;
/// Milliseconds from a leader's last word to an election at most; half of it at least. Ten round
/// trips and syncs of a healthy disk fit into the shortest, and all of it is time in which steps
/// and configurations are not accepted.
const ELECTION_MS: u64 = 700;
/// Milliseconds between heartbeats: two may be lost before an election.
const HEARTBEAT_MS: u64 = 90;

/// The replica could not start.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// Its data folder cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// Its data folder holds what this release does not know.
    #[error(transparent)]
    Content(#[from] ContentError),
    /// The state in its snapshot cannot be read.
    #[error("the state in the snapshot cannot be read")]
    State(#[from] rmp_serde::decode::Error),
    /// The disk's thread could not be started.
    #[error("cannot start the thread of the disk")]
    Thread(#[source] std::io::Error),
}

/// Who may be told what a command did.
type Waiter = oneshot::Sender<Result<Done, Refusal>>;

/// Is told of each command as it is applied.
type Observer = Box<dyn Fn(&Command, Done)>;

/// A replica with its disk and state.
pub struct LocalReplica {
    id: ReplicaId,
    replica: RefCell<Replica>,
    state: RefCell<State>,
    /// The newest leader whose commands were applied here, and how far its clock is ahead of this VM's.
    ahead: Cell<Option<(Epoch, i64)>>,
    applied: Cell<Mark>,
    jobs: Sender<Job>,
    backlog: RefCell<VecDeque<Job>>,
    peers: Peers,
    waiting: RefCell<BTreeMap<Token, Waiter>>,
    reading: RefCell<BTreeMap<Token, oneshot::Sender<Result<(), Refusal>>>>,
    next: Cell<u64>,
    leading: watch::Sender<Option<Epoch>>,
    failed: watch::Sender<bool>,
    observer: RefCell<Option<Observer>>,
    bytes: Cell<usize>,
    covered: Cell<u64>,
    taking: Cell<bool>,
    encoded: Sender<Report>,
}

impl LocalReplica {
    /// Opens the data folder and starts the disk's thread. Gives the replica and what the disk
    /// reports, which [`LocalReplica::run`] takes.
    ///
    /// # Errors
    ///
    /// [`CoreError`].
    pub fn open(
        folder: &Path,
        own: SocketAddr,
        founders: &[SocketAddr],
        peers: Peers,
    ) -> Result<(Rc<Self>, Receiver<Report>), ReplicaError> {
        let kept = StorageSettings { segment: SEGMENT, kept: TAIL, identity: new_identity() };
        let (storage, recovered) = Storage::open(folder, kept, Disk::default())?;
        let id = ReplicaId::new(Node::from(own.to_string().as_str()), recovered.identity);
        let saved = convert::saved(recovered)?;
        let mut state = State::default();
        let mut applied = Mark::default();
        if let Some(snapshot) = &saved.snapshot {
            state = rmp_serde::from_slice(&snapshot.data)?;
            applied = snapshot.meta.mark;
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
            tail: TAIL,
            ..agreement::Settings::default()
        };
        let replica = Replica::new(settings, saved, rand::random());
        let (jobs, jobs_end) = ring(JOBS);
        let (reports, reports_end) = ring(JOBS);
        let encoded = reports.clone();
        std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || disk::run(storage, jobs_end, &reports, GROUP))
            .map_err(ReplicaError::Thread)?;
        let replica = Self {
            id,
            replica: RefCell::new(replica),
            state: RefCell::new(state),
            ahead: Cell::default(),
            applied: Cell::new(applied),
            jobs,
            backlog: RefCell::default(),
            peers,
            waiting: RefCell::default(),
            reading: RefCell::default(),
            next: Cell::default(),
            leading: watch::Sender::new(None),
            failed: watch::Sender::new(false),
            observer: RefCell::default(),
            bytes: Cell::default(),
            covered: Cell::new(applied.index),
            taking: Cell::default(),
            encoded,
        };
        Ok((Rc::new(replica), reports_end))
    }

    /// Lets time pass and takes the disk's reports, until the disk's thread ends.
    pub async fn run(&self, mut reports: Receiver<Report>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                report = reports.next() => {
                    let Some(report) = report else { return };
                    self.report(report);
                }
                _ = ticks.tick() => self.tell(Event::Tick),
            }
            self.push_backlog();
        }
    }

    /// Gives this replica's identity.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Tells whether this replica leads and surely no other does yet.
    pub fn leads(&self) -> bool {
        self.replica.borrow().leads(clock::now())
    }

    /// Follows whether this replica leads, and in which epoch.
    pub fn leading(&self) -> watch::Receiver<Option<Epoch>> {
        self.leading.subscribe()
    }

    /// Follows whether the disk has failed.
    pub fn failed(&self) -> watch::Receiver<bool> {
        self.failed.subscribe()
    }

    /// Gives where the leader takes links, as far as this replica knows.
    pub fn leader(&self) -> Option<SocketAddr> {
        let replica = self.replica.borrow();
        replica.leader().and_then(|id| id.node.to_string().parse().ok())
    }

    /// Gives how the replica stands.
    pub fn status(&self) -> agreement::Status {
        self.replica.borrow().status()
    }

    /// Gives the state; it must not be held across a wait.
    pub fn state(&self) -> std::cell::Ref<'_, State> {
        self.state.borrow()
    }

    /// Reads the fleet's clock as far as this replica knows it. It goes on while nobody leads, and never runs
    /// ahead of the clock of the leader before: stamps come here late, and never early.
    pub fn fleet_clock(&self) -> u64 {
        let clock = self.state.borrow().clock;
        let ahead = self.ahead.get().map(|(_, ahead)| clock::now().0.saturating_add_signed(ahead));
        ahead.map_or(clock, |ahead| ahead.max(clock))
    }

    /// Learns how far a leader's clock is ahead from a command that it has stamped.
    fn note_stamp(&self, epoch: Epoch, stamp: u64) {
        let ahead = stamp as i64 - clock::now().0 as i64;
        self.ahead.set(self.ahead.get().max(Some((epoch, ahead))));
    }

    /// Sets who is told of each command as it is applied.
    pub fn observe(&self, observer: Option<Observer>) {
        *self.observer.borrow_mut() = observer;
    }

    /// Has a command committed. The answer comes when it is on the disks of a majority.
    ///
    /// # Errors
    ///
    /// [`Refusal`], which tells whether the command may yet be committed.
    pub async fn propose(&self, stamped: &Stamped) -> Result<Done, Refusal> {
        let data = Bytes::from(rmp_serde::to_vec(stamped).expect("commands are plain data"));
        let token = self.token();
        let (waiter, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(token, waiter);
        self.tell(Event::Propose(vec![Proposal { token, data }]));
        answer.await.unwrap_or(Err(Refusal::Unknown { leader: None }))
    }

    /// Waits until it is sure that the state holds all that was committed before this call.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if this replica does not lead.
    pub async fn read(&self) -> Result<(), Refusal> {
        let token = self.token();
        let (waiter, answer) = oneshot::channel();
        self.reading.borrow_mut().insert(token, waiter);
        self.tell(Event::Read { token });
        answer.await.unwrap_or(Err(Refusal::Unknown { leader: None }))
    }

    /// Has the members changed.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if they cannot be changed so now.
    pub async fn change(&self, change: Change) -> Result<Done, Refusal> {
        let token = self.token();
        let (waiter, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(token, waiter);
        self.tell(Event::ChangeMembers { token, change });
        answer.await.unwrap_or(Err(Refusal::Unknown { leader: None }))
    }

    /// Takes a message of another replica.
    pub fn receive(&self, letter: ReplicaMessage) {
        self.tell(Event::Message(letter));
    }

    /// Hands leadership over before a stop.
    pub fn hand_over(&self) {
        self.tell(Event::HandOver { to: None });
    }

    fn token(&self) -> Token {
        self.next.set(self.next.get() + 1);
        Token(self.next.get())
    }

    fn report(&self, report: Report) {
        match report {
            Report::Synced { write, .. } => self.tell(Event::Synced { write }),
            Report::Encoded(snapshot) => self.backlog.borrow_mut().push_back(Job::Keep(snapshot)),
            Report::Kept(snapshot) => {
                self.taking.set(false);
                self.covered.set(self.covered.get().max(snapshot.meta.mark.index));
                self.tell(Event::SnapshotTaken(snapshot));
            }
            Report::Failed(error) => {
                tracing::error!(event = "disk_failed", %error);
                self.tell(Event::StorageFailed);
                self.failed.send_replace(true);
            }
        }
    }

    fn tell(&self, event: Event) {
        let actions = self.replica.borrow_mut().handle(clock::now(), event);
        for action in actions {
            self.act(action);
        }
        self.push_backlog();
        self.take_snapshot();
    }

    fn act(&self, action: Action) {
        match action {
            Action::Persist(write) => self.backlog.borrow_mut().push_back(Job::Write(write)),
            Action::Send(letter) => self.peers.send(letter),
            Action::Commit(batch) => batch.into_iter().for_each(|one| self.commit(one)),
            Action::ApplySnapshot(snapshot) => self.reset(&snapshot),
            Action::Refuse { token, why } => self.refuse(token, why),
            Action::ReadReady { token, .. } => {
                // What it must hold is applied already: commits are handed over before.
                if let Some(reader) = self.reading.borrow_mut().remove(&token) {
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
        if let Some(waiter) = self.waiting.borrow_mut().remove(&token) {
            let _ = waiter.send(Err(why));
        } else if let Some(reader) = self.reading.borrow_mut().remove(&token) {
            let _ = reader.send(Err(why));
        }
    }

    fn commit(&self, committed: Committed) {
        let Committed { entry, token } = committed;
        self.applied.set(entry.mark);
        let done = match entry.payload {
            Payload::Data(data) => self.apply(entry.mark, &data),
            Payload::Empty | Payload::Members(_) => Done::Changed,
        };
        let waiter = token.and_then(|token| self.waiting.borrow_mut().remove(&token));
        if let Some(waiter) = waiter {
            // Whoever waited may have left.
            let _ = waiter.send(Ok(done));
        }
    }

    fn apply(&self, mark: Mark, data: &Bytes) -> Done {
        self.bytes.set(self.bytes.get() + data.len());
        let stamped: Stamped = match rmp_serde::from_slice(data) {
            Ok(stamped) => stamped,
            Err(error) => {
                // To go on without the command would make this replica's state differ from the
                // others', so it takes no part until another release reads it.
                tracing::error!(event = "command_unreadable", index = mark.index, %error);
                self.failed.send_replace(true);
                return Done::Unknown;
            }
        };
        self.note_stamp(mark.epoch, stamped.at);
        let command = stamped.command.clone();
        let done = self.state.borrow_mut().apply(stamped);
        if let Some(observer) = self.observer.borrow().as_ref() {
            observer(&command, done);
        }
        done
    }

    fn reset(&self, snapshot: &Snapshot) {
        match rmp_serde::from_slice(&snapshot.data) {
            Ok(state) => *self.state.borrow_mut() = state,
            Err(error) => {
                tracing::error!(event = "snapshot_unreadable", %error);
                self.failed.send_replace(true);
            }
        }
        self.applied.set(snapshot.meta.mark);
        self.covered.set(snapshot.meta.mark.index);
        self.bytes.set(0);
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
        let many = applied.index.saturating_sub(self.covered.get()) >= SNAPSHOT_ENTRIES;
        let due = many || self.bytes.get() >= SNAPSHOT_BYTES;
        if !due || self.taking.get() || *self.failed.borrow() {
            return;
        }
        self.taking.set(true);
        self.bytes.set(0);
        let members = self.replica.borrow().members_at(applied.index);
        let meta = SnapshotMeta { mark: applied, members };
        // Steps and results are shared, so the copy is small; encoding is long, and would hold
        // up heartbeats here.
        let state = self.state.borrow().clone();
        let encoded = self.encoded.clone();
        drop(std::thread::spawn(move || {
            let data = rmp_serde::to_vec(&state).expect("the state is plain data");
            tracing::info!(event = "snapshot_encoded", index = meta.mark.index, bytes = data.len());
            let _ = encoded.send_blocking(Report::Encoded(convert::join(meta, data)));
        }));
    }
}

fn new_identity() -> Incarnation {
    // Drawn and not read from the clock, which may be set back to an earlier folder's moment.
    Incarnation(rand::random())
}
