//! The state machine of membership: events in, actions out.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryford_types::Incarnation;
use chicoryford_types::Known;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Standing;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use crate::message::Body;
use crate::message::Message;
use crate::message::Update;
use crate::settings::SwimSettings;

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

/// Milliseconds between two ticks.
pub const TICK_MS: u64 = 50;

/// The state machine of one process's membership.
pub struct Swim {
    settings: SwimSettings,
    own: Arc<Member>,
    seeds: Vec<SocketAddr>,
    others: BTreeMap<Node, (Arc<Member>, Option<SocketAddr>)>,
    random: SmallRng,
    next: Millis,
    changed: bool,
}

impl Swim {
    /// Starts with nobody known but this process.
    pub fn new(settings: SwimSettings, own: Member, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            settings,
            own: Arc::new(own),
            seeds,
            others: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
            next: Millis(0),
            changed: true,
        }
    }

    /// Takes an event and appends what is to be done to `actions`.
    pub fn on(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Received { from, message } => self.receive(from, message, actions),
            Event::Own(member) => {
                self.own = Arc::new(member);
                self.changed = true;
            }
            Event::Leave => {}
        }
    }

    /// Tells whether the view changed since this was last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Gives everyone known, this process included.
    pub fn view(&self) -> Members {
        let others = self.others.values().map(|(member, _)| member);
        let all = others.chain(std::iter::once(&self.own));
        let known = all.map(|m| (m.node.clone(), known(m))).collect();
        Members { known }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.next {
            return;
        }
        self.next = now + self.settings.probe_ms;
        let message = self.message(Body::Ping { seq: now.0, to: Node::default() });
        let known = self.others.values().filter_map(|(_, address)| *address);
        let member = known.choose(&mut self.random);
        let seed = self.seeds.iter().copied().choose(&mut self.random);
        for to in [member, seed].into_iter().flatten() {
            actions.push(Action::Send { to, message: message.clone() });
        }
    }

    fn receive(&mut self, from: SocketAddr, message: Message, actions: &mut Vec<Action>) {
        for update in message.updates {
            if let Update::Alive(member) = update {
                self.learn(member);
            }
        }
        if let Body::Ping { seq, .. } = message.body {
            let message = self.message(Body::Ack { seq });
            actions.push(Action::Send { to: from, message });
        }
    }

    fn learn(&mut self, member: Arc<Member>) {
        if member.node == self.own.node {
            return;
        }
        let newer = self.others.get(&member.node).is_none_or(|(held, _)| {
            (held.incarnation, held.announced) < (member.incarnation, member.announced)
        });
        if newer {
            let address = member.gossip.parse().ok();
            self.others.insert(member.node.clone(), (member, address));
            self.changed = true;
        }
    }

    fn message(&mut self, body: Body) -> Message {
        let mut updates = vec![Update::Alive(self.own.clone())];
        let mut room = self.settings.datagram - 200 - updates[0].size();
        for (member, _) in self.others.values().choose_multiple(&mut self.random, 8) {
            let update = Update::Alive(member.clone());
            let size = update.size();
            if size < room {
                room -= size;
                updates.push(update);
            }
        }
        Message { from: self.own.node.clone(), body, updates }
    }
}

fn known(member: &Arc<Member>) -> Known {
    Known { member: (**member).clone(), standing: Standing::Alive }
}
