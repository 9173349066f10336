//! A simulation of replicas with crashing disks and a lossy network, in virtual time.

use std::collections::BTreeMap;
use std::collections::HashSet;

use chicoryford_agreement::Action;
use chicoryford_agreement::Event;
use chicoryford_agreement::Founder;
use chicoryford_agreement::Message;
use chicoryford_agreement::Payload;
use chicoryford_agreement::Protections;
use chicoryford_agreement::Replica;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::Role;
use chicoryford_agreement::Settings;
use chicoryford_agreement::Snapshot;
use chicoryford_agreement::SnapshotMeta;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::checker::Checker;
use crate::checker::Symptom;
use crate::disk::Disk;
use crate::disk::HashChain;

const TICK_MS: u64 = 20;
const SNAPSHOT_EVERY: u64 = 60;

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub replicas: usize,
    /// Replicas that start empty and do not belong to the founders.
    pub spares: usize,
    pub max_events: u64,
    /// Message loss in percent.
    pub loss_percent: u32,
    /// Mean milliseconds between two faults.
    pub fault_interval_ms: u64,
    pub protections: Protections,
    /// Whether a node that lost its disk restarts under its old incarnation.
    pub reuse_incarnation: bool,
    /// Percentage of faults that stop all replicas at once.
    pub crash_all_percent: u32,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            replicas: 3,
            spares: 2,
            max_events: 50_000,
            loss_percent: 4,
            fault_interval_ms: 250,
            protections: Protections::default(),
            reuse_incarnation: false,
            crash_all_percent: 0,
        }
    }
}

pub struct Host {
    pub id: ReplicaId,
    pub replica: Option<Replica>,
    pub disk: Disk,
    pub chain: HashChain,
    pub frozen: bool,
    pub is_founder: bool,
    founders: Vec<Founder>,
    skew: u64,
    speed: u64,
    syncing: bool,
}

impl Host {
    /// Returns the host's own clock, which has an arbitrary offset and runs up to 2 percent fast or
    /// slow.
    pub fn clock(&self, now: u64) -> Millis {
        Millis(self.skew + now * self.speed / 1_000)
    }
}

pub enum SimEvent {
    Deliver(Message),
    Tick(usize),
    Synced(usize, Incarnation),
    Restart(usize),
    Thaw(usize),
    Client,
    Fault,
}

pub struct Simulation {
    pub plan: Plan,
    pub now: u64,
    pub rng: SmallRng,
    pub hosts: Vec<Host>,
    pub checker: Checker,
    pub events: u64,
    pub token: u64,
    /// Directed links between hosts on which no message is delivered.
    pub blocked_links: HashSet<(usize, usize)>,
    pub loss_percent: u32,
    /// Whether fault injection has ended.
    pub healing: bool,
    queue: BTreeMap<(u64, u64), SimEvent>,
    sequence: u64,
}

impl Simulation {
    pub fn new(plan: Plan) -> Self {
        let mut sim = Self {
            now: 0,
            rng: SmallRng::seed_from_u64(plan.seed),
            hosts: Vec::new(),
            checker: Checker::default(),
            events: 0,
            token: 0,
            blocked_links: HashSet::new(),
            loss_percent: plan.loss_percent,
            healing: false,
            queue: BTreeMap::new(),
            sequence: 0,
            plan,
        };
        let names: Vec<String> =
            (0..sim.plan.replicas + sim.plan.spares).map(|n| format!("n{n}")).collect();
        let first = &names[..sim.plan.replicas];
        let founders = first.iter().map(|name| founder(name)).collect::<Vec<_>>();
        for (node, name) in names.iter().enumerate() {
            let is_founder = node < sim.plan.replicas;
            sim.add_host(name, if is_founder { founders.clone() } else { Vec::new() });
        }
        sim.schedule(10, SimEvent::Client);
        sim
    }

    /// Starts a replica on a new node.
    pub fn add_host(&mut self, name: &str, founders: Vec<Founder>) -> usize {
        let node = self.hosts.len();
        self.hosts.push(Host {
            id: ReplicaId::new(name, Incarnation(1)),
            replica: None,
            disk: Disk::default(),
            chain: HashChain::default(),
            frozen: false,
            is_founder: !founders.is_empty(),
            founders,
            skew: self.rng.random_range(0..1_000_000),
            speed: self.rng.random_range(980..=1_020),
            syncing: false,
        });
        self.boot(node);
        self.schedule(TICK_MS, SimEvent::Tick(node));
        node
    }

    pub fn schedule(&mut self, after: u64, event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }

    /// Starts a replica from its disk.
    pub fn boot(&mut self, node: usize) {
        let seed = self.rng.random();
        let host = &mut self.hosts[node];
        let settings = Settings {
            id: host.id.clone(),
            founders: host.founders.clone(),
            election_ms: 300,
            heartbeat_ms: 40,
            batch_entries: 8,
            max_in_flight: 4,
            max_uncommitted: 200,
            chunk_bytes: 128,
            retained_entries: 20,
            catch_up_entries: 10,
            protections: self.plan.protections,
            ..Settings::default()
        };
        let saved = host.disk.saved.clone();
        let snapshot = saved.snapshot.as_ref();
        host.chain = snapshot.map(|s| HashChain::decode(&s.data)).unwrap_or_default();
        host.replica = Some(Replica::new(settings, saved, seed));
        host.frozen = false;
        host.syncing = false;
    }

    /// Stops a replica's process. Unsynced writes may be lost.
    pub fn crash(&mut self, node: usize) {
        let written = self.rng.random_range(0..=3);
        let host = &mut self.hosts[node];
        host.replica = None;
        host.disk.crash(written);
    }

    /// Drops all messages in flight, as when both ends of their connections lose power.
    pub fn lose_messages(&mut self) {
        self.queue.retain(|_, event| !matches!(event, SimEvent::Deliver(_)));
    }

    /// Deletes a host's disk. The host restarts empty, as another replica.
    pub fn lose_disk(&mut self, node: usize) {
        self.crash(node);
        let host = &mut self.hosts[node];
        host.disk = Disk::default();
        if !self.plan.reuse_incarnation {
            host.id.incarnation = host.id.incarnation.next();
        }
    }

    pub fn find_host(&self, id: &ReplicaId) -> Option<usize> {
        self.hosts.iter().position(|host| host.id == *id)
    }

    /// Runs until a failure is observed or the event limit is reached.
    pub fn run(&mut self) {
        self.schedule(1_500, SimEvent::Fault);
        while self.checker.symptom.is_none() && self.events < self.plan.max_events {
            self.step();
        }
        if self.checker.symptom.is_none() {
            self.heal_and_check();
        }
    }

    /// Runs for a period of virtual time.
    pub fn run_for(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.checker.symptom.is_none() && self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        let Some(((at, _), event)) = self.queue.pop_first() else { return };
        self.now = at;
        match event {
            SimEvent::Deliver(message) => self.deliver(message),
            SimEvent::Tick(node) => {
                self.handle_event(node, Event::Tick);
                self.schedule(TICK_MS, SimEvent::Tick(node));
            }
            SimEvent::Synced(node, incarnation) => self.sync(node, incarnation),
            SimEvent::Restart(node) => {
                if self.hosts[node].replica.is_none() {
                    self.boot(node);
                }
            }
            SimEvent::Thaw(node) => self.hosts[node].frozen = false,
            SimEvent::Client => self.client(),
            SimEvent::Fault if self.healing => {}
            SimEvent::Fault => self.fault(),
        }
    }

    fn deliver(&mut self, message: Message) {
        // The node name identifies the host, whatever its incarnation.
        let name = message.to.node.as_str();
        let Some(node) = self.hosts.iter().position(|h| h.id.node.as_str() == name) else {
            return;
        };
        if self.hosts[node].frozen {
            // Messages to a suspended process wait in its socket.
            self.schedule(TICK_MS, SimEvent::Deliver(message));
            return;
        }
        self.handle_event(node, Event::Message(message));
    }

    fn sync(&mut self, node: usize, incarnation: Incarnation) {
        let host = &mut self.hosts[node];
        if host.replica.is_none() || host.id.incarnation != incarnation {
            return;
        }
        if host.frozen {
            // The report of the disk waits until the process continues.
            self.schedule(TICK_MS, SimEvent::Synced(node, incarnation));
            return;
        }
        host.syncing = false;
        if let Some(write) = host.disk.sync() {
            self.handle_event(node, Event::Synced { write });
        }
    }

    /// Passes an event to a replica and carries out the resulting actions.
    pub fn handle_event(&mut self, node: usize, event: Event) {
        let host = &mut self.hosts[node];
        if host.frozen {
            return;
        }
        let clock = host.clock(self.now);
        let Some(replica) = &mut host.replica else { return };
        self.events += 1;
        let actions = replica.handle(clock, event);
        if let Some(invariant) = replica.last_violation() {
            self.checker.invariant_violated(invariant);
        }
        let (epoch, leads) = (replica.epoch(), replica.holds_lease(clock));
        let elected =
            replica.role() == Role::Leader && self.checker.record_leader(epoch, &host.id.clone());
        if elected || leads {
            self.check_leases(node, epoch, leads);
        }
        for action in actions {
            self.execute(node, action);
        }
        self.start_sync(node);
    }

    /// Checks that no replica is elected in a later epoch while a lease is valid, and that no two
    /// leases are valid at once. Votes that arrive late may still elect a replica in an earlier
    /// epoch, which gets no lease.
    fn check_leases(&mut self, node: usize, epoch: Epoch, leads: bool) {
        for (other, host) in self.hosts.iter().enumerate() {
            let Some(replica) = &host.replica else { continue };
            let holds_lease = other != node && replica.holds_lease(host.clock(self.now));
            if holds_lease && (leads || epoch >= replica.epoch()) {
                let epoch = replica.epoch();
                self.checker.report(Symptom::LeaseBroken(epoch));
                return;
            }
        }
    }

    fn start_sync(&mut self, node: usize) {
        let host = &mut self.hosts[node];
        if host.syncing || host.disk.unsynced.is_empty() {
            return;
        }
        host.syncing = true;
        let incarnation = host.id.incarnation;
        let slow = self.rng.random_ratio(1, 50);
        let ms = if slow { self.rng.random_range(20..400) } else { self.rng.random_range(1..6) };
        self.schedule(ms, SimEvent::Synced(node, incarnation));
    }

    fn execute(&mut self, node: usize, action: Action) {
        match action {
            Action::Persist(write) => self.hosts[node].disk.unsynced.push_back(write),
            Action::Send(message) => self.send(node, message),
            Action::Commit(entries) => {
                for committed in entries {
                    self.apply(node, committed);
                }
                self.take_snapshot(node);
            }
            Action::ApplySnapshot(snapshot) => {
                self.hosts[node].chain = HashChain::decode(&snapshot.data);
                self.checker.apply(self.hosts[node].chain);
            }
            Action::Refuse { token, reason } => {
                if reason.is_final() {
                    self.checker.refuse(token.0);
                }
            }
            Action::ReadReady { token, index } => self.checker.read_answered(token.0, index),
            Action::BecameLeader { .. } => {
                let commit = self.hosts[node].chain.index;
                self.checker.leader_ready(commit);
            }
            Action::BecameFollower { .. } => {}
        }
    }

    fn apply(&mut self, node: usize, committed: chicoryford_agreement::Committed) {
        let chain = &mut self.hosts[node].chain;
        chain.apply(&committed.entry);
        let chain = *chain;
        self.checker.apply(chain);
        if let Payload::Data(data) = &committed.entry.payload {
            let token = u64::from_be_bytes(data[..8].try_into().unwrap());
            self.checker.committed(token);
        }
        if committed.token.is_some() {
            self.checker.acknowledge(committed.entry.id.index);
        }
    }

    fn take_snapshot(&mut self, node: usize) {
        let host = &self.hosts[node];
        let taken = host.disk.saved.snapshot.as_ref().map_or(0, |s| s.meta.last.index);
        // Entries may only be deleted from the disk for a snapshot of synced entries.
        let synced = host.disk.saved.entries.last().map_or(0, |entry| entry.id.index);
        let due = host.chain.index >= taken + SNAPSHOT_EVERY && synced >= host.chain.index;
        let Some(replica) = host.replica.as_ref().filter(|_| due) else { return };
        let index = host.chain.index;
        let Some(last) = replica.entry_id(index) else { return };
        let meta = SnapshotMeta { last, members: replica.members_at(index) };
        let snapshot = Snapshot { meta, data: host.chain.encode() };
        self.hosts[node].disk.snapshot(snapshot.clone());
        self.handle_event(node, Event::SnapshotTaken(snapshot));
    }

    fn send(&mut self, node: usize, message: Message) {
        let name = message.to.node.as_str();
        let to = self.hosts.iter().position(|host| host.id.node.as_str() == name);
        let cut = to.is_none_or(|to| self.blocked_links.contains(&(node, to)));
        if cut || self.rng.random_ratio(self.loss_percent, 100) {
            return;
        }
        if self.rng.random_ratio(1, 40) {
            let delay = self.rng.random_range(1..2_000);
            self.schedule(delay, SimEvent::Deliver(message.clone()));
        }
        let slow = self.rng.random_ratio(1, 40);
        let ms = if slow { self.rng.random_range(10..300) } else { self.rng.random_range(1..8) };
        self.schedule(ms, SimEvent::Deliver(message));
    }

    /// Prints the status of each replica.
    pub fn show(&self) {
        for host in &self.hosts {
            let status = host.replica.as_ref().map(Replica::status);
            println!("{} {status:?}", host.id);
        }
    }

    /// Ends all faults and waits until the replicas commit entries again.
    fn heal_and_check(&mut self) {
        self.healing = true;
        self.loss_percent = 0;
        self.blocked_links.clear();
        let mut rounds_left = 60;
        loop {
            for node in 0..self.hosts.len() {
                self.hosts[node].frozen = false;
                let failed = |r: &Replica| r.role() == Role::Failed;
                if self.hosts[node].replica.as_ref().is_none_or(failed) {
                    self.crash(node);
                    self.boot(node);
                }
            }
            self.replace_lost();
            let acked = self.checker.acks;
            self.run_for(1_000);
            rounds_left -= 1;
            if self.checker.symptom.is_some() || (self.checker.acks > acked && rounds_left < 56) {
                return;
            }
            if rounds_left == 0 {
                self.checker.report(Symptom::Stuck);
            }
        }
    }
}

fn founder(name: &str) -> Founder {
    Founder { node: name.into(), address: format!("{name}:1") }
}
