//! Tests that one VM at a time calls the platform, regardless of how many consider themselves the
//! leader.

use chicoryford_fleet::duty::DutyAction;
use chicoryford_fleet::duty::Holding;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Milliseconds within which calls of two holders must not alternate.
const LEASE_MS: u64 = 3_000;
/// Maximum milliseconds that a call is in transit; slower ones are reset with their connection.
const MAX_TRANSIT_MS: u64 = 400;
const VMS: usize = 3;

#[test]
fn the_duty_is_acquired_before_the_first_call_and_renewed_before_it_ends() {
    assert_eq!(Holding::next_action(None, "a", 1, 0), DutyAction::Acquire);
    let held = Holding::new("a", 1, 1_000);
    assert_eq!(Holding::next_action(Some(&held), "a", 1, 1_000), DutyAction::Call(3_000));
    assert_eq!(Holding::next_action(Some(&held), "a", 1, 3_801), DutyAction::Acquire);
}

#[test]
fn another_vm_waits_until_the_holder_has_certainly_stopped() {
    let held = Holding::new("a", 1, 1_000);
    assert_eq!(Holding::next_action(Some(&held), "b", 2, 4_699), DutyAction::Wait);
    assert_eq!(Holding::next_action(Some(&held), "b", 2, 4_700), DutyAction::Acquire);
    assert!(!held.can_pass_to(&Holding::new("b", 2, 4_000), 4_699));
    assert!(!held.can_pass_to(&Holding::new("a", 0, 9_000), 9_000), "a token never decreases");
    assert!(
        held.can_pass_to(&Holding::new("a", 2, 1_100), 1_100),
        "the holder itself does not wait"
    );
}

/// Which protection is disabled, to verify that the check detects its absence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Disabled {
    Nothing,
    /// A holder calls no matter how long ago it acquired the duty.
    End,
    /// The next holder does not wait.
    Wait,
    /// The leader elected last is the holder regardless of the log.
    Log,
}

/// An elected leader, which may not have noticed that it was replaced.
struct Leader {
    vm: usize,
    epoch: u64,
    /// When it was elected, and the fleet clock at that time.
    began: (u64, u64),
    /// When it notices that it was replaced.
    notices_at: u64,
    /// Until when its VM is paused.
    paused_until: u64,
    /// The last holding that it has seen.
    known: Option<Holding>,
}

impl Leader {
    /// Returns the fleet clock as computed by this leader, whose monotonic clock has a small error.
    fn fleet_now(&self, now: u64) -> u64 {
        let passed = now - self.began.0;
        self.began.1 + passed + passed * self.vm as u64 / 10_000
    }
}

/// A call that arrived at the platform.
struct Arrived {
    at: u64,
    vm: usize,
    token: u64,
}

/// Simulates a minute of elections, of leaders that are disconnected or paused and still consider
/// themselves the leader, and of calls with random transit times. Returns the calls in their order
/// of arrival.
fn simulate(seed: u64, disabled: Disabled) -> Vec<Arrived> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut leaders: Vec<Leader> = Vec::new();
    let (mut log, mut clock) = (None::<Holding>, 0);
    let mut elected = 0;
    let mut arrived = Vec::new();
    for now in (0..60_000).step_by(50) {
        if now >= elected {
            elected = now + rng.random_range(300..6_000);
            let epoch = leaders.len() as u64 + 1;
            let known = log.clone();
            let vm = rng.random_range(0..VMS);
            let delay = rng.random_range(0..5_000);
            if let Some(last) = leaders.last_mut() {
                last.notices_at = now + delay;
            }
            let began = (now, clock);
            leaders.push(Leader { vm, epoch, began, notices_at: u64::MAX, paused_until: 0, known });
        }
        let newest = leaders.len() - 1;
        for (number, leader) in leaders.iter_mut().enumerate() {
            if rng.random_ratio(1, 400) {
                leader.paused_until = now + rng.random_range(500..8_000);
            }
            if now >= leader.notices_at || now < leader.paused_until {
                continue;
            }
            let fleet = leader.fleet_now(now);
            let node = leader.vm.to_string();
            let action = match (
                disabled,
                Holding::next_action(leader.known.as_ref(), &node, leader.epoch, fleet),
            ) {
                (Disabled::Log, _) => DutyAction::Call(LEASE_MS),
                (Disabled::Wait, DutyAction::Wait) => DutyAction::Acquire,
                (Disabled::End, DutyAction::Acquire)
                    if leader.known.as_ref().is_some_and(|k| k.token == leader.epoch) =>
                {
                    DutyAction::Call(LEASE_MS)
                }
                (_, action) => action,
            };
            match action {
                DutyAction::Acquire if number == newest => {
                    clock = clock.max(fleet);
                    let next = Holding::new(&node, leader.epoch, fleet);
                    let free = log.as_ref().is_none_or(|held| held.can_pass_to(&next, clock));
                    if free || disabled == Disabled::Wait {
                        log = Some(next);
                    }
                    leader.known.clone_from(&log);
                }
                DutyAction::Call(_) => {
                    let at = now + rng.random_range(1..MAX_TRANSIT_MS);
                    arrived.push(Arrived { at, vm: leader.vm, token: leader.epoch });
                }
                DutyAction::Acquire | DutyAction::Wait => {}
            }
        }
    }
    arrived.sort_by_key(|call| call.at);
    arrived
}

/// Returns a description of the first violation in the calls, if any.
fn violation(calls: &[Arrived]) -> Option<String> {
    for pair in calls.windows(2) {
        if pair[1].token < pair[0].token && pair[1].vm != pair[0].vm {
            return Some(format!(
                "at {} token {} after {}",
                pair[1].at, pair[1].token, pair[0].token
            ));
        }
    }
    for (index, last) in calls.iter().enumerate() {
        let recent = calls[..index].iter().rev().take_while(|call| last.at - call.at < LEASE_MS);
        let mut other = false;
        for call in recent {
            if call.vm != last.vm {
                other = true;
            } else if other {
                return Some(format!("at {} VM {} again after another", last.at, last.vm));
            }
        }
    }
    None
}

/// Guards against two VMs that call the platform in alternation, or with a lower token than one
/// already used. A leader is paused or disconnected while it holds the duty; another one is
/// elected, and then a third one or the first one again. Each of them considers itself the leader
/// for up to five seconds after the next election. The duty must end by the clock of its holder
/// before another VM acquires it. No simulation has such calls, and some simulation does with each
/// of the protections disabled.
#[test]
fn calls_of_two_holders_never_alternate_within_the_lease() {
    let mut calls = 0;
    for seed in 0..2_000 {
        let arrived = simulate(seed, Disabled::Nothing);
        calls += arrived.len();
        assert_eq!(violation(&arrived), None, "seed {seed}");
    }
    assert!(calls > 200_000, "too few calls: {calls}");
    for disabled in [Disabled::End, Disabled::Wait, Disabled::Log] {
        let detected =
            (0..200).filter(|seed| violation(&simulate(*seed, disabled)).is_some()).count();
        assert!(detected > 0, "{disabled:?} is not detected");
    }
}
