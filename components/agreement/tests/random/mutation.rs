//! The mutation check: each protection is switched off by itself, and the run must notice.

use chicoryford_agreement::Invariant;
use chicoryford_agreement::Protections;
use chicoryford_agreement::Role;

use crate::judge::Symptom;
use crate::number;
use crate::world::Host;
use crate::world::Plan;
use crate::world::World;

const SEEDS: u64 = 200;
/// Seeds tried when promises are overlooked, to see what a fault comes to.
const OVERLOOKED: u64 = 60;
/// Seeds that must pass with everything switched on.
const CLEAN: u64 = 60;

/// Runs seeds until something is seen to go wrong; gives it with the seed and events.
fn first_symptom(plan: &Plan, overlook: bool, seeds: u64) -> Option<(Symptom, u64, u64)> {
    for seed in 1..=seeds {
        let mut world = World::new(Plan { seed, ..plan.clone() });
        world.judge.overlook = overlook;
        world.run();
        if world.judge.symptom == Some(Symptom::Stuck) {
            world.show();
        }
        if let Some(symptom) = world.judge.symptom {
            return Some((symptom, seed, world.events));
        }
    }
    None
}

/// Tells what the promises notice, and what it comes to when they are overlooked.
fn report(name: &str, plan: &Plan) -> (Option<Symptom>, Option<Symptom>) {
    let inside = first_symptom(plan, false, number("CHICORYFORD_SEEDS", SEEDS));
    let outside = first_symptom(plan, true, number("CHICORYFORD_SEEDS", OVERLOOKED));
    println!("without {name}: inside {inside:?}, outside {outside:?}");
    (inside.map(|found| found.0), outside.map(|found| found.0))
}

fn plan(protections: Protections) -> Plan {
    Plan { protections, ..Plan::default() }
}

#[test]
fn notices_a_missing_pre_vote() {
    let off = Protections { pre_vote: false, ..Protections::default() };
    let (inside, _) = report("pre_vote", &plan(off));
    assert_eq!(inside, Some(Symptom::Invariant(Invariant::QuietWhenCutOff)));
}

#[test]
fn notices_a_missing_check_of_the_quorum() {
    let off = Protections { check_quorum: false, ..Protections::default() };
    let (inside, _) = report("check_quorum", &plan(off));
    assert_eq!(inside, Some(Symptom::Invariant(Invariant::LeadsOnlyWithQuorum)));
}

#[test]
fn notices_answers_before_the_sync() {
    let off = Protections { sync_first: false, ..Protections::default() };
    let (inside, outside) = report("sync_first", &plan(off));
    assert_eq!(inside, Some(Symptom::Invariant(Invariant::SyncedFirst)));
    assert!(outside.is_some());
}

#[test]
fn notices_a_promotion_before_the_log_is_held() {
    let off = Protections { catch_up: false, ..Protections::default() };
    let (inside, _) = report("catch_up", &plan(off));
    assert_eq!(inside, Some(Symptom::Invariant(Invariant::VotersHoldLog)));
}

#[test]
fn notices_votes_while_a_leader_is_heard() {
    // Randomised faults come to this once in a hundred seeds or two, so it is brought about: the
    // path between the leader and one follower fails again and again, and the other hears both.
    let off = Protections { vote_hold: false, ..Protections::default() };
    let noticed = |seed| matches!(cut_paths(seed, off), Some(Symptom::LeaseBroken(_)));
    let seeds = (1..=SEEDS).filter(|seed| noticed(*seed)).count();
    println!("without vote_hold: {seeds} of {SEEDS} seeds");
    assert!(seeds > 0);
    assert!((1..=SEEDS).all(|seed| cut_paths(seed, Protections::default()).is_none()));
}

fn cut_paths(seed: u64, protections: Protections) -> Option<Symptom> {
    let mut world = World::new(Plan { seed, protections, ..Plan::default() });
    world.run_for(3_000);
    for _ in 0..10 {
        let leads = |host: &Host| host.replica.as_ref().is_some_and(|r| r.role() == Role::Leader);
        let leader = world.hosts.iter().position(leads).unwrap_or_default();
        let other = (leader + 1) % 3;
        world.cuts.extend([(leader, other), (other, leader)]);
        world.run_for(600);
        world.cuts.clear();
        world.run_for(600);
    }
    world.judge.symptom
}

#[test]
fn notices_votes_for_logs_that_hold_less() {
    let off = Protections { log_check: false, ..Protections::default() };
    let (inside, outside) = report("log_check", &plan(off));
    assert!(inside.is_some());
    assert!(outside.is_some());
}

#[test]
fn notices_counting_for_entries_of_earlier_epochs() {
    let off = Protections { own_epoch: false, ..Protections::default() };
    let (inside, _) = report("own_epoch", &plan(off));
    assert_eq!(inside, Some(Symptom::Invariant(Invariant::CountsOwnEpoch)));
}

#[test]
fn notices_two_changes_of_members_at_once() {
    let off = Protections { one_change: false, ..Protections::default() };
    let (inside, _) = report("one_change", &plan(off));
    assert_eq!(inside, Some(Symptom::Invariant(Invariant::OneChange)));
}

#[test]
fn notices_reads_without_confirmation() {
    let off = Protections { read_confirm: false, ..Protections::default() };
    let (inside, _) = report("read_confirm", &plan(off));
    assert!(matches!(inside, Some(Symptom::StaleRead { .. })));
}

#[test]
fn notices_a_lost_disk_under_the_old_incarnation() {
    let plan = Plan { forgetful: true, ..Plan::default() };
    let (inside, outside) = report("a new incarnation", &plan);
    assert!(inside.is_some());
    assert!(outside.is_some());
}

#[test]
fn notices_nothing_with_everything_switched_on() {
    let seeds = number("CHICORYFORD_SEEDS", CLEAN);
    assert_eq!(first_symptom(&Plan::default(), false, seeds), None);
}
