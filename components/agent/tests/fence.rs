//! The fence against stale leaders, after restarts and with repeated orders, and randomised tests
//! of all of these.
//!
//! `AGENT_RUN_SEED` and `AGENT_RUN_TESTS` override the seed and the number of random cases.

use chicoryford_agent::fence::Decision;
use chicoryford_agent::fence::Fence;
use chicoryford_agent::orders::majority_epoch;
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
    fence.learn_epoch(Epoch(epoch));
    fence
}

/// Guards against samples of an old version after a swap that succeeded. The leader of epoch 1 is
/// partitioned, the leader of epoch 2 orders a new version, and the first leader reconnects and
/// sends its old order to an engine that ignores fencing numbers. The agent must compare the
/// epochs.
#[test]
fn an_old_leaders_order_after_a_newer_one_is_refused() {
    let mut fence = fence(1);
    let newer = order(2, 1);
    assert_eq!(fence.decide(&newer), Decision::Execute);
    fence.record_end(&newer, None);
    assert_eq!(fence.decide(&order(1, 9)), Decision::Answer(OrderReply::Fenced(Epoch(2))));
}

/// Guards against the same failure after a restart. The agent executes an order of epoch 5 and
/// restarts, then the leader of epoch 4 sends an order. The agent stores nothing on disk and no
/// longer has the highest epoch.
#[test]
fn a_restarted_agent_asks_for_the_epoch_before_its_first_order() {
    let mut fence = Fence::new(FIRST);
    assert_eq!(fence.decide(&order(4, 1)), Decision::LearnEpoch);
    fence.learn_epoch(Epoch(5));
    assert_eq!(fence.decide(&order(4, 1)), Decision::Answer(OrderReply::Fenced(Epoch(5))));
    assert_eq!(fence.decide(&order(5, 1)), Decision::Execute);
}

#[test]
fn a_repeated_order_is_executed_once() {
    let mut fence = fence(1);
    let first = order(1, 7);
    assert_eq!(fence.decide(&first), Decision::Execute);
    assert_eq!(fence.decide(&first), Decision::Answer(OrderReply::Busy));
    fence.record_end(&first, Some("no".to_owned()));
    let failed = OrderReply::Failed("no".to_owned());
    assert_eq!(fence.decide(&first), Decision::Answer(failed));
}

/// Guards against an engine that briefly returns to the previous version under the same leader.
/// Order 1 is delayed on a connection, order 2 arrives and is executed, then order 1 arrives. The
/// epoch alone does not define the sequence of two orders of one leader.
#[test]
fn a_late_order_of_the_same_leader_is_refused() {
    let mut fence = fence(1);
    let second = order(1, 2);
    assert_eq!(fence.decide(&second), Decision::Execute);
    fence.record_end(&second, None);
    assert!(matches!(fence.decide(&order(1, 1)), Decision::Answer(OrderReply::Failed(_))));
}

/// Guards against an engine that returns to the previous version although one leader sent all
/// orders. Order 1 is delayed on a connection, order 2 is executed, the agent restarts and learns
/// that the epoch is still the highest, then order 1 arrives. The restarted agent no longer has the
/// numbers of the epoch's orders.
#[test]
fn a_late_order_to_an_earlier_incarnation_is_refused() {
    let mut fence = fence(1);
    let second = order(1, 2);
    assert_eq!(fence.decide(&second), Decision::Execute);
    fence.record_end(&second, None);
    let mut restarted = Fence::new(SECOND);
    restarted.learn_epoch(Epoch(1));
    assert!(matches!(restarted.decide(&order(1, 1)), Decision::Answer(OrderReply::Failed(_))));
    let target = Order { agent: SECOND, ..order(1, 3) };
    assert_eq!(restarted.decide(&target), Decision::Execute);
}

/// Guards against a restarted agent that accepts a stale leader. Its view of the members contains
/// only the stale leader so far, and it queries only that one. The majority must be one of the
/// voters, not of the members in the view.
#[test]
fn a_majority_of_the_voters_must_answer() {
    let voters: Vec<Node> = ["a", "b", "c"].map(Node::from).to_vec();
    let answer = |name: &str, epoch| {
        (Node::from(name), EpochAnswer { epoch: Epoch(epoch), voters: voters.clone() })
    };
    assert_eq!(majority_epoch(&[]), None);
    assert_eq!(majority_epoch(&[answer("a", 4)]), None);
    assert_eq!(majority_epoch(&[answer("a", 4), answer("x", 9)]), None);
    assert_eq!(majority_epoch(&[answer("a", 4), answer("c", 5)]), Some(Epoch(5)));
}

#[derive(Clone, Debug)]
enum Event {
    /// A leader of a higher epoch is elected.
    Elect,
    /// The leader of an epoch, possibly an old one, sends an order, possibly to the agent's
    /// previous incarnation.
    Order { behind: u8, number: u8, to_previous: bool },
    /// The order in progress ends.
    End { failed: bool },
    /// The agent restarts; it learns the epoch when the fence asks for it.
    Restart,
}

impl Arbitrary for Event {
    fn arbitrary(rng: &mut Gen) -> Self {
        match u8::arbitrary(rng) % 16 {
            0..=1 => Self::Elect,
            2..=9 => {
                let (behind, number) = (u8::arbitrary(rng) % 3, u8::arbitrary(rng) % 6);
                Self::Order { behind, number, to_previous: u8::arbitrary(rng).is_multiple_of(4) }
            }
            10..=14 => Self::End { failed: bool::arbitrary(rng) },
            _ => Self::Restart,
        }
    }
}

/// The protection that a run disables.
#[derive(Clone, Copy, PartialEq)]
enum Disabled {
    Nothing,
    EpochCheck,
    Learning,
    Incarnation,
}

/// Returns whether no order of a stale leader was started after one of a newer leader, and none was
/// started twice.
fn run_holds(events: &[Event], disabled: Disabled) -> bool {
    let new_fence = |incarnation| match disabled {
        Disabled::EpochCheck => Fence::unchecked(Incarnation(incarnation)),
        Disabled::Nothing | Disabled::Learning | Disabled::Incarnation => {
            Fence::new(Incarnation(incarnation))
        }
    };
    let (mut fence, mut elected, mut newest) = (new_fence(1), 1, 0);
    let mut started: Vec<(u64, u64, u64)> = Vec::new();
    let (mut current, mut incarnation) = (None, 1);
    for event in events {
        match event {
            Event::Elect => elected += 1,
            Event::Restart => {
                (fence, current, incarnation) = (new_fence(incarnation + 1), None, incarnation + 1);
            }
            Event::End { failed } => {
                if let Some(order) = current.take() {
                    fence.record_end(&order, failed.then(|| "failed".to_owned()));
                }
            }
            Event::Order { behind, number, to_previous } => {
                let epoch = 1.max(elected - u64::from(*behind).min(elected - 1));
                let target = Incarnation(incarnation - u64::from(*to_previous));
                // Naming the incarnation that the fence expects disables the check.
                let agent = if disabled == Disabled::Incarnation {
                    Incarnation(incarnation)
                } else {
                    target
                };
                let order = Order { agent, ..order(epoch, u64::from(*number)) };
                let mut decision = fence.decide(&order);
                if decision == Decision::LearnEpoch {
                    fence.learn_epoch(Epoch(if disabled == Disabled::Learning {
                        0
                    } else {
                        elected
                    }));
                    decision = fence.decide(&order);
                }
                if decision == Decision::Execute {
                    let key = (epoch, order.number, incarnation);
                    let is_misdirected = target != Incarnation(incarnation);
                    if epoch < newest
                        || is_misdirected
                        || current.is_some()
                        || started.contains(&key)
                    {
                        return false;
                    }
                    newest = epoch;
                    started.push(key);
                    current = Some(order);
                }
            }
        }
    }
    fence.violations() == 0
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run_quickcheck(run: fn(Vec<Event>) -> bool) -> Result<u64, String> {
    let rng = Gen::from_size_and_seed(SIZE, env_number("AGENT_RUN_SEED", SEED));
    let tests = env_number("AGENT_RUN_TESTS", TESTS);
    let result = QuickCheck::new().rng(rng).tests(tests).max_tests(tests).quicktest(run);
    result.map_err(|failed| format!("{failed:?}"))
}

#[test]
fn no_stale_order_starts_in_random_runs() {
    let run = |events: Vec<Event>| run_holds(&events, Disabled::Nothing);
    assert_eq!(run_quickcheck(run), Ok(env_number("AGENT_RUN_TESTS", TESTS)));
}

#[test]
fn random_runs_detect_a_missing_epoch_check() {
    assert!(run_quickcheck(|events: Vec<Event>| run_holds(&events, Disabled::EpochCheck)).is_err());
}

#[test]
fn random_runs_detect_orders_without_an_incarnation() {
    assert!(
        run_quickcheck(|events: Vec<Event>| run_holds(&events, Disabled::Incarnation)).is_err()
    );
}

#[test]
fn random_runs_detect_a_restarted_agent_that_does_not_query_the_epoch() {
    assert!(run_quickcheck(|events: Vec<Event>| run_holds(&events, Disabled::Learning)).is_err());
}
