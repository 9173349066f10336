//! The state of a replica and the dispatch of events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use chicoryford_types::Epoch;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::action::Action;
use crate::action::Committed;
use crate::action::Refusal;
use crate::durable::Durable;
use crate::entry::Entry;
use crate::entry::EntryId;
use crate::entry::Payload;
use crate::event::Event;
use crate::event::Token;
use crate::identity::Membership;
use crate::identity::ReplicaId;
use crate::invariant::Invariant;
use crate::invariant::Violations;
use crate::leader::LeaderState;
use crate::log::Log;
use crate::message::Body;
use crate::message::Message;
use crate::restart::RestartState;
use crate::restart::SinceStart;
use crate::saved::HardState;
use crate::saved::Saved;
use crate::saved::Snapshot;
use crate::saved::Write;
use crate::settings::Settings;
use crate::snapshot::IncomingSnapshot;
use crate::status::Role;

/// A replica of the log.
pub struct Replica {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) now: Millis,
    pub(crate) started: bool,
    pub(crate) role: Role,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) snapshot: Snapshot,
    /// The membership history, oldest first: the index of each entry that set members, and those
    /// members.
    pub(crate) memberships: Vec<(u64, Membership)>,
    pub(crate) commit: u64,
    pub(crate) durable: Durable,
    pub(crate) leader: Option<ReplicaId>,
    /// The time of the last contact with a leader.
    pub(crate) leader_contact: Millis,
    pub(crate) restart: RestartState,
    /// The time at which the next election starts.
    pub(crate) election_deadline: Millis,
    /// The replicas that granted a vote or pre-vote.
    pub(crate) granted: BTreeSet<ReplicaId>,
    pub(crate) leader_state: Option<Box<LeaderState>>,
    /// The index up to which the log is known to equal the leader's, in this epoch.
    pub(crate) verified: u64,
    /// The last heartbeat round received from the leader in this epoch.
    pub(crate) round: u64,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// The time of the last message of any kind from each replica. Kept separate from the state
    /// that decisions use, so that invariant checks do not depend on the data of the decision they
    /// check.
    pub(crate) contacts: BTreeMap<ReplicaId, Millis>,
    /// Control processes other than the founders.
    pub(crate) known_nodes: Vec<Node>,
    /// The replicas that answered a `Hello`, and whether their disks were empty.
    pub(crate) founder_replies: BTreeMap<ReplicaId, bool>,
    pub(crate) violations: Violations,
    pub(crate) actions: Vec<Action>,
    pub(crate) pending_write: Write,
    /// Messages of the current event that may only be sent once the state that they report is
    /// synced.
    pub(crate) deferred: Vec<Message>,
    /// Messages that wait for the sync of the write with the given number.
    pub(crate) awaiting_sync: VecDeque<(u64, Message)>,
    reported: Option<(bool, Epoch, Option<ReplicaId>)>,
}

impl Replica {
    /// Creates a replica from the state on its disk. The seed initialises the random number
    /// generator for election timeouts.
    pub fn new(settings: Settings, saved: Saved, seed: u64) -> Self {
        let snapshot = saved.snapshot.unwrap_or_default();
        let base = snapshot.meta.last;
        let entries: Vec<Entry> =
            saved.entries.into_iter().filter(|entry| entry.id.index > base.index).collect();
        let memberships = collect_memberships(&snapshot, &entries);
        let log = Log::new(base, entries);
        let mut hard = saved.hard;
        if log.last().epoch > hard.epoch {
            hard = HardState { epoch: log.last().epoch, vote: None };
        }
        let mut replica = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Millis::default(),
            started: false,
            role: Role::Follower,
            commit: base.index,
            durable: Durable::new(log.last().index, hard.clone()),
            hard,
            log,
            snapshot,
            memberships,
            leader: None,
            leader_contact: Millis::default(),
            restart: RestartState::default(),
            election_deadline: Millis::default(),
            granted: BTreeSet::new(),
            leader_state: None,
            verified: 0,
            round: 0,
            incoming_snapshot: None,
            contacts: BTreeMap::new(),
            known_nodes: Vec::new(),
            founder_replies: BTreeMap::new(),
            violations: Violations::default(),
            actions: Vec::new(),
            pending_write: Write::default(),
            deferred: Vec::new(),
            awaiting_sync: VecDeque::new(),
            reported: None,
            settings,
        };
        replica.check_gaps();
        replica
    }

    /// Processes an event at a reading of the monotonic clock and returns the resulting actions in
    /// order. Never blocks and never fails. A clock reading that is earlier than the last one is
    /// replaced by the last one.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.start();
        if self.role == Role::Failed {
            self.refuse_event(event);
            return std::mem::take(&mut self.actions);
        }
        self.check_quorum();
        self.dispatch(event);
        self.run_leader_tasks();
        self.check_invariants();
        self.flush()
    }

    /// Returns the number of invariant violations in this replica.
    pub fn violations(&self) -> u64 {
        self.violations.count
    }

    /// Returns the last violated invariant.
    pub fn last_violation(&self) -> Option<Invariant> {
        self.violations.last
    }

    /// Returns the identity of this replica.
    pub fn id(&self) -> &ReplicaId {
        &self.settings.id
    }

    /// Returns the current epoch.
    pub fn epoch(&self) -> Epoch {
        self.hard.epoch
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the leader, if this replica knows one.
    pub fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the identifier of a committed entry, for a snapshot that ends with it; `None` once
    /// the entry is compacted.
    pub fn entry_id(&self, index: u64) -> Option<EntryId> {
        if index > self.commit { None } else { self.log.entry_id(index) }
    }

    /// Returns the members as of the last entry in the log.
    pub fn members(&self) -> &Membership {
        static NONE: Membership = Membership { replicas: BTreeMap::new() };
        self.memberships.last().map_or(&NONE, |(_, members)| members)
    }

    /// Returns the members as of an entry, for a snapshot that ends with it.
    pub fn members_at(&self, index: u64) -> Membership {
        let found = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        found.map(|(_, members)| members.clone()).unwrap_or_default()
    }

    fn start(&mut self) {
        if self.started {
            return;
        }
        self.started = true;
        // The replica may have had contact with a leader just before it stopped, so it first
        // withholds its vote as if it had. Otherwise a restart could break that leader's lease.
        self.leader_contact = self.now;
        self.restart.started_at = self.now;
        self.restart.number = self.rng.random();
        self.reset_election_deadline();
        if self.is_single_voter() || self.is_empty() {
            self.election_deadline = self.now;
        }
    }

    fn is_single_voter(&self) -> bool {
        self.members().voters().eq([&self.settings.id])
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Message(message) => self.receive(message),
            Event::Propose(proposals) => self.propose(proposals),
            Event::Synced { write } => self.on_synced(write),
            Event::SnapshotTaken(snapshot) => self.snapshot_taken(snapshot),
            Event::Read { token } => self.read(token),
            Event::ChangeMembers { token, change } => self.change_members(token, change),
            Event::HandOver { to } => self.hand_over(to),
            Event::KnownNodes(nodes) => self.known_nodes = nodes,
            Event::StorageFailed => self.storage_failed(),
        }
    }

    fn tick(&mut self) {
        self.contact_founders();
        self.query_restarts();
        let due = self.role != Role::Leader && self.now >= self.election_deadline;
        if !due {
            return;
        }
        if self.can_campaign() {
            self.start_election();
        } else {
            // A removed replica receives nothing from a leader and must ask to join.
            self.leader = None;
        }
    }

    fn refuse_event(&mut self, event: Event) {
        let tokens = match event {
            Event::Propose(proposals) => proposals.into_iter().map(|p| p.token).collect(),
            Event::Read { token } | Event::ChangeMembers { token, .. } => vec![token],
            _ => Vec::new(),
        };
        for token in tokens {
            self.refuse(token, Refusal::StorageFailed);
        }
    }

    pub(crate) fn refuse(&mut self, token: Token, reason: Refusal) {
        self.actions.push(Action::Refuse { token, reason });
    }

    pub(crate) fn refuse_not_leader(&mut self, token: Token) {
        let leader = self.leader.clone();
        self.refuse(token, Refusal::NotLeader { leader });
    }

    pub(crate) fn reset_election_deadline(&mut self) {
        let all_restarted =
            self.restart.since_start == SinceStart::AllRestarted && self.is_recently_started();
        let min_timeout = if all_restarted {
            self.settings.heartbeat_ms / 2
        } else {
            self.settings.min_election_ms()
        };
        self.election_deadline = self.now + min_timeout + self.rng.random_range(0..=min_timeout);
    }

    pub(crate) fn check(&mut self, holds: bool, invariant: Invariant) {
        self.violations.check(holds, invariant, &self.settings.id);
    }

    fn check_gaps(&mut self) {
        let base = self.log.base().index;
        let last = self.log.last().index;
        let contiguous =
            self.log.range(base + 1, last).zip(base + 1..).all(|(e, i)| e.id.index == i);
        self.check(contiguous, Invariant::NoGaps);
    }

    /// Sends a message that does not depend on what is on disk.
    pub(crate) fn send(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        self.actions.push(Action::Send(message));
    }

    /// Sends a message once the current state of this replica is synced. If the message was sent
    /// earlier, the replica could crash, lose that state and contradict the message.
    pub(crate) fn send_synced(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        if self.settings.protections.sync_first {
            self.deferred.push(message);
        } else {
            self.actions.push(Action::Send(message));
        }
    }

    fn message(&self, to: ReplicaId, body: Body) -> Message {
        Message { from: self.settings.id.clone(), to, epoch: self.hard.epoch, body }
    }

    /// Appends an entry to the log.
    pub(crate) fn push(&mut self, entry: Entry) {
        let follows = entry.id.index == self.log.last().index + 1;
        self.check(follows, Invariant::NoGaps);
        if let Payload::Members(members) = &entry.payload {
            self.memberships.push((entry.id.index, members.clone()));
        }
        self.pending_write.entries.push(entry.clone());
        self.log.push(entry);
    }

    /// Removes the entries from an index on.
    pub(crate) fn truncate(&mut self, from: u64) {
        self.check(from > self.commit, Invariant::CommittedStays);
        self.log.truncate(from);
        self.memberships.retain(|(index, _)| *index < from);
        self.durable.truncate(from - 1);
        let first = self.pending_write.entries.first().map(|entry| entry.id.index);
        self.pending_write.entries.retain(|entry| entry.id.index < from);
        if first.is_none_or(|first| from < first) {
            let least = self.pending_write.truncate.map_or(from, |other| other.min(from));
            self.pending_write.truncate = Some(least);
        }
    }

    /// Advances the commit index and passes the entries to the state machine.
    pub(crate) fn commit_to(&mut self, index: u64) {
        if index <= self.commit {
            return;
        }
        let mut batch = Vec::new();
        for entry in self.log.range(self.commit + 1, index) {
            let lead = self.leader_state.as_mut();
            let token = lead.and_then(|lead| lead.tokens.remove(&entry.id.index));
            batch.push(Committed { entry: entry.clone(), token });
        }
        let complete = batch.len() as u64 == index - self.commit;
        self.check(complete, Invariant::NoGaps);
        self.commit = index;
        self.actions.push(Action::Commit(batch));
    }

    fn flush(&mut self) -> Vec<Action> {
        let mut actions = Vec::with_capacity(self.actions.len() + 2);
        if let Some(write) = self.take_write() {
            actions.push(Action::Persist(write));
        }
        actions.append(&mut self.actions);
        self.release_synced(&mut actions);
        self.report_role(&mut actions);
        actions
    }

    fn take_write(&mut self) -> Option<Write> {
        if self.pending_write == Write::default() {
            return None;
        }
        let mut write = std::mem::take(&mut self.pending_write);
        self.durable.submitted += 1;
        write.number = self.durable.submitted;
        if let Some(hard) = &write.hard {
            self.durable.track_hard_state(hard.clone());
        }
        if !write.entries.is_empty() || write.snapshot.is_some() {
            self.durable.track_entry(self.log.last().index);
        }
        Some(write)
    }

    /// Sends the messages whose state is synced.
    fn release_synced(&mut self, actions: &mut Vec<Action>) {
        for message in std::mem::take(&mut self.deferred) {
            self.awaiting_sync.push_back((self.durable.submitted, message));
        }
        while self.awaiting_sync.front().is_some_and(|(write, _)| *write <= self.durable.synced) {
            if let Some((_, message)) = self.awaiting_sync.pop_front() {
                actions.push(Action::Send(message));
            }
        }
        let mut votes = actions.iter().filter_map(vote_epoch);
        let holds = votes.all(|epoch| self.durable.has_vote(epoch));
        self.check(holds, Invariant::SyncedFirst);
    }

    fn report_role(&mut self, actions: &mut Vec<Action>) {
        let ready = self.is_ready();
        let now = (ready, self.hard.epoch, self.leader.clone());
        if self.reported.as_ref() == Some(&now) {
            return;
        }
        let (epoch, leader) = (now.1, now.2.clone());
        self.reported = Some(now);
        actions.push(if ready {
            Action::BecameLeader { epoch }
        } else {
            Action::BecameFollower { epoch, leader }
        });
    }
}

fn vote_epoch(action: &Action) -> Option<Epoch> {
    let Action::Send(message) = action else { return None };
    let is_vote = matches!(message.body, Body::Vote { .. } | Body::VoteReply { granted: true });
    is_vote.then_some(message.epoch)
}

fn collect_memberships(snapshot: &Snapshot, entries: &[Entry]) -> Vec<(u64, Membership)> {
    let mut memberships = Vec::new();
    if !snapshot.meta.members.replicas.is_empty() {
        memberships.push((snapshot.meta.last.index, snapshot.meta.members.clone()));
    }
    for entry in entries {
        if let Payload::Members(members) = &entry.payload {
            memberships.push((entry.id.index, members.clone()));
        }
    }
    memberships
}
