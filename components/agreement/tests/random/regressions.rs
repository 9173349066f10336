//! Regression tests for faults that randomised runs found, or that occur without a safety check.

use chicoryford_agreement::Action;
use chicoryford_agreement::Body;
use chicoryford_agreement::Entry;
use chicoryford_agreement::EntryId;
use chicoryford_agreement::Event;
use chicoryford_agreement::Founder;
use chicoryford_agreement::HardState;
use chicoryford_agreement::Membership;
use chicoryford_agreement::MembershipChange;
use chicoryford_agreement::Message;
use chicoryford_agreement::Payload;
use chicoryford_agreement::Protections;
use chicoryford_agreement::Replica;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::ReplicaInfo;
use chicoryford_agreement::Role;
use chicoryford_agreement::Saved;
use chicoryford_agreement::Settings;
use chicoryford_agreement::Token;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;

use crate::checker::Symptom;
use crate::simulation::Host;
use crate::simulation::Plan;
use crate::simulation::Simulation;

fn id(name: &str) -> ReplicaId {
    ReplicaId::new(name, Incarnation(1))
}

fn members(names: &[&str]) -> Payload {
    let info = ReplicaInfo { voter: true, ..ReplicaInfo::default() };
    Payload::Members(Membership { replicas: names.iter().map(|n| (id(n), info.clone())).collect() })
}

/// Creates replica `a` with a log of memberships that are not known to be committed.
fn replica(history: &[&[&str]]) -> Replica {
    let entry = |(position, names): (usize, &&[&str])| Entry {
        id: EntryId { epoch: Epoch(1), index: position as u64 + 1 },
        payload: members(names),
    };
    let entries = history.iter().enumerate().map(entry).collect();
    let saved = Saved { entries, hard: HardState { epoch: Epoch(1), vote: None }, snapshot: None };
    Replica::new(Settings { id: id("a"), ..Settings::default() }, saved, 1)
}

fn count_sent(actions: &[Action], test: impl Fn(&Body) -> bool) -> usize {
    let sent = |action: &&Action| matches!(action, Action::Send(m) if test(&m.body));
    actions.iter().filter(sent).count()
}

fn leader(sim: &Simulation) -> usize {
    let leads = |r: &Replica| r.role() == Role::Leader;
    sim.hosts.iter().position(|host| host.replica.as_ref().is_some_and(leads)).unwrap()
}

#[test]
fn campaigns_after_appending_its_own_removal() {
    // Guards against a group that can never elect a leader again although a majority is alive: a
    // leader appends its own removal, which too few replicas receive to commit it; the disk of
    // another replica is lost; the leader restarts. According to its own log it is not a voter, so
    // it did not campaign, but it refuses its vote to the others because their logs are less up to
    // date.
    let mut a = replica(&[&["a", "b", "c"], &["b", "c"]]);
    a.handle(Millis(0), Event::Tick);
    let actions = a.handle(Millis(5_000), Event::Tick);
    assert_eq!(count_sent(&actions, |body| matches!(body, Body::PreVote { .. })), 2);
}

#[test]
fn ignores_pre_votes_received_while_suspended() {
    // Guards against a replica that raises the epoch needlessly after a suspension: it requests
    // pre-votes, its process is suspended, and the replies wait in its socket. They were counted,
    // however old they were.
    let mut a = replica(&[&["a", "b", "c"]]);
    a.handle(Millis(0), Event::Tick);
    a.handle(Millis(5_000), Event::Tick);
    assert_eq!(a.role(), Role::PreCandidate);
    let body = Body::PreVoteReply { next: Epoch(2), granted: true };
    let message = Message { from: id("b"), to: id("a"), epoch: Epoch(1), body };
    a.handle(Millis(15_000), Event::Message(message));
    assert_eq!(a.epoch(), Epoch(1));
}

#[test]
fn refuses_to_bootstrap_next_to_replacements_of_the_founders() {
    // Guards against two deployments, each with a leader: other replicas replace all founders; the
    // founders' disks are lost; the founders start again with their original settings. Only
    // founders were asked whether their disks were empty.
    let founder = |node: &str| Founder { node: node.into(), address: String::new() };
    let founders = vec![founder("a"), founder("b")];
    let settings = Settings { id: id("a"), founders, ..Settings::default() };
    let mut a = Replica::new(settings, Saved::default(), 1);
    a.handle(Millis(0), Event::KnownNodes(vec!["d".into()]));
    let asked = a.handle(Millis(10), Event::Tick);
    assert_eq!(count_sent(&asked, |body| *body == Body::Hello), 2);
    for (from, empty) in [("d", false), ("b", true)] {
        let body = Body::HelloReply { empty };
        let message = Message { from: id(from), to: id("a"), epoch: Epoch(0), body };
        let actions = a.handle(Millis(20), Event::Message(message));
        assert!(!actions.iter().any(|action| matches!(action, Action::Persist(_))));
    }
}

#[test]
fn keeps_its_leader_when_an_isolated_replica_returns() {
    // Guards against the deposition of a working leader, which fails requests for the duration of
    // an election: a follower is isolated for long, starts elections and reconnects. Without a
    // pre-vote each of its elections raises its epoch, which deposes the leader.
    let mut sim = Simulation::new(Plan { loss_percent: 0, ..Plan::default() });
    sim.run_for(3_000);
    let first = leader(&sim);
    let epoch = sim.hosts[first].replica.as_ref().unwrap().epoch();
    sim.isolate((first + 1) % 3);
    sim.run_for(10_000);
    sim.blocked_links.clear();
    sim.run_for(2_000);
    assert_eq!(sim.checker.symptom, None);
    assert_eq!(leader(&sim), first);
    assert_eq!(sim.hosts[first].replica.as_ref().unwrap().epoch(), epoch);
}

#[test]
fn resumes_a_snapshot_after_its_receiver_restarted() {
    // Guards against a replica that never catches up while its leader reports a snapshot transfer
    // in progress for ever: the replica restarts after it has received some chunks, and loses them.
    // The leader continued from the acknowledged offset, which the replica no longer had.
    for seed in 1..=20 {
        let mut sim = Simulation::new(Plan { seed, loss_percent: 0, ..Plan::default() });
        sim.run_for(3_000);
        let first = leader(&sim);
        let behind = (first + 1) % 3;
        sim.isolate(behind);
        sim.run_for(10_000);
        sim.blocked_links.clear();
        let is_sending_snapshot = |sim: &Simulation| {
            let status = sim.hosts[first].replica.as_ref().unwrap().status();
            status.peers.iter().any(|peer| peer.snapshot)
        };
        for _ in 0..400 {
            sim.run_for(1);
            if is_sending_snapshot(&sim) {
                break;
            }
        }
        sim.run_for(seed);
        sim.crash(behind);
        sim.boot(behind);
        sim.run_for(3_000);
        let applied = sim.hosts[first].chain.index;
        assert_eq!(sim.checker.symptom, None);
        assert!(sim.hosts[behind].chain.index + 50 > applied);
    }
}

#[test]
fn sends_a_snapshot_to_a_replica_that_was_down_when_it_began() {
    // Guards against a voter that is alive and never catches up, so that the loss of one other disk
    // stops control for good: a replica is down while a new leader compacts what it lacks. The
    // whole snapshot was sent while nobody received it, and was never sent again.
    for seed in 1..=20 {
        let mut sim = Simulation::new(Plan { seed, loss_percent: 0, ..Plan::default() });
        sim.run_for(3_000);
        let first = leader(&sim);
        let behind = (first + 1) % 3;
        sim.crash(behind);
        restart(&mut sim, &[first]);
        sim.run_for(10_000);
        sim.boot(behind);
        sim.run_for(3_000);
        assert_eq!(sim.checker.symptom, None);
        let applied = sim.hosts[leader(&sim)].chain.index;
        assert!(sim.hosts[behind].chain.index + 50 > applied, "seed {seed}");
    }
}

fn change(sim: &mut Simulation, change: MembershipChange) {
    sim.token += 1;
    let (leader, token) = (leader(sim), Token(sim.token));
    sim.handle_event(leader, Event::ChangeMembers { token, change });
    sim.run_for(2_000);
}

#[test]
fn admits_a_replica_again_whose_seat_was_taken() {
    // Guards against a control process that hung for a second and never gets a vote again: a
    // replica that joined meanwhile took its seat, and went on naming the one that it replaced,
    // which was removed as often as it was added. The losses that the voters tolerate then were
    // one fewer than the processes.
    let mut sim = Simulation::new(Plan { loss_percent: 0, ..Plan::default() });
    sim.run_for(3_000);
    let hung = (leader(&sim) + 1) % 3;
    let (old, new) = (sim.hosts[hung].id.clone(), sim.hosts[3].id.clone());
    let address = String::new();
    sim.isolate(hung);
    let replaces = Some(old.clone());
    change(&mut sim, MembershipChange::Add { id: new, address: address.clone(), replaces });
    sim.blocked_links.clear();
    change(&mut sim, MembershipChange::Add { id: old.clone(), address, replaces: None });
    let members = sim.hosts[leader(&sim)].replica.as_ref().unwrap().members();
    assert!(members.is_voter(&old), "{members:?}");
    assert_eq!(members.voters().count(), 4);
}

#[test]
fn forgets_its_leader_after_its_own_removal() {
    // Guards against a control process that never asks to join again: it was removed, knows of
    // that, and went on naming the leader that sends it nothing any more.
    let mut a = replica(&[&["a", "b", "c"], &["b", "c"]]);
    a.handle(Millis(0), Event::Tick);
    let prev = EntryId { epoch: Epoch(1), index: 2 };
    let body = Body::Append { prev, entries: Vec::new(), commit: 2, round: 1 };
    let message = Message { from: id("b"), to: id("a"), epoch: Epoch(1), body };
    a.handle(Millis(10), Event::Message(message));
    assert_eq!(a.leader(), Some(&id("b")));
    a.handle(Millis(5_000), Event::Tick);
    assert_eq!(a.leader(), None);
}

fn restart(sim: &mut Simulation, places: &[usize]) {
    for node in places {
        sim.crash(*node);
        sim.boot(*node);
    }
}

/// The shortest election timeout of these runs, in milliseconds.
const MIN_ELECTION_MS: u64 = 150;

/// Simulates a simultaneous power loss of all replicas; one of them also loses its disk if `wiped`
/// is set. Returns whether a replica leads before the shortest election timeout has passed.
fn leads_soon_after_power_loss(plan: Plan, wiped: bool) -> bool {
    let (replicas, seed) = (plan.replicas, plan.seed as usize);
    let mut sim = Simulation::new(plan);
    sim.run_for(3_000);
    sim.lose_messages();
    let lost = wiped.then(|| (leader(&sim) + seed) % replicas);
    restart(&mut sim, &(0..replicas).filter(|node| Some(*node) != lost).collect::<Vec<_>>());
    if let Some(node) = lost {
        sim.lose_disk(node);
        sim.boot(node);
    }
    sim.run_for(MIN_ELECTION_MS);
    let leads =
        |host: &Host| host.replica.as_ref().is_some_and(|r| r.holds_lease(host.clock(sim.now)));
    let soon = sim.hosts.iter().any(leads);
    sim.run_for(2_000);
    assert_eq!(sim.checker.symptom, None);
    soon
}

/// Returns how many of twenty seeds have a leader that soon. Some messages and syncs of these runs
/// alone take longer than the shortest election timeout.
fn soon_of_twenty(replicas: usize, wiped: bool) -> usize {
    let plan = |seed| Plan { seed, replicas, loss_percent: 0, ..Plan::default() };
    (1..=20).filter(|seed| leads_soon_after_power_loss(plan(*seed), wiped)).count()
}

#[test]
fn elects_at_once_when_all_lost_power_together() {
    // Guards against half a second without accepted requests after a power loss of all VMs,
    // although all of them have restarted: all replicas stop and start at nearly the same time.
    // Each withheld its vote in case a leader from before its start still had a lease.
    for replicas in [3, 5, 7] {
        let soon = soon_of_twenty(replicas, false);
        assert!(soon >= 14, "{replicas} replicas: {soon} of 20");
    }
}

#[test]
fn elects_at_once_when_one_of_all_also_lost_its_disk() {
    // Guards against the same delay if a VM returns without its disk: all replicas lose power
    // together, and one of them also loses its disk and returns under the same address as another
    // incarnation. The others waited for a reply from the incarnation that no longer exists.
    let soon = soon_of_twenty(3, true);
    assert!(soon >= 14, "{soon} of 20");
}

/// Isolates the leader while all others restart and its lease is still valid.
fn restart_followers_of_isolated_leader(plan: Plan) -> Option<Symptom> {
    let mut sim = Simulation::new(plan);
    sim.run_for(3_000);
    let first = leader(&sim);
    sim.isolate(first);
    let others: Vec<usize> = (0..3).filter(|node| *node != first).collect();
    restart(&mut sim, &others);
    sim.run_for(2_000);
    sim.checker.symptom
}

#[test]
fn waits_for_the_lease_of_a_leader_that_did_not_restart() {
    // Guards against two concurrent leaders: a leader is isolated and both others restart before
    // its lease ends. The two formed a majority, although the leader had not reported a restart.
    for seed in 1..=20 {
        assert_eq!(
            restart_followers_of_isolated_leader(Plan { seed, loss_percent: 0, ..Plan::default() }),
            None
        );
    }
    let protections = Protections { all_restarted: false, ..Protections::default() };
    let broken = |seed| {
        restart_followers_of_isolated_leader(Plan {
            seed,
            loss_percent: 0,
            protections,
            ..Plan::default()
        })
    };
    assert!((1..=20).any(|seed| matches!(broken(seed), Some(Symptom::LeaseBroken(_)))));
}

#[test]
fn upholds_invariants_when_all_restart_repeatedly() {
    for seed in 1..=20 {
        let plan = Plan { seed, max_events: 20_000, crash_all_percent: 30, ..Plan::default() };
        let mut sim = Simulation::new(plan);
        sim.run();
        assert_eq!(sim.checker.symptom, None, "seed {seed}");
    }
}

#[test]
fn ignores_replies_to_an_earlier_process() {
    // Guards against a violated lease: a replica asks which others restarted, restarts itself, and
    // receives the replies to its first request. They may be older than the election of a leader
    // that it has had contact with in the meantime.
    let mut a = replica(&[&["a", "b", "c"]]);
    a.handle(Millis(0), Event::Tick);
    for from in ["b", "c"] {
        let body = Body::RestartedReply { number: 1, too: true };
        let message = Message { from: id(from), to: id("a"), epoch: Epoch(1), body };
        a.handle(Millis(5), Event::Message(message));
    }
    let body = Body::PreVote { next: Epoch(2), last: EntryId { epoch: Epoch(1), index: 1 } };
    let message = Message { from: id("b"), to: id("a"), epoch: Epoch(1), body };
    let actions = a.handle(Millis(10), Event::Message(message));
    let refused = Body::PreVoteReply { next: Epoch(2), granted: false };
    assert_eq!(count_sent(&actions, |body| *body == refused), 1);
}
