//! Faults that randomised runs found, or whose protection is switched off there, each by itself.

use chicoryford_agreement::Action;
use chicoryford_agreement::Body;
use chicoryford_agreement::Entry;
use chicoryford_agreement::EntryId;
use chicoryford_agreement::Event;
use chicoryford_agreement::Founder;
use chicoryford_agreement::HardState;
use chicoryford_agreement::Membership;
use chicoryford_agreement::Message;
use chicoryford_agreement::Payload;
use chicoryford_agreement::Protections;
use chicoryford_agreement::Replica;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::ReplicaInfo;
use chicoryford_agreement::Role;
use chicoryford_agreement::Saved;
use chicoryford_agreement::Settings;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;

use crate::judge::Symptom;
use crate::world::Host;
use crate::world::Plan;
use crate::world::World;

fn id(name: &str) -> ReplicaId {
    ReplicaId::new(name, Incarnation(1))
}

fn members(names: &[&str]) -> Payload {
    let info = ReplicaInfo { voter: true, ..ReplicaInfo::default() };
    Payload::Members(Membership { replicas: names.iter().map(|n| (id(n), info.clone())).collect() })
}

/// Makes replica `a` of a log of members that are not known to be committed.
fn replica(history: &[&[&str]]) -> Replica {
    let entry = |(place, names): (usize, &&[&str])| Entry {
        id: EntryId { epoch: Epoch(1), index: place as u64 + 1 },
        payload: members(names),
    };
    let entries = history.iter().enumerate().map(entry).collect();
    let saved = Saved { entries, hard: HardState { epoch: Epoch(1), vote: None }, snapshot: None };
    Replica::new(Settings { id: id("a"), ..Settings::default() }, saved, 1)
}

fn says(actions: &[Action], test: impl Fn(&Body) -> bool) -> usize {
    let sent = |action: &&Action| matches!(action, Action::Send(m) if test(&m.body));
    actions.iter().filter(sent).count()
}

fn leader(world: &World) -> usize {
    let leads = |r: &Replica| r.role() == Role::Leader;
    world.hosts.iter().position(|host| host.replica.as_ref().is_some_and(leads)).unwrap()
}

#[test]
fn stands_for_election_after_appending_its_own_removal() {
    // Symptom: no leader is ever elected again, though a majority lives.
    // Sequence: a leader appends its own removal, which reaches too few to be committed; another
    // replica's disk is lost; the leader restarts.
    // Cause: by its own log it is no voter, so it did not stand; but it refuses its vote to the
    // others, whose logs hold less.
    let mut a = replica(&[&["a", "b", "c"], &["b", "c"]]);
    a.handle(Millis(0), Event::Tick);
    let actions = a.handle(Millis(5_000), Event::Tick);
    assert_eq!(says(&actions, |body| matches!(body, Body::PreVote { .. })), 2);
}

#[test]
fn ignores_pre_votes_that_waited_while_it_was_stopped() {
    // Symptom: a replica that comes back raises the epoch though nobody needs a new leader.
    // Sequence: it asks for pre-votes; its process is stopped; the answers wait in its socket.
    // Cause: they were counted, however old they were.
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
fn refuses_to_found_beside_replicas_that_took_the_founders_places() {
    // Symptom: two deployments, each with a leader.
    // Sequence: other replicas take the places of all founders; the founders' disks are lost; the
    // founders start with the settings of the first day.
    // Cause: only founders were asked whether their disks were empty.
    let founder = |node: &str| Founder { node: node.into(), address: String::new() };
    let founders = vec![founder("a"), founder("b")];
    let settings = Settings { id: id("a"), founders, ..Settings::default() };
    let mut a = Replica::new(settings, Saved::default(), 1);
    a.handle(Millis(0), Event::KnownNodes(vec!["d".into()]));
    let asked = a.handle(Millis(10), Event::Tick);
    assert_eq!(says(&asked, |body| *body == Body::Hello), 2);
    for (from, empty) in [("d", false), ("b", true)] {
        let body = Body::HelloReply { empty };
        let message = Message { from: id(from), to: id("a"), epoch: Epoch(0), body };
        let actions = a.handle(Millis(20), Event::Message(message));
        assert!(!actions.iter().any(|action| matches!(action, Action::Persist(_))));
    }
}

#[test]
fn keeps_its_leader_when_a_replica_comes_back_from_a_cut() {
    // Symptom: a leader that works is deposed, and requests fail for an election's time.
    // Sequence: a follower is cut off for long, calls elections, and comes back.
    // Cause: without a pre-vote each election raises its epoch, which deposes the leader.
    let mut world = World::new(Plan { loss: 0, ..Plan::default() });
    world.run_for(3_000);
    let first = leader(&world);
    let epoch = world.hosts[first].replica.as_ref().unwrap().epoch();
    world.isolate((first + 1) % 3);
    world.run_for(10_000);
    world.cuts.clear();
    world.run_for(2_000);
    assert_eq!(world.judge.symptom, None);
    assert_eq!(leader(&world), first);
    assert_eq!(world.hosts[first].replica.as_ref().unwrap().epoch(), epoch);
}

#[test]
fn resumes_a_snapshot_after_its_receiver_restarted() {
    // Symptom: a replica never catches up again; the leader shows a snapshot on its way for ever.
    // Sequence: the replica restarts when it holds some pieces, and loses them.
    // Cause: the leader went on from what had been acknowledged, which the replica no longer held.
    for seed in 1..=20 {
        let mut world = World::new(Plan { seed, loss: 0, ..Plan::default() });
        world.run_for(3_000);
        let first = leader(&world);
        let behind = (first + 1) % 3;
        world.isolate(behind);
        world.run_for(10_000);
        world.cuts.clear();
        let under_way = |world: &World| {
            let status = world.hosts[first].replica.as_ref().unwrap().status();
            status.peers.iter().any(|peer| peer.snapshot)
        };
        for _ in 0..400 {
            world.run_for(1);
            if under_way(&world) {
                break;
            }
        }
        world.run_for(seed);
        world.crash(behind);
        world.boot(behind);
        world.run_for(3_000);
        let applied = world.hosts[first].chain.index;
        assert_eq!(world.judge.symptom, None);
        assert!(world.hosts[behind].chain.index + 50 > applied);
    }
}

fn restart(world: &mut World, places: &[usize]) {
    for place in places {
        world.crash(*place);
        world.boot(*place);
    }
}

/// The shortest election timeout of these runs, in milliseconds.
const SHORTEST: u64 = 150;

/// All replicas lose power together, and one of them its disk as well if `wiped` says so. Tells
/// whether one leads before the shortest election timeout has passed.
fn leads_soon_after_power_loss(plan: Plan, wiped: bool) -> bool {
    let (replicas, seed) = (plan.replicas, plan.seed as usize);
    let mut world = World::new(plan);
    world.run_for(3_000);
    world.lose_messages();
    let lost = wiped.then(|| (leader(&world) + seed) % replicas);
    restart(&mut world, &(0..replicas).filter(|place| Some(*place) != lost).collect::<Vec<_>>());
    if let Some(place) = lost {
        world.lose_disk(place);
        world.boot(place);
    }
    world.run_for(SHORTEST);
    let leads =
        |host: &Host| host.replica.as_ref().is_some_and(|r| r.holds_lease(host.clock(world.now)));
    let soon = world.hosts.iter().any(leads);
    world.run_for(2_000);
    assert_eq!(world.judge.symptom, None);
    soon
}

/// Counts the seeds of twenty that have a leader soon. Some messages and syncs of these runs take
/// longer than the shortest election timeout by themselves.
fn soon_of_twenty(replicas: usize, wiped: bool) -> usize {
    let plan = |seed| Plan { seed, replicas, loss: 0, ..Plan::default() };
    (1..=20).filter(|seed| leads_soon_after_power_loss(plan(*seed), wiped)).count()
}

#[test]
fn elects_at_once_when_all_lost_power_together() {
    // Symptom: for half a second after a loss of power of all VMs nothing is accepted, though all
    // of them are back.
    // Sequence: all replicas stop and start within moments.
    // Cause: each held its vote, in case a leader from before its start still had a lease.
    for replicas in [3, 5, 7] {
        let soon = soon_of_twenty(replicas, false);
        assert!(soon >= 14, "{replicas} replicas: {soon} of 20");
    }
}

#[test]
fn elects_at_once_when_one_of_all_lost_its_disk_besides() {
    // Symptom: as above, where a VM comes back without its disk.
    // Sequence: all replicas lose power together, one of them its disk as well; it is back under the
    // same address as another incarnation.
    // Cause: the others waited for word of the incarnation that is gone.
    let soon = soon_of_twenty(3, true);
    assert!(soon >= 14, "{soon} of 20");
}

/// The leader is cut off while all the others restart; its lease still holds.
fn lease_beside_restarts(plan: Plan) -> Option<Symptom> {
    let mut world = World::new(plan);
    world.run_for(3_000);
    let first = leader(&world);
    world.isolate(first);
    let others: Vec<usize> = (0..3).filter(|place| *place != first).collect();
    restart(&mut world, &others);
    world.run_for(2_000);
    world.judge.symptom
}

#[test]
fn waits_for_the_lease_of_a_leader_that_did_not_restart() {
    // Symptom: two leaders at once.
    // Sequence: a leader is cut off; both others restart before its lease ends.
    // Cause: the two were enough for each other, though the leader had not said that it restarted.
    for seed in 1..=20 {
        assert_eq!(lease_beside_restarts(Plan { seed, loss: 0, ..Plan::default() }), None);
    }
    let protections = Protections { all_restarted: false, ..Protections::default() };
    let broken =
        |seed| lease_beside_restarts(Plan { seed, loss: 0, protections, ..Plan::default() });
    assert!((1..=20).any(|seed| matches!(broken(seed), Some(Symptom::LeaseBroken(_)))));
}

#[test]
fn keeps_its_promises_where_all_restart_again_and_again() {
    for seed in 1..=20 {
        let plan = Plan { seed, events: 20_000, herd: 30, ..Plan::default() };
        let mut world = World::new(plan);
        world.run();
        assert_eq!(world.judge.symptom, None, "seed {seed}");
    }
}

#[test]
fn counts_no_answer_to_an_earlier_process() {
    // Symptom: a lease is overlooked.
    // Sequence: a replica asks who restarted, restarts, and gets the answers to its first question.
    // Cause: they may be older than the election of a leader that it has heard meanwhile.
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
    assert_eq!(says(&actions, |body| *body == refused), 1);
}
