//! Windows for scorers' calls: bounds, order, and a model of a service under bursts of such calls.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::pacing::CallPlace;
use chicoryford_fleet::pacing::Pacer;
use chicoryford_fleet::pick::AttemptOutcome;
use chicoryford_fleet::pick::Picker;
use chicoryford_types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::index;

const SLOTS: u32 = 6;
const BASELINE_MS: f64 = 80.0;

fn endpoint(id: &str) -> Endpoint {
    let announcement = Announcement {
        id: id.to_owned(),
        started_ms: 0,
        service: "desk".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "z".to_owned(),
        slots: SLOTS,
        draining: false,
        models: Default::default(),
        sequence: 1,
    };
    Endpoint { announcement, status: EndpointStatus::Ready }
}

fn pacer(hosts: u32, endpoints: &[&str]) -> Pacer {
    let mut pacer = Pacer::default();
    pacer.set_hosts(hosts);
    endpoints.iter().for_each(|id| pacer.observe(&endpoint(id)));
    pacer
}

fn wanted(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(|id| (*id).to_owned()).collect()
}

/// Sends calls to an endpoint until its window is full. Returns how many were sent.
fn fill(pacer: &mut Pacer, id: &str) -> u32 {
    let mut sent = 0;
    let place = pacer.assign_place(0);
    while pacer.admits(place, id) {
        pacer.record_start(id);
        sent += 1;
    }
    sent
}

/// Ends calls at an endpoint, all with the same outcome.
fn end(pacer: &mut Pacer, id: &str, count: u32, outcome: AttemptOutcome) -> bool {
    (0..count).fold(false, |cut, _| pacer.record_end(id, outcome, Some(BASELINE_MS)) || cut)
}

/// Fills the window and answers in time until it no longer grows. Returns its size.
fn grow(pacer: &mut Pacer, id: &str) -> u32 {
    let mut size = 0;
    for _ in 0..2 * SLOTS {
        size = fill(pacer, id);
        end(pacer, id, size, AttemptOutcome::Answered(80));
    }
    size
}

/// Guards against a host that leaves slots unused although no other host needs them.
#[test]
fn a_host_alone_uses_all_slots() {
    assert_eq!(grow(&mut pacer(1, &["a"]), "a"), SLOTS);
}

/// Guards against hosts that fill the queue of an endpoint together, also right after a restart.
#[test]
fn hosts_together_never_use_more_than_the_slots() {
    for hosts in 1..=SLOTS {
        let mut pacer = pacer(hosts, &["a"]);
        let first = fill(&mut pacer, "a");
        assert_eq!(first, (SLOTS / (2 * hosts)).max(1), "the lower bound of {hosts} hosts");
        end(&mut pacer, "a", first, AttemptOutcome::Answered(80));
        let size = grow(&mut pacer, "a");
        assert!(size * hosts <= SLOTS && size >= 1, "{size} of {hosts} hosts");
    }
}

/// Guards against a window that stays full while its endpoint is full, broken or slow, so that
/// callers wait there.
#[test]
fn signs_of_overload_halve_a_window_down_to_its_lower_bound() {
    use AttemptOutcome::*;
    for outcome in [Refused, Failed, Answered(161), Dropped(161)] {
        let mut pacer = pacer(1, &["a"]);
        grow(&mut pacer, "a");
        fill(&mut pacer, "a");
        assert!(end(&mut pacer, "a", 1, outcome), "{outcome:?}");
        end(&mut pacer, "a", SLOTS - 1, outcome);
        assert_eq!(fill(&mut pacer, "a"), SLOTS / 2, "{outcome:?}");
    }
}

/// Guards against windows that shrink because second attempts were faster, or because the address
/// of an endpoint has changed.
#[test]
fn attempts_that_show_nothing_leave_a_window_as_it_is() {
    use AttemptOutcome::*;
    for outcome in [Moved, Dropped(20), Answered(159)] {
        let mut pacer = pacer(1, &["a"]);
        grow(&mut pacer, "a");
        fill(&mut pacer, "a");
        assert!(!end(&mut pacer, "a", SLOTS, outcome), "{outcome:?}");
        assert_eq!(fill(&mut pacer, "a"), SLOTS, "{outcome:?}");
    }
}

/// Guards against windows that are cut by answers of a few milliseconds where the fastest ones take
/// one or none.
#[test]
fn answers_of_a_few_milliseconds_are_never_slow() {
    for baseline_ms in [0.0, 1.0] {
        let mut pacer = pacer(1, &["a"]);
        grow(&mut pacer, "a");
        pacer.record_start("a");
        let answer = |ms: u64| AttemptOutcome::Answered(ms);
        assert!(!pacer.record_end("a", answer(3), Some(baseline_ms)), "{baseline_ms}");
        assert!(pacer.record_end("a", answer(11), Some(baseline_ms)), "{baseline_ms}");
    }
}

/// Guards against capacity that stays unused after the loss of a host, and against a window that
/// exceeds its share after a host has joined.
#[test]
fn the_next_run_after_the_loss_of_a_host_raises_the_bound() {
    let mut pacer = pacer(3, &["a"]);
    assert_eq!(grow(&mut pacer, "a"), 2);
    pacer.set_hosts(2);
    assert_eq!(grow(&mut pacer, "a"), 3);
    pacer.set_hosts(0);
    assert_eq!(grow(&mut pacer, "a"), 3, "the last known number, from a leader that sends none");
    pacer.set_hosts(3);
    assert_eq!(fill(&mut pacer, "a"), 2);
}

/// Guards against calls that are held back because the number of hosts is unknown.
#[test]
fn with_an_unknown_number_of_hosts_the_slots_are_the_bound() {
    assert_eq!(grow(&mut pacer(0, &["a"]), "a"), SLOTS);
}

/// Guards against a host that sends no calls to healthy endpoints while one of them does not
/// answer.
#[test]
fn an_endpoint_that_hangs_holds_only_its_own_window() {
    let mut pacer = pacer(3, &["hanging", "good"]);
    let held = fill(&mut pacer, "hanging");
    let stuck = pacer.assign_place(0);
    pacer.wait(stuck, wanted(&["hanging"]));
    for _ in 0..100 {
        let place = pacer.assign_place(0);
        assert!(!pacer.admits(place, "hanging") && pacer.admits(place, "good"));
        pacer.record_start("good");
        end(&mut pacer, "good", 1, AttemptOutcome::Answered(80));
    }
    assert_eq!(pacer.next_call(), None);
    end(&mut pacer, "hanging", held, AttemptOutcome::Failed);
    assert_eq!(pacer.next_call(), Some(stuck));
}

/// Guards against less important calls, or later ones, that are sent first.
#[test]
fn calls_are_sent_by_rank_and_then_by_arrival() {
    let mut pacer = pacer(6, &["a"]);
    assert_eq!(fill(&mut pacer, "a"), 1);
    let places: Vec<CallPlace> = [2, 1, 2, 0].map(|rank| pacer.assign_place(rank)).into();
    for place in places.iter().rev() {
        pacer.wait(*place, wanted(&["a"]));
    }
    let mut order = Vec::new();
    for _ in &places {
        assert_eq!(pacer.next_call(), None, "the window is full");
        end(&mut pacer, "a", 1, AttemptOutcome::Answered(80));
        let late = pacer.assign_place(2);
        assert!(!pacer.admits(late, "a"), "a new call must not pass the waiting ones");
        let next = pacer.next_call().expect("room");
        assert!(pacer.admits(next, "a"));
        pacer.leave(next);
        pacer.record_start("a");
        order.push(next);
    }
    assert_eq!(order, [places[3], places[1], places[0], places[2]]);
}

/// Guards against a load of a thousand waiting calls that keeps the processor busy: each of them
/// checks its endpoints when it is woken, and examined the whole queue to wake others although it
/// had given up no endpoint, or one whose window is full.
#[test]
fn a_waiting_call_wakes_others_only_if_it_gives_up_an_endpoint_with_room() {
    let mut pacer = pacer(6, &["a", "b"]);
    let place = pacer.assign_place(1);
    assert!(!pacer.wait(place, wanted(&["a"])), "it has just begun to wait");
    assert!(!pacer.wait(place, wanted(&["a"])));
    assert!(!pacer.wait(place, wanted(&["a", "b"])), "its grant was extended");
    assert!(pacer.wait(place, wanted(&["b"])), "another call may use a");
    fill(&mut pacer, "b");
    assert!(!pacer.wait(place, wanted(&["a"])), "no call may use b");
    pacer.forget("a");
    assert!(!pacer.wait(place, wanted(&["b"])), "no call may use an endpoint that was removed");
    pacer.leave(place);
    assert!(!pacer.wait(place, wanted(&["a"])));
}

/// Guards against a change of an endpoint that wakes calls which may not use it, or leaves out calls
/// that wait for others of their endpoints.
#[test]
fn a_change_of_an_endpoint_affects_the_calls_that_are_granted_it() {
    let mut pacer = pacer(6, &["a", "b", "c"]);
    let places = [2, 1, 0].map(|rank| pacer.assign_place(rank));
    pacer.watch(places[0], wanted(&["a", "b"]));
    pacer.watch(places[1], wanted(&["b"]));
    pacer.watch(places[2], wanted(&["c"]));
    assert_eq!(pacer.affected_calls(&wanted(&["b", "d"])), [places[1], places[0]]);
    pacer.watch(places[1], wanted(&["a"]));
    pacer.unwatch(places[0]);
    assert_eq!(pacer.affected_calls(&wanted(&["a"])), [places[1]]);
    assert_eq!(pacer.next_call(), None, "a call in progress does not wait for a window");
}

/// Guards against a second attempt that delays a call of its rank which has no attempt yet.
#[test]
fn second_attempts_wait_behind_the_first_ones_of_their_rank() {
    let mut pacer = pacer(6, &["a"]);
    let early = pacer.assign_place(1);
    assert_eq!(fill(&mut pacer, "a"), 1);
    let (late, other) = (pacer.assign_place(1), pacer.assign_place(2));
    for place in [early.for_second(), late, other] {
        pacer.wait(place, wanted(&["a"]));
    }
    end(&mut pacer, "a", 1, AttemptOutcome::Answered(80));
    for place in [late, early.for_second(), other] {
        assert_eq!(pacer.next_call(), Some(place));
        pacer.leave(place);
    }
}

/// Guards against the windows of an earlier incarnation, and against calls to it that are forgotten
/// while they are in flight.
#[test]
fn an_endpoint_that_restarts_begins_with_the_lower_bound() {
    let mut pacer = pacer(1, &["a"]);
    grow(&mut pacer, "a");
    fill(&mut pacer, "a");
    let mut restarted = endpoint("a");
    restarted.announcement.started_ms = 1;
    pacer.observe(&restarted);
    assert_eq!(fill(&mut pacer, "a"), 0, "calls from before count");
    pacer.forget("a");
    pacer.observe(&restarted);
    assert_eq!(fill(&mut pacer, "a"), 0, "calls from before count");
    end(&mut pacer, "a", SLOTS, AttemptOutcome::Moved);
    assert_eq!(fill(&mut pacer, "a"), SLOTS / 2);
}

/// Guards against a window that loses its size because a process sends what it knew of an earlier
/// start of the endpoint.
#[test]
fn a_late_announcement_of_an_earlier_start_changes_nothing() {
    let mut current = endpoint("a");
    current.announcement.started_ms = 2;
    let mut earlier = endpoint("a");
    earlier.announcement.started_ms = 1;
    earlier.announcement.slots = 1;
    let mut pacer = pacer(1, &[]);
    pacer.observe(&current);
    grow(&mut pacer, "a");
    pacer.observe(&earlier);
    assert_eq!(fill(&mut pacer, "a"), SLOTS, "the slots of the earlier start");
    end(&mut pacer, "a", SLOTS, AttemptOutcome::Answered(80));
    pacer.observe(&current);
    assert_eq!(fill(&mut pacer, "a"), SLOTS, "the window has lost its size");
}

/// Guards against an endpoint that gets no calls after it was removed and came back with a clock
/// that was set back.
#[test]
fn an_endpoint_that_was_removed_may_come_back_with_an_earlier_start() {
    let mut removed = endpoint("a");
    removed.announcement.started_ms = 2;
    let mut pacer = pacer(1, &[]);
    pacer.observe(&removed);
    grow(&mut pacer, "a");
    pacer.record_start("a");
    pacer.forget("a");
    let mut back = endpoint("a");
    back.announcement.started_ms = 1;
    pacer.observe(&back);
    assert_eq!(fill(&mut pacer, "a"), SLOTS / 2 - 1, "one call from before counts");
}

const HOSTS: usize = 3;
const ENTRIES: usize = 20;
const ENDPOINTS: usize = 11;
const SLOW_ENDPOINTS: usize = 4;
const SLOWDOWN: u64 = 4;
/// Requests that an endpoint queues behind its slots; it refuses others.
const QUEUE: usize = 24;
const CALLERS_PER_S: u64 = 144;
const CALLER_MS: u64 = 25;
const SCORER_MS: u64 = 80;
const CALLER_TARGET_MS: u64 = 150;
const SCORER_LIMIT_MS: u64 = 2_000;
/// The required share of callers that are answered in time: at least 95 of 100 in a spike beside
/// slow and unreachable endpoints.
const MIN_IN_TIME: f64 = 0.95;
/// Steps end together: their calls come in bursts, which are 90 a second on average.
const BURST: usize = 300;
const BURST_INTERVAL_MS: u64 = 3_333;
/// The time within which the calls of a burst arrive.
const BURST_MS: u64 = 250;
const DURATION_MS: u64 = 10_000;
/// Number of endpoints that a scorer's call may use.
const GRANTED: usize = 4;

struct Call {
    source: usize,
    arrived: u64,
    sent: u64,
    allowed: BTreeSet<String>,
    place: Option<CallPlace>,
}

/// The calls in the slots of a server with the times at which they end, and those behind them.
type Server = (Vec<(u64, Call)>, VecDeque<Call>);

/// Entries, and hosts with their windows if their calls are paced, in front of servers with limited
/// queues.
struct Model {
    sources: Vec<(Picker, Option<Pacer>)>,
    servers: Vec<Server>,
    pending: Vec<Call>,
    /// Times to the answers of callers, and of scorers' calls.
    times: [Vec<u64>; 2],
}

impl Model {
    fn new(paced: bool) -> Self {
        let ids: Vec<String> = (0..ENDPOINTS).map(|number| format!("{number:02}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let source = |number: usize| {
            let mut picker = Picker::new(number as u64);
            ids.iter().for_each(|id| picker.observe(&endpoint(id)));
            let is_paced = paced && number < HOSTS;
            (picker, is_paced.then(|| pacer(HOSTS as u32, &ids)))
        };
        let sources = (0..HOSTS + ENTRIES).map(source).collect();
        let servers = (0..ENDPOINTS).map(|_| Default::default()).collect();
        Self { sources, servers, pending: Vec::new(), times: Default::default() }
    }

    fn arrive(&mut self, source: usize, now: u64, rng: &mut SmallRng) {
        let count = if source < HOSTS { GRANTED } else { ENDPOINTS };
        let allowed = index::sample(rng, ENDPOINTS, count).into_iter();
        let allowed: BTreeSet<String> = allowed.map(|number| format!("{number:02}")).collect();
        let place = self.sources[source].1.as_mut().map(|pacer| {
            let place = pacer.assign_place(0);
            pacer.wait(place, allowed.clone());
            place
        });
        self.pending.push(Call { source, arrived: now, sent: now, allowed, place });
    }

    /// Ends the calls whose work is done, and starts those behind them.
    fn serve(&mut self, now: u64) {
        for (number, (running, queue)) in self.servers.iter_mut().enumerate() {
            for (_, call) in running.extract_if(.., |(until, _)| *until <= now) {
                self.times[usize::from(call.source < HOSTS)].push(now - call.arrived);
                let (picker, pacer) = &mut self.sources[call.source];
                let (id, outcome) =
                    (format!("{number:02}"), AttemptOutcome::Answered(now - call.sent));
                picker.record_outcome(&id, "r", outcome, Millis(now));
                pacer.iter_mut().for_each(|pacer| {
                    pacer.record_end(&id, outcome, picker.baseline_ms("r"));
                });
            }
            let slowdown = if number < SLOW_ENDPOINTS { SLOWDOWN } else { 1 };
            while running.len() < SLOTS as usize
                && let Some(call) = queue.pop_front()
            {
                let work = if call.source < HOSTS { SCORER_MS } else { CALLER_MS };
                running.push((now + work * slowdown, call));
            }
        }
    }

    /// Sends the pending calls that may be sent. A refused call is sent again a millisecond later.
    fn send(&mut self, now: u64) {
        for mut call in std::mem::take(&mut self.pending) {
            let (picker, pacer) = &mut self.sources[call.source];
            let mut paced = pacer.as_mut().zip(call.place);
            let fits = |id: &str| {
                let admitted = paced.as_ref().is_none_or(|(pacer, place)| pacer.admits(*place, id));
                call.allowed.contains(id) && admitted
            };
            let Ok(target) = picker.pick("desk", "r", fits, Millis(now)) else {
                self.pending.push(call);
                continue;
            };
            let queue = &mut self.servers[target.id.parse::<usize>().unwrap()].1;
            let refused = queue.len() == QUEUE;
            if refused {
                picker.record_outcome(&target.id, "r", AttemptOutcome::Refused, Millis(now));
            }
            if let Some((pacer, place)) = &mut paced {
                pacer.leave(*place);
                pacer.record_start(&target.id);
                if refused {
                    pacer.record_end(&target.id, AttemptOutcome::Refused, None);
                    pacer.wait(*place, call.allowed.clone());
                }
            }
            call.sent = now;
            if refused { self.pending.push(call) } else { queue.push_back(call) }
        }
    }
}

/// Returns the share of callers that are answered in time, and the longest time of a scorer's call.
fn callers_beside_bursts(paced: bool, seed: u64) -> (f64, u64) {
    let (mut model, mut rng) = (Model::new(paced), SmallRng::seed_from_u64(seed));
    let mut calls: Vec<u64> = Vec::new();
    for now in 0..DURATION_MS {
        if now % BURST_INTERVAL_MS == 0 {
            calls.extend((0..BURST).map(|_| now + rng.random_range(0..BURST_MS)));
        }
        for _ in calls.extract_if(.., |at| *at == now) {
            model.arrive(rng.random_range(0..HOSTS), now, &mut rng);
        }
        if rng.random_range(0..1_000) < CALLERS_PER_S {
            model.arrive(HOSTS + rng.random_range(0..ENTRIES), now, &mut rng);
        }
        model.serve(now);
        model.send(now);
    }
    let unanswered = model.pending.iter().chain(model.servers.iter().flat_map(|server| &server.1));
    for call in unanswered {
        model.times[usize::from(call.source < HOSTS)].push(DURATION_MS - call.arrived);
    }
    let [callers, scores] = &model.times;
    let in_time = callers.iter().filter(|ms| **ms <= CALLER_TARGET_MS).count();
    (in_time as f64 / callers.len() as f64, scores.iter().max().copied().unwrap_or_default())
}

/// Guards against callers that wait behind the scorers' calls of all hosts at endpoints of which
/// some are slow.
#[test]
fn callers_are_answered_in_time_beside_bursts_of_scorers_calls() {
    for seed in 1..=3 {
        let (in_time, longest) = callers_beside_bursts(true, seed);
        assert!(in_time >= MIN_IN_TIME, "{in_time} of the callers with seed {seed}");
        assert!(longest <= SCORER_LIMIT_MS, "{longest} ms with seed {seed}");
        let (unpaced, _) = callers_beside_bursts(false, seed);
        assert!(unpaced < MIN_IN_TIME, "the load does not need pacing: {unpaced} with seed {seed}");
    }
}
