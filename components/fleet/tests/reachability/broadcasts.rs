//! When the leader broadcasts its set, and which traffic follows from it.

use std::collections::BTreeMap;

use chicoryford_fleet::reachability::LocalReachability;
use chicoryford_types::Millis;

use crate::fixture::Leader;
use crate::fixture::desk;
use crate::fixture::member;

/// Guards against a flood of broadcasts to hundreds of members while many endpoints change.
#[test]
fn the_set_is_broadcast_at_most_ten_times_a_second() {
    let mut leader = Leader::new(desk(400));
    let mut broadcasts = 0;
    for now in 0..200 {
        leader.report_by_two(&format!("e{now}"), now * 5);
        leader.tracker.update(&leader.registry, 2, Millis(now * 5));
        broadcasts += usize::from(leader.tracker.take_broadcast(2, Millis(now * 5)).is_some());
    }
    assert!((5..=10).contains(&broadcasts), "{broadcasts}");
}

/// Guards against an overloaded leader: before the set is broadcast, each process reports an
/// endpoint once a second, and afterwards only its failed probes.
#[test]
fn reports_of_400_entries_about_one_of_10_000_endpoints_stay_within_the_bound() {
    // Each entry tries the endpoint all the time, and the leader learns of it only after 2 s.
    let (until, leader_reads_from) = (10_000, 2_000);
    let mut leader = Leader::new(desk(10_000));
    let mut members: Vec<LocalReachability> = (0..400).map(member).collect();
    let (mut before, mut after) = (BTreeMap::<u64, usize>::new(), BTreeMap::<u64, usize>::new());
    let mut broadcast_at = None;
    for now in (0..until).step_by(20) {
        for (number, member) in members.iter_mut().enumerate() {
            if member.is_probe_due(Millis(now)) {
                member.start_probe(vec!["e0"], Millis(now));
            }
            member.record_leader(Millis(now));
            if member.record_failure("e0", 1, Millis(now)).is_some() {
                let counts = if broadcast_at.is_some() { &mut after } else { &mut before };
                *counts.entry(now / 1_000).or_default() += 1;
                if now >= leader_reads_from {
                    leader.report(&format!("p{number}"), "e0", now);
                }
            }
        }
        leader.tracker.update(&leader.registry, members.len(), Millis(now));
        if let Some(set) = leader.tracker.take_broadcast(members.len(), Millis(now)) {
            broadcast_at.get_or_insert(now);
            members.iter_mut().for_each(|member| member.replace_set(&set, Millis(now)));
        }
    }
    assert!(broadcast_at.is_some_and(|at| (2_000..2_100).contains(&at)), "{broadcast_at:?}");
    assert!(before.values().all(|count| *count <= 400), "{before:?}");
    let peak = after.values().max().copied().unwrap_or(0);
    // All processes together probe once per second, and once more per 100 processes. The probes are
    // random, so the number in one second varies by about its square root.
    let per_second = 1 + members.len() / 100;
    let seconds = ((until - leader_reads_from) / 1_000) as usize;
    let total: usize = after.values().sum();
    assert!(peak <= 3 * per_second, "only probes are reported: {after:?}");
    let designed = per_second * seconds;
    assert!((designed / 2..=designed * 3 / 2).contains(&total), "{total} of {designed}: {after:?}");
    assert_eq!(leader.marked(until), ["e0"], "the probes renew the mark");
}

/// Guards against processes that keep the probe interval of two processes, because a new leader
/// marked the endpoint while only two were connected to it.
#[test]
fn the_probe_interval_follows_the_number_of_processes() {
    let mut leader = Leader::new(desk(4));
    leader.report_by_two("e1", 0);
    assert_eq!(leader.marked(0), ["e1"]);
    assert_eq!(leader.tracker.published().probe_ms, 2_000);
    let set = leader.tracker.take_broadcast(400, Millis(200)).expect("a broadcast");
    // Five probes per second are made by 400 processes.
    assert_eq!(set.probe_ms, 80_000);
    assert!(leader.tracker.take_broadcast(450, Millis(400)).is_none(), "it changed little");
    leader.tracker.record_reachable("c", "e1", 1, Millis(500));
    assert!(
        leader.tracker.take_broadcast(400, Millis(600)).is_some_and(|s| s.endpoints.is_empty())
    );
    assert!(leader.tracker.take_broadcast(2, Millis(800)).is_none(), "there is nothing to probe");
}

/// Guards against a leader whose link is full of sets while many endpoints change.
#[test]
fn large_sets_are_broadcast_less_often() {
    let members = 400;
    let mut leader = Leader::new(desk(2_000));
    let mut sent = Vec::new();
    for now in (0..5_000).step_by(5) {
        let id = format!("e{}", now / 5);
        leader.report_by_two(&id, now);
        leader.tracker.update(&leader.registry, members, Millis(now));
        let set = leader.tracker.take_broadcast(members, Millis(now));
        sent.extend(set.map(|set| set.endpoints.len() * members));
    }
    // What the last set costs counts for the time after it.
    sent.pop();
    let total: usize = sent.iter().sum();
    assert!((1..=5 * 100_000).contains(&total), "{total} entries in 5 s");
}
