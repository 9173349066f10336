//! Tests of the limit of second attempts and of the connection fallback, without a network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_fleet::hedge::AttemptShare;
use chicoryford_fleet::hedge::CONNECT_FALLBACK_MS;
use chicoryford_fleet::hedge::HedgeDecision;
use chicoryford_fleet::hedge::Hedging;
use chicoryford_fleet::hedge::RouteTimes;
use chicoryford_fleet::hedge::SecondAttempts;
use chicoryford_fleet::hedge::SendGate;
use chicoryford_fleet::hedge::SendOrder;
use chicoryford_fleet::pick::AttemptOutcome;
use chicoryford_fleet::pick::Picker;
use chicoryford_types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of processes that send requests to one service.
const PROCESSES: usize = 20;
/// Length of a simulation, and when all endpoints become slow and recover, in milliseconds.
const END_MS: u64 = 40_000;
const SLOW_FROM_MS: u64 = 20_000;
const SLOW_UNTIL_MS: u64 = 30_000;
/// Milliseconds after which each process has had enough slow answers to know that all are slow.
const LEARNING_MS: u64 = 3_000;
/// Requests per second of one process.
const RATE: f64 = 20.0;
/// Second attempts that are due start after this multiple of the median, and this many
/// milliseconds.
const HEDGE_FACTOR: f64 = 3.0;
const MIN_HEDGE_MS: u64 = 60;

fn share(share: f64) -> AttemptShare {
    AttemptShare::try_from(share).unwrap()
}

fn limits(value: f64) -> SecondAttempts {
    SecondAttempts { share: Some(share(value)), ..SecondAttempts::default() }
}

/// A process with as much credit as its first attempts earn.
fn process(value: f64, first_attempts: u32) -> Hedging {
    let mut process = Hedging::new(limits(value));
    (0..first_attempts).for_each(|_| process.record_first("desk"));
    process
}

/// Returns how many second attempts a process sends if they are due all the time.
fn sent(process: &mut Hedging, service: &str) -> u32 {
    let decide = |_| process.decide(service, RouteTimes::default());
    (0..1_000).map(decide).filter(|decision| *decision == HedgeDecision::Send).count() as u32
}

/// What happens in a simulation.
#[derive(Clone, Copy)]
enum Event {
    Arrive,
    /// A request that takes so many milliseconds has not been answered for as many.
    Due {
        ms: u64,
        waited_ms: u64,
    },
    /// An attempt is answered after this many milliseconds.
    Answer(u64),
}

/// What a simulation counted.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    first: u64,
    due: u64,
    second: u64,
    /// Second attempts that were sent when their process could know that all endpoints are slow.
    second_while_slow: u64,
    due_while_slow: u64,
    /// Largest number of second attempts per first attempt, over all processes at any moment.
    worst_ratio: f64,
}

fn duration(rng: &mut SmallRng, is_slow: bool) -> u64 {
    let usual = if rng.random_bool(0.1) { 200 } else { 25 };
    if is_slow { 4 * usual } else { usual }
}

/// Simulates processes whose requests are answered after 25 ms, one in ten after 200 ms, and all
/// four times as late while all endpoints are slow. One in ten second attempts finds no connection.
fn simulate(limits: &SecondAttempts) -> Counts {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut counts = Counts::default();
    let mut processes: Vec<(Hedging, Picker)> = (0..PROCESSES)
        .map(|seed| (Hedging::new(limits.clone()), Picker::new(seed as u64)))
        .collect();
    let mut events: BTreeMap<(u64, u64), (usize, Event)> = BTreeMap::new();
    let mut number = 0;
    for process in 0..PROCESSES {
        events.insert((0, number), (process, Event::Arrive));
        number += 1;
    }
    while let Some(((now, _), (index, event))) = events.pop_first() {
        if now > END_MS {
            break;
        }
        let (hedging, picker) = &mut processes[index];
        let is_slow = (SLOW_FROM_MS..SLOW_UNTIL_MS).contains(&now);
        let mut next = Vec::new();
        match event {
            Event::Arrive => {
                hedging.record_first("desk");
                counts.first += 1;
                let ms = duration(&mut rng, is_slow);
                let median = picker.median_ms("desk").unwrap_or_default();
                let hedge_ms = ((median * HEDGE_FACTOR) as u64).max(MIN_HEDGE_MS);
                if ms > hedge_ms {
                    next.push((hedge_ms, Event::Due { ms, waited_ms: hedge_ms }));
                } else {
                    next.push((ms, Event::Answer(ms)));
                }
                let pause = rng.random_range(0.0..2.0 * 1_000.0 / RATE) as u64;
                next.push((pause, Event::Arrive));
            }
            Event::Due { ms, waited_ms } => {
                counts.due += 1;
                let knows_slow = (SLOW_FROM_MS + LEARNING_MS..SLOW_UNTIL_MS).contains(&now);
                counts.due_while_slow += u64::from(knows_slow);
                let times = RouteTimes {
                    median_ms: picker.median_ms("desk"),
                    baseline_ms: picker.baseline_ms("desk"),
                };
                // Only the duration of the attempt that is answered first is known.
                let mut answer = (ms - waited_ms, ms);
                if hedging.decide("desk", times) == HedgeDecision::Send {
                    if rng.random_bool(0.1) {
                        hedging.refund("desk");
                    } else {
                        counts.second += 1;
                        counts.second_while_slow += u64::from(knows_slow);
                        let second_ms = duration(&mut rng, is_slow);
                        answer = answer.min((second_ms, second_ms));
                    }
                }
                next.push((answer.0, Event::Answer(answer.1)));
            }
            Event::Answer(ms) => {
                hedging.record_end("desk", false);
                let answered = AttemptOutcome::Answered(ms);
                picker.record_outcome("e", "desk", answered, Millis(now));
            }
        }
        counts.worst_ratio = counts.worst_ratio.max(counts.second as f64 / counts.first as f64);
        for (after, event) in next {
            events.insert((now + after, number), (index, event));
            number += 1;
        }
    }
    counts
}

/// Answers are late now and then, and all endpoints become slow at once. Guards against second
/// attempts beyond the share at any moment, of all processes together, and against any while the
/// service as a whole is slow, which would make it slower.
#[test]
fn all_processes_together_stay_within_the_share_when_all_endpoints_become_slow() {
    for value in [0.0, 0.02, 0.05, 0.10] {
        let counts = simulate(&limits(value));
        assert!(counts.worst_ratio <= value, "{value}: {counts:?}");
        assert_eq!(counts.second_while_slow, 0, "{value}: {counts:?}");
        assert_eq!(counts.second > 0, value > 0.0, "{value}: {counts:?}");
        assert!(counts.due > counts.second && counts.due_while_slow > 100, "{value}: {counts:?}");
    }
}

/// The same load without a limit. Guards against a test above that holds without the protection.
#[test]
fn without_a_limit_second_attempts_exceed_the_share() {
    let counts = simulate(&SecondAttempts::default());
    assert!(counts.worst_ratio > 0.10 && counts.second_while_slow > 0, "{counts:?}");
    assert!(counts.second >= counts.due * 8 / 10, "as many as are due: {counts:?}");
}

/// Guards against second attempts at a service of which the endpoints refuse work because they are
/// full, while the answers of the requests that they accept are as fast as ever.
#[test]
fn no_second_attempt_while_a_quarter_of_the_attempts_are_refused() {
    let mut process = process(0.5, 10);
    let decide = |process: &mut Hedging| process.decide("desk", RouteTimes::default());
    (0..5).for_each(|_| process.record_end("desk", true));
    assert_eq!(decide(&mut process), HedgeDecision::Send);
    process.record_end("desk", true);
    assert_eq!(decide(&mut process), HedgeDecision::Slow);
    (0..15).for_each(|_| process.record_end("desk", false));
    assert_eq!(decide(&mut process), HedgeDecision::Send, "only the last 20 attempts count");
}

/// Guards against second attempts while the answers take more than twice as long as without load,
/// and against none where answers of a millisecond take three.
#[test]
fn a_median_of_twice_the_baseline_withholds_second_attempts() {
    let decide = |median_ms: f64, baseline_ms: f64| {
        let (median_ms, baseline_ms) = (Some(median_ms), Some(baseline_ms));
        process(0.5, 10).decide("desk", RouteTimes { median_ms, baseline_ms })
    };
    assert_eq!(decide(50.0, 25.0), HedgeDecision::Send);
    assert_eq!(decide(51.0, 25.0), HedgeDecision::Slow);
    assert_eq!(decide(3.0, 1.0), HedgeDecision::Send);
    assert_eq!(decide(3.0, 0.0), HedgeDecision::Send);
}

/// Guards against a second attempt before the first ones have earned it: a fleet whose processes
/// are all restarted would send one per process at once.
#[test]
fn a_process_begins_without_credit() {
    assert_eq!(sent(&mut process(0.05, 19), "desk"), 0);
    assert_eq!(sent(&mut process(0.05, 20), "desk"), 1);
}

/// Guards against a burst of second attempts after hours in which none was due.
#[test]
fn the_credit_is_bounded() {
    assert_eq!(sent(&mut process(0.05, 100_000), "desk"), 5);
    let mut full = process(1.0, 5);
    full.refund("desk");
    assert_eq!(sent(&mut full, "desk"), 5, "a refund does not exceed the bound either");
}

/// Guards against a second attempt that takes credit while it waits, and against one that waits
/// although it would not be sent.
#[test]
fn a_preview_is_what_would_be_decided_and_takes_no_credit() {
    let times = RouteTimes::default();
    let mut one = process(0.05, 20);
    (0..3).for_each(|_| assert_eq!(one.preview("desk", times), HedgeDecision::Send));
    assert_eq!(sent(&mut one, "desk"), 1);
    assert_eq!(one.preview("desk", times), HedgeDecision::Limit);
    assert_eq!(process(0.0, 20).preview("desk", times), HedgeDecision::Off);
    let slow = RouteTimes { median_ms: Some(51.0), baseline_ms: Some(25.0) };
    assert_eq!(process(0.5, 20).preview("desk", slow), HedgeDecision::Slow);
    assert_eq!(Hedging::default().preview("desk", slow), HedgeDecision::Send);
}

/// Guards against credit that is lost in attempts that find no connection, exactly while endpoints
/// are unreachable.
#[test]
fn an_unsent_attempt_is_refunded() {
    let mut process = process(0.05, 20);
    for _ in 0..100 {
        assert_eq!(process.decide("desk", RouteTimes::default()), HedgeDecision::Send);
        process.refund("desk");
    }
    assert_eq!(sent(&mut process, "desk"), 1);
}

/// Guards against a busy service that earns second attempts at another one, which would exceed the
/// share there, and against a share of one service that is applied to others.
#[test]
fn services_are_counted_apart() {
    let services =
        BTreeMap::from([("label".to_owned(), share(0.02)), ("off".to_owned(), share(0.0))]);
    let mut process = Hedging::new(SecondAttempts { share: Some(share(0.1)), services });
    for service in ["desk", "label", "off"] {
        (0..50).for_each(|_| process.record_first(service));
    }
    (0..10).for_each(|_| process.record_end("desk", true));
    assert_eq!(process.decide("desk", RouteTimes::default()), HedgeDecision::Slow);
    assert_eq!(sent(&mut process, "label"), 1);
    assert_eq!(sent(&mut process, "other"), 0);
    assert_eq!(process.decide("other", RouteTimes::default()), HedgeDecision::Limit);
    assert_eq!(process.decide("off", RouteTimes::default()), HedgeDecision::Off);
    (0..20).for_each(|_| process.record_end("desk", false));
    assert_eq!(sent(&mut process, "desk"), 5);
}

/// Guards against a listed service that brings a limit to the others.
#[test]
fn services_without_a_share_have_no_limit() {
    let services = BTreeMap::from([("label".to_owned(), share(0.02))]);
    let mut process = Hedging::new(SecondAttempts { share: None, services });
    assert_eq!((sent(&mut process, "desk"), sent(&mut process, "label")), (1_000, 0));
}

/// Guards against memory that grows with each configuration.
#[test]
fn a_removed_service_loses_its_credit() {
    let mut process = process(0.05, 100);
    process.retain_services(|_| false);
    assert_eq!(sent(&mut process, "desk"), 0);
}

#[test]
fn numbers_that_are_no_share_are_refused() {
    for value in [-0.01, 1.01, f64::NAN, f64::INFINITY] {
        assert!(AttemptShare::try_from(value).is_err(), "{value}");
    }
}

/// A gate with attempts that have begun to connect at these times.
fn gate(started: &[u64]) -> SendGate {
    let mut gate = SendGate::new(true);
    started.iter().for_each(|ms| {
        gate.start(Millis(*ms));
    });
    gate
}

/// An endpoint accepts a connection late, when another one has been sent the request. Guards
/// against two endpoints that run the request without credit for that.
#[test]
fn an_attempt_that_connects_late_is_sent_only_after_the_other_one_failed() {
    let mut gate = gate(&[0, 30]);
    assert!(gate.connect(1));
    assert_eq!(gate.send(1), SendOrder::First);
    assert!(!gate.connect(0) && !gate.may_send());
    gate.end(1);
    assert!(gate.may_send());
    assert_eq!(gate.send(0), SendOrder::Again, "it is not extra work");
    assert_eq!((gate.seconds().len(), gate.in_flight()), (0, 1));
}

/// Guards against a third attempt that is sent with the permit of the second one.
#[test]
fn a_permit_lets_one_attempt_through() {
    let mut gate = gate(&[0, 30, 60]);
    gate.connect(0);
    gate.send(0);
    assert!(!gate.connect(1));
    gate.permit();
    assert!(gate.may_send());
    assert_eq!(gate.send(1), SendOrder::Second);
    assert!(!gate.connect(2) && !gate.withdraw());
    gate.end(1);
    assert!(!gate.may_send(), "the first attempt is still in flight");
    assert_eq!(gate.seconds(), [1]);
}

/// Guards against a refund for an attempt that is sent later nevertheless.
#[test]
fn a_withdrawn_permit_is_not_used() {
    let mut gate = gate(&[0, 30]);
    gate.connect(0);
    gate.send(0);
    gate.permit();
    assert!(gate.withdraw());
    assert!(!gate.connect(1) && !gate.withdraw());
}

/// Guards against a request that waits for the connection to an unreachable endpoint, and against
/// further connections once one can be used.
#[test]
fn an_attempt_that_cannot_connect_is_followed_by_another_one() {
    let mut gate = gate(&[100]);
    assert_eq!(gate.fallback_wait(Millis(110)), Some(CONNECT_FALLBACK_MS - 10));
    assert_eq!(gate.fallback_wait(Millis(130)), Some(0));
    gate.start(Millis(130));
    assert_eq!(gate.fallback_wait(Millis(140)), Some(CONNECT_FALLBACK_MS - 10));
    gate.connect(1);
    gate.send(1);
    assert_eq!(gate.fallback_wait(Millis(500)), None);
    gate.end(1);
    assert_eq!(gate.fallback_wait(Millis(500)), Some(0), "only the unreachable one is left");
    let mut off = SendGate::new(false);
    off.start(Millis(100));
    assert_eq!(off.fallback_wait(Millis(500)), None);
}

/// The round trips to all endpoints take longer than usual. Guards against a request that gives up
/// each of them before it can connect.
#[test]
fn the_last_attempt_has_the_full_time_to_connect() {
    let mut gate = gate(&[0]);
    let mut fallbacks = 0;
    while let Some(wait) = gate.fallback_wait(Millis(1_000 * fallbacks)) {
        gate.count_fallback();
        gate.start(Millis(1_000 * fallbacks + wait));
        fallbacks += 1;
        assert!(fallbacks < 10);
    }
    assert_eq!((fallbacks, gate.live()), (3, 4));
}

/// Nothing of an attempt was written. Guards against credit of a first attempt that is earned by
/// such an attempt in place of the next one, and against a second attempt that counts as sent and
/// costs credit.
#[test]
fn an_attempt_that_ends_before_it_is_written_was_not_sent() {
    let mut gate = gate(&[0]);
    assert_eq!(gate.reserve(0), SendOrder::First);
    gate.end(0);
    gate.start(Millis(10));
    assert_eq!(gate.send(1), SendOrder::First);
    gate.start(Millis(80));
    gate.permit();
    assert_eq!(gate.reserve(2), SendOrder::Second);
    gate.end(2);
    assert!(gate.seconds().is_empty() && gate.withdraw());
}

/// Guards against two attempts that are sent without a permit because the first one waits to be
/// written, and against a second attempt that is due before the first one was.
#[test]
fn an_attempt_that_waits_to_be_written_is_in_flight() {
    let mut gate = gate(&[0, 30]);
    gate.reserve(0);
    assert!(!gate.may_send() && !gate.connect(1) && !gate.awaits_reply());
    assert_eq!((gate.send(0), gate.in_flight()), (SendOrder::First, 1));
    assert!(gate.awaits_reply());
}

/// All other endpoints are full when a fallback is due. Guards against fallbacks that are used up
/// within a few milliseconds before one of them has a free slot, against polling, and against pauses
/// so long that a free endpoint is not found before the connection times out.
#[test]
fn a_fallback_without_an_endpoint_is_tried_again_and_not_counted() {
    let mut gate = gate(&[0]);
    let mut now = Millis(30);
    for pause in [10, 20, 40, 80].into_iter().chain([80; 100]) {
        assert_eq!(gate.fallback_wait(now), Some(0));
        gate.defer_fallback(now);
        assert_eq!(gate.fallback_wait(now), Some(pause));
        now = now + pause;
    }
    for made in 1..=3 {
        assert_eq!(gate.fallback_wait(now), Some(0), "fallback {made}");
        gate.count_fallback();
    }
    assert_eq!(gate.fallback_wait(now), None);
}

/// Guards against an attempt whose fallback is late because no endpoint was free for the fallback
/// of an earlier attempt.
#[test]
fn the_delay_of_a_fallback_does_not_outlive_its_attempt() {
    let mut gate = gate(&[0]);
    for now in [30, 40, 60, 100] {
        gate.defer_fallback(Millis(now));
    }
    gate.end(0);
    gate.start(Millis(105));
    assert_eq!(gate.fallback_wait(Millis(105)), Some(30));
    gate.defer_fallback(Millis(135));
    assert_eq!(gate.fallback_wait(Millis(135)), Some(10));
}

/// Guards against an unreachable endpoint that is tried again by each request, and against one that
/// is avoided because its connection was not needed.
#[test]
fn an_abandoned_attempt_counts_against_its_endpoint_only_if_it_could_not_connect() {
    let mut gate = gate(&[0, 30]);
    assert_eq!(gate.drop_outcome(0, 10, false), AttemptOutcome::Dropped(10));
    assert_eq!(gate.drop_outcome(0, 30, true), AttemptOutcome::Failed);
    gate.connect(1);
    gate.send(1);
    assert_eq!(gate.drop_outcome(1, 200, true), AttemptOutcome::Dropped(200));
    gate.connect(0);
    assert_eq!(gate.drop_outcome(0, 200, true), AttemptOutcome::Dropped(0));
    let mut off = SendGate::new(false);
    off.start(Millis(0));
    assert_eq!(off.drop_outcome(0, 200, true), AttemptOutcome::Dropped(200));
}

/// Guards against attempts that are counted as abandoned although they have ended.
#[test]
fn only_attempts_that_have_not_ended_are_abandoned() {
    let mut gate = gate(&[0, 30, 60]);
    gate.end(1);
    let live: BTreeSet<usize> = gate.live_attempts().collect();
    assert_eq!((live, gate.live(), gate.held()), (BTreeSet::from([0, 2]), 2, 0));
}
