//! Clients, operators and faults, driven by the seed of the run.

use bytes::Bytes;
use chicoryford_agreement::Event;
use chicoryford_agreement::Membership;
use chicoryford_agreement::MembershipChange;
use chicoryford_agreement::Payload;
use chicoryford_agreement::Proposal;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::Role;
use chicoryford_agreement::Token;
use rand::Rng;

use crate::simulation::Host;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

impl Simulation {
    fn token(&mut self) -> Token {
        self.token += 1;
        Token(self.token)
    }

    /// Returns a replica that considers itself leader. Returns a random replica if there is none,
    /// and otherwise in one of twenty calls.
    fn pick_leader(&mut self) -> usize {
        let leads =
            |p: &usize| self.hosts[*p].replica.as_ref().is_some_and(|r| r.role() == Role::Leader);
        let leaders: Vec<usize> = (0..self.hosts.len()).filter(leads).collect();
        if leaders.is_empty() || self.rng.random_ratio(1, 20) {
            return self.rng.random_range(0..self.hosts.len());
        }
        leaders[self.rng.random_range(0..leaders.len())]
    }

    pub fn client(&mut self) {
        let node = self.pick_leader();
        if self.rng.random_ratio(1, 4) {
            let token = self.token();
            self.checker.read_requested(token.0);
            self.handle_event(node, Event::Read { token });
        } else {
            let proposals = (0..self.rng.random_range(1..4)).map(|_| self.proposal()).collect();
            self.handle_event(node, Event::Propose(proposals));
        }
        let pause = self.rng.random_range(2..30);
        self.schedule(pause, SimEvent::Client);
    }

    fn proposal(&mut self) -> Proposal {
        let token = self.token();
        Proposal { token, data: Bytes::copy_from_slice(&token.0.to_be_bytes()) }
    }

    pub fn fault(&mut self) {
        let node = self.rng.random_range(0..self.hosts.len());
        if self.plan.crash_all_percent > 0
            && self.rng.random_ratio(self.plan.crash_all_percent, 100)
        {
            self.crash_all();
        }
        match self.rng.random_range(0..28) {
            0..3 => self.isolate(node),
            3 => self.isolate_leader(),
            4..6 => self.split(),
            6 => self.block_outgoing_links(node),
            7..11 => self.blocked_links.clear(),
            11..13 => self.crash_and_restart(node),
            13 => self.crash_many(),
            14 => self.lose_a_disk(node),
            15..17 => self.freeze(node),
            17 => {
                let leader = self.pick_leader();
                self.freeze(leader);
            }
            18 => self.fail_storage(node),
            19 => {
                let leader = self.pick_leader();
                let to = self.rng.random_bool(0.5).then(|| self.hosts[node].id.clone());
                self.handle_event(leader, Event::HandOver { to });
            }
            20 => self.loss_percent = self.rng.random_range(0..=3 * self.plan.loss_percent),
            21..23 => self.change_a_member(node),
            23..27 => self.block_link_to_leader(node),
            _ => self.replace_lost(),
        }
        let pause = self.rng.random_range(1..=2 * self.plan.fault_interval_ms);
        self.schedule(pause, SimEvent::Fault);
    }

    /// Stops all replicas. Each restarts within 120 ms, some of them before a lease would end.
    fn crash_all(&mut self) {
        for node in 0..self.hosts.len() {
            self.crash(node);
            let ms = self.rng.random_range(1..120);
            self.schedule(ms, SimEvent::Restart(node));
        }
    }

    pub fn isolate(&mut self, node: usize) {
        for other in 0..self.hosts.len() {
            self.blocked_links.insert((node, other));
            self.blocked_links.insert((other, node));
        }
    }

    fn isolate_leader(&mut self) {
        let leader = self.pick_leader();
        self.isolate(leader);
    }

    fn split(&mut self) {
        let side: Vec<bool> = self.hosts.iter().map(|_| self.rng.random()).collect();
        for from in 0..side.len() {
            for to in 0..side.len() {
                if side[from] != side[to] {
                    self.blocked_links.insert((from, to));
                }
            }
        }
    }

    fn block_outgoing_links(&mut self, node: usize) {
        for other in 0..self.hosts.len() {
            self.blocked_links.insert((node, other));
        }
    }

    /// Blocks the link between a leader and one replica, possibly in one direction only, so that a
    /// follower has no contact with a leader that all others can reach.
    fn block_link_to_leader(&mut self, node: usize) {
        let leader = self.pick_leader();
        self.blocked_links.insert((leader, node));
        if self.rng.random() {
            self.blocked_links.insert((node, leader));
        }
    }

    fn crash_and_restart(&mut self, node: usize) {
        self.crash(node);
        let pause = self.rng.random_range(1..1_500);
        self.schedule(pause, SimEvent::Restart(node));
    }

    /// Simulates the power loss of a data centre: several replicas stop at once.
    fn crash_many(&mut self) {
        for node in 0..self.hosts.len() {
            if self.rng.random_bool(0.7) {
                self.crash_and_restart(node);
            }
        }
    }

    /// Suspends a process, which resumes with its clock far ahead.
    fn freeze(&mut self, node: usize) {
        let pause = self.rng.random_range(50..2_500);
        self.freeze_for(node, pause);
    }

    pub fn freeze_for(&mut self, node: usize, ms: u64) {
        self.hosts[node].frozen = true;
        self.schedule(ms, SimEvent::Thaw(node));
    }

    fn fail_storage(&mut self, node: usize) {
        self.handle_event(node, Event::StorageFailed);
        self.crash_and_restart(node);
    }

    /// Deletes a disk, unless the group could not tolerate that many lost disks.
    fn lose_a_disk(&mut self, node: usize) {
        let lost = self.hosts[node].id.clone();
        let tolerable = self.views().iter().all(|members| self.tolerates_loss(members, &lost));
        // If all founders are empty, they bootstrap again unless they are told of other nodes.
        let founder =
            |host: &Host| host.is_founder && host.id != lost && host.disk.saved.hard.epoch.0 > 0;
        let tolerable = tolerable && self.hosts.iter().any(founder);
        if tolerable {
            self.lose_disk(node);
            let pause = self.rng.random_range(1..500);
            self.schedule(pause, SimEvent::Restart(node));
        }
    }

    /// Returns the members as each replica has them, in memory and on disk.
    fn views(&self) -> Vec<Membership> {
        let mut views: Vec<Membership> = Vec::new();
        for host in &self.hosts {
            views.extend(host.replica.as_ref().map(|replica| replica.members().clone()));
            views.push(self.members_on_disk(host));
        }
        views
    }

    fn members_on_disk(&self, host: &Host) -> Membership {
        let saved = &host.disk.saved;
        let mut members = saved.snapshot.as_ref().map(|s| s.meta.members.clone());
        for entry in &saved.entries {
            if let Payload::Members(newer) = &entry.payload {
                members = Some(newer.clone());
            }
        }
        members.unwrap_or_default()
    }

    fn tolerates_loss(&self, members: &Membership, lost: &ReplicaId) -> bool {
        let mut members = members.clone();
        if let Some(info) = members.replicas.get_mut(lost) {
            // Its promotion may begin before any replica can detect the loss.
            info.voter = true;
        }
        let gone = members.voters().filter(|id| *id == lost || self.is_lost(id)).count();
        members.replicas.is_empty() || members.voters().count() - gone >= members.quorum()
    }

    fn is_lost(&self, id: &ReplicaId) -> bool {
        self.find_host(id).is_none()
    }

    fn change(&mut self, change: MembershipChange) {
        let token = self.token();
        let leader = self.pick_leader();
        self.handle_event(leader, Event::ChangeMembers { token, change });
    }

    /// Simulates an operator who adds, promotes or removes a replica.
    fn change_a_member(&mut self, node: usize) {
        let leader = self.pick_leader();
        let Some(replica) = &self.hosts[leader].replica else { return };
        let members = replica.members().clone();
        let id = self.hosts[node].id.clone();
        let voters = members.voters().count();
        if members.contains(&id) {
            // Removing a live voter while the disk of another one is lost is equivalent to losing a
            // third replica: nothing could be committed any more (docs/AGREEMENT.md instructs
            // operators).
            let lost = self.views().iter().any(|view| view.voters().any(|id| self.is_lost(id)));
            if lost && members.is_voter(&id) {
                return;
            }
            if voters > 3 || !members.is_voter(&id) {
                let promote = self.rng.random_bool(0.3);
                let change = if promote {
                    MembershipChange::Promote(id)
                } else {
                    MembershipChange::Remove(id)
                };
                self.change(change);
            }
        } else if voters < self.plan.replicas + 1 {
            self.change(MembershipChange::Add { id, address: String::new(), replaces: None });
        }
    }

    /// Simulates an operator who replaces a replica whose disk was lost.
    pub fn replace_lost(&mut self) {
        let leader = self.pick_leader();
        let Some(replica) = &self.hosts[leader].replica else { return };
        let members = replica.members().clone();
        let Some(old) = members.replicas.keys().find(|id| self.is_lost(id)).cloned() else {
            return;
        };
        let same = self.hosts.iter().find(|host| host.id.node == old.node);
        let Some(id) = same.map(|host| host.id.clone()) else { return };
        let change = if members.contains(&id) {
            MembershipChange::Remove(old)
        } else {
            MembershipChange::Add { id, address: String::new(), replaces: Some(old) }
        };
        self.change(change);
    }
}
