//! Tests of the planner with a small simulated fleet in virtual time.

mod fleet;

use chicoryford_types::Endpoint;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Order;
use chicoryford_types::Version;
use chicoryford_types::order::OrderReply;
use chicoryford_weights::Action;
use chicoryford_weights::Event;
use chicoryford_weights::Planner;
use chicoryford_weights::PlannerSettings;
use chicoryford_weights::SamplerStatus;

use fleet::Fleet;
use fleet::Timings;
use fleet::model;

const SEED: u64 = 3;
const LONG_MS: u64 = 300_000;

fn fleet(n: usize, failures: f64) -> Fleet {
    Fleet::new(n, PlannerSettings::default(), Timings { failures, ..Timings::default() }, SEED)
}

#[test]
fn can_bring_all_samplers_to_a_new_version() {
    let mut fleet = fleet(40, 0.0);
    fleet.publish(2);
    assert!(fleet.until_complete(2, LONG_MS).is_some());
    assert_eq!(fleet.holders(2), 40);
    assert!(fleet.max_swapping <= 10);
    assert!(fleet.max_store_fetches <= 8);
    assert_eq!(fleet.planner.violations(), 0);
}

#[test]
fn can_update_the_only_sampler_and_one_of_two_at_a_time() {
    for n in [1, 2, 3] {
        let mut fleet = fleet(n, 0.0);
        fleet.publish(2);
        assert!(fleet.until_complete(2, LONG_MS).is_some());
        assert_eq!(fleet.max_swapping, 1);
        assert_eq!(fleet.planner.violations(), 0);
    }
}

#[test]
fn can_complete_despite_loads_that_fail_partway() {
    // Guards against a model that stays on old weights because some loads failed: a fifth of the
    // loads fail, a third of those without a reply, so the planner must not wait for the end of an
    // order forever.
    let mut fleet = fleet(40, 0.2);
    fleet.publish(2);
    assert!(fleet.until_complete(2, LONG_MS).is_some());
    assert_eq!(fleet.holders(2) + fleet.given_up.len(), 40);
    assert!(fleet.given_up.len() <= 4);
    assert_eq!(fleet.planner.violations(), 0);
}

#[test]
fn can_give_up_an_endpoint_that_never_loads_and_report_it() {
    let mut fleet = fleet(4, 1.0);
    fleet.publish(2);
    assert!(fleet.until_complete(2, LONG_MS).is_some());
    assert_eq!(fleet.given_up.len(), 4);
    assert_eq!(fleet.complete[0].2, 4);
    // The planner tries a newer version on the endpoints that it gave up on.
    fleet.timings.failures = 0.0;
    fleet.publish(3);
    assert!(fleet.until_complete(3, LONG_MS).is_some());
    assert_eq!(fleet.holders(3), 4);
    assert_eq!(fleet.planner.violations(), 0);
}

#[test]
fn can_skip_superseded_versions() {
    let mut fleet = fleet(80, 0.0);
    fleet.publish(2);
    fleet.run(1_000);
    fleet.publish(3);
    assert!(fleet.until_complete(3, LONG_MS).is_some());
    assert_eq!(fleet.holders(3), 80);
    assert!(fleet.orders <= 88, "{} orders", fleet.orders);
    assert_eq!(fleet.planner.violations(), 0);
}

#[test]
fn can_ignore_a_version_that_is_not_newer() {
    // Guards against samplers that return to old weights: a trainer that resumes after a stop may
    // publish the version that it last had, and the highest number must win over the last
    // publication.
    let mut fleet = fleet(4, 0.0);
    fleet.publish(5);
    assert!(fleet.until_complete(5, LONG_MS).is_some());
    fleet.publish(4);
    fleet.run(10_000);
    assert_eq!(fleet.holders(5), 4);
    assert_eq!(fleet.planner.violations(), 0);
}

#[test]
fn can_continue_under_a_new_leader_without_a_second_load() {
    // Guards against a second load or a downgrade after a change of leader during a rollout: the
    // new leader does not have the orders of the previous one.
    let mut fleet = fleet(40, 0.0);
    fleet.publish(2);
    fleet.run(4_000);
    let before = fleet.orders;
    assert!(before > 0 && fleet.holders(2) < 40);
    fleet.send(Event::NewEpoch(Epoch(2)));
    fleet.announce();
    assert!(fleet.until_complete(2, LONG_MS).is_some());
    assert_eq!(fleet.holders(2), 40);
    assert_eq!(fleet.orders, 40);
    assert_eq!(fleet.planner.violations(), 0);
}

#[test]
fn can_stop_when_an_agent_reports_a_newer_epoch() {
    // Guards against two leaders that order the same endpoints: a partitioned leader that was
    // replaced continues until an agent reports the newer epoch.
    let mut fleet = fleet(10, 0.0);
    fleet.send(Event::Reply {
        endpoint: Endpoint::from("sampler-0000"),
        number: 1,
        reply: OrderReply::Fenced(Epoch(9)),
    });
    fleet.publish(2);
    fleet.run(10_000);
    assert_eq!(fleet.orders, 0);
    fleet.send(Event::NewEpoch(Epoch(10)));
    assert!(fleet.until_complete(2, LONG_MS).is_some());
    assert_eq!(fleet.planner.violations(), 0);
}

#[test]
fn can_detect_an_engine_that_lost_its_weights() {
    // Guards against a sampler that serves old weights long after the rollout: its engine restarts
    // and loads the weights on its disk, so a confirmed version must not be trusted forever.
    let mut fleet = fleet(10, 0.0);
    fleet.publish(2);
    assert!(fleet.until_complete(2, LONG_MS).is_some());
    fleet.run(1_000);
    let engine = fleet.engines.get_mut(&Endpoint::from("sampler-0004")).unwrap();
    engine.status.models.insert(model(), Version(1));
    engine.status.sequence += 1;
    fleet.announce();
    fleet.run(10_000);
    assert_eq!(fleet.holders(2), 10);
    assert_eq!(fleet.planner.violations(), 0);
}

#[test]
fn can_keep_serving_when_samplers_are_broken() {
    let mut fleet = fleet(8, 0.0);
    for n in 0..6 {
        let name = Endpoint(format!("sampler-{n:04}"));
        fleet.engines.get_mut(&name).unwrap().status.ready = false;
    }
    fleet.announce();
    fleet.publish(2);
    fleet.run(60_000);
    assert_eq!(fleet.max_swapping, 1);
    assert_eq!(fleet.holders(2), 2);
    assert_eq!(fleet.planner.violations(), 0);
}

/// A planner to which the test replies directly.
struct DirectPlanner(Planner);

impl DirectPlanner {
    /// Returns the leader of samplers that run version 1.
    fn new(statuses: &[SamplerStatus]) -> Self {
        let settings = PlannerSettings { settle_ms: 0, ..PlannerSettings::default() };
        let mut planner = Self(Planner::new(settings));
        planner.handle(Event::NewEpoch(Epoch(1)), 0);
        planner.handle(Event::Members(statuses.to_vec()), 0);
        planner
    }

    fn handle(&mut self, event: Event, now: u64) -> Vec<(Endpoint, Order)> {
        let mut actions = Vec::new();
        self.0.handle(event, Millis(now), &mut actions);
        let orders = actions.into_iter().filter_map(|action| match action {
            Action::SendOrder { endpoint, order } => Some((endpoint, order)),
            _ => None,
        });
        orders.collect()
    }

    fn publish(&mut self) -> (Endpoint, Order) {
        let (model, version) = (model(), Version(2));
        self.handle(Event::Published { model, version, source: String::new() }, 0).remove(0)
    }

    fn reply_to(&mut self, sent: &(Endpoint, Order), reply: OrderReply, now: u64) -> Vec<Order> {
        let (endpoint, number) = (sent.0.clone(), sent.1.number);
        let orders = self.handle(Event::Reply { endpoint, number, reply }, now);
        orders.into_iter().map(|(_, order)| order).collect()
    }
}

fn statuses(count: usize) -> Vec<SamplerStatus> {
    let status = |n| SamplerStatus {
        endpoint: Endpoint(format!("sampler-{n}")),
        incarnation: Incarnation(1),
        sequence: 1,
        models: [(model(), Version(1))].into(),
        ready: true,
        ..SamplerStatus::default()
    };
    (0..count).map(status).collect()
}

#[test]
fn can_load_others_before_retrying_one_that_failed() {
    let mut planner = DirectPlanner::new(&statuses(2));
    let first = planner.publish();
    let second = planner.handle(Event::Tick, 1);
    assert!(second.is_empty(), "only one of two may be out of service");
    let (endpoint, number) = (first.0.clone(), first.1.number);
    let reply = OrderReply::Failed("full".to_owned());
    let second = planner.handle(Event::Reply { endpoint, number, reply }, 2).remove(0);
    assert_ne!(second.0, first.0);
    assert!(planner.reply_to(&second, OrderReply::Done, 3).is_empty());
    let third = planner.handle(Event::Tick, 502).remove(0);
    assert_eq!(third.0, first.0);
    assert!(third.1.number > first.1.number, "the agent remembers the failed number");
    assert_eq!(planner.0.progress()[0].troubles[0].reason, "full");
}

#[test]
fn can_detect_a_confirmed_swap_that_is_never_announced() {
    // Guards against a sampler that stays on old weights for good: its agent replies that the order
    // is done, but the engine returns to the old version before the agent checks again, so its
    // announcements do not change. The leader must not trust the reply forever.
    let mut planner = DirectPlanner::new(&statuses(1));
    let first = planner.publish();
    assert!(planner.reply_to(&first, OrderReply::Done, 1).is_empty());
    assert!(planner.handle(Event::Tick, 9_000).is_empty());
    assert_eq!(planner.handle(Event::Tick, 10_002).len(), 1);
}

#[test]
fn can_order_an_agent_again_after_its_restart() {
    // Guards against a sampler that stays out of the rollout because its agent restarted during a
    // load. The next incarnation refuses the order, so the leader must not wait for its end.
    let mut all = statuses(1);
    let mut planner = DirectPlanner::new(&all);
    let first = planner.publish();
    assert_eq!(first.1.agent, Incarnation(1));
    assert!(planner.reply_to(&first, OrderReply::Busy, 1).is_empty());
    all[0].incarnation = Incarnation(2);
    let second = planner.handle(Event::Members(all), 2).remove(0);
    assert_eq!(second.1.agent, Incarnation(2));
    assert!(second.1.number > first.1.number);
}
