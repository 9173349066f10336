//! A simulated network of membership state machines in virtual time, with faults.

#![allow(dead_code, reason = "each test file and example uses a part of it")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryford_membership::Action;
use chicoryford_membership::Event;
use chicoryford_membership::Message;
use chicoryford_membership::Swim;
use chicoryford_membership::SwimSettings;
use chicoryford_membership::message::Body;
use chicoryford_membership::message::Update;
use chicoryford_types::DataCentre;
use chicoryford_types::Endpoint;
use chicoryford_types::EndpointInfo;
use chicoryford_types::Incarnation;
use chicoryford_types::Member;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Region;
use chicoryford_types::Standing;
use chicoryford_types::Version;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub const STEP_MS: u64 = 10;
const TICK_STEPS: u64 = 5;
/// Bytes of the IP and UDP headers and of the authentication code.
pub const HEADER_BYTES: u64 = 28 + 16;
const START: Incarnation = Incarnation(1_000);
const INBOX: usize = 200;

struct Envelope {
    from: SocketAddr,
    to: usize,
    message: Message,
}

pub struct Peer {
    pub swim: Swim,
    pub up: bool,
    pub frozen: bool,
    inbox: Vec<(SocketAddr, Message)>,
    /// The last incarnation in which this peer saw each other one.
    seen: BTreeMap<Node, Incarnation>,
    pub sent: u64,
    pub received: u64,
    pub datagrams: u64,
}

pub struct Network {
    pub now: Millis,
    pub peers: Vec<Peer>,
    pub loss: f64,
    /// Directed paths that lose every message, by sender and receiver.
    pub blocked_paths: BTreeSet<(usize, usize)>,
    /// The partition of each peer; only peers with equal numbers have contact.
    pub partition: Vec<u32>,
    pub settings: SwimSettings,
    pub measured: bool,
    pub largest: usize,
    /// Bytes sent by kind of update, and by kind of message without its updates.
    pub kinds: BTreeMap<&'static str, u64>,
    /// The number of times that a peer's incarnation decreased in the view of another one.
    pub decreased_incarnations: u64,
    data_centres: usize,
    in_flight: BTreeMap<u64, Vec<Envelope>>,
    random: SmallRng,
    seed: u64,
}

pub fn name(n: usize) -> Node {
    Node(format!("node-{n:04}"))
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 256) as u8, (n % 256) as u8], 7_101))
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else { return usize::MAX };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) * 256 + usize::from(low)
}

pub fn member(n: usize, data_centres: usize, incarnation: Incarnation) -> Member {
    let centre = n % data_centres;
    Member {
        node: name(n),
        incarnation,
        address: format!("10.0.{}.{}:7100", n / 256, n % 256),
        gossip: address(n).to_string(),
        region: Region(format!("region-{}", centre % 3)),
        data_centre: DataCentre(format!("centre-{centre}")),
        endpoint: Some(EndpointInfo {
            name: Endpoint(format!("endpoint-{n:04}")),
            models: [(Model::from("style-llm"), Version(1))].into(),
            slots: 16,
            healthy: true,
            ..EndpointInfo::default()
        }),
        ..Member::default()
    }
}

fn update_kind(update: &Update) -> &'static str {
    match update {
        Update::Alive(_) => "+alive",
        Update::Refuted { .. } => "+refuted",
        Update::Standing(report) if report.standing == Standing::Suspect => "+suspect",
        Update::Standing(_) => "+dead",
        Update::Silent { .. } => "+silent",
    }
}

fn body_kind(body: &Body) -> &'static str {
    match body {
        Body::Ping { .. } | Body::PingRequest { .. } | Body::Ack { .. } | Body::Nack { .. } => {
            "probes"
        }
        Body::Gossip => "news",
        Body::Page { .. } | Body::PageReply { .. } => "pages",
        Body::Digests { .. } | Body::Bucket { .. } | Body::Fetch { .. } => "comparisons",
    }
}

impl Network {
    /// Creates `n` peers; the first three are the seeds of all.
    pub fn new(n: usize, data_centres: usize, settings: SwimSettings, seed: u64) -> Self {
        let mut net = Self {
            now: Millis(0),
            peers: Vec::new(),
            loss: 0.0,
            blocked_paths: BTreeSet::new(),
            partition: vec![0; n],
            settings,
            measured: false,
            largest: 0,
            kinds: BTreeMap::new(),
            decreased_incarnations: 0,
            data_centres,
            in_flight: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
            seed,
        };
        for n in 0..n {
            let swim = net.create_swim(n, START);
            net.peers.push(Peer {
                swim,
                up: true,
                frozen: false,
                inbox: Vec::new(),
                seen: BTreeMap::new(),
                sent: 0,
                received: 0,
                datagrams: 0,
            });
        }
        net
    }

    fn create_swim(&self, n: usize, incarnation: Incarnation) -> Swim {
        let own = member(n, self.data_centres, incarnation);
        let seeds = (0..3).filter(|seed| *seed != n).map(address).collect();
        let seed = self.seed.wrapping_mul(31).wrapping_add(n as u64) ^ incarnation.0;
        Swim::new(self.settings.clone(), own, seeds, seed)
    }

    /// Makes all peers known to each other, as after joining.
    pub fn introduce_all(&mut self) {
        let all: Vec<Arc<Member>> =
            self.peers.iter().map(|peer| Arc::new(peer.swim.own().clone())).collect();
        for peer in &mut self.peers {
            peer.swim.add_known(&all, Millis(0));
        }
    }

    pub fn kill(&mut self, n: usize) {
        self.peers[n].up = false;
    }

    /// Restarts a peer whose clock gives it the given incarnation.
    pub fn restart(&mut self, n: usize, incarnation: Incarnation) {
        let swim = self.create_swim(n, incarnation);
        let peer = &mut self.peers[n];
        peer.swim = swim;
        peer.up = true;
        peer.frozen = false;
        peer.inbox.clear();
        peer.seen.clear();
    }

    pub fn handle(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        self.peers[n].swim.handle(event, self.now, &mut actions);
        for action in actions {
            if let Action::Send { to, message } = action {
                self.send(n, to, message);
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let to = index(to);
        if self.measured {
            let size = message.encode().len();
            self.largest = self.largest.max(size + 16);
            self.count_kinds(&message, size);
            self.peers[from].sent += size as u64 + HEADER_BYTES;
            self.peers[from].datagrams += 1;
            if let Some(peer) = self.peers.get_mut(to) {
                peer.received += size as u64 + HEADER_BYTES;
            }
        }
        let lost = self.random.random_bool(self.loss);
        if to >= self.peers.len() || lost || !self.reaches(from, to) {
            return;
        }
        let near = from % self.data_centres == to % self.data_centres;
        let delay = if near { 1 } else { self.random.random_range(1..=4) };
        let at = self.now.0 + delay * STEP_MS;
        self.in_flight.entry(at).or_default().push(Envelope { from: address(from), to, message });
    }

    fn count_kinds(&mut self, message: &Message, size: usize) {
        let mut rest = size as u64 + HEADER_BYTES;
        for update in &message.updates {
            let size = update.size() as u64;
            rest = rest.saturating_sub(size);
            *self.kinds.entry(update_kind(update)).or_default() += size;
        }
        *self.kinds.entry(body_kind(&message.body)).or_default() += rest;
    }

    pub fn reaches(&self, from: usize, to: usize) -> bool {
        self.partition[from] == self.partition[to] && !self.blocked_paths.contains(&(from, to))
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `holds` returns true, for at most `ms`, and returns the elapsed time.
    pub fn run_until(&mut self, ms: u64, holds: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now.since(start) < ms {
            if holds(self) {
                return Some(self.now.since(start));
            }
            self.step();
        }
        None
    }

    fn step(&mut self) {
        self.now = self.now + STEP_MS;
        for envelope in self.in_flight.remove(&self.now.0).unwrap_or_default() {
            let peer = &mut self.peers[envelope.to];
            if !peer.up {
                continue;
            }
            if peer.frozen {
                if peer.inbox.len() < INBOX {
                    peer.inbox.push((envelope.from, envelope.message));
                }
                continue;
            }
            self.handle(
                envelope.to,
                Event::Received { from: envelope.from, message: envelope.message },
            );
        }
        for n in 0..self.peers.len() {
            let turn = (self.now.0 / STEP_MS + n as u64).is_multiple_of(TICK_STEPS);
            if turn && self.peers[n].up && !self.peers[n].frozen {
                self.handle(n, Event::Tick);
            }
        }
    }

    pub fn freeze(&mut self, n: usize) {
        self.peers[n].frozen = true;
    }

    pub fn thaw(&mut self, n: usize) {
        self.peers[n].frozen = false;
        self.handle(n, Event::Tick);
        for (from, message) in std::mem::take(&mut self.peers[n].inbox) {
            self.handle(n, Event::Received { from, message });
        }
    }

    pub fn standing(&self, of: usize, at: usize) -> Option<Standing> {
        self.peers[at].swim.standing(&name(of))
    }

    /// Returns whether all running peers consider `of` dead.
    pub fn all_report_dead(&self, of: usize) -> bool {
        self.observers(of).all(|at| self.standing(of, at) == Some(Standing::Dead))
    }

    /// Returns whether all running peers see all other running peers as alive.
    pub fn all_agree(&self) -> bool {
        (0..self.peers.len())
            .filter(|of| self.peers[*of].up)
            .all(|of| self.observers(of).all(|at| self.standing(of, at) == Some(Standing::Alive)))
    }

    fn observers(&self, of: usize) -> impl Iterator<Item = usize> {
        (0..self.peers.len()).filter(move |at| *at != of && self.peers[*at].up)
    }

    /// Returns the number of pairs of running peers of which one considers the other dead.
    pub fn false_deaths(&self) -> usize {
        let up = |n: &usize| self.peers[*n].up && !self.peers[*n].frozen;
        (0..self.peers.len())
            .filter(up)
            .map(|of| {
                let observers = self.observers(of).filter(up);
                observers.filter(|at| self.standing(of, *at) == Some(Standing::Dead)).count()
            })
            .sum()
    }

    /// Returns the number of invariant violations, counted by the state machines themselves and by
    /// observing their views.
    pub fn violations(&mut self) -> u64 {
        for peer in &mut self.peers {
            for (node, known) in peer.swim.view().known {
                let seen = peer.seen.entry(node).or_default();
                if known.member.incarnation < *seen {
                    self.decreased_incarnations += 1;
                }
                *seen = known.member.incarnation;
            }
        }
        let within: u64 = self.peers.iter().map(|peer| peer.swim.violations()).sum();
        within + self.decreased_incarnations
    }
}
