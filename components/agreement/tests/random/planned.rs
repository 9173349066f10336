//! Random histories of planned replacements beside losses within what is tolerated, played by the
//! rules of membership against the simulation.

use std::collections::BTreeMap;

use chicoryford_agreement::Event;
use chicoryford_agreement::MembershipChange;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::Status;
use chicoryford_agreement::Token;
use chicoryford_agreement::seats;
use chicoryford_agreement::seats::Departure;
use chicoryford_agreement::seats::DrainStep;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::env_number;
use crate::simulation::Plan;
use crate::simulation::Simulation;

const SEED: u64 = 2_026;
/// Histories of one run of the test.
const HISTORIES: u64 = 150;
/// Replacements, restarts and losses of one history.
const ROUNDS: usize = 6;
/// Milliseconds of virtual time between two actions of the operator and the processes.
const STEP_MS: u64 = 10;
/// Milliseconds for which a VM that is new, or back, still counts as lost.
const CATCH_UP_MS: u64 = 4_200;
/// Milliseconds between the stop signal and the kill.
const GRACE_MS: u64 = 8_000;
/// Milliseconds within which there must be a leader again once all VMs have caught up.
const RECOVERY_MS: u64 = 8_000;
const JOIN_INTERVAL_MS: u64 = 400;
const REMOVAL_INTERVAL_MS: u64 = 300;
const DRAIN_INTERVAL_MS: u64 = 50;
const HAND_OVER_TIMEOUT_MS: u64 = 1_200;
/// Percentage of the answers to requests to resign that are lost.
const LOST_ANSWER_PERCENT: u32 = 10;

/// Where a VM is in its life.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    Up,
    /// Its process was asked to stop, and starts again afterwards unless it is `removed`.
    Stopping {
        since: u64,
        unsettled: Option<u64>,
        next: u64,
        removed: bool,
    },
    Down {
        until: u64,
    },
    Removed,
}

/// A VM with a replica.
#[derive(Clone, Debug)]
struct Vm {
    phase: Phase,
    /// When a new one has caught up.
    ready_at: u64,
    /// Until when it counts as lost.
    lost_until: u64,
    next_join: u64,
    /// When the answer arrives that it may stop.
    released_at: Option<u64>,
}

impl Vm {
    fn new(ready_at: u64) -> Self {
        Self { phase: Phase::Up, ready_at, lost_until: 0, next_join: 0, released_at: None }
    }

    fn is_staying(&self) -> bool {
        !matches!(self.phase, Phase::Removed | Phase::Stopping { removed: true, .. })
    }
}

/// What happens to a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    Kill,
    Wipe,
    Freeze,
    Cut,
    Restart,
}

/// A history in progress.
struct History {
    sim: Simulation,
    rng: SmallRng,
    tolerated: usize,
    vms: Vec<Vm>,
    next_removal: u64,
    /// What happens when, in milliseconds of virtual time.
    agenda: BTreeMap<(u64, usize), Planned>,
    story: Vec<String>,
}

/// Something that will happen.
#[derive(Clone, Copy, Debug)]
enum Planned {
    Start,
    Replace,
    Lose(Loss),
    LoseLeader(Loss),
    KillStopping,
    KillAll,
    Heal(usize),
}

impl History {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let tolerated = rng.random_range(1..=2);
        let loss_percent = *[0, 0, 2].choose(&mut rng).unwrap();
        let replicas = 2 * tolerated + 1;
        let plan = Plan { seed, replicas, spares: 0, loss_percent, ..Plan::default() };
        let mut sim = Simulation::new(plan);
        sim.run_for(3_000);
        let vms = vec![Vm::new(0); replicas];
        let (agenda, story) = (BTreeMap::new(), Vec::new());
        Self { sim, rng, tolerated, vms, next_removal: 0, agenda, story }
    }

    fn now(&self) -> u64 {
        self.sim.now
    }

    fn note(&mut self, text: impl Into<String>) {
        let line = format!("{} {}", self.sim.now, text.into());
        self.story.push(line);
    }

    /// Plays all rounds. Returns whether control always came back.
    fn play(&mut self) -> Result<(), String> {
        for _ in 0..ROUNDS {
            self.plan_round();
            let limit = self.now() + 120_000;
            while !self.is_quiet() {
                self.step()?;
                if self.now() > limit {
                    return Err("the round does not end".to_owned());
                }
            }
            self.await_recovery()?;
        }
        Ok(())
    }

    /// Draws replacements, restarts and losses that overlap.
    fn plan_round(&mut self) {
        let start = self.now() + 100;
        let replaced = *[0, 1, 1, 1, 2, 2, 3].choose(&mut self.rng).unwrap();
        let mut stop = start;
        for turn in 0..replaced {
            let joins = start + self.rng.random_range(0..600);
            self.schedule(joins, Planned::Start);
            stop = stop.max(joins + CATCH_UP_MS + 10);
            let pause = *[0, 0, 30, 200, 900].choose(&mut self.rng).unwrap();
            self.schedule(stop + turn * pause, Planned::Replace);
        }
        for _ in 0..self.rng.random_range(1..=2 * self.tolerated) {
            let near = self.rng.random_bool(0.75);
            let at = if near {
                stop + self.rng.random_range(0..2_500)
            } else {
                start + self.rng.random_range(0..9_000)
            };
            let kinds =
                [Loss::Wipe, Loss::Wipe, Loss::Kill, Loss::Freeze, Loss::Cut, Loss::Restart];
            let loss = *kinds.choose(&mut self.rng).unwrap();
            let planned = match self.rng.random_range(0..20) {
                0 => Planned::KillAll,
                1 => Planned::KillStopping,
                2..12 => Planned::LoseLeader(loss),
                _ => Planned::Lose(loss),
            };
            self.schedule(at, planned);
        }
    }

    fn schedule(&mut self, at: u64, planned: Planned) {
        let number = self.agenda.len() + 1_000 * self.story.len();
        self.agenda.insert((at, number), planned);
    }

    fn is_quiet(&self) -> bool {
        let now = self.now();
        let settled = |vm: &Vm| match vm.phase {
            Phase::Up => vm.lost_until.max(vm.ready_at) <= now,
            Phase::Removed => true,
            Phase::Stopping { .. } | Phase::Down { .. } => false,
        };
        self.agenda.is_empty() && self.vms.iter().all(settled)
    }

    /// Waits until entries are committed again and exactly the present VMs have seats.
    fn await_recovery(&mut self) -> Result<(), String> {
        let (limit, acked) = (self.now() + RECOVERY_MS, self.sim.checker.acks);
        loop {
            self.step()?;
            let members = self.leader().map(|leader| self.status(leader).members);
            let present: Vec<&ReplicaId> = self.present().map(|n| &self.sim.hosts[n].id).collect();
            let seated = members.is_some_and(|members| {
                members.voters().count() == present.len()
                    && present.iter().all(|id| members.is_voter(id))
            });
            if seated && self.sim.checker.acks > acked {
                return Ok(());
            }
            if self.now() > limit {
                return Err(format!("control did not come back; seated: {seated}"));
            }
        }
    }

    fn present(&self) -> impl Iterator<Item = usize> {
        let vms = self.vms.iter().enumerate();
        vms.filter(|(_, vm)| vm.phase != Phase::Removed).map(|(node, _)| node)
    }

    fn status(&self, node: usize) -> Status {
        self.sim.hosts[node].replica.as_ref().map(|replica| replica.status()).unwrap_or_default()
    }

    /// Returns the replica that holds a lease, which followers reach.
    fn leader(&self) -> Option<usize> {
        self.present().find(|node| {
            let host = &self.sim.hosts[*node];
            let leads = |r: &chicoryford_agreement::Replica| r.holds_lease(host.clock(self.now()));
            !host.frozen && host.replica.as_ref().is_some_and(leads)
        })
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let blocked = &self.sim.blocked_links;
        !blocked.contains(&(from, to)) && !blocked.contains(&(to, from))
    }

    fn change(&mut self, leader: usize, change: MembershipChange) {
        self.sim.token += 1;
        let token = Token(self.sim.token);
        self.sim.handle_event(leader, Event::ChangeMembers { token, change });
    }

    fn step(&mut self) -> Result<(), String> {
        self.sim.run_for(STEP_MS);
        if let Some(symptom) = &self.sim.checker.symptom {
            return Err(format!("{symptom:?}"));
        }
        while let Some(entry) = self.agenda.first_entry().filter(|e| e.key().0 <= self.sim.now) {
            let planned = entry.remove();
            self.carry_out(planned);
        }
        for node in 0..self.vms.len() {
            match self.vms[node].phase {
                Phase::Up => self.join(node),
                Phase::Stopping { .. } => self.drain(node)?,
                Phase::Down { until } if until <= self.now() => {
                    self.sim.boot(node);
                    self.vms[node].phase = Phase::Up;
                    self.note(format!("{} is back", self.sim.hosts[node].id));
                }
                _ => {}
            }
        }
        self.remove_lost();
        Ok(())
    }

    fn carry_out(&mut self, planned: Planned) {
        match planned {
            Planned::Start => {
                let node = self.sim.add_host(&format!("n{}", self.vms.len()), Vec::new());
                self.vms.push(Vm::new(self.now() + CATCH_UP_MS));
                self.note(format!("{} joins", self.sim.hosts[node].id));
            }
            Planned::Replace => {
                // A VM is only replaced when its successor has caught up.
                let ready =
                    self.vms.iter().filter(|vm| vm.is_staying() && vm.ready_at <= self.now());
                let spare = ready.count() > 2 * self.tolerated + 1;
                let up: Vec<usize> = self.up().filter(|n| !self.is_lost(*n)).collect();
                if let Some(node) = up.choose(&mut self.rng).filter(|_| spare) {
                    self.stop(*node, true);
                }
            }
            Planned::Lose(loss) => {
                let up: Vec<usize> = self.up().collect();
                up.choose(&mut self.rng).into_iter().for_each(|node| self.lose(*node, loss));
            }
            Planned::LoseLeader(loss) => {
                let leader = self.leader().filter(|node| self.vms[*node].phase == Phase::Up);
                leader.into_iter().for_each(|node| self.lose(node, loss));
            }
            Planned::KillStopping => self.kill_stopping(),
            Planned::KillAll => self.kill_all(),
            Planned::Heal(node) => {
                self.sim.blocked_links.retain(|(from, to)| *from != node && *to != node);
            }
        }
    }

    fn is_lost(&self, node: usize) -> bool {
        self.vms[node].lost_until > self.now()
    }

    fn tolerates_another_loss(&self) -> bool {
        (0..self.vms.len()).filter(|node| self.is_lost(*node)).count() < self.tolerated
    }

    fn up(&self) -> impl Iterator<Item = usize> {
        self.present().filter(|node| self.vms[*node].phase == Phase::Up)
    }

    fn stop(&mut self, node: usize, removed: bool) {
        let since = self.now();
        self.vms[node].phase = Phase::Stopping { since, unsettled: None, next: since, removed };
        self.vms[node].released_at = None;
        let why = if removed { "is replaced" } else { "restarts" };
        self.note(format!("{} {why}", self.sim.hosts[node].id));
    }

    /// Causes a loss, unless more would be lost at once than is tolerated.
    fn lose(&mut self, node: usize, loss: Loss) {
        if self.is_lost(node) || !self.tolerates_another_loss() {
            return;
        }
        let now = self.now();
        let id = self.sim.hosts[node].id.clone();
        let down = self.rng.random_range(50..3_000);
        self.vms[node].lost_until = now + down + CATCH_UP_MS;
        self.note(format!("{id}: {loss:?} for {down}"));
        match loss {
            Loss::Kill => self.sim.crash(node),
            Loss::Wipe => self.sim.lose_disk(node),
            Loss::Freeze => return self.sim.freeze_for(node, down),
            Loss::Cut => {
                self.sim.isolate(node);
                return self.schedule(now + down, Planned::Heal(node));
            }
            Loss::Restart => {
                self.vms[node].lost_until = now + GRACE_MS + CATCH_UP_MS;
                return self.stop(node, false);
            }
        }
        self.vms[node].phase = Phase::Down { until: now + down };
    }

    /// Kills a replica that is stopping. It counts as lost until its silence is noticed.
    fn kill_stopping(&mut self) {
        let removed = |vm: &Vm| matches!(vm.phase, Phase::Stopping { removed: true, .. });
        let node = self.vms.iter().position(removed);
        if let Some(node) = node.filter(|_| self.tolerates_another_loss()) {
            self.vms[node].lost_until = self.now() + CATCH_UP_MS;
            self.exit(node, true);
        }
    }

    /// Kills all replicas, which keep their disks and are back within a second.
    fn kill_all(&mut self) {
        let calm = |node: usize| !self.is_lost(node) && self.vms[node].phase == Phase::Up;
        let present: Vec<usize> = self.present().collect();
        if !present.iter().all(|node| calm(*node)) {
            return;
        }
        for node in present {
            let down = self.rng.random_range(50..1_000);
            self.sim.crash(node);
            self.vms[node].lost_until = self.now() + down + CATCH_UP_MS;
            self.vms[node].phase = Phase::Down { until: self.now() + down };
        }
        self.note("all are killed");
    }

    /// Asks to join while the replica receives nothing from a leader.
    fn join(&mut self, node: usize) {
        let now = self.now();
        let host = &self.sim.hosts[node];
        let has_leader = host.replica.as_ref().is_some_and(|replica| replica.leader().is_some());
        if self.vms[node].next_join > now || host.frozen {
            return;
        }
        let id = host.id.clone();
        self.vms[node].next_join = now + JOIN_INTERVAL_MS;
        let leader = self.leader().filter(|leader| !has_leader && self.reaches(node, *leader));
        let Some(leader) = leader else { return };
        let status = self.status(leader);
        if !status.members.contains(&id) {
            let replaces = seats::member_to_replace(&status, &id);
            self.change(leader, MembershipChange::Add { id, address: String::new(), replaces });
        }
    }

    /// Takes the next step of a replica that is about to stop.
    fn drain(&mut self, node: usize) -> Result<(), String> {
        let now = self.now();
        let tolerated = self.tolerated;
        let Phase::Stopping { since, unsettled, next, removed } = self.vms[node].phase else {
            return Ok(());
        };
        if now < next {
            return Ok(());
        }
        let id = self.sim.hosts[node].id.clone();
        if self.vms[node].released_at.is_some_and(|at| at <= now) {
            self.exit(node, removed);
            return Ok(());
        }
        let step = seats::drain_step(&self.status(node), tolerated);
        let (mut unsettled, mut next) = (unsettled, now + DRAIN_INTERVAL_MS);
        let until = match step {
            DrainStep::HandOver | DrainStep::AskLeader { surplus: false } => {
                *unsettled.get_or_insert(now) + HAND_OVER_TIMEOUT_MS
            }
            _ => since + GRACE_MS,
        };
        if now >= until {
            if until == since + GRACE_MS {
                return Err(format!("{id} did not give up its seat within its grace period"));
            }
            self.exit(node, removed);
            return Ok(());
        }
        match step {
            DrainStep::HandOver => self.sim.handle_event(node, Event::HandOver { to: None }),
            DrainStep::RemoveSelf => self.change(node, MembershipChange::Remove(id)),
            DrainStep::AskLeader { .. } => {
                next = now + 2 * DRAIN_INTERVAL_MS;
                self.ask_leader(node, id);
            }
            DrainStep::AwaitChange => {}
        }
        self.vms[node].phase = Phase::Stopping { since, unsettled, next, removed };
        Ok(())
    }

    fn ask_leader(&mut self, node: usize, id: ReplicaId) {
        let leader = self.leader().filter(|leader| *leader != node && self.reaches(node, *leader));
        let Some(leader) = leader else { return };
        let status = self.status(leader);
        match seats::departure(&status, &id, self.tolerated) {
            Departure::Gone | Departure::Keep => {
                let delay = self.rng.random_range(1..60);
                let lost = self.rng.random_ratio(LOST_ANSWER_PERCENT, 100);
                if !lost && self.vms[node].released_at.is_none() {
                    self.vms[node].released_at = Some(self.now() + delay);
                }
            }
            Departure::Remove => self.change(leader, MembershipChange::Remove(id)),
            Departure::Wait => {}
        }
    }

    /// Ends a process that was asked to stop. It starts again unless it was replaced.
    fn exit(&mut self, node: usize, removed: bool) {
        let now = self.now();
        self.sim.crash(node);
        if removed {
            self.vms[node].phase = Phase::Removed;
        } else {
            let down = self.rng.random_range(50..1_500);
            self.vms[node].phase = Phase::Down { until: now + down };
            self.vms[node].lost_until = now + down + CATCH_UP_MS;
        }
        self.note(format!("{} ended", self.sim.hosts[node].id));
    }

    /// Removes lost members, as the leader does at intervals.
    fn remove_lost(&mut self) {
        if self.now() < self.next_removal {
            return;
        }
        self.next_removal = self.now() + REMOVAL_INTERVAL_MS;
        let Some(leader) = self.leader() else { return };
        if let Some(id) = seats::member_to_remove(&self.status(leader), self.tolerated) {
            self.note(format!("{id} is removed for its silence"));
            self.change(leader, MembershipChange::Remove(id));
        }
    }
}

/// Guards against a control group that has no leader for good after losses that it has to tolerate,
/// beside VMs that are replaced as planned.
#[test]
fn a_leader_returns_after_planned_stops_and_tolerated_losses() {
    let first = env_number("CHICORYFORD_SEED", SEED);
    let mut failed = Vec::new();
    let histories = env_number("CHICORYFORD_HISTORIES", HISTORIES);
    for seed in first..first + histories {
        let mut history = History::new(seed);
        if let Err(why) = history.play() {
            println!("seed {seed}, {} tolerated: {why}", history.tolerated);
            history.story.iter().for_each(|line| println!("  {line}"));
            history.sim.show();
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "{} of {histories} histories failed: {failed:?}", failed.len());
}
