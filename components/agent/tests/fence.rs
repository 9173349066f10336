//! The fence: stale leaders, restarts, repeated orders, and a randomised run over all of them.

use chicoryford_agent::fence::Fence;
use chicoryford_agent::fence::Ruling;
use chicoryford_agent::orders::majority;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Node;
use chicoryford_types::Order;
use chicoryford_types::order::EpochAnswer;
use chicoryford_types::order::OrderAction;
use chicoryford_types::order::OrderReply;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
const SEED: u64 = 4_096;
const SIZE: usize = 120;
const TESTS: u64 = 8_000;

fn order(epoch: u64, number: u64) -> Order {
    Order { epoch: Epoch(epoch), number, agent: FIRST, action: OrderAction::Drain }
}

fn fence(epoch: u64) -> Fence {
    let mut fence = Fence::new(FIRST);
    fence.learn(Epoch(epoch));
    fence
}

/// Symptom: samples of an old version after a swap that everyone saw succeed.
/// Sequence: the leader of epoch 1 is cut off; the leader of epoch 2 orders a new version; the
/// first leader comes back and sends its old order to an engine that ignores fencing numbers.
/// Cause: nobody between the stale leader and the engine compared epochs.
#[test]
fn an_old_leaders_order_after_a_newer_one_is_refused() {
    let mut fence = fence(1);
    let newer = order(2, 1);
    assert_eq!(fence.decide(&newer), Ruling::Begin);
    fence.ended(&newer, None);
    assert_eq!(fence.decide(&order(1, 9)), Ruling::Answer(OrderReply::Fenced(Epoch(2))));
}

/// Symptom: as above, although the agent had refused the stale leader before.
/// Sequence: the agent takes an order of epoch 5, restarts, and the leader of epoch 4 orders.
/// Cause: the agent has no disk, and forgot the highest epoch.
#[test]
fn a_restarted_agent_asks_for_the_epoch_before_its_first_order() {
    let mut fence = Fence::new(FIRST);
    assert_eq!(fence.decide(&order(4, 1)), Ruling::Learn);
    fence.learn(Epoch(5));
    assert_eq!(fence.decide(&order(4, 1)), Ruling::Answer(OrderReply::Fenced(Epoch(5))));
    assert_eq!(fence.decide(&order(5, 1)), Ruling::Begin);
}

#[test]
fn a_repeated_order_is_carried_out_once() {
    let mut fence = fence(1);
    let first = order(1, 7);
    assert_eq!(fence.decide(&first), Ruling::Begin);
    assert_eq!(fence.decide(&first), Ruling::Answer(OrderReply::Busy));
    fence.ended(&first, Some("no".to_owned()));
    let failed = OrderReply::Failed("no".to_owned());
    assert_eq!(fence.decide(&first), Ruling::Answer(failed));
}

/// Symptom: an engine goes back one version for a moment under one and the same leader.
/// Sequence: order 1 is delayed on a connection; order 2 arrives and is carried out; order 1
/// arrives.
/// Cause: the epoch alone does not order two orders of one leader.
#[test]
fn a_late_order_of_the_same_leader_is_refused() {
    let mut fence = fence(1);
    let second = order(1, 2);
    assert_eq!(fence.decide(&second), Ruling::Begin);
    fence.ended(&second, None);
    assert!(matches!(fence.decide(&order(1, 1)), Ruling::Answer(OrderReply::Failed(_))));
}

/// Symptom: an engine goes back one version, although one leader gave all orders.
/// Sequence: order 1 is delayed on a connection; order 2 is carried out; the agent restarts and
/// learns that the epoch is still the highest; order 1 arrives.
/// Cause: the restarted agent has forgotten the numbers of the epoch.
#[test]
fn a_late_order_to_an_earlier_incarnation_is_refused() {
    let mut fence = fence(1);
    let second = order(1, 2);
    assert_eq!(fence.decide(&second), Ruling::Begin);
    fence.ended(&second, None);
    let mut restarted = Fence::new(SECOND);
    restarted.learn(Epoch(1));
    assert!(matches!(restarted.decide(&order(1, 1)), Ruling::Answer(OrderReply::Failed(_))));
    let meant = Order { agent: SECOND, ..order(1, 3) };
    assert_eq!(restarted.decide(&meant), Ruling::Begin);
}

/// Symptom: a restarted agent obeys a stale leader.
/// Sequence: its view of the members holds only the stale leader yet; it asks that one.
/// Cause: the majority was taken of those it knew instead of the voters.
#[test]
fn a_majority_of_the_voters_must_answer() {
    let voters: Vec<Node> = ["a", "b", "c"].map(Node::from).to_vec();
    let answer = |name: &str, epoch| {
        (Node::from(name), EpochAnswer { epoch: Epoch(epoch), voters: voters.clone() })
    };
    assert_eq!(majority(&[]), None);
    assert_eq!(majority(&[answer("a", 4)]), None);
    assert_eq!(majority(&[answer("a", 4), answer("x", 9)]), None);
    assert_eq!(majority(&[answer("a", 4), answer("c", 5)]), Some(Epoch(5)));
}

#[derive(Clone, Debug)]
enum Event {
    /// A leader of a higher epoch is elected.
    Elect,
    /// The leader of an epoch, perhaps an old one, sends an order, perhaps to the agent's earlier
    /// incarnation.
    Order { behind: u8, number: u8, late: bool },
    /// The order in progress ends.
    End { failed: bool },
    /// The agent restarts; it learns the epoch when it has to.
    Restart,
}

impl Arbitrary for Event {
    fn arbitrary(rng: &mut Gen) -> Self {
        match u8::arbitrary(rng) % 16 {
            0..=1 => Self::Elect,
            2..=9 => {
                let (behind, number) = (u8::arbitrary(rng) % 3, u8::arbitrary(rng) % 6);
                Self::Order { behind, number, late: u8::arbitrary(rng).is_multiple_of(4) }
            }
            10..=14 => Self::End { failed: bool::arbitrary(rng) },
            _ => Self::Restart,
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Off {
    Nothing,
    EpochCheck,
    Learning,
    Incarnation,
}

/// Tells whether no order of a stale leader began after one of a newer leader, and none twice.
fn holds(events: &[Event], off: Off) -> bool {
    let make = |life| match off {
        Off::EpochCheck => Fence::unchecked(Incarnation(life)),
        Off::Nothing | Off::Learning | Off::Incarnation => Fence::new(Incarnation(life)),
    };
    let (mut fence, mut elected, mut newest) = (make(1), 1, 0);
    let mut begun: Vec<(u64, u64, u64)> = Vec::new();
    let (mut current, mut life) = (None, 1);
    for event in events {
        match event {
            Event::Elect => elected += 1,
            Event::Restart => {
                (fence, current, life) = (make(life + 1), None, life + 1);
            }
            Event::End { failed } => {
                if let Some(order) = current.take() {
                    fence.ended(&order, failed.then(|| "failed".to_owned()));
                }
            }
            Event::Order { behind, number, late } => {
                let epoch = 1.max(elected - u64::from(*behind).min(elected - 1));
                let meant = Incarnation(life - u64::from(*late));
                // Off: the check is made void by naming the incarnation that it expects.
                let agent = if off == Off::Incarnation { Incarnation(life) } else { meant };
                let order = Order { agent, ..order(epoch, u64::from(*number)) };
                let mut ruling = fence.decide(&order);
                if ruling == Ruling::Learn {
                    fence.learn(Epoch(if off == Off::Learning { 0 } else { elected }));
                    ruling = fence.decide(&order);
                }
                if ruling == Ruling::Begin {
                    let mark = (epoch, order.number, life);
                    let astray = meant != Incarnation(life);
                    if epoch < newest || astray || current.is_some() || begun.contains(&mark) {
                        return false;
                    }
                    newest = epoch;
                    begun.push(mark);
                    current = Some(order);
                }
            }
        }
    }
    fence.promises() == 0
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn check(run: fn(Vec<Event>) -> bool) -> Result<u64, String> {
    let rng = Gen::from_size_and_seed(SIZE, number("AGENT_RUN_SEED", SEED));
    let tests = number("AGENT_RUN_TESTS", TESTS);
    let result = QuickCheck::new().rng(rng).tests(tests).max_tests(tests).quicktest(run);
    result.map_err(|failed| format!("{failed:?}"))
}

#[test]
fn no_stale_order_begins_over_random_events() {
    let run = |events: Vec<Event>| holds(&events, Off::Nothing);
    assert_eq!(check(run), Ok(number("AGENT_RUN_TESTS", TESTS)));
}

#[test]
fn the_run_notices_when_the_epoch_check_is_off() {
    assert!(check(|events: Vec<Event>| holds(&events, Off::EpochCheck)).is_err());
}

#[test]
fn the_run_notices_when_orders_do_not_name_the_incarnation() {
    assert!(check(|events: Vec<Event>| holds(&events, Off::Incarnation)).is_err());
}

#[test]
fn the_run_notices_when_a_restarted_agent_does_not_ask() {
    assert!(check(|events: Vec<Event>| holds(&events, Off::Learning)).is_err());
}
