//! Replicas on crashing disks, joined by a queue of messages, in virtual time.

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

use crate::disk::Chain;
use crate::disk::Disk;
use crate::judge::Judge;
use crate::judge::Symptom;

const TICK_MS: u64 = 20;
const SNAPSHOT_EVERY: u64 = 60;

/// How a run goes.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub replicas: usize,
    pub events: u64,
    /// Messages lost, in percent.
    pub loss: u32,
    /// Mean milliseconds between two faults.
    pub calm: u64,
    pub protections: Protections,
    /// Whether a node that lost its disk comes back under its old incarnation.
    pub forgetful: bool,
    /// Faults in percent that stop all replicas at once.
    pub herd: u32,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            replicas: 3,
            events: 50_000,
            loss: 4,
            calm: 250,
            protections: Protections::default(),
            forgetful: false,
            herd: 0,
        }
    }
}

pub struct Host {
    pub id: ReplicaId,
    pub replica: Option<Replica>,
    pub disk: Disk,
    pub chain: Chain,
    pub frozen: bool,
    pub founds: bool,
    founders: Vec<Founder>,
    skew: u64,
    speed: u64,
    syncing: bool,
}

impl Host {
    /// Reads the host's own clock, which starts anywhere and runs a little fast or slow.
    pub fn clock(&self, now: u64) -> Millis {
        Millis(self.skew + now * self.speed / 1_000)
    }
}

pub enum What {
    Deliver(Message),
    Tick(usize),
    Synced(usize, Incarnation),
    Restart(usize),
    Thaw(usize),
    Client,
    Fault,
}

pub struct World {
    pub plan: Plan,
    pub now: u64,
    pub rng: SmallRng,
    pub hosts: Vec<Host>,
    pub judge: Judge,
    pub events: u64,
    pub token: u64,
    /// Pairs of hosts between which nothing passes, in that direction.
    pub cuts: HashSet<(usize, usize)>,
    pub loss: u32,
    /// Whether faults have ended.
    pub healing: bool,
    queue: BTreeMap<(u64, u64), What>,
    number: u64,
}

impl World {
    pub fn new(plan: Plan) -> Self {
        let mut world = Self {
            now: 0,
            rng: SmallRng::seed_from_u64(plan.seed),
            hosts: Vec::new(),
            judge: Judge::default(),
            events: 0,
            token: 0,
            cuts: HashSet::new(),
            loss: plan.loss,
            healing: false,
            queue: BTreeMap::new(),
            number: 0,
            plan,
        };
        let names: Vec<String> = (0..world.plan.replicas + 2).map(|n| format!("n{n}")).collect();
        let first = &names[..world.plan.replicas];
        let founders = first.iter().map(|name| founder(name)).collect::<Vec<_>>();
        for (place, name) in names.iter().enumerate() {
            let founds = place < world.plan.replicas;
            world.add_host(name, if founds { founders.clone() } else { Vec::new() });
        }
        world.at(10, What::Client);
        world
    }

    fn add_host(&mut self, name: &str, founders: Vec<Founder>) {
        let place = self.hosts.len();
        self.hosts.push(Host {
            id: ReplicaId::new(name, Incarnation(1)),
            replica: None,
            disk: Disk::default(),
            chain: Chain::default(),
            frozen: false,
            founds: !founders.is_empty(),
            founders,
            skew: self.rng.random_range(0..1_000_000),
            speed: self.rng.random_range(980..=1_020),
            syncing: false,
        });
        self.boot(place);
        self.at(TICK_MS, What::Tick(place));
    }

    pub fn at(&mut self, after: u64, what: What) {
        self.number += 1;
        self.queue.insert((self.now + after, self.number), what);
    }

    /// Starts a replica from its disk.
    pub fn boot(&mut self, place: usize) {
        let seed = self.rng.random();
        let host = &mut self.hosts[place];
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
        host.chain = snapshot.map(|s| Chain::decode(&s.data)).unwrap_or_default();
        host.replica = Some(Replica::new(settings, saved, seed));
        host.frozen = false;
        host.syncing = false;
    }

    /// Ends a replica's process; unsynced writes may be lost.
    pub fn crash(&mut self, place: usize) {
        let reached = self.rng.random_range(0..=3);
        let host = &mut self.hosts[place];
        host.replica = None;
        host.disk.crash(reached);
    }

    /// Loses what is under way, as connections do whose both ends lose power.
    pub fn lose_messages(&mut self) {
        self.queue.retain(|_, what| !matches!(what, What::Deliver(_)));
    }

    /// Takes a host's disk away; the host comes back empty, as another replica.
    pub fn lose_disk(&mut self, place: usize) {
        self.crash(place);
        let host = &mut self.hosts[place];
        host.disk = Disk::default();
        if !self.plan.forgetful {
            host.id.incarnation = host.id.incarnation.next();
        }
    }

    pub fn place(&self, id: &ReplicaId) -> Option<usize> {
        self.hosts.iter().position(|host| host.id == *id)
    }

    /// Runs until something is seen to go wrong or the events are used up.
    pub fn run(&mut self) {
        self.at(1_500, What::Fault);
        while self.judge.symptom.is_none() && self.events < self.plan.events {
            self.step();
        }
        if self.judge.symptom.is_none() {
            self.settle();
        }
    }

    /// Runs for a while of virtual time.
    pub fn run_for(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.judge.symptom.is_none() && self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        let Some(((at, _), what)) = self.queue.pop_first() else { return };
        self.now = at;
        match what {
            What::Deliver(message) => self.deliver(message),
            What::Tick(place) => {
                self.tell(place, Event::Tick);
                self.at(TICK_MS, What::Tick(place));
            }
            What::Synced(place, incarnation) => self.sync(place, incarnation),
            What::Restart(place) => {
                if self.hosts[place].replica.is_none() {
                    self.boot(place);
                }
            }
            What::Thaw(place) => self.hosts[place].frozen = false,
            What::Client => self.client(),
            What::Fault if self.healing => {}
            What::Fault => self.fault(),
        }
    }

    fn deliver(&mut self, message: Message) {
        // The node's name is its place, whatever its incarnation.
        let name = message.to.node.as_str();
        let Some(place) = self.hosts.iter().position(|h| h.id.node.as_str() == name) else {
            return;
        };
        if self.hosts[place].frozen {
            // What reaches a stopped process waits in its socket.
            self.at(TICK_MS, What::Deliver(message));
            return;
        }
        self.tell(place, Event::Message(message));
    }

    fn sync(&mut self, place: usize, incarnation: Incarnation) {
        let host = &mut self.hosts[place];
        if host.replica.is_none() || host.id.incarnation != incarnation {
            return;
        }
        host.syncing = false;
        if let Some(write) = host.disk.sync() {
            self.tell(place, Event::Synced { write });
        }
    }

    /// Tells a replica something and does what it wants done.
    pub fn tell(&mut self, place: usize, event: Event) {
        let host = &mut self.hosts[place];
        if host.frozen {
            return;
        }
        let clock = host.clock(self.now);
        let Some(replica) = &mut host.replica else { return };
        self.events += 1;
        let actions = replica.handle(clock, event);
        if let Some(promise) = replica.last_violation() {
            self.judge.promise(promise);
        }
        let (epoch, leads) = (replica.epoch(), replica.holds_lease(clock));
        let elected = replica.role() == Role::Leader && self.judge.lead(epoch, &host.id.clone());
        if elected || leads {
            self.check_leases(place, epoch, leads);
        }
        for action in actions {
            self.act(place, action);
        }
        self.start_sync(place);
    }

    /// Nobody may be elected in a later epoch while a lease holds, and no two leases may hold at
    /// once. Votes that come late may still elect somebody in an earlier epoch, who gets no lease.
    fn check_leases(&mut self, place: usize, epoch: Epoch, leads: bool) {
        for (other, host) in self.hosts.iter().enumerate() {
            let Some(replica) = &host.replica else { continue };
            let held = other != place && replica.holds_lease(host.clock(self.now));
            if held && (leads || epoch >= replica.epoch()) {
                let epoch = replica.epoch();
                self.judge.see(Symptom::LeaseBroken(epoch));
                return;
            }
        }
    }

    fn start_sync(&mut self, place: usize) {
        let host = &mut self.hosts[place];
        if host.syncing || host.disk.waiting.is_empty() {
            return;
        }
        host.syncing = true;
        let incarnation = host.id.incarnation;
        let slow = self.rng.random_ratio(1, 50);
        let ms = if slow { self.rng.random_range(20..400) } else { self.rng.random_range(1..6) };
        self.at(ms, What::Synced(place, incarnation));
    }

    fn act(&mut self, place: usize, action: Action) {
        match action {
            Action::Persist(write) => self.hosts[place].disk.waiting.push_back(write),
            Action::Send(message) => self.send(place, message),
            Action::Commit(entries) => {
                for committed in entries {
                    self.apply(place, committed);
                }
                self.take_snapshot(place);
            }
            Action::ApplySnapshot(snapshot) => {
                self.hosts[place].chain = Chain::decode(&snapshot.data);
                self.judge.apply(self.hosts[place].chain);
            }
            Action::Refuse { token, why } => {
                if why.is_final() {
                    self.judge.refuse(token.0);
                }
            }
            Action::ReadReady { token, index } => self.judge.answer(token.0, index),
            Action::BecameLeader { .. } => {
                let commit = self.hosts[place].chain.index;
                self.judge.ready(commit);
            }
            Action::BecameFollower { .. } => {}
        }
    }

    fn apply(&mut self, place: usize, committed: chicoryford_agreement::Committed) {
        let chain = &mut self.hosts[place].chain;
        chain.apply(&committed.entry);
        let chain = *chain;
        self.judge.apply(chain);
        if let Payload::Data(data) = &committed.entry.payload {
            let token = u64::from_be_bytes(data[..8].try_into().unwrap());
            self.judge.committed(token);
        }
        if committed.token.is_some() {
            self.judge.acknowledge(committed.entry.id.index);
        }
    }

    fn take_snapshot(&mut self, place: usize) {
        let host = &self.hosts[place];
        let taken = host.disk.saved.snapshot.as_ref().map_or(0, |s| s.meta.last.index);
        // Only what is synced can be in a snapshot that lets entries be dropped from the disk.
        let synced = host.disk.saved.entries.last().map_or(0, |entry| entry.id.index);
        let due = host.chain.index >= taken + SNAPSHOT_EVERY && synced >= host.chain.index;
        let Some(replica) = host.replica.as_ref().filter(|_| due) else { return };
        let index = host.chain.index;
        let Some(last) = replica.entry_id(index) else { return };
        let meta = SnapshotMeta { last, members: replica.members_at(index) };
        let snapshot = Snapshot { meta, data: host.chain.encode() };
        self.hosts[place].disk.snapshot(snapshot.clone());
        self.tell(place, Event::SnapshotTaken(snapshot));
    }

    fn send(&mut self, place: usize, message: Message) {
        let name = message.to.node.as_str();
        let to = self.hosts.iter().position(|host| host.id.node.as_str() == name);
        let cut = to.is_none_or(|to| self.cuts.contains(&(place, to)));
        if cut || self.rng.random_ratio(self.loss, 100) {
            return;
        }
        if self.rng.random_ratio(1, 40) {
            let late = self.rng.random_range(1..2_000);
            self.at(late, What::Deliver(message.clone()));
        }
        let slow = self.rng.random_ratio(1, 40);
        let ms = if slow { self.rng.random_range(10..300) } else { self.rng.random_range(1..8) };
        self.at(ms, What::Deliver(message));
    }

    /// Shows how each replica stands.
    pub fn show(&self) {
        for host in &self.hosts {
            let status = host.replica.as_ref().map(Replica::status);
            println!("{} {status:?}", host.id);
        }
    }

    /// Heals everything and waits until all members agree again.
    fn settle(&mut self) {
        self.healing = true;
        self.loss = 0;
        self.cuts.clear();
        let mut left = 60;
        loop {
            for place in 0..self.hosts.len() {
                self.hosts[place].frozen = false;
                let failed = |r: &Replica| r.role() == Role::Failed;
                if self.hosts[place].replica.as_ref().is_none_or(failed) {
                    self.crash(place);
                    self.boot(place);
                }
            }
            self.replace_lost();
            let acked = self.judge.acks;
            self.run_for(1_000);
            left -= 1;
            if self.judge.symptom.is_some() || (self.judge.acks > acked && left < 56) {
                return;
            }
            if left == 0 {
                self.judge.see(Symptom::Stuck);
            }
        }
    }
}

fn founder(name: &str) -> Founder {
    Founder { node: name.into(), address: format!("{name}:1") }
}
