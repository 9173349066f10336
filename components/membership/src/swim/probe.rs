//! Probes, direct and through others.

use std::net::SocketAddr;

use chicoryford_types::DataCentre;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Standing;
use rand::Rng;

use super::Action;
use super::Swim;
use crate::message::Accusation;
use crate::message::Body;

/// Probes that this process makes for others at once; more are not taken.
const RELAYED: usize = 256;
/// A process that hears nobody for this many probe times takes the others for lost after all.
const ISOLATED: u64 = 10;

/// A probe in flight.
pub(super) struct Probe {
    seq: u64,
    node: Node,
    incarnation: Incarnation,
    announced: u64,
    began: Millis,
    relay: Millis,
    ends: Millis,
    asked: usize,
    nacks: usize,
    relayed: bool,
}

/// A probe made for another process.
pub(super) struct Relayed {
    seq: u64,
    asker: Node,
    address: SocketAddr,
    asked: u64,
    nack: Millis,
    nacked: bool,
}

impl Swim {
    /// Probes the next member.
    pub(super) fn probe(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if let Some(target) = self.next_target(now) {
            self.probe_member(target, now, actions);
        }
    }

    /// Probes a member of a data centre that is said to be silent.
    pub(super) fn probe_place(
        &mut self,
        place: &DataCentre,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let missed = self.missed(place);
        let target = self.draw(|entry| {
            let member = &entry.member;
            let is_next = member.data_centre == *place && !missed.contains(&member.node);
            is_next && entry.is_present()
        });
        if let Some(target) = target {
            self.probe_member(target, now, actions);
        }
    }

    fn probe_member(
        &mut self,
        (node, address): (Node, SocketAddr),
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.table.get(&node) else { return };
        let (incarnation, announced) = (entry.member.incarnation, entry.announced);
        let seq = self.random.random();
        let slow = 1 + self.health;
        self.probes.push(Probe {
            seq,
            node: node.clone(),
            incarnation,
            announced,
            began: now,
            relay: now + self.settings.direct_ms * slow,
            ends: now + self.settings.probe_ms * slow,
            asked: 0,
            nacks: 0,
            relayed: false,
        });
        self.send(address, &node, Body::Ping { seq, to: node.clone() }, actions);
    }

    /// Asks others where no direct answer came, and ends probes whose time is over.
    pub(super) fn follow_probes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut probes = std::mem::take(&mut self.probes);
        for probe in &mut probes {
            if now >= probe.relay && !probe.relayed && self.settings.indirect {
                probe.relayed = true;
                probe.asked = self.ask_others(probe.seq, &probe.node, actions);
            }
        }
        let ended = probes.extract_if(.., |probe| now >= probe.ends);
        let ended: Vec<Probe> = ended.collect();
        self.probes = probes;
        for probe in ended {
            self.fail(probe, now, actions);
        }
        self.follow_relayed(now, actions);
    }

    /// Asks a few others to probe, so that one bad path between two processes, also one that
    /// loses datagrams in one direction only, does not make a member look dead.
    fn ask_others(&mut self, seq: u64, target: &Node, actions: &mut Vec<Action>) -> usize {
        let mut asked: Vec<Node> = Vec::new();
        for _ in 0..self.settings.relays {
            let drawn = self.draw(|entry| {
                let node = &entry.member.node;
                entry.standing == Standing::Alive && node != target && !asked.contains(node)
            });
            let Some((node, address)) = drawn else { break };
            self.send(address, &node, Body::Relay { seq, to: target.clone() }, actions);
            asked.push(node);
        }
        asked.len()
    }

    /// Weighs a probe without an answer: the fault may lie with this process itself. Those asked
    /// for help say so when they got no answer either; silence of the helpers too speaks
    /// against this process.
    fn fail(&mut self, probe: Probe, now: Millis, actions: &mut Vec<Action>) {
        if self.settings.local_health && probe.nacks < probe.asked {
            self.worsen();
        }
        let quiet = self.heard < probe.began;
        let briefly = now.since(self.heard) < ISOLATED * self.settings.probe_ms;
        if self.settings.local_health && quiet && briefly && self.table.present() > 1 {
            self.worsen();
            return;
        }
        let Some(entry) = self.table.get(&probe.node) else { return };
        let moved_on =
            (entry.member.incarnation, entry.announced) != (probe.incarnation, probe.announced);
        if moved_on {
            return;
        }
        let announced = probe.announced.max(entry.accused);
        self.miss_place(&probe.node, now);
        let accusation = Accusation {
            node: probe.node,
            incarnation: probe.incarnation,
            announced,
            standing: Standing::Suspect,
            by: self.own.node.clone(),
        };
        self.take_accused(accusation, now, true, actions);
    }

    fn worsen(&mut self) {
        self.health = (self.health + 1).min(self.settings.health);
    }

    /// Takes an answer, to a probe of this process or to one that it made for another.
    pub(super) fn take_ack(&mut self, seq: u64, now: Millis, actions: &mut Vec<Action>) {
        if let Some(index) = self.probes.iter().position(|probe| probe.seq == seq) {
            let probe = self.probes.swap_remove(index);
            self.hear_place(&probe.node, now);
            self.health = self.health.saturating_sub(1);
            return;
        }
        if let Some(index) = self.relayed.iter().position(|relayed| relayed.seq == seq) {
            let relayed = self.relayed.swap_remove(index);
            let body = Body::Ack { seq: relayed.asked };
            self.send(relayed.address, &relayed.asker, body, actions);
        }
    }

    /// Takes word that somebody who was asked to help got no answer.
    pub(super) fn take_nack(&mut self, seq: u64) {
        if let Some(probe) = self.probes.iter_mut().find(|probe| probe.seq == seq) {
            probe.nacks += 1;
        }
    }

    /// Probes a member for another process.
    pub(super) fn relay(
        &mut self,
        from: SocketAddr,
        asker: &Node,
        asked: u64,
        target: &Node,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let address = self.table.get(target).and_then(|entry| entry.address);
        let Some(address) = address.filter(|_| self.relayed.len() < RELAYED) else {
            self.send(from, asker, Body::Nack { seq: asked }, actions);
            return;
        };
        let seq = self.random.random();
        let nack = now + self.settings.direct_ms;
        let asker = asker.clone();
        self.relayed.push(Relayed { seq, asker, address: from, asked, nack, nacked: false });
        self.send(address, target, Body::Ping { seq, to: target.clone() }, actions);
    }

    fn follow_relayed(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut nacks = Vec::new();
        let kept = self.settings.probe_ms;
        self.relayed.retain_mut(|relayed| {
            if now >= relayed.nack && !relayed.nacked {
                relayed.nacked = true;
                nacks.push((relayed.address, relayed.asker.clone(), relayed.asked));
            }
            now < relayed.nack + kept
        });
        for (address, asker, seq) in nacks {
            self.send(address, &asker, Body::Nack { seq }, actions);
        }
    }
}
