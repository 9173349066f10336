//! The plan of orders, in virtual time, against fake samplers.

use std::collections::BTreeMap;

use chicoryford_control::orders::Dispatch;
use chicoryford_control::orders::Orders;
use chicoryford_control::orders::Sampler;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Version;
use chicoryford_types::config::Published;
use chicoryford_types::order::OrderAction;
use chicoryford_types::order::OrderReply;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn model() -> Model {
    Model::from("m")
}

fn weights(version: u64) -> BTreeMap<Model, Published> {
    let published =
        Published { version: Version(version), source: "store".to_owned(), ..Published::default() };
    BTreeMap::from([(model(), published)])
}

fn samplers(count: usize) -> Vec<Sampler> {
    let sampler = |i| Sampler {
        agent: Node(format!("a{i:02}")),
        incarnation: Incarnation(1),
        address: format!("address-{i}"),
        models: BTreeMap::from([(model(), Version(1))]),
    };
    (0..count).map(sampler).collect()
}

fn version(dispatch: &Dispatch) -> Version {
    match &dispatch.order.action {
        OrderAction::Load { version, .. } => *version,
        other => panic!("{other:?}"),
    }
}

#[test]
fn keeps_to_the_share_and_reaches_all() {
    let mut orders = Orders::new(Epoch(1), 25);
    let mut fleet = samplers(8);
    let mut now = Millis(0);
    for _ in 0..4 {
        let due = orders.due(now, &weights(2), &fleet);
        assert_eq!(due.len(), 2);
        for dispatch in &due {
            let number = dispatch.order.number;
            orders.answered(now, &dispatch.agent, number, Some(OrderReply::Done));
            let loaded = fleet.iter_mut().find(|s| s.agent == dispatch.agent).unwrap();
            loaded.models.insert(model(), Version(2));
        }
        now = now + 200;
    }
    assert_eq!(orders.due(now, &weights(2), &fleet), []);
}

#[test]
fn skips_a_version_that_a_newer_one_overtook() {
    let mut orders = Orders::new(Epoch(1), 50);
    let fleet = samplers(2);
    let first = orders.due(Millis(0), &weights(2), &fleet);
    assert_eq!(first.len(), 1);
    orders.answered(Millis(10), &first[0].agent, first[0].order.number, Some(OrderReply::Done));
    let second = orders.due(Millis(20), &weights(3), &fleet);
    assert_eq!(second.len(), 1);
    assert_eq!(version(&second[0]), Version(3));
}

#[test]
fn tries_others_before_one_that_failed_and_then_that_one_again() {
    let mut orders = Orders::new(Epoch(1), 50);
    let fleet = samplers(2);
    let first = orders.due(Millis(0), &weights(2), &fleet).remove(0);
    let failed = Some(OrderReply::Failed("full".to_owned()));
    orders.answered(Millis(1), &first.agent, first.order.number, failed);
    let second = orders.due(Millis(2), &weights(2), &fleet).remove(0);
    assert_ne!(second.agent, first.agent);
    orders.answered(Millis(3), &second.agent, second.order.number, Some(OrderReply::Done));
    assert_eq!(orders.due(Millis(100), &weights(2), &fleet), []);
    let third = orders.due(Millis(300), &weights(2), &fleet).remove(0);
    assert_eq!(third.agent, first.agent);
    assert!(third.order.number > first.order.number, "the agent remembers the failed number");
}

#[test]
fn gives_no_orders_once_a_newer_leader_is_known() {
    let mut orders = Orders::new(Epoch(1), 50);
    let fleet = samplers(4);
    let first = orders.due(Millis(0), &weights(2), &fleet).remove(0);
    let fenced = Some(OrderReply::Fenced(Epoch(2)));
    orders.answered(Millis(1), &first.agent, first.order.number, fenced);
    assert_eq!(orders.due(Millis(60_000), &weights(3), &fleet), []);
}

#[test]
fn orders_again_when_an_engine_lost_a_swap_that_it_reported() {
    // Symptom: one sampler stays on old weights for good. Sequence: its agent answers that the
    // order is done; the engine falls back, and its announcements go on showing the old version.
    // Cause: the leader believes the answer for ever.
    let mut orders = Orders::new(Epoch(1), 100);
    let fleet = samplers(1);
    let first = orders.due(Millis(0), &weights(2), &fleet).remove(0);
    orders.answered(Millis(1), &first.agent, first.order.number, Some(OrderReply::Done));
    assert_eq!(orders.due(Millis(5_000), &weights(2), &fleet), []);
    assert_eq!(orders.due(Millis(10_002), &weights(2), &fleet).len(), 1);
}

#[test]
fn orders_an_agent_again_after_its_restart() {
    let mut orders = Orders::new(Epoch(1), 100);
    let mut fleet = samplers(1);
    let first = orders.due(Millis(0), &weights(2), &fleet).remove(0);
    orders.answered(Millis(1), &first.agent, first.order.number, Some(OrderReply::Done));
    fleet[0].incarnation = Incarnation(2);
    assert_eq!(orders.due(Millis(2), &weights(2), &fleet).len(), 1);
}

/// Runs a fleet whose answers are lost, late or failures and whose agents restart, until all run
/// the newest version; tells whether that came about and the share was kept.
fn converges(seed: u64) -> bool {
    let mut random = SmallRng::seed_from_u64(seed);
    let count = random.random_range(1..40);
    let percent = random.random_range(1..=100);
    let share = (count * percent as usize / 100).max(1);
    let mut orders = Orders::new(Epoch(1), percent);
    let mut fleet = samplers(count);
    let mut running: BTreeMap<Node, (u64, Version, Millis)> = BTreeMap::new();
    let mut newest = 2;
    let mut now = Millis(0);
    while now.0 < 600_000 {
        now = now + 50;
        if now.0 < 20_000 && random.random_ratio(1, 100) {
            newest += 1;
        }
        let calm = now.0 > 60_000;
        if !calm && random.random_ratio(1, 200) {
            let restarted = &mut fleet[random.random_range(0..count)];
            restarted.incarnation = restarted.incarnation.next();
            running.remove(&restarted.agent);
        }
        for dispatch in orders.due(now, &weights(newest), &fleet) {
            let (agent, number) = (dispatch.agent.clone(), dispatch.order.number);
            let takes = random.random_range(50..2_000);
            let current = running.get(&agent).copied();
            let reply = match current {
                Some((own, loaded, until)) if own == number && now >= until => {
                    running.remove(&agent);
                    if !calm && random.random_ratio(1, 5) {
                        OrderReply::Failed("injected".to_owned())
                    } else {
                        let sampler = fleet.iter_mut().find(|s| s.agent == agent).unwrap();
                        sampler.models.insert(model(), loaded);
                        OrderReply::Done
                    }
                }
                Some((own, _, until)) if own != number && now >= until => {
                    running.insert(agent.clone(), (number, version(&dispatch), now + takes));
                    OrderReply::Busy
                }
                Some(_) => OrderReply::Busy,
                None => {
                    running.insert(agent.clone(), (number, version(&dispatch), now + takes));
                    OrderReply::Busy
                }
            };
            let lost = !calm && random.random_ratio(1, 10);
            orders.answered(now, &agent, number, (!lost).then_some(reply));
        }
        if orders.status().iter().filter(|status| status.running).count() > share {
            return false;
        }
        let all = fleet.iter().all(|s| s.models[&model()] == Version(newest));
        if all && now.0 >= 20_000 {
            return true;
        }
    }
    false
}

#[test]
fn reaches_the_newest_version_through_losses_failures_and_restarts() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 4))
        .tests(200)
        .quickcheck(converges as fn(u64) -> bool);
}
