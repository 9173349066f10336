//! Direct and indirect probes.

use std::net::SocketAddr;

use chicoryford_types::DataCentre;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Standing;
use rand::Rng;

use super::Action;
use super::Swim;
use crate::message::Body;
use crate::message::StandingReport;

/// Maximum concurrent probes on behalf of other processes; further requests are rejected.
const MAX_PROXY_PROBES: usize = 256;
/// After this many probe intervals without any message, a process considers the other members
/// failed rather than itself isolated.
const ISOLATION_PROBES: u64 = 10;

/// A probe in flight.
pub(super) struct Probe {
    seq: u64,
    node: Node,
    incarnation: Incarnation,
    announced: u64,
    started: Millis,
    request_at: Millis,
    deadline: Millis,
    requests: usize,
    nacks: usize,
    is_requested: bool,
}

/// A probe on behalf of another process.
pub(super) struct ProxyProbe {
    seq: u64,
    requester: Node,
    address: SocketAddr,
    request_seq: u64,
    nack_at: Millis,
    nack_sent: bool,
}

impl Swim {
    /// Probes the next member.
    pub(super) fn probe(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if let Some(target) = self.next_target(now) {
            self.probe_member(target, now, actions);
        }
    }

    /// Probes a member of a data centre that may be silent.
    pub(super) fn probe_data_centre(
        &mut self,
        data_centre: &DataCentre,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let missed = self.failed_probes(data_centre);
        let target = self.pick_random(|entry| {
            let member = &entry.member;
            let is_next = member.data_centre == *data_centre && !missed.contains(&member.node);
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
        let multiplier = 1 + self.health_score;
        self.probes.push(Probe {
            seq,
            node: node.clone(),
            incarnation,
            announced,
            started: now,
            request_at: now + self.settings.ping_timeout_ms * multiplier,
            deadline: now + self.settings.probe_ms * multiplier,
            requests: 0,
            nacks: 0,
            is_requested: false,
        });
        self.send(address, &node, Body::Ping { seq, to: node.clone() }, actions);
    }

    /// Requests indirect probes where there was no direct reply, and ends probes that timed out.
    pub(super) fn advance_probes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut probes = std::mem::take(&mut self.probes);
        for probe in &mut probes {
            if now >= probe.request_at && !probe.is_requested && self.settings.indirect_probes {
                probe.is_requested = true;
                probe.requests = self.send_ping_requests(probe.seq, &probe.node, actions);
            }
        }
        let ended = probes.extract_if(.., |probe| now >= probe.deadline);
        let ended: Vec<Probe> = ended.collect();
        self.probes = probes;
        for probe in ended {
            self.on_probe_timeout(probe, now, actions);
        }
        self.advance_proxy_probes(now, actions);
    }

    /// Asks a few other members to probe, so that one bad path between two processes, including one
    /// that loses datagrams in only one direction, does not make a member appear dead.
    fn send_ping_requests(&mut self, seq: u64, target: &Node, actions: &mut Vec<Action>) -> usize {
        let mut asked: Vec<Node> = Vec::new();
        for _ in 0..self.settings.ping_requests {
            let picked = self.pick_random(|entry| {
                let node = &entry.member.node;
                entry.standing == Standing::Alive && node != target && !asked.contains(node)
            });
            let Some((node, address)) = picked else { break };
            self.send(address, &node, Body::PingRequest { seq, to: target.clone() }, actions);
            asked.push(node);
        }
        asked.len()
    }

    /// Evaluates a probe without reply. The fault may be with this process itself: members that
    /// were asked to probe send a nack if they got no reply either, so missing nacks indicate a
    /// local fault.
    fn on_probe_timeout(&mut self, probe: Probe, now: Millis, actions: &mut Vec<Action>) {
        if self.settings.local_health && probe.nacks < probe.requests {
            self.raise_health_score();
        }
        let no_messages = self.last_received < probe.started;
        let recent = now.since(self.last_received) < ISOLATION_PROBES * self.settings.probe_ms;
        if self.settings.local_health && no_messages && recent && self.table.present() > 1 {
            self.raise_health_score();
            return;
        }
        let Some(entry) = self.table.get(&probe.node) else { return };
        let outdated =
            (entry.member.incarnation, entry.announced) != (probe.incarnation, probe.announced);
        if outdated {
            return;
        }
        let announced = probe.announced.max(entry.reported_number);
        self.record_failed_probe(&probe.node, now);
        let report = StandingReport {
            node: probe.node,
            incarnation: probe.incarnation,
            announced,
            standing: Standing::Suspect,
            reporter: self.own.node.clone(),
        };
        self.on_standing_report(report, now, true, actions);
    }

    fn raise_health_score(&mut self) {
        self.health_score = (self.health_score + 1).min(self.settings.max_health_score);
    }

    /// Processes the reply to a probe of this process or to one on behalf of another.
    pub(super) fn on_ack(&mut self, seq: u64, now: Millis, actions: &mut Vec<Action>) {
        if let Some(index) = self.probes.iter().position(|probe| probe.seq == seq) {
            let probe = self.probes.swap_remove(index);
            self.record_contact(&probe.node, now);
            self.health_score = self.health_score.saturating_sub(1);
            return;
        }
        if let Some(index) = self.proxy_probes.iter().position(|proxy| proxy.seq == seq) {
            let proxy = self.proxy_probes.swap_remove(index);
            let body = Body::Ack { seq: proxy.request_seq };
            self.send(proxy.address, &proxy.requester, body, actions);
        }
    }

    /// Records that a member that was asked to probe got no reply.
    pub(super) fn on_nack(&mut self, seq: u64) {
        if let Some(probe) = self.probes.iter_mut().find(|probe| probe.seq == seq) {
            probe.nacks += 1;
        }
    }

    /// Probes a member on behalf of another process.
    pub(super) fn on_ping_request(
        &mut self,
        from: SocketAddr,
        requester: &Node,
        request_seq: u64,
        target: &Node,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let address = self.table.get(target).and_then(|entry| entry.address);
        let Some(address) = address.filter(|_| self.proxy_probes.len() < MAX_PROXY_PROBES) else {
            self.send(from, requester, Body::Nack { seq: request_seq }, actions);
            return;
        };
        let seq = self.random.random();
        let nack_at = now + self.settings.ping_timeout_ms;
        let requester = requester.clone();
        self.proxy_probes.push(ProxyProbe {
            seq,
            requester,
            address: from,
            request_seq,
            nack_at,
            nack_sent: false,
        });
        self.send(address, target, Body::Ping { seq, to: target.clone() }, actions);
    }

    fn advance_proxy_probes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut nacks = Vec::new();
        let retention = self.settings.probe_ms;
        self.proxy_probes.retain_mut(|proxy| {
            if now >= proxy.nack_at && !proxy.nack_sent {
                proxy.nack_sent = true;
                nacks.push((proxy.address, proxy.requester.clone(), proxy.request_seq));
            }
            now < proxy.nack_at + retention
        });
        for (address, requester, seq) in nacks {
            self.send(address, &requester, Body::Nack { seq }, actions);
        }
    }
}
