//! Tests of single failures on a simulated network in virtual time.

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

use net::Network;
use net::name;

const SEED: u64 = 7;

fn settled(n: usize, data_centres: usize) -> Network {
    let mut net = Network::new(n, data_centres, SwimSettings::default(), SEED);
    net.introduce_all();
    net.run(3_000);
    net
}

#[test]
fn can_join_by_pages() {
    let mut net = Network::new(60, 3, SwimSettings::default(), SEED);
    assert!(net.run_until(20_000, Network::all_agree).is_some());
    assert_eq!(net.violations(), 0);
}

#[test]
fn detects_a_dead_member() {
    // Guards against work for a process that no longer exists: one process of thirty is killed. It
    // cannot announce that itself, so the others must detect it.
    let mut net = settled(30, 3);
    net.kill(11);
    assert!(net.run_until(30_000, |net| net.all_report_dead(11)).is_some());
    assert_eq!(net.false_deaths(), 0);
    assert_eq!(net.violations(), 0);
}

#[test]
fn sees_a_graceful_shutdown_at_once() {
    let mut net = settled(30, 3);
    net.handle(4, Event::Leave);
    net.kill(4);
    let left = |net: &Network| {
        (0..30).filter(|at| *at != 4).all(|at| net.standing(4, at) == Some(Standing::Left))
    };
    assert!(net.run_until(5_000, left).is_some());
    assert_eq!(net.violations(), 0);
}

#[test]
fn tolerates_paths_that_lose_one_direction() {
    // Guards against a healthy process that alternates between alive and dead: all datagrams from
    // some processes to others are lost, while the opposite direction works. A direct probe fails
    // although the probed process is healthy, so others must probe it too.
    let mut net = settled(20, 2);
    for from in 0..20 {
        net.blocked_paths.insert((from, (from + 3) % 20));
        net.blocked_paths.insert((from, (from + 7) % 20));
    }
    for _ in 0..120 {
        net.run(1_000);
        assert_eq!(net.false_deaths(), 0);
    }
    assert_eq!(net.violations(), 0);
}

#[test]
fn resumes_after_a_suspension_without_reporting_others_dead() {
    // Guards against a process that reports many others as dead at once: it is suspended for a
    // minute and then resumed. All its timers have expired, and it never read the replies to its
    // probes.
    let mut net = settled(30, 3);
    net.freeze(5);
    assert!(net.run_until(40_000, |net| net.all_report_dead(5)).is_some());
    net.run(20_000);
    net.thaw(5);
    for _ in 0..60 {
        net.run(500);
        let dead = (0..30).filter(|of| net.standing(*of, 5) == Some(Standing::Dead)).count();
        assert_eq!(dead, 0);
    }
    assert!(net.all_agree());
    assert_eq!(net.violations(), 0);
}

#[test]
fn agrees_again_after_a_partition() {
    // Guards against parts of a deployment that stay separated: two halves have no contact until
    // each considers the other dead; then the paths are restored. Dead members are not probed; the
    // digest comparison with lost members reconnects the halves.
    let mut net = settled(24, 2);
    (0..12).for_each(|n| net.partition[n] = 1);
    let apart = |net: &Network| (12..24).all(|at| net.standing(0, at) == Some(Standing::Dead));
    assert!(net.run_until(120_000, apart).is_some());
    net.partition.fill(0);
    assert!(net.run_until(120_000, Network::all_agree).is_some());
    assert_eq!(net.violations(), 0);
}

#[test]
fn detects_the_loss_of_a_data_centre_as_a_whole() {
    // Guards against work for a lost data centre during a minute: all processes of one of four data
    // centres stop at once. Few probes go to other data centres and each detects one member, so the
    // first detection must direct further probes there.
    let mut net = settled(80, 4);
    (0..80).filter(|n| n % 4 == 1).for_each(|n| net.kill(n));
    let lost = |net: &Network| (0..80).filter(|n| n % 4 == 1).all(|n| net.all_report_dead(n));
    assert!(net.run_until(40_000, lost).is_some());
    assert_eq!(net.false_deaths(), 0);
    assert_eq!(net.violations(), 0);
}

#[test]
fn distinguishes_a_restarted_process_from_the_old_one() {
    // Guards against a restarted process that is considered dead, or is confused with a late
    // announcement of its predecessor: a process is killed and starts again, once with its clock
    // ahead and once behind. Incarnations are derived from the wall clock, which may be behind that
    // of the predecessor.
    let mut net = settled(20, 2);
    for incarnation in [Incarnation(5_000), Incarnation(10)] {
        net.kill(9);
        assert!(net.run_until(40_000, |net| net.all_report_dead(9)).is_some());
        let old = net.peers[3].swim.view().known[&name(9)].member.incarnation;
        net.restart(9, incarnation);
        assert!(net.run_until(20_000, Network::all_agree).is_some());
        let new = net.peers[3].swim.view().known[&name(9)].member.incarnation;
        assert!(new > old);
        assert_eq!(net.violations(), 0);
    }
}

#[test]
fn rejects_stale_announcements_of_removed_members() {
    // Guards against a process that died long ago, reappears in the view and is sent work: it dies,
    // is removed from the view, and a stale announcement arrives. Its incarnation and sequence
    // number must be kept after the removal of its entry.
    let settings = SwimSettings { dead_retention_ms: 5_000, ..SwimSettings::default() };
    let mut net = Network::new(10, 1, settings, SEED);
    net.introduce_all();
    net.run(2_000);
    let stale = Arc::new(net.peers[6].swim.own().clone());
    net.kill(6);
    assert!(net.run_until(60_000, |net| net.standing(6, 0).is_none()).is_some());
    let now = net.now;
    net.peers[0].swim.add_known(&[stale], now);
    assert_eq!(net.standing(6, 0), None);
    assert_eq!(net.violations(), 0);
}

#[test]
fn limits_announcements_of_increased_versions() {
    // Guards against gossip traffic of many times its budget after each publication of weights: all
    // samplers report a new version, or a new position, within seconds. Each would announce itself
    // to all others again.
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
    let version = |net: &Network| {
        let known = &net.peers[7].swim.view().known[&name(2)].member;
        known.endpoint.as_ref().and_then(|e| e.models.get(&Model::from("m"))).copied()
    };
    let interval = 10 * SwimSettings::default().version_interval_ms;
    net.handle(2, Event::Own(announce(1, 1)));
    net.run(5_000);
    assert_eq!(version(&net), Some(Version(1)), "a newly served model is announced at once");
    let mut seen = Vec::new();
    for newer in 2..40 {
        net.handle(2, Event::Own(announce(newer, newer)));
        net.run(interval / 10);
        seen.extend(version(&net));
    }
    seen.dedup();
    assert!(seen.len() >= 3, "increased versions are announced eventually: {seen:?}");
    assert!(seen.len() <= 6, "increased versions are announced once per interval: {seen:?}");
    net.handle(2, Event::Own(announce(1, 40)));
    net.run(5_000);
    assert_eq!(version(&net), Some(Version(1)), "a decreased version is announced at once");
}
