//! Failures, one by one, over a queue of messages in virtual time.

mod net;

use std::sync::Arc;

use chicoryford_membership::Event;
use chicoryford_membership::SwimSettings;
use chicoryford_types::EndpointInfo;
use chicoryford_types::Incarnation;
use chicoryford_types::Member;
use chicoryford_types::Model;
use chicoryford_types::Position;
use chicoryford_types::Revision;
use chicoryford_types::Standing;
use chicoryford_types::Version;

use net::Net;
use net::name;

const SEED: u64 = 7;

fn settled(n: usize, centres: usize) -> Net {
    let mut net = Net::new(n, centres, SwimSettings::default(), SEED);
    net.acquaint();
    net.run(3_000);
    net
}

#[test]
fn can_join_by_pages() {
    let mut net = Net::new(60, 3, SwimSettings::default(), SEED);
    assert!(net.until(20_000, Net::all_agree).is_some());
    assert_eq!(net.broken(), 0);
}

#[test]
fn can_tell_a_dead_member_from_the_others() {
    // Symptom: work is sent to a process that is gone.
    // Sequence: one process of thirty is killed.
    // Cause: nobody can say anything for it; the others must find out.
    let mut net = settled(30, 3);
    net.kill(11);
    assert!(net.until(30_000, |net| net.all_hold_dead(11)).is_some());
    assert_eq!(net.false_deaths(), 0);
    assert_eq!(net.broken(), 0);
}

#[test]
fn can_see_a_graceful_shutdown_at_once() {
    let mut net = settled(30, 3);
    net.on(4, Event::Leave);
    net.kill(4);
    let left = |net: &Net| {
        (0..30).filter(|at| *at != 4).all(|at| net.standing(4, at) == Some(Standing::Left))
    };
    assert!(net.until(5_000, left).is_some());
    assert_eq!(net.broken(), 0);
}

#[test]
fn can_live_with_paths_that_lose_one_direction() {
    // Symptom: a healthy process flaps between alive and dead.
    // Sequence: datagrams from some processes to others are all lost; the way back works.
    // Cause: a direct probe fails although the probed one is well; others must try too.
    let mut net = settled(20, 2);
    for from in 0..20 {
        net.cut.insert((from, (from + 3) % 20));
        net.cut.insert((from, (from + 7) % 20));
    }
    for _ in 0..120 {
        net.run(1_000);
        assert_eq!(net.false_deaths(), 0);
    }
    assert_eq!(net.broken(), 0);
}

#[test]
fn can_come_back_from_a_freeze_without_condemning_others() {
    // Symptom: one process declares many others dead at once.
    // Sequence: a process is stopped for a minute, then goes on.
    // Cause: all its timers have run out, and answers to its probes were never read.
    let mut net = settled(30, 3);
    net.freeze(5);
    assert!(net.until(40_000, |net| net.all_hold_dead(5)).is_some());
    net.run(20_000);
    net.thaw(5);
    for _ in 0..60 {
        net.run(500);
        let condemned = (0..30).filter(|of| net.standing(*of, 5) == Some(Standing::Dead)).count();
        assert_eq!(condemned, 0);
    }
    assert!(net.all_agree());
    assert_eq!(net.broken(), 0);
}

#[test]
fn can_find_back_together_after_a_partition() {
    // Symptom: after regions lost each other for minutes, each goes on without the other.
    // Sequence: two halves cannot hear each other until each holds the other for dead; then
    // the paths work again.
    // Cause: nobody probes the dead; the comparison of digests with lost members finds them.
    let mut net = settled(24, 2);
    (0..12).for_each(|n| net.part[n] = 1);
    let apart = |net: &Net| (12..24).all(|at| net.standing(0, at) == Some(Standing::Dead));
    assert!(net.until(120_000, apart).is_some());
    net.part.fill(0);
    assert!(net.until(120_000, Net::all_agree).is_some());
    assert_eq!(net.broken(), 0);
}

#[test]
fn can_take_the_loss_of_a_data_centre_as_one_event() {
    // Symptom: work goes to a lost data centre for a minute.
    // Sequence: all processes of one of four data centres stop at once.
    // Cause: few probes go across, each finds one member; the first must draw others there.
    let mut net = settled(80, 4);
    (0..80).filter(|n| n % 4 == 1).for_each(|n| net.kill(n));
    let lost = |net: &Net| (0..80).filter(|n| n % 4 == 1).all(|n| net.all_hold_dead(n));
    assert!(net.until(40_000, lost).is_some());
    assert_eq!(net.false_deaths(), 0);
    assert_eq!(net.broken(), 0);
}

#[test]
fn can_tell_a_restarted_process_from_the_old_one() {
    // Symptom: a restarted process is taken for dead, or a late announcement of the old one for it.
    // Sequence: a process is killed and starts again, once with its clock ahead, once behind.
    // Cause: incarnations come from the wall clock, which may stand behind that of before.
    let mut net = settled(20, 2);
    for incarnation in [Incarnation(5_000), Incarnation(10)] {
        net.kill(9);
        assert!(net.until(40_000, |net| net.all_hold_dead(9)).is_some());
        let old = net.peers[3].swim.view().known[&name(9)].member.incarnation;
        net.restart(9, incarnation);
        assert!(net.until(20_000, Net::all_agree).is_some());
        let new = net.peers[3].swim.view().known[&name(9)].member.incarnation;
        assert!(new > old);
        assert_eq!(net.broken(), 0);
    }
}

#[test]
fn can_remember_the_numbers_of_those_it_forgot() {
    // Symptom: a process that died long ago is back in the view, and is sent work.
    // Sequence: it dies, is forgotten, and a stale announcement arrives.
    // Cause: with the entry its numbers would be forgotten too.
    let settings = SwimSettings { forget_ms: 5_000, ..SwimSettings::default() };
    let mut net = Net::new(10, 1, settings, SEED);
    net.acquaint();
    net.run(2_000);
    let stale = Arc::new(net.peers[6].swim.own().clone());
    net.kill(6);
    assert!(net.until(60_000, |net| net.standing(6, 0).is_none()).is_some());
    let now = net.now;
    net.peers[0].swim.know(&[stale], now);
    assert_eq!(net.standing(6, 0), None);
    assert_eq!(net.broken(), 0);
}

#[test]
fn can_hold_back_what_would_flood_everyone() {
    // Symptom: gossip takes many times its share of the network after each publishing of weights.
    // Sequence: all samplers report a new version within seconds, or a new position.
    // Cause: each would announce itself to all others again.
    let mut net = settled(10, 1);
    let own = net.peers[2].swim.own().clone();
    let announce = |version: u64, announced: u64| Member {
        endpoint: Some(EndpointInfo {
            models: [(Model::from("m"), Version(version))].into(),
            ..EndpointInfo::default()
        }),
        position: Position { revision: Revision(announced), ..Position::default() },
        announced,
        ..own.clone()
    };
    let version = |net: &Net| {
        let known = &net.peers[7].swim.view().known[&name(2)].member;
        known.endpoint.as_ref().and_then(|e| e.models.get(&Model::from("m"))).copied()
    };
    let turn = 10 * SwimSettings::default().version_ms;
    net.on(2, Event::Own(announce(1, 1)));
    net.run(5_000);
    assert_eq!(version(&net), Some(Version(1)), "what is served at all is told at once");
    let mut seen = Vec::new();
    for rise in 2..40 {
        net.on(2, Event::Own(announce(rise, rise)));
        net.run(turn / 10);
        seen.extend(version(&net));
    }
    seen.dedup();
    assert!(seen.len() >= 3, "versions that rise are told in the end: {seen:?}");
    assert!(seen.len() <= 6, "versions that rise are told once a turn: {seen:?}");
    net.on(2, Event::Own(announce(1, 40)));
    net.run(5_000);
    assert_eq!(version(&net), Some(Version(1)), "a version that falls is told at once");
}
