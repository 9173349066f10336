//! A replica: its state, and how events pass through it.

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
use crate::leader::Leader;
use crate::log::Log;
use crate::message::Body;
use crate::message::Message;
use crate::restart::Restart;
use crate::restart::Since;
use crate::saved::HardState;
use crate::saved::Saved;
use crate::saved::Snapshot;
use crate::saved::Write;
use crate::settings::Settings;
use crate::snapshot::Incoming;
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
    /// The members by the entry that set them, oldest first.
    pub(crate) changes: Vec<(u64, Membership)>,
    pub(crate) commit: u64,
    pub(crate) durable: Durable,
    pub(crate) leader: Option<ReplicaId>,
    /// When a leader was last heard.
    pub(crate) heard: Millis,
    pub(crate) restart: Restart,
    /// When the next election begins.
    pub(crate) deadline: Millis,
    /// Who granted a vote or pre-vote.
    pub(crate) granted: BTreeSet<ReplicaId>,
    pub(crate) lead: Option<Box<Leader>>,
    /// The last entry that is known to be equal to the leader's, in this epoch.
    pub(crate) verified: u64,
    /// The last round of the leader's heartbeats, in this epoch.
    pub(crate) round: u64,
    pub(crate) incoming: Option<Incoming>,
    /// When each replica was last heard, whatever it said. Kept apart from what decisions use, so
    /// that promises are checked against something else than the decision itself.
    pub(crate) contacts: BTreeMap<ReplicaId, Millis>,
    /// Other control processes besides the founders.
    pub(crate) neighbours: Vec<Node>,
    /// Who answered before the founding, and whether their disks were empty.
    pub(crate) founders: BTreeMap<ReplicaId, bool>,
    pub(crate) violations: Violations,
    pub(crate) out: Vec<Action>,
    pub(crate) write: Write,
    /// Messages that may leave only once what they say is on disk.
    pub(crate) fresh: Vec<Message>,
    pub(crate) held: VecDeque<(u64, Message)>,
    announced: Option<(bool, Epoch, Option<ReplicaId>)>,
}

impl Replica {
    /// Makes a replica of what was found on its disk. The seed draws its election timeouts.
    pub fn new(settings: Settings, saved: Saved, seed: u64) -> Self {
        let snapshot = saved.snapshot.unwrap_or_default();
        let base = snapshot.meta.last;
        let entries: Vec<Entry> =
            saved.entries.into_iter().filter(|entry| entry.id.index > base.index).collect();
        let changes = find_changes(&snapshot, &entries);
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
            changes,
            leader: None,
            heard: Millis::default(),
            restart: Restart::default(),
            deadline: Millis::default(),
            granted: BTreeSet::new(),
            lead: None,
            verified: 0,
            round: 0,
            incoming: None,
            contacts: BTreeMap::new(),
            neighbours: Vec::new(),
            founders: BTreeMap::new(),
            violations: Violations::default(),
            out: Vec::new(),
            write: Write::default(),
            fresh: Vec::new(),
            held: VecDeque::new(),
            announced: None,
            settings,
        };
        replica.check_gaps();
        replica
    }

    /// Tells the replica something at a reading of the monotonic clock, and gives what it wants
    /// done, in order. It never waits and never fails; a clock that goes back is held.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.start();
        if self.role == Role::Failed {
            self.refuse_event(event);
            return std::mem::take(&mut self.out);
        }
        self.check_quorum();
        self.dispatch(event);
        self.lead_on();
        self.check_invariants();
        self.flush()
    }

    /// Gives how many promises were broken here.
    pub fn violations(&self) -> u64 {
        self.violations.count
    }

    /// Gives the last broken promise.
    pub fn last_violation(&self) -> Option<Invariant> {
        self.violations.last
    }

    /// Gives this replica's identity.
    pub fn id(&self) -> &ReplicaId {
        &self.settings.id
    }

    /// Gives the epoch.
    pub fn epoch(&self) -> Epoch {
        self.hard.epoch
    }

    /// Gives what the replica does at present.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Gives who leads, as far as this replica knows.
    pub fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Gives the last entry known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Gives the mark of an entry that was committed to the state machine, for its snapshot;
    /// none once the entry is no longer kept.
    pub fn entry_id(&self, index: u64) -> Option<EntryId> {
        if index > self.commit { None } else { self.log.entry_id(index) }
    }

    /// Gives the members as of the last entry in the log.
    pub fn members(&self) -> &Membership {
        static NONE: Membership = Membership { replicas: BTreeMap::new() };
        self.changes.last().map_or(&NONE, |(_, members)| members)
    }

    /// Gives the members as of an entry, for the snapshot that ends with it.
    pub fn members_at(&self, index: u64) -> Membership {
        let found = self.changes.iter().rev().find(|(at, _)| *at <= index);
        found.map(|(_, members)| members.clone()).unwrap_or_default()
    }

    fn start(&mut self) {
        if self.started {
            return;
        }
        self.started = true;
        // The replica may have heard a leader just before it stopped, so it holds its vote at
        // first as if it had; otherwise a restart could break that leader's lease.
        self.heard = self.now;
        self.restart.at = self.now;
        self.restart.number = self.rng.random();
        self.draw_deadline();
        if self.is_alone() || self.is_empty() {
            self.deadline = self.now;
        }
    }

    fn is_alone(&self) -> bool {
        self.members().voters().eq([&self.settings.id])
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Message(message) => self.receive(message),
            Event::Propose(proposals) => self.propose(proposals),
            Event::Synced { write } => self.synced(write),
            Event::SnapshotTaken(snapshot) => self.snapshot_taken(snapshot),
            Event::Read { token } => self.read(token),
            Event::ChangeMembers { token, change } => self.change_members(token, change),
            Event::HandOver { to } => self.hand_over(to),
            Event::KnownNodes(nodes) => self.neighbours = nodes,
            Event::StorageFailed => self.storage_failed(),
        }
    }

    fn tick(&mut self) {
        self.seek_founders();
        self.ask_for_restarts();
        let waits = self.role != Role::Leader && self.now >= self.deadline;
        if waits && self.may_stand() {
            self.stand();
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

    pub(crate) fn refuse(&mut self, token: Token, why: Refusal) {
        self.out.push(Action::Refuse { token, why });
    }

    pub(crate) fn refuse_not_leader(&mut self, token: Token) {
        let leader = self.leader.clone();
        self.refuse(token, Refusal::NotLeader { leader });
    }

    pub(crate) fn draw_deadline(&mut self) {
        let together = self.restart.since == Since::Together && self.is_restarting();
        let hold =
            if together { self.settings.heartbeat_ms / 2 } else { self.settings.min_election_ms() };
        self.deadline = self.now + hold + self.rng.random_range(0..=hold);
    }

    pub(crate) fn check(&mut self, holds: bool, invariant: Invariant) {
        self.violations.check(holds, invariant, &self.settings.id);
    }

    fn check_gaps(&mut self) {
        let base = self.log.base().index;
        let last = self.log.last().index;
        let whole = self.log.range(base + 1, last).zip(base + 1..).all(|(e, i)| e.id.index == i);
        self.check(whole, Invariant::NoGaps);
    }

    /// Sends a message that says nothing of what is on disk.
    pub(crate) fn send(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        self.out.push(Action::Send(message));
    }

    /// Sends a message once all that this replica knows now is on disk. If it left earlier, the
    /// replica could crash, forget what it said, and say the opposite.
    pub(crate) fn send_synced(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        if self.settings.protections.sync_first {
            self.fresh.push(message);
        } else {
            self.out.push(Action::Send(message));
        }
    }

    fn message(&self, to: ReplicaId, body: Body) -> Message {
        Message { from: self.settings.id.clone(), to, epoch: self.hard.epoch, body }
    }

    /// Adds an entry to the log.
    pub(crate) fn push(&mut self, entry: Entry) {
        let follows = entry.id.index == self.log.last().index + 1;
        self.check(follows, Invariant::NoGaps);
        if let Payload::Members(members) = &entry.payload {
            self.changes.push((entry.id.index, members.clone()));
        }
        self.write.entries.push(entry.clone());
        self.log.push(entry);
    }

    /// Removes the entries from an index on.
    pub(crate) fn truncate(&mut self, from: u64) {
        self.check(from > self.commit, Invariant::CommittedStays);
        self.log.truncate(from);
        self.changes.retain(|(index, _)| *index < from);
        self.durable.cut(from - 1);
        let first = self.write.entries.first().map(|entry| entry.id.index);
        self.write.entries.retain(|entry| entry.id.index < from);
        if first.is_none_or(|first| from < first) {
            let least = self.write.truncate.map_or(from, |other| other.min(from));
            self.write.truncate = Some(least);
        }
    }

    /// Moves the commit index on and hands the entries to the state machine.
    pub(crate) fn commit_to(&mut self, index: u64) {
        if index <= self.commit {
            return;
        }
        let mut batch = Vec::new();
        for entry in self.log.range(self.commit + 1, index) {
            let lead = self.lead.as_mut();
            let token = lead.and_then(|lead| lead.tokens.remove(&entry.id.index));
            batch.push(Committed { entry: entry.clone(), token });
        }
        let whole = batch.len() as u64 == index - self.commit;
        self.check(whole, Invariant::NoGaps);
        self.commit = index;
        self.out.push(Action::Commit(batch));
    }

    fn flush(&mut self) -> Vec<Action> {
        let mut actions = Vec::with_capacity(self.out.len() + 2);
        if let Some(write) = self.take_write() {
            actions.push(Action::Persist(write));
        }
        actions.append(&mut self.out);
        self.release(&mut actions);
        self.announce(&mut actions);
        actions
    }

    fn take_write(&mut self) -> Option<Write> {
        if self.write == Write::default() {
            return None;
        }
        let mut write = std::mem::take(&mut self.write);
        self.durable.asked += 1;
        write.number = self.durable.asked;
        if let Some(hard) = &write.hard {
            self.durable.wait_hard(hard.clone());
        }
        if !write.entries.is_empty() || write.snapshot.is_some() {
            self.durable.wait_entry(self.log.last().index);
        }
        Some(write)
    }

    /// Lets go of the messages whose content is on disk.
    fn release(&mut self, actions: &mut Vec<Action>) {
        for message in std::mem::take(&mut self.fresh) {
            self.held.push_back((self.durable.asked, message));
        }
        while self.held.front().is_some_and(|(write, _)| *write <= self.durable.synced) {
            if let Some((_, message)) = self.held.pop_front() {
                actions.push(Action::Send(message));
            }
        }
        let mut votes = actions.iter().filter_map(says_vote);
        let kept = votes.all(|epoch| self.durable.has_vote(epoch));
        self.check(kept, Invariant::SyncedFirst);
    }

    fn announce(&mut self, actions: &mut Vec<Action>) {
        let ready = self.is_ready();
        let now = (ready, self.hard.epoch, self.leader.clone());
        if self.announced.as_ref() == Some(&now) {
            return;
        }
        let (epoch, leader) = (now.1, now.2.clone());
        self.announced = Some(now);
        actions.push(if ready {
            Action::BecameLeader { epoch }
        } else {
            Action::BecameFollower { epoch, leader }
        });
    }
}

fn says_vote(action: &Action) -> Option<Epoch> {
    let Action::Send(message) = action else { return None };
    let votes = matches!(message.body, Body::Vote { .. } | Body::VoteReply { granted: true });
    votes.then_some(message.epoch)
}

fn find_changes(snapshot: &Snapshot, entries: &[Entry]) -> Vec<(u64, Membership)> {
    let mut changes = Vec::new();
    if !snapshot.meta.members.replicas.is_empty() {
        changes.push((snapshot.meta.last.index, snapshot.meta.members.clone()));
    }
    for entry in entries {
        if let Payload::Members(members) = &entry.payload {
            changes.push((entry.id.index, members.clone()));
        }
    }
    changes
}
