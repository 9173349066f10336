//! The membership state machine: events in, actions out.
//!
//! It implements SWIM (probes, indirect probes, suspicion, refutation, piggybacked updates) with
//! the local health score and independent confirmations of Lifeguard, pages for joining processes,
//! and digest comparison as anti-entropy for lost updates. docs/MEMBERSHIP.md describes which
//! faults each part handles.

mod broadcast;
mod own;
mod probe;
mod silence;
mod suspicion;
mod sync;
mod table;
mod targets;
mod updates;

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

use crate::auth::MAC_BYTES;
use crate::message::Body;
use crate::message::Message;
use crate::message::StandingReport;
use crate::message::Update;
use crate::settings::SwimSettings;

use broadcast::BroadcastQueue;
use probe::Probe;
use probe::ProxyProbe;
use silence::SilentDataCentres;
use suspicion::Suspicion;
use sync::Joining;
use table::Table;
use targets::ProbeOrder;

/// Milliseconds between two ticks.
pub const TICK_MS: u64 = 50;
/// Milliseconds between two removals of expired members.
const CLEANUP_MS: u64 = 1_000;
/// Milliseconds between the first two digest comparisons. The interval doubles up to the configured
/// value.
const FIRST_SYNC_MS: u64 = 500;
/// How many members are directly informed when this process leaves.
const LEAVE_MESSAGES: usize = 5;
/// A suspension longer than this many milliseconds leaves the view so outdated that it is requested
/// again.
const STALE_VIEW_MS: u64 = 10_000;

/// An event for the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; expected every [`TICK_MS`] milliseconds.
    Tick,
    /// A message with a valid authentication code was received.
    Received {
        /// The sender's address.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// This process's own announcement may have changed.
    Own(Member),
    /// This process shuts down gracefully.
    Leave,
}

/// An action that the state machine requests.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Raise the incarnation and sequence number of this process's own announcement to at least
    /// these.
    Renumber {
        /// The minimum incarnation.
        incarnation: Incarnation,
        /// The minimum sequence number of the announcement within the incarnation.
        announced: u64,
    },
}

/// The membership state machine of one process.
pub struct Swim {
    settings: SwimSettings,
    /// The last announcement of this process.
    own: Arc<Member>,
    /// The sequence number of the last announcement or refutation of this process.
    announced: u64,
    /// Increased weight versions that are not yet announced.
    pending_versions: Option<Member>,
    versions_due: Option<Millis>,
    seeds: Vec<SocketAddr>,
    table: Table,
    suspicions: BTreeMap<Node, Suspicion>,
    silent_data_centres: SilentDataCentres,
    queue: BroadcastQueue,
    probes: Vec<Probe>,
    proxy_probes: Vec<ProxyProbe>,
    local_order: ProbeOrder,
    remote_order: ProbeOrder,
    probe_focus: Option<(DataCentre, Millis)>,
    joining: Option<Joining>,
    /// The local health score; zero is healthy.
    health_score: u64,
    last_received: Millis,
    last_event: Option<Millis>,
    next_probe: Millis,
    next_gossip: Millis,
    next_sync: Millis,
    /// The interval between digest comparisons. It is short at first, because a process that just
    /// joined has sent its updates only to the few members that it knew.
    sync_interval: u64,
    next_cleanup: Millis,
    leaving: bool,
    changed: bool,
    violations: u64,
    random: SmallRng,
}

impl Swim {
    /// Creates a state machine that knows no other process.
    pub fn new(settings: SwimSettings, own: Member, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let joining = (!seeds.is_empty()).then(Joining::default);
        let mut swim = Self {
            announced: own.announced,
            own: Arc::new(own::without_position(own)),
            pending_versions: None,
            versions_due: None,
            seeds,
            table: Table::new(settings.max_tombstones),
            suspicions: BTreeMap::new(),
            silent_data_centres: SilentDataCentres::default(),
            queue: BroadcastQueue::default(),
            probes: Vec::new(),
            proxy_probes: Vec::new(),
            local_order: ProbeOrder::default(),
            remote_order: ProbeOrder::default(),
            probe_focus: None,
            joining,
            health_score: 0,
            last_received: Millis(0),
            last_event: None,
            next_probe: Millis(0),
            next_gossip: Millis(0),
            next_sync: Millis(0),
            sync_interval: FIRST_SYNC_MS,
            next_cleanup: Millis(0),
            leaving: false,
            changed: true,
            violations: 0,
            random: SmallRng::seed_from_u64(seed),
            settings,
        };
        swim.queue.add(Update::Alive(swim.own.clone()));
        swim
    }

    /// Processes an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Received { from, message } => self.receive(from, message, now, actions),
            Event::Own(member) => self.update_own(member, now, actions),
            Event::Leave => self.leave(actions),
        }
    }

    /// Adds members without requesting them, as after a complete page.
    pub fn add_known(&mut self, members: &[Arc<Member>], now: Millis) {
        for member in members {
            self.on_alive(member.clone(), now, false, &mut Vec::new());
        }
    }

    /// Returns whether the view has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the number of invariant violations, which is zero unless this program has a bug.
    pub fn violations(&self) -> u64 {
        self.violations + self.table.violations
    }

    /// Returns the local health score; zero is healthy.
    pub fn health_score(&self) -> u64 {
        self.health_score
    }

    /// Returns the standing of another process, if it is known.
    pub fn standing(&self, node: &Node) -> Option<Standing> {
        self.table.get(node).map(|entry| entry.standing)
    }

    /// Returns the last announcement of this process.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns all known members, including this process.
    pub fn view(&self) -> Members {
        let others = self.table.iter().map(|entry| (&entry.member, entry.standing));
        let all = others.chain(std::iter::once((&self.own, Standing::Alive)));
        let known = all.map(|(member, standing)| {
            (member.node.clone(), Known { member: (**member).clone(), standing })
        });
        Members { known: known.collect() }
    }

    /// Detects that this process was suspended.
    ///
    /// After a suspension all timers have expired and all replies are late. Without this check the
    /// process would report healthy members as dead, and others would see reports from one process
    /// against many. The lost time is not counted against any member.
    fn detect_pause(&mut self, now: Millis) {
        let gap = self.last_event.map_or(0, |last| now.since(last));
        self.last_event = Some(now);
        if gap <= self.settings.pause_ms || !self.settings.local_health {
            return;
        }
        tracing::warn!(event = "frozen", node = %self.own.node, gap_ms = gap);
        self.health_score = self.settings.max_health_score;
        self.probes.clear();
        self.silent_data_centres.clear_failed_probes();
        self.proxy_probes.clear();
        self.last_received = now;
        for suspicion in self.suspicions.values_mut() {
            suspicion.extend_by(gap);
        }
        if gap > STALE_VIEW_MS && self.table.present() > 0 {
            self.joining = Some(Joining::default());
            self.sync_interval = FIRST_SYNC_MS;
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.leaving {
            return;
        }
        self.announce_versions(now, actions);
        self.expire_suspicions(now);
        self.advance_probes(now, actions);
        self.repeat_silence_checks(now, actions);
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_ms * (1 + self.health_score);
            self.probe(now, actions);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + self.settings.gossip_ms;
            self.gossip(actions);
        }
        self.request_next_page(now, actions);
        if now >= self.next_sync {
            let jitter = self.random.random_range(0..=self.sync_interval / 4);
            self.next_sync = now + self.sync_interval + jitter;
            self.sync_interval = (self.sync_interval * 2).min(self.settings.sync_ms);
            self.send_digests(actions);
        }
        if now >= self.next_cleanup {
            self.next_cleanup = now + CLEANUP_MS;
            self.changed |= self.table.remove_expired(now, self.settings.dead_retention_ms);
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
        self.last_received = now;
        self.record_contact(&message.from, now);
        let whole = matches!(message.body, Body::PageReply { .. });
        self.correct_sender(from, &message, actions);
        for update in message.updates {
            self.apply_update(update, now, !whole, actions);
        }
        if self.table.get(&message.from).is_none() {
            let nodes = vec![message.from.clone()];
            self.send(from, &message.from, Body::Fetch { nodes }, actions);
        }
        match message.body {
            Body::Ping { seq, to } => {
                if to == self.own.node {
                    self.send(from, &message.from, Body::Ack { seq }, actions);
                }
            }
            Body::PingRequest { seq, to } => {
                self.on_ping_request(from, &message.from, seq, &to, now, actions);
            }
            Body::Ack { seq } => self.on_ack(seq, now, actions),
            Body::Nack { seq } => self.on_nack(seq),
            Body::Gossip => {}
            Body::Page { after } => self.send_page(from, &message.from, &after, actions),
            Body::PageReply { last } => self.on_page_reply(from, last, now, actions),
            Body::Digests { digests } => self.on_digests(from, &message.from, &digests, actions),
            Body::Bucket { of, index, members } => {
                self.on_bucket(from, &message.from, (of, index), &members, now, actions);
            }
            Body::Fetch { nodes } => self.send_members(from, &nodes, actions),
        }
    }

    /// Corrects a sender that has mistaken this process for its predecessor, or that started with a
    /// lower incarnation than its own predecessor.
    fn correct_sender(&mut self, to: SocketAddr, message: &Message, actions: &mut Vec<Action>) {
        let mut updates = Vec::new();
        for update in &message.updates {
            match update {
                Update::Standing(report)
                    if report.node == self.own.node
                        && report.incarnation < self.own.incarnation =>
                {
                    updates.push(Update::Alive(self.own.clone()));
                }
                // A reply from any member proves that its data centre is not silent.
                Update::Silent { data_centre, .. } if *data_centre == self.own.data_centre => {
                    updates.push(Update::Alive(self.own.clone()));
                }
                Update::Alive(member) if member.node == message.from => {
                    updates.extend(self.newer_incarnation(member).map(Update::Standing));
                }
                _ => {}
            }
        }
        if !updates.is_empty() {
            self.send_updates(to, Body::Gossip, updates, actions);
        }
    }

    /// Returns a report with the incarnation that a process must exceed if it announces itself with
    /// an outdated one.
    fn newer_incarnation(&self, member: &Member) -> Option<StandingReport> {
        let (incarnation, announced) = match self.table.get(&member.node) {
            Some(entry) if entry.member.incarnation > member.incarnation => {
                (entry.member.incarnation, entry.announced)
            }
            Some(_) => return None,
            None => self.table.tombstone(member)?,
        };
        Some(StandingReport {
            node: member.node.clone(),
            incarnation,
            announced,
            standing: Standing::Dead,
            reporter: self.own.node.clone(),
        })
    }

    /// Sends queued updates to a few members, mostly in the own data centre, as long as there are
    /// any.
    fn gossip(&mut self, actions: &mut Vec<Action>) {
        for n in 0..self.settings.fanout {
            if self.queue.is_empty() {
                return;
            }
            let local = n % 2 == 0;
            if let Some((node, address)) = self.pick_present(local) {
                self.send(address, &node, Body::Gossip, actions);
            }
        }
    }

    fn leave(&mut self, actions: &mut Vec<Action>) {
        let report = StandingReport {
            node: self.own.node.clone(),
            incarnation: self.own.incarnation,
            announced: self.announced,
            standing: Standing::Left,
            reporter: self.own.node.clone(),
        };
        self.queue.add(Update::Standing(report));
        for n in 0..LEAVE_MESSAGES {
            if let Some((node, address)) = self.pick_present(n % 2 == 0) {
                self.send(address, &node, Body::Gossip, actions);
            }
        }
        self.leaving = true;
    }

    /// Sends a message with as many updates as fit. If the receiver itself is reported, that report
    /// comes first, because only the receiver can refute it.
    fn send(&mut self, to: SocketAddr, node: &Node, body: Body, actions: &mut Vec<Action>) {
        let mut message = Message { from: self.own.node.clone(), body, updates: Vec::new() };
        let mut room = self.room(&message);
        if let Some(report) = self.standing_report(node) {
            let update = Update::Standing(report);
            room = room.saturating_sub(update.size());
            message.updates.push(update);
        }
        let limit = self.max_sends();
        self.queue.take_batch(room, limit, &mut message.updates);
        actions.push(Action::Send { to, message });
    }

    /// Returns how often each update is sent.
    fn max_sends(&self) -> u64 {
        self.settings.retransmit_multiplier * (1 + decimal_log(self.table.present() + 1))
    }

    /// Sends a message with the given updates only.
    fn send_updates(
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
        /// The authentication code, and the longer length prefix of a longer list.
        const MARGIN: usize = MAC_BYTES + 4;
        self.settings.max_datagram_bytes.saturating_sub(message.encode().len() + MARGIN)
    }

    fn report_violation(&mut self, invariant: &'static str, node: &Node) {
        tracing::error!(event = "promise_broken", promise = invariant, %node, by = %self.own.node);
        self.violations += 1;
    }
}

/// Returns the decimal logarithm, rounded up and at least one.
fn decimal_log(n: usize) -> u64 {
    (n.max(2) as f64).log10().ceil().max(1.0) as u64
}
