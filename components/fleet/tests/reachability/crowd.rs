//! How often many processes try unreachable endpoints.

use crate::simulation::Load;
use crate::simulation::SEEDS;
use crate::simulation::Simulation;
use crate::simulation::crowd;
use crate::simulation::hits;

/// Guards against each of the processes finding out for itself, and again after each penalty, that
/// some endpoints are unreachable.
#[test]
fn a_crowd_makes_a_fifth_of_the_attempts_at_unreachable_endpoints() {
    let (off, on) = (hits(crowd, false), hits(crowd, true));
    assert!(on * 5 <= off, "{on} with shared reachability, {off} without");
}

/// Guards against knowledge that costs more than it saves while second attempts are made, which
/// already hide many of the unreachable endpoints.
#[test]
fn a_crowd_with_second_attempts_makes_fewer_attempts_at_unreachable_endpoints() {
    let load = || Load { hedging: true, ..crowd() };
    let (off, on) = (hits(load, false), hits(load, true));
    assert!(on * 2 <= off, "{on} with shared reachability, {off} without");
}

/// Guards against a new leader under which callers have to find out again.
#[test]
fn a_new_leader_learns_the_set_within_a_second() {
    for seed in SEEDS {
        let load = Load { new_leader_at: Some(3_000), ..crowd() };
        let totals = Simulation::run(load, true, seed);
        let before = totals.marked.iter().rfind(|(at, _)| *at < 3_000).unwrap();
        let after = totals.marked.iter().find(|(at, _)| *at >= 4_000).unwrap();
        assert!(before.1 >= 3, "{before:?}");
        assert!(after.1 >= before.1.min(3), "{before:?} {after:?}");
    }
}
