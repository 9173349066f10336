//! The duty around [`chicoryford_agreement::Replica`]: tells it what happens, and does what it
//! wants done.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use chicoryford_agreement::Action;
use chicoryford_agreement::Change;
use chicoryford_agreement::Committed;
use chicoryford_agreement::Event;
use chicoryford_agreement::Message;
use chicoryford_agreement::Proposal;
use chicoryford_agreement::Refusal;
use chicoryford_agreement::Replica;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::Role;
use chicoryford_agreement::SnapshotMeta;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::Sender;
use chicoryford_kernel::unix;
use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_state::Command;
use chicoryford_state::Renew;
use chicoryford_state::Renewed;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Node;

use crate::apply::Applied;
use crate::body::Body;
use crate::disk::Job;
use crate::disk::Report;
use crate::error::ContentError;
use crate::handle::Answer;
use crate::handle::RETRY_MS;
use crate::handle::Reform;
use crate::handle::Refused;
use crate::handle::Request;
use crate::peers::Outgoing;
use crate::pending::Pending;
use crate::pending::Waiter;
use crate::sessions::Sessions;
use crate::snapshots::Take;
use crate::status::ReplicaStatus;
use crate::status::Status;
use crate::status::StorageStatus;

/// The replica is told about the time this often.
const TICK: Duration = Duration::from_millis(20);
/// Requests taken in one round; proposals among them become one event, one write and one sync.
const ROUND: usize = 256;
/// Bytes of one command at most: with its frame it must fit a call between replicas.
const COMMAND: usize = 4 << 20;
/// Milliseconds between two looks for lapsed sessions.
const SESSIONS_MS: u64 = 200;

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
    pub takes: Sender<Take>,
}

/// When a snapshot is taken.
#[derive(Clone, Debug)]
pub struct Interval {
    /// After this many entries.
    pub entries: u64,
    /// Or after commands of this many bytes.
    pub bytes: usize,
}

/// The replica and all that surrounds it.
pub struct Driver {
    kernel: Kernel,
    replica: Replica,
    applied: Applied,
    rings: Rings,
    interval: Interval,
    /// Jobs for which the disk's ring had no room.
    backlog: VecDeque<Job>,
    pending: Pending,
    sessions: Sessions,
    sessions_at: u64,
    /// Addresses of replicas that the log does not name yet.
    learned: BTreeMap<Node, String>,
    storage: StorageStatus,
    /// The last entry of the snapshot that is on its way to the disk.
    taking: Option<u64>,
    /// What this process cannot read; it takes no part any more.
    unreadable: bool,
}

impl Driver {
    /// Joins a replica, its state and its rings.
    pub fn new(
        kernel: Kernel,
        replica: Replica,
        applied: Applied,
        rings: Rings,
        interval: Interval,
        sessions: Sessions,
        founders: BTreeMap<Node, String>,
    ) -> Self {
        let storage = StorageStatus { snapshot: applied.mark.index, ..StorageStatus::default() };
        Self {
            kernel,
            replica,
            applied,
            rings,
            interval,
            backlog: VecDeque::new(),
            pending: Pending::default(),
            sessions,
            sessions_at: 0,
            learned: founders,
            storage,
            taking: None,
            unreadable: false,
        }
    }

    /// Runs until the process stops.
    pub async fn run(mut self) {
        let phases = self.kernel.phases.clone();
        let mut ticks = actix_rt::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut handed = false;
        while phases.now() < Phase::Stopping {
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
                () = phases.reached(Phase::Draining), if !handed => {
                    handed = true;
                    // A leader that just stops leaves the others without one for a whole
                    // election timeout; handing over first takes a few messages.
                    self.tell(Event::HandOver { to: None });
                }
            }
            self.push_backlog();
            self.take_snapshot();
        }
    }

    fn tick(&mut self) {
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

    /// Tells whether this replica leads and surely no other does yet.
    fn leads(&self) -> bool {
        self.replica.role() == Role::Leader && self.replica.status().lease_ms > 0
    }

    fn report(&mut self, report: Report) {
        match report {
            Report::Synced { write, bytes } => {
                self.storage.bytes = bytes;
                self.tell(Event::Synced { write });
            }
            Report::Kept(snapshot) => {
                self.storage.snapshot = snapshot.meta.mark.index;
                self.taking = None;
                self.tell(Event::SnapshotTaken(snapshot));
            }
            Report::Failed(error) => {
                self.storage.failure = Some(error.to_string());
                self.tell(Event::StorageFailed);
            }
        }
    }

    fn requests(&mut self, first: Request) {
        let mut proposals = Vec::new();
        let mut next = Some(first);
        let mut count = 0;
        while let Some(request) = next {
            match request {
                Request::Propose(command, answer) => {
                    proposals.push((*command, Waiter::Reply(answer)));
                }
                Request::Deliver(envelope) => {
                    for message in envelope.messages {
                        self.receive(&envelope.address, message);
                    }
                }
                Request::Renew(renew, answer) => {
                    let _ = answer.send(self.renew(&renew));
                }
                Request::Reform(reform, answer) => self.reform(reform, answer),
                Request::Status(answer) => {
                    let _ = answer.send(self.status());
                }
            }
            count += 1;
            next = if count < ROUND { self.rings.requests.take() } else { None };
        }
        self.propose(proposals);
    }

    fn receive(&mut self, address: &str, message: Message) {
        let node = &message.from.node;
        if self.learned.get(node).is_none_or(|known| known != address) {
            self.learned.insert(node.clone(), address.to_owned());
        }
        self.tell(Event::Message(message));
    }

    fn propose(&mut self, commands: Vec<(Command, Waiter)>) {
        let mut proposals = Vec::new();
        for (command, waiter) in commands {
            let data = Body { stamp: unix(), command }.encode();
            let size = data.len();
            let token = self.pending.add(waiter);
            if size > COMMAND {
                let detail = format!("the command takes {size} of {COMMAND} bytes");
                let failure = Failure::not_run(Code::TooLarge, detail);
                self.pending.refuse(token, failure.into());
                continue;
            }
            proposals.push(Proposal { token, data });
        }
        if !proposals.is_empty() {
            self.tell(Event::Propose(proposals));
        }
    }

    fn renew(&mut self, renew: &Renew) -> Result<Renewed, Refused> {
        // Only the lease tells that no other leader closes sessions at this moment.
        if !self.leads() {
            return Err(self.not_leader());
        }
        let open = self.applied.state.session(renew.session);
        let own = open.is_some_and(|session| session.node == renew.node);
        let now = self.kernel.now();
        self.sessions.adopt(self.applied.state.sessions().map(|(number, _)| number), now);
        let held = own && self.sessions.renew(renew.session, now);
        let orphans = self.orphans();
        Ok(Renewed { held, lasts_ms: self.sessions.period(), orphans })
    }

    fn orphans(&mut self) -> Vec<chicoryford_ledger::StepKey> {
        // This question changes nothing, so it need not go through the log.
        let reply = self.applied.state.ledger.apply(LedgerCommand::Orphans, |_| Default::default());
        match reply {
            LedgerReply::Orphans(orphans) => orphans,
            _ => Vec::new(),
        }
    }

    fn reform(&mut self, reform: Reform, answer: Answer<()>) {
        if self.replica.role() != Role::Leader {
            let _ = answer.send(Err(self.not_leader()));
            return;
        }
        if let Reform::HandOver(to) = &reform {
            let to = to.as_ref().and_then(|node| self.find(node));
            self.tell(Event::HandOver { to });
            let _ = answer.send(Ok(()));
            return;
        }
        let Some(change) = self.change(reform) else {
            let failure = Failure::not_run(Code::NotFound, "no replica has that name");
            let _ = answer.send(Err(failure.into()));
            return;
        };
        let token = self.pending.add(Waiter::Reform(answer));
        self.tell(Event::ChangeMembers { token, change });
    }

    fn change(&self, reform: Reform) -> Option<Change> {
        match reform {
            Reform::Add { id, address, replaces } => {
                let replaces = match replaces {
                    Some(node) => Some(self.find(&node)?),
                    None => None,
                };
                Some(Change::Add { id, address, replaces })
            }
            Reform::Promote(node) => self.find(&node).map(Change::Promote),
            Reform::Remove(node) => self.find(&node).map(Change::Remove),
            Reform::HandOver(_) => None,
        }
    }

    /// Finds the replica of a node; the oldest of its identities if it has several, since that
    /// is the one whose disk is lost.
    fn find(&self, node: &Node) -> Option<ReplicaId> {
        self.replica.members().seats.keys().find(|id| id.node == *node).cloned()
    }

    fn tell(&mut self, event: Event) {
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

    fn act(&mut self, action: Action) -> Result<(), ContentError> {
        match action {
            Action::Persist(write) => self.backlog.push_back(Job::Write(write)),
            Action::Send(message) => self.send(message),
            Action::Commit(batch) => self.commit(batch)?,
            Action::ApplySnapshot(snapshot) => {
                self.storage.snapshot = snapshot.meta.mark.index;
                self.applied.reset(&snapshot)?;
            }
            Action::Refuse { token, why } => {
                let why = self.refused(why);
                self.pending.refuse(token, why);
            }
            Action::ReadReady { .. } => {}
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

    fn commit(&mut self, batch: Vec<Committed>) -> Result<(), ContentError> {
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
    fn give_up(&mut self, error: &ContentError) {
        tracing::error!(event = "content_unreadable", index = error.index, %error);
        self.unreadable = true;
        self.storage.failure = Some(error.to_string());
        self.kernel.phases.advance(Phase::Stopping);
    }

    fn send(&mut self, message: Message) {
        let seat = self.replica.members().seats.get(&message.to);
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

    fn take_snapshot(&mut self) {
        let index = self.applied.mark.index;
        let many = index.saturating_sub(self.storage.snapshot) >= self.interval.entries;
        let due = many || self.applied.bytes >= self.interval.bytes;
        if !due || self.taking.is_some() || self.storage.failure.is_some() {
            return;
        }
        let meta =
            SnapshotMeta { mark: self.applied.mark, members: self.replica.members_at(index) };
        let state = Box::new(self.applied.state.clone());
        if self.rings.takes.offer(Take { meta, state }).is_ok() {
            self.taking = Some(index);
            self.applied.bytes = 0;
        }
    }

    fn leader_address(&self) -> Option<String> {
        let leader = self.replica.leader()?;
        if leader == self.replica.id() {
            return None;
        }
        self.replica.members().seats.get(leader).map(|seat| seat.address.clone())
    }

    fn not_leader(&self) -> Refused {
        match &self.storage.failure {
            Some(failure) => self.storage_failed(failure),
            None => Refused::NotLeader(self.leader_address()),
        }
    }

    fn storage_failed(&self, failure: &str) -> Refused {
        Failure::not_run(Code::StorageFailed, failure).into()
    }

    fn refused(&self, why: Refusal) -> Refused {
        let detail = why.to_string();
        let later = |code| Failure::not_run(code, detail.clone()).retry_after(RETRY_MS);
        match why {
            Refusal::NotLeader { .. } => self.not_leader(),
            Refusal::Unknown { .. } => {
                Failure::unknown(Code::NoQuorum, detail).retry_after(RETRY_MS).into()
            }
            Refusal::Full => later(Code::Overloaded).into(),
            Refusal::HandingOver => later(Code::NoQuorum).into(),
            Refusal::StorageFailed => {
                self.storage_failed(self.storage.failure.as_deref().unwrap_or_default())
            }
            Refusal::ChangePending | Refusal::Behind | Refusal::WouldStall => {
                later(Code::Conflict).into()
            }
            Refusal::BadChange => Failure::not_run(Code::BadRequest, detail).into(),
        }
    }

    fn status(&self) -> Status {
        let status = self.replica.status();
        let replicas = status.members.seats.iter().map(|(id, seat)| {
            let peer = status.peers.iter().find(|peer| peer.id == *id);
            ReplicaStatus {
                node: id.node.clone(),
                identity: id.incarnation,
                address: seat.address.clone(),
                voter: seat.voter,
                lag: peer.map(|peer| status.last.index.saturating_sub(peer.matched)),
                silent_ms: peer.map(|peer| peer.silent_ms),
            }
        });
        let replicas = replicas.collect();
        let state = &self.applied.state;
        Status {
            voter: status.members.is_voter(&status.id),
            node: status.id.node,
            identity: status.id.incarnation,
            role: status.role,
            epoch: status.epoch,
            leader: status.leader.map(|id| id.node),
            committed: status.commit,
            applied: self.applied.mark.index,
            position: state.config.at,
            replicas,
            sessions: state.sessions().map(|(n, session)| (n, session.node.clone())).collect(),
            lease_ms: status.lease_ms,
            waiting: self.pending.len(),
            broken: status.broken + state.broken(),
            storage: self.storage.clone(),
        }
    }
}
