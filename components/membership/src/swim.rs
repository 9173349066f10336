//! The state machine of membership: events in, actions out.
//!
//! It is SWIM (probes, indirect probes, suspicion, refutation, news that ride along) with local
//! health and independent confirmations, pages for those who join, and digests against news that
//! were lost. docs/MEMBERSHIP.md tells which faults each part is for.

mod claims;
mod news;
mod own;
mod pick;
mod probe;
mod silence;
mod suspicion;
mod sync;
mod table;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryford_types::DataCentre;
use chicoryford_types::Incarnation;
use chicoryford_types::Known;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Standing;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::message::Accusation;
use crate::message::Body;
use crate::message::Message;
use crate::message::Update;
use crate::seal::CODE;
use crate::settings::SwimSettings;

use news::Queue;
use pick::Rotation;
use probe::Probe;
use probe::Relayed;
use silence::Silences;
use suspicion::Suspicion;
use sync::Joining;
use table::Table;

/// Milliseconds between two ticks.
pub const TICK_MS: u64 = 50;
/// Milliseconds between two looks for members to forget.
const UPKEEP_MS: u64 = 1_000;
/// The time between the first two comparisons of digests; it doubles up to the settings' value.
const SYNC_FIRST_MS: u64 = 500;
/// How many members are told directly that this process leaves.
const FAREWELLS: usize = 5;
/// A freeze longer than this many milliseconds leaves the view so old that it is read anew.
const STALE_MS: u64 = 10_000;

/// What happens to the machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; expected every [`TICK_MS`] milliseconds.
    Tick,
    /// A message came whose seal was right.
    Received {
        /// Whence it came.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// This process's own announcement may have changed.
    Own(Member),
    /// This process shuts down gracefully.
    Leave,
}

/// What the machine wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Raise the numbers of this process's own announcement to at least these.
    Renumber {
        /// The least incarnation.
        incarnation: Incarnation,
        /// The least number of the announcement within it.
        announced: u64,
    },
}

/// The state machine of one process's membership.
pub struct Swim {
    settings: SwimSettings,
    /// What this process last spread of itself.
    own: Arc<Member>,
    /// The number of the last announcement or refutation that this process spread.
    announced: u64,
    /// Weight versions that rose since, and wait for their turn.
    pending: Option<Member>,
    versions_due: Option<Millis>,
    seeds: Vec<SocketAddr>,
    table: Table,
    suspicions: BTreeMap<Node, Suspicion>,
    silences: Silences,
    queue: Queue,
    probes: Vec<Probe>,
    relayed: Vec<Relayed>,
    near: Rotation,
    far: Rotation,
    focus: Option<(DataCentre, Millis)>,
    joining: Option<Joining>,
    /// The score of bad local health: zero is good.
    health: u64,
    heard: Millis,
    last: Option<Millis>,
    next_probe: Millis,
    next_news: Millis,
    next_sync: Millis,
    /// Short at first, because who just joined has told its news to the few whom it knew.
    sync_gap: u64,
    next_upkeep: Millis,
    leaving: bool,
    changed: bool,
    broken: u64,
    random: SmallRng,
}

impl Swim {
    /// Starts with nobody known but this process.
    pub fn new(settings: SwimSettings, own: Member, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let joining = (!seeds.is_empty()).then(Joining::default);
        let mut swim = Self {
            announced: own.announced,
            own: Arc::new(own::without_position(own)),
            pending: None,
            versions_due: None,
            seeds,
            table: Table::new(settings.remembered),
            suspicions: BTreeMap::new(),
            silences: Silences::default(),
            queue: Queue::default(),
            probes: Vec::new(),
            relayed: Vec::new(),
            near: Rotation::default(),
            far: Rotation::default(),
            focus: None,
            joining,
            health: 0,
            heard: Millis(0),
            last: None,
            next_probe: Millis(0),
            next_news: Millis(0),
            next_sync: Millis(0),
            sync_gap: SYNC_FIRST_MS,
            next_upkeep: Millis(0),
            leaving: false,
            changed: true,
            broken: 0,
            random: SmallRng::seed_from_u64(seed),
            settings,
        };
        swim.queue.add(Update::Alive(swim.own.clone()));
        swim
    }

    /// Takes an event and appends what is to be done to `actions`.
    pub fn on(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        self.notice_freeze(now);
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Received { from, message } => self.receive(from, message, now, actions),
            Event::Own(member) => self.change_own(member, now, actions),
            Event::Leave => self.leave(actions),
        }
    }

    /// Takes members as known without asking anyone, as after a full page of them.
    pub fn know(&mut self, members: &[Arc<Member>], now: Millis) {
        for member in members {
            self.take_alive(member.clone(), now, false, &mut Vec::new());
        }
    }

    /// Tells whether the view changed since this was last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Counts the promises that this machine saw broken; always zero unless it has a fault.
    pub fn broken(&self) -> u64 {
        self.broken + self.table.broken
    }

    /// Gives the score of bad local health; zero is good.
    pub fn health(&self) -> u64 {
        self.health
    }

    /// Gives how another process stands, if it is known.
    pub fn standing(&self, node: &Node) -> Option<Standing> {
        self.table.get(node).map(|entry| entry.standing)
    }

    /// Gives what this process last spread of itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Gives everyone known, this process included.
    pub fn view(&self) -> Members {
        let others = self.table.iter().map(|entry| (&entry.member, entry.standing));
        let all = others.chain(std::iter::once((&self.own, Standing::Alive)));
        let known = all.map(|(member, standing)| {
            (member.node.clone(), Known { member: (**member).clone(), standing })
        });
        Members { known: known.collect() }
    }

    /// A process that was stopped for a while finds all its timers expired and everybody's
    /// answers late. Without this it would condemn members that are well, and others would see
    /// accusations from one process against many. The time lost is not counted against anyone.
    fn notice_freeze(&mut self, now: Millis) {
        let gap = self.last.map_or(0, |last| now.since(last));
        self.last = Some(now);
        if gap <= self.settings.frozen_ms || !self.settings.local_health {
            return;
        }
        tracing::warn!(event = "frozen", node = %self.own.node, gap_ms = gap);
        self.health = self.settings.health;
        self.probes.clear();
        self.silences.forgive();
        self.relayed.clear();
        self.heard = now;
        for suspicion in self.suspicions.values_mut() {
            suspicion.delay(gap);
        }
        if gap > STALE_MS && self.table.present() > 0 {
            self.joining = Some(Joining::default());
            self.sync_gap = SYNC_FIRST_MS;
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.leaving {
            return;
        }
        self.spread_versions(now, actions);
        self.judge(now);
        self.follow_probes(now, actions);
        self.look_again(now, actions);
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_ms * (1 + self.health);
            self.probe(now, actions);
        }
        if now >= self.next_news {
            self.next_news = now + self.settings.news_ms;
            self.spread(actions);
        }
        self.join(now, actions);
        if now >= self.next_sync {
            let jitter = self.random.random_range(0..=self.sync_gap / 4);
            self.next_sync = now + self.sync_gap + jitter;
            self.sync_gap = (self.sync_gap * 2).min(self.settings.sync_ms);
            self.compare(actions);
        }
        if now >= self.next_upkeep {
            self.next_upkeep = now + UPKEEP_MS;
            self.changed |= self.table.forget(now, self.settings.forget_ms);
        }
    }

    fn receive(
        &mut self,
        from: SocketAddr,
        message: Message,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if self.leaving || message.from == self.own.node {
            return;
        }
        self.heard = now;
        self.hear_place(&message.from, now);
        let whole = matches!(message.body, Body::Piece { .. });
        self.correct(from, &message, actions);
        for update in message.updates {
            self.take(update, now, !whole, actions);
        }
        if self.table.get(&message.from).is_none() {
            let nodes = vec![message.from.clone()];
            self.send(from, &message.from, Body::Want { nodes }, actions);
        }
        match message.body {
            Body::Ping { seq, to } => {
                if to == self.own.node {
                    self.send(from, &message.from, Body::Ack { seq }, actions);
                }
            }
            Body::Relay { seq, to } => {
                self.relay(from, &message.from, seq, &to, now, actions);
            }
            Body::Ack { seq } => self.take_ack(seq, now, actions),
            Body::Nack { seq } => self.take_nack(seq),
            Body::News => {}
            Body::Page { after } => self.give_page(from, &message.from, &after, actions),
            Body::Piece { last } => self.take_piece(from, last, now, actions),
            Body::Sync { digests } => self.answer_sync(from, &message.from, &digests, actions),
            Body::Bucket { of, index, held } => {
                self.take_bucket(from, &message.from, (of, index), &held, now, actions);
            }
            Body::Want { nodes } => self.give(from, &nodes, actions),
        }
    }

    /// Tells a sender that it lags behind: that it took this process for its predecessor, or that
    /// it started with numbers lower than those of its own predecessor.
    fn correct(&mut self, to: SocketAddr, message: &Message, actions: &mut Vec<Action>) {
        let mut updates = Vec::new();
        for update in &message.updates {
            match update {
                Update::Accused(accusation)
                    if accusation.node == self.own.node
                        && accusation.incarnation < self.own.incarnation =>
                {
                    updates.push(Update::Alive(self.own.clone()));
                }
                // An answer of any member proves that its data centre is not silent.
                Update::Silent { place, .. } if *place == self.own.data_centre => {
                    updates.push(Update::Alive(self.own.clone()));
                }
                Update::Alive(member) if member.node == message.from => {
                    updates.extend(self.outdated(member).map(Update::Accused));
                }
                _ => {}
            }
        }
        if !updates.is_empty() {
            self.tell(to, Body::News, updates, actions);
        }
    }

    /// Gives what a process must outbid that announces itself with an incarnation known as past.
    fn outdated(&self, member: &Member) -> Option<Accusation> {
        let (incarnation, announced) = match self.table.get(&member.node) {
            Some(entry) if entry.member.incarnation > member.incarnation => {
                (entry.member.incarnation, entry.announced)
            }
            Some(_) => return None,
            None => self.table.past(member)?,
        };
        Some(Accusation {
            node: member.node.clone(),
            incarnation,
            announced,
            standing: Standing::Dead,
            by: self.own.node.clone(),
        })
    }

    /// Sends news to a few members, mostly near ones, as long as there are any.
    fn spread(&mut self, actions: &mut Vec<Action>) {
        for n in 0..self.settings.fanout {
            if self.queue.is_empty() {
                return;
            }
            let near = n % 2 == 0;
            if let Some((node, address)) = self.pick_present(near) {
                self.send(address, &node, Body::News, actions);
            }
        }
    }

    fn leave(&mut self, actions: &mut Vec<Action>) {
        let farewell = Accusation {
            node: self.own.node.clone(),
            incarnation: self.own.incarnation,
            announced: self.announced,
            standing: Standing::Left,
            by: self.own.node.clone(),
        };
        self.queue.add(Update::Accused(farewell));
        for n in 0..FAREWELLS {
            if let Some((node, address)) = self.pick_present(n % 2 == 0) {
                self.send(address, &node, Body::News, actions);
            }
        }
        self.leaving = true;
    }

    /// Sends a message with as many news as fit. A receiver that is itself accused is told first,
    /// because only it can refute.
    fn send(&mut self, to: SocketAddr, node: &Node, body: Body, actions: &mut Vec<Action>) {
        let mut message = Message { from: self.own.node.clone(), body, updates: Vec::new() };
        let mut room = self.room(&message);
        if let Some(accusation) = self.accusation(node) {
            let update = Update::Accused(accusation);
            room = room.saturating_sub(update.size());
            message.updates.push(update);
        }
        let limit = self.repeats();
        self.queue.take(room, limit, &mut message.updates);
        actions.push(Action::Send { to, message });
    }

    /// Gives how often a piece of news is sent on.
    fn repeats(&self) -> u64 {
        self.settings.repeats * (1 + decimal_log(self.table.present() + 1))
    }

    /// Sends a message with chosen news only.
    fn tell(
        &mut self,
        to: SocketAddr,
        body: Body,
        updates: Vec<Update>,
        actions: &mut Vec<Action>,
    ) {
        let message = Message { from: self.own.node.clone(), body, updates };
        actions.push(Action::Send { to, message });
    }

    fn room(&self, message: &Message) -> usize {
        /// The code before the content, and the larger length that a longer list needs.
        const MARGIN: usize = CODE + 4;
        self.settings.datagram.saturating_sub(message.encode().len() + MARGIN)
    }

    fn break_promise(&mut self, promise: &'static str, node: &Node) {
        tracing::error!(event = "promise_broken", promise, %node, by = %self.own.node);
        self.broken += 1;
    }
}

/// Gives the decimal logarithm, rounded up and at least one.
fn decimal_log(n: usize) -> u64 {
    (n.max(2) as f64).log10().ceil().max(1.0) as u64
}
