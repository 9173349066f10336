//! When an entry diverts connections and refuses requests, under the loads that hard deployments
//! have.

use chicoryford_fleet::Policy;
use chicoryford_fleet::overload::Cause;
use chicoryford_fleet::overload::Decision;
use chicoryford_fleet::overload::Level;
use chicoryford_fleet::overload::Limits;
use chicoryford_fleet::overload::Overload;
use chicoryford_fleet::overload::UnreadReply;
use chicoryford_fleet::overload::Usage;
use chicoryford_types::Millis;
use quickcheck::QuickCheck;

/// The smaller and the larger entry VMs of one deployment.
const SMALL: Limits = Limits { memory_mb: Some(120), descriptors: Some(3_075) };
const LARGE: Limits = Limits { memory_mb: Some(400), descriptors: Some(10_250) };
const TARGET_MS: u64 = 150;
/// Milliseconds between two evaluations.
const STEP_MS: u64 = 100;
const MB: u64 = 1_000_000;

/// An entry and its clock.
struct Fixture {
    overload: Overload,
    target_ms: Option<u64>,
    now: u64,
}

impl Fixture {
    fn new(limits: Limits) -> Self {
        Self { overload: Overload::new(limits), target_ms: Some(TARGET_MS), now: 0 }
    }

    /// Evaluates once.
    fn evaluate(&mut self, usage: Usage) -> Decision {
        let decision = self.overload.update(usage, self.target_ms, Millis(self.now));
        self.now += STEP_MS;
        decision
    }

    /// Evaluates for some time with the same usage, and returns the last decision.
    fn hold(&mut self, usage: Usage, ms: u64) -> Decision {
        (0..=ms / STEP_MS).map(|_| self.evaluate(usage)).last().unwrap()
    }
}

fn held(bytes: u64) -> Usage {
    Usage { held_bytes: bytes, ..Usage::default() }
}

fn connections(connections: u64) -> Usage {
    Usage { connections, ..Usage::default() }
}

fn lag(lag_ms: u64) -> Usage {
    Usage { lag_ms, ..Usage::default() }
}

fn by(level: Level, cause: Cause) -> Decision {
    Decision { level, cause: Some(cause) }
}

/// Guards against a small VM that is killed because callers read slowly: unread replies pile up at
/// all entries alike, and an entry with 120 MB reaches its limit before one with 400 MB.
#[test]
fn callers_that_read_slowly_are_diverted_and_then_refused_at_a_small_vm() {
    let (mut small, mut large) = (Fixture::new(SMALL), Fixture::new(LARGE));
    let mut levels = Vec::new();
    for unread in 0..30 {
        levels.push(small.evaluate(held(unread * MB)));
        assert_eq!(large.evaluate(held(unread * MB)), Decision::default(), "{unread} MB");
    }
    // The budget is 28 MB.
    assert!(levels[..14].iter().all(|decision| *decision == Decision::default()));
    assert!(levels[14..23].iter().all(|one| *one == by(Level::Divert, Cause::Memory)));
    assert!(levels[23..].iter().all(|one| *one == by(Level::Refuse, Cause::Memory)));
    // The budget of the larger VM is 168 MB.
    assert_eq!(large.evaluate(held(84 * MB)).level, Level::Divert);
    assert_eq!(large.evaluate(held(134_400_000)).level, Level::Refuse);
}

/// Guards against a memory budget that is zero or negative where the process itself needs more than
/// half of the memory.
#[test]
fn a_tiny_vm_still_serves_requests() {
    let mut tiny = Fixture::new(Limits { memory_mb: Some(50), descriptors: Some(0) });
    assert_eq!(tiny.evaluate(held(1_999_999)), Decision::default());
    assert_eq!(tiny.evaluate(held(2 * MB)).level, Level::Divert);
    assert_eq!(tiny.evaluate(held(3_200_000)).level, Level::Refuse);
}

/// Guards against a burst of large bodies that is accepted because a level needs time to be
/// entered, and against readiness that alternates with each reply.
#[test]
fn a_burst_of_large_bodies_is_refused_at_once_and_for_a_second_after_it() {
    let mut entry = Fixture::new(SMALL);
    assert_eq!(entry.evaluate(held(0)).level, Level::Normal);
    assert_eq!(entry.evaluate(held(25 * MB)), by(Level::Refuse, Cause::Memory));
    // Usage alternates around the thresholds while replies end.
    for _ in 0..10 {
        assert_eq!(entry.hold(held(16 * MB), 500).level, Level::Refuse);
        assert_eq!(entry.hold(held(17 * MB), 500).level, Level::Refuse);
    }
    // Below three quarters of 22.4 MB, but not of 14 MB.
    assert_eq!(entry.hold(held(11 * MB), 900).level, Level::Refuse);
    assert_eq!(entry.evaluate(held(11 * MB)).level, Level::Divert);
    assert_eq!(entry.hold(held(11 * MB), 5_000).level, Level::Divert);
    assert_eq!(entry.hold(held(10 * MB), 900).level, Level::Divert);
    assert_eq!(entry.evaluate(held(10 * MB)), Decision::default());
}

/// Guards against an entry that has no descriptors left for its endpoints, since all entries receive
/// the same number of connections.
#[test]
fn connections_beyond_half_of_the_descriptors_are_refused() {
    let (mut small, mut large) = (Fixture::new(SMALL), Fixture::new(LARGE));
    assert_eq!(small.evaluate(connections(1_228)).level, Level::Normal);
    assert_eq!(small.evaluate(connections(1_229)), by(Level::Divert, Cause::Connections));
    assert_eq!(small.evaluate(connections(1_460)), by(Level::Refuse, Cause::Connections));
    assert_eq!(large.evaluate(connections(1_460)).level, Level::Normal);
    assert_eq!(small.hold(connections(900), 1_000).level, Level::Normal);
}

/// Guards against an entry that accepts requests which it can only answer late.
#[test]
fn a_lagging_thread_diverts_and_then_refuses_after_a_second() {
    let mut entry = Fixture::new(SMALL);
    assert_eq!(entry.hold(lag(75), 3_000).level, Level::Normal, "half of the target time");
    assert_eq!(entry.hold(lag(76), 900).level, Level::Normal, "not for a second yet");
    assert_eq!(entry.evaluate(lag(76)), by(Level::Divert, Cause::Lag));
    assert_eq!(entry.hold(lag(151), 900).level, Level::Divert, "not for a second yet");
    assert_eq!(entry.evaluate(lag(151)), by(Level::Refuse, Cause::Lag));
    assert_eq!(entry.hold(lag(10), 900).level, Level::Refuse);
    assert_eq!(entry.evaluate(lag(10)), Decision::default());
}

/// Guards against taking a frozen VM, or a processor that is shared in slices of 100 ms, for
/// overload.
#[test]
fn a_single_stall_is_not_overload() {
    let mut entry = Fixture::new(SMALL);
    assert_eq!(entry.hold(lag(1), 1_000).level, Level::Normal);
    // The mean of the second after a stall.
    assert_eq!(entry.hold(lag(400), 900).level, Level::Normal);
    assert_eq!(entry.hold(lag(1), 1_000).level, Level::Normal);
    // The evaluation before the stall does not count as the beginning of a lag that lasts.
    entry.now += 6_000;
    assert_eq!(entry.evaluate(lag(50)).level, Level::Normal);
    assert_eq!(entry.hold(lag(1), 1_000).level, Level::Normal);
    // Stalls of 100 ms again and again are measured as 50 ms, whatever the target time is.
    entry.target_ms = Some(20);
    assert_eq!(entry.hold(lag(50), 10_000).level, Level::Normal);
}

/// Guards against a busy data centre in which all entries lag, all leave the rotation, and nobody
/// serves callers.
#[test]
fn entries_that_all_lag_leave_the_rotation_for_10_s_in_60_s() {
    let mut entry = Fixture::new(SMALL);
    let raised: Vec<bool> =
        (0..6_000).map(|_| entry.evaluate(lag(500)).level > Level::Normal).collect();
    assert_eq!(most_in_a_minute(&raised), 100, "10 s");
    let raised = raised.iter().filter(|one| **one).count();
    assert!(raised > 900, "it is raised again each minute: {raised}");
}

/// Returns in how many evaluations of a minute the level was raised, at most.
fn most_in_a_minute(raised: &[bool]) -> usize {
    let (mut count, mut most) = (0, 0);
    for (index, one) in raised.iter().enumerate() {
        count += usize::from(*one);
        if index >= 600 {
            count -= usize::from(raised[index - 600]);
        }
        most = most.max(count);
    }
    most
}

/// Guards against lag whose limit in time also ends what memory or connections require.
#[test]
fn memory_is_protected_while_lag_has_used_up_its_time() {
    let mut entry = Fixture::new(SMALL);
    entry.hold(lag(500), 15_000);
    assert_eq!(entry.evaluate(lag(500)).level, Level::Normal);
    let both = Usage { lag_ms: 500, ..held(23 * MB) };
    assert_eq!(entry.hold(both, 120_000), by(Level::Refuse, Cause::Memory));
}

/// Guards against any sequence of lags that keeps an entry out of the rotation for longer, and
/// against time that is not granted again.
#[test]
fn quickcheck_lag_alone_raises_the_level_for_at_most_10_s_in_60_s() {
    fn holds(phases: Vec<(u8, u8)>) -> bool {
        let mut entry = Fixture::new(SMALL);
        let mut raised = Vec::new();
        for (lag_ms, seconds) in phases {
            for _ in 0..u64::from(seconds % 30) * 10 {
                raised.push(entry.evaluate(lag(u64::from(lag_ms))).level > Level::Normal);
            }
        }
        most_in_a_minute(&raised) <= 100
    }
    QuickCheck::new().tests(200).quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against effects in deployments that do not name the limits or enable the protection, and
/// before a configuration is known.
#[test]
fn without_limits_and_configuration_nothing_is_refused() {
    assert!(!Policy::default().overload_protection);
    let mut entry = Fixture::new(Limits::default());
    entry.target_ms = None;
    let all = Usage { held_bytes: u64::MAX / 2, connections: u64::MAX / 2, lag_ms: 60_000 };
    assert_eq!(entry.hold(all, 10_000), Decision::default());
    let reply = UnreadReply { id: 1, bytes: 1 << 30, stalled_ms: 60_000 };
    assert!(entry.overload.replies_to_cut(1 << 30, &[reply]).is_empty());
}

/// Guards against cutting replies that a caller reads, replies that need not be cut, and replies
/// while requests are still accepted.
#[test]
fn the_largest_stalled_replies_are_cut_while_memory_requires_it() {
    let reply = |id, megabytes, stalled_ms| UnreadReply { id, bytes: megabytes * MB, stalled_ms };
    let replies = [
        reply(1, 2, 9_000),
        reply(2, 4, 5_000),
        reply(3, 9, 4_999),
        reply(4, 3, 6_000),
        reply(5, 1, 60_000),
    ];
    let mut entry = Fixture::new(SMALL);
    entry.hold(Usage { connections: 1_500, ..held(20 * MB) }, 0);
    assert!(entry.overload.replies_to_cut(23 * MB, &replies).is_empty(), "memory is not the cause");
    entry.evaluate(held(28 * MB));
    let cut = |held_bytes: u64| -> Vec<u64> {
        entry.overload.replies_to_cut(held_bytes, &replies).iter().map(|cut| cut.id).collect()
    };
    assert_eq!(cut(28 * MB), [2, 4], "28 - 4 - 3 MB are below 22.4 MB");
    assert_eq!(cut(23 * MB), [2]);
    assert_eq!(cut(22 * MB), [0; 0], "nothing has to be cut");
    assert_eq!(cut(90 * MB), [2, 4, 1, 5], "replies that are read are never cut");
}
