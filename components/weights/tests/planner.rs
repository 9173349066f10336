//! The planner against a small fleet in virtual time.

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
use fleet::Speeds;
use fleet::model;

const SEED: u64 = 3;
const LONG_MS: u64 = 300_000;

fn fleet(n: usize, failures: f64) -> Fleet {
    Fleet::new(n, PlannerSettings::default(), Speeds { failures, ..Speeds::default() }, SEED)
}

#[test]
fn can_bring_all_samplers_to_a_new_version() {
    let mut fleet = fleet(40, 0.0);
    fleet.publish(2);
    assert!(fleet.until_complete(2, LONG_MS).is_some());
    assert_eq!(fleet.holders(2), 40);
    assert!(fleet.most_out <= 10);
    assert!(fleet.most_store <= 8);
    assert_eq!(fleet.planner.violations(), 0);
}

#[test]
fn can_renew_the_only_sampler_and_one_of_two_at_a_time() {
    for n in [1, 2, 3] {
        let mut fleet = fleet(n, 0.0);
        fleet.publish(2);
        assert!(fleet.until_complete(2, LONG_MS).is_some());
        assert_eq!(fleet.most_out, 1);
        assert_eq!(fleet.planner.violations(), 0);
    }
}

#[test]
fn can_get_through_loads_that_fail_part_way() {
    // Symptom: a model stays on old weights because some loads failed.
    // Sequence: a fifth of the loads fail, a third of those without a word.
    // Cause: an order's end would be waited for for ever.
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
    // A newer version is a new chance.
    fleet.speeds.failures = 0.0;
    fleet.publish(3);
    assert!(fleet.until_complete(3, LONG_MS).is_some());
    assert_eq!(fleet.holders(3), 4);
    assert_eq!(fleet.planner.violations(), 0);
}

#[test]
fn can_skip_versions_that_were_overtaken() {
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
fn errors_on_a_version_that_is_not_newer() {
    // Symptom: samplers run old weights although newer ones were published.
    // Sequence: a trainer that came back from a stop publishes the version it last knew.
    // Cause: the last word would hold in place of the highest number.
    let mut fleet = fleet(4, 0.0);
    fleet.publish(5);
    assert!(fleet.until_complete(5, LONG_MS).is_some());
    fleet.publish(4);
    fleet.run(10_000);
    assert_eq!(fleet.holders(5), 4);
    assert_eq!(fleet.planner.violations(), 0);
}

#[test]
fn can_go_on_under_a_new_leader_without_a_second_load() {
    // Symptom: after a change of leader samplers load a version twice, or go back.
    // Sequence: the leader is lost in the middle of a rollout; another one takes over.
    // Cause: the new one does not know what the old one ordered.
    let mut fleet = fleet(40, 0.0);
    fleet.publish(2);
    fleet.run(4_000);
    let before = fleet.orders;
    assert!(before > 0 && fleet.holders(2) < 40);
    fleet.tell(Event::NewEpoch(Epoch(2)));
    fleet.announce();
    assert!(fleet.until_complete(2, LONG_MS).is_some());
    assert_eq!(fleet.holders(2), 40);
    assert_eq!(fleet.orders, 40);
    assert_eq!(fleet.planner.violations(), 0);
}

#[test]
fn can_stop_when_a_newer_leader_is_met() {
    // Symptom: two leaders order the same endpoints.
    // Sequence: a leader is cut off, another is elected, the first one comes back.
    // Cause: it believes that it still leads until an agent tells it otherwise.
    let mut fleet = fleet(10, 0.0);
    fleet.tell(Event::Reply {
        endpoint: Endpoint::from("sampler-0000"),
        number: 1,
        reply: OrderReply::Fenced(Epoch(9)),
    });
    fleet.publish(2);
    fleet.run(10_000);
    assert_eq!(fleet.orders, 0);
    fleet.tell(Event::NewEpoch(Epoch(10)));
    assert!(fleet.until_complete(2, LONG_MS).is_some());
    assert_eq!(fleet.planner.violations(), 0);
}

#[test]
fn can_notice_an_engine_that_lost_its_weights() {
    // Symptom: one sampler answers from old weights long after the rollout.
    // Sequence: its engine restarts and loads what lies on its disk.
    // Cause: a version once confirmed would be believed for ever.
    let mut fleet = fleet(10, 0.0);
    fleet.publish(2);
    assert!(fleet.until_complete(2, LONG_MS).is_some());
    fleet.run(1_000);
    let engine = fleet.engines.get_mut(&Endpoint::from("sampler-0004")).unwrap();
    engine.offer.models.insert(model(), Version(1));
    engine.offer.sequence += 1;
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
        fleet.engines.get_mut(&name).unwrap().offer.ready = false;
    }
    fleet.announce();
    fleet.publish(2);
    fleet.run(60_000);
    assert_eq!(fleet.most_out, 1);
    assert_eq!(fleet.holders(2), 2);
    assert_eq!(fleet.planner.violations(), 0);
}

/// A planner whose answers the test gives by hand.
struct Desk(Planner);

impl Desk {
    /// Leads samplers that run version 1, and has version 2 to load.
    fn new(offers: &[SamplerStatus]) -> Self {
        let settings = PlannerSettings { settle_ms: 0, ..PlannerSettings::default() };
        let mut desk = Self(Planner::new(settings));
        desk.on(Event::NewEpoch(Epoch(1)), 0);
        desk.on(Event::Members(offers.to_vec()), 0);
        desk
    }

    fn on(&mut self, event: Event, now: u64) -> Vec<(Endpoint, Order)> {
        let mut actions = Vec::new();
        self.0.handle(event, Millis(now), &mut actions);
        let given = actions.into_iter().filter_map(|action| match action {
            Action::SendOrder { endpoint, order } => Some((endpoint, order)),
            _ => None,
        });
        given.collect()
    }

    fn publish(&mut self) -> (Endpoint, Order) {
        let (model, version) = (model(), Version(2));
        self.on(Event::Published { model, version, source: String::new() }, 0).remove(0)
    }

    fn answer(&mut self, to: &(Endpoint, Order), reply: OrderReply, now: u64) -> Vec<Order> {
        let (endpoint, number) = (to.0.clone(), to.1.number);
        let given = self.on(Event::Reply { endpoint, number, reply }, now);
        given.into_iter().map(|(_, order)| order).collect()
    }
}

fn offers(count: usize) -> Vec<SamplerStatus> {
    let offer = |n| SamplerStatus {
        endpoint: Endpoint(format!("sampler-{n}")),
        incarnation: Incarnation(1),
        sequence: 1,
        models: [(model(), Version(1))].into(),
        ready: true,
        ..SamplerStatus::default()
    };
    (0..count).map(offer).collect()
}

#[test]
fn can_try_others_before_one_that_failed_and_then_that_one_again() {
    let mut desk = Desk::new(&offers(2));
    let first = desk.publish();
    let second = desk.on(Event::Tick, 1);
    assert!(second.is_empty(), "one of two at a time");
    let (endpoint, number) = (first.0.clone(), first.1.number);
    let reply = OrderReply::Failed("full".to_owned());
    let second = desk.on(Event::Reply { endpoint, number, reply }, 2).remove(0);
    assert_ne!(second.0, first.0);
    assert!(desk.answer(&second, OrderReply::Done, 3).is_empty());
    let third = desk.on(Event::Tick, 502).remove(0);
    assert_eq!(third.0, first.0);
    assert!(third.1.number > first.1.number, "the agent remembers the failed number");
    assert_eq!(desk.0.progress()[0].troubles[0].reason, "full");
}

#[test]
fn can_notice_a_confirmed_swap_that_is_never_announced() {
    // Symptom: one sampler stays on old weights for good.
    // Sequence: its agent answers that the order is done; the engine falls back before the
    // agent's next look, so its announcements go on showing the old version.
    // Cause: the leader believes the answer for ever.
    let mut desk = Desk::new(&offers(1));
    let first = desk.publish();
    assert!(desk.answer(&first, OrderReply::Done, 1).is_empty());
    assert!(desk.on(Event::Tick, 9_000).is_empty());
    assert_eq!(desk.on(Event::Tick, 10_002).len(), 1);
}

#[test]
fn can_order_an_agent_again_after_its_restart() {
    // Symptom: a sampler whose agent restarted in the middle of a load stays out of the rollout.
    // Sequence: an order is in progress; the agent restarts; its next incarnation refuses it.
    // Cause: the leader would wait for the end of an order that nobody carries out.
    let mut all = offers(1);
    let mut desk = Desk::new(&all);
    let first = desk.publish();
    assert_eq!(first.1.agent, Incarnation(1));
    assert!(desk.answer(&first, OrderReply::Busy, 1).is_empty());
    all[0].incarnation = Incarnation(2);
    let second = desk.on(Event::Members(all), 2).remove(0);
    assert_eq!(second.1.agent, Incarnation(2));
    assert!(second.1.number > first.1.number);
}
