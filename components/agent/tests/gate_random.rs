//! Randomised tests of the gate with resends, revocations, draining, crashes and restarts.
//!
//! `AGENT_RUN_SEED` and `AGENT_RUN_TESTS` override the seed and the number of random cases.

use std::collections::HashMap;
use std::collections::HashSet;

use bytes::Bytes;
use chicoryford_agent::gate::Action;
use chicoryford_agent::gate::Arrival;
use chicoryford_agent::gate::AtMostOnce;
use chicoryford_agent::gate::AttemptEnd;
use chicoryford_agent::gate::Gate;
use chicoryford_agent::gate::GateSettings;
use chicoryford_agent::gate::Id;
use chicoryford_agent::gate::Protections;
use chicoryford_agent::gate::Verdict;
use chicoryford_types::Attempt;
use chicoryford_types::Class;
use chicoryford_types::Fingerprint;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Outcome;
use chicoryford_types::RequestId;
use chicoryford_types::Unix;
use chicoryford_types::Workspace;
use chicoryford_types::request::AttemptState;
use chicoryford_types::request::StoredAnswer;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 20_261_202;
const SIZE: usize = 120;
const TESTS: u64 = 12_000;
const START_UNIX_MS: u64 = 1_000_000_000;

#[derive(Clone, Debug)]
enum Event {
    Arrive { id: Id, class: Class, budget: u64, suspect: bool, key: Option<u8>, earlier: bool },
    End { pick: u8, end: u8 },
    Query { id: Id, cancel: bool, earlier: bool },
    Disconnect { id: Id },
    Drain(bool),
    Health(bool),
    Crash,
    Wait(u16),
    Restart,
}

fn id(rng: &mut Gen) -> Id {
    let (request, attempt) = (u64::arbitrary(rng) % 8, u32::arbitrary(rng) % 3);
    Id { request: RequestId(0, request), attempt: Attempt(attempt) }
}

impl Arbitrary for Event {
    fn arbitrary(rng: &mut Gen) -> Self {
        match u8::arbitrary(rng) % 32 {
            0..=13 => Self::Arrive {
                id: id(rng),
                class: *rng.choose(&[Class::Batch, Class::Normal, Class::Urgent]).unwrap(),
                budget: u64::arbitrary(rng) % 2_000,
                suspect: u8::arbitrary(rng) % 4 == 0,
                key: (u8::arbitrary(rng) % 2 == 0).then(|| u8::arbitrary(rng) % 4),
                earlier: u8::arbitrary(rng) % 4 == 0,
            },
            14..=21 => Self::End { pick: u8::arbitrary(rng), end: u8::arbitrary(rng) },
            22..=24 => Self::Query {
                id: id(rng),
                cancel: bool::arbitrary(rng),
                earlier: u8::arbitrary(rng) % 8 == 0,
            },
            25 => Self::Disconnect { id: id(rng) },
            26 => Self::Drain(u8::arbitrary(rng) % 3 == 0),
            27 => Self::Health(u8::arbitrary(rng) % 4 != 0),
            28 => Self::Crash,
            29..=30 => Self::Wait(u16::arbitrary(rng) % 1_500),
            _ => Self::Restart,
        }
    }
}

/// What an observer outside the gate has recorded, over all incarnations.
#[derive(Default)]
struct Observed {
    starts: HashMap<(Incarnation, Id), u32>,
    keyed: HashMap<(Incarnation, u8), i32>,
    reported_not_run: HashSet<(Incarnation, Id)>,
    running: Vec<(Id, Option<u8>)>,
}

struct Simulation {
    gate: Gate,
    protections: Protections,
    incarnation: Incarnation,
    arrived: HashMap<Id, (Option<u8>, Incarnation)>,
    draining: bool,
    now: Millis,
    observed: Observed,
}

fn gate(incarnation: Incarnation, protections: Protections) -> Gate {
    let settings = GateSettings {
        slots: 3,
        queue_length: 3,
        incarnation,
        attempt_ttl_ms: 10_000_000,
        max_records: 14,
        max_stored_bytes: 600,
        max_answer_bytes: 100,
        max_batch_passes: 2,
        protections,
        ..GateSettings::default()
    };
    Gate::new(settings)
}

impl Simulation {
    fn new(protections: Protections) -> Self {
        let incarnation = Incarnation(1);
        Self {
            gate: gate(incarnation, protections),
            protections,
            incarnation,
            arrived: HashMap::new(),
            draining: false,
            now: Millis(0),
            observed: Observed::default(),
        }
    }

    fn step(&mut self, event: &Event) -> bool {
        let holds = match event {
            Event::Arrive { .. } => self.arrive(event),
            Event::End { pick, end } => self.end(*pick, *end),
            Event::Query { id, cancel, earlier } => self.query(*id, *cancel, *earlier),
            Event::Disconnect { id } => {
                self.gate.disconnected(*id, self.now);
                true
            }
            Event::Drain(draining) => {
                self.draining = *draining;
                self.gate.set_draining(*draining, self.now);
                true
            }
            Event::Health(healthy) => {
                self.gate.set_healthy(*healthy, self.now);
                true
            }
            Event::Crash => {
                self.gate.take_crash_suspects(1, self.now);
                true
            }
            Event::Wait(ms) => {
                self.now = self.now + u64::from(*ms);
                self.gate.tick(self.now);
                true
            }
            Event::Restart => self.restart(),
        };
        holds
            && self.apply_actions()
            && self.observed.running.len() <= 3
            && self.gate.stats().violations == 0
    }

    fn arrive(&mut self, event: &Event) -> bool {
        let Event::Arrive { id, class, budget, suspect, key, earlier } = event.clone() else {
            return false;
        };
        // The key of a request never changes, and neither does the incarnation to which an attempt
        // was sent.
        let sent_to = Incarnation(self.incarnation.0.saturating_sub(u64::from(earlier)).max(1));
        let (key, target) = *self.arrived.entry(id).or_insert((key, sent_to));
        let at_most_once = key.map(|key| AtMostOnce {
            workspace: Workspace::from("w"),
            key: Some(IdempotencyKey(format!("{START_UNIX_MS}.{key}"))),
            incarnation: target,
        });
        let fingerprint = Fingerprint(key.map_or(id.request.1 + 100, u64::from));
        let arrival = Arrival { id, class, budget_ms: budget, fingerprint, suspect, at_most_once };
        let wall = Unix(START_UNIX_MS + self.now.0);
        match self.gate.arrive(arrival, self.now, wall) {
            Verdict::Start => self.check_start(id),
            Verdict::Refuse(failure) if failure.outcome == Outcome::NotRun && key.is_some() => {
                self.check_not_run(id, target)
            }
            _ => true,
        }
    }

    /// Checks a report of "not run". The entry may then run a call that must run at most once at
    /// another endpoint, so the report must be true now and stay true.
    fn check_not_run(&mut self, id: Id, target: Incarnation) -> bool {
        if target == self.incarnation {
            self.observed.reported_not_run.insert((target, id));
        }
        !self.observed.running.iter().any(|(running, _)| *running == id)
    }

    fn check_start(&mut self, id: Id) -> bool {
        let (key, target) = self.arrived[&id];
        let starts = self.observed.starts.entry((self.incarnation, id)).or_default();
        *starts += 1;
        let mut holds = *starts == 1 && !self.draining;
        holds &= !self.observed.reported_not_run.contains(&(self.incarnation, id));
        if let Some(key) = key {
            let runs = self.observed.keyed.entry((self.incarnation, key)).or_default();
            *runs += 1;
            holds &= *runs == 1 && !self.observed.reported_not_run.contains(&(target, id));
        }
        self.observed.running.push((id, key));
        holds
    }

    fn end(&mut self, pick: u8, end: u8) -> bool {
        if self.observed.running.is_empty() {
            return true;
        }
        let at = usize::from(pick) % self.observed.running.len();
        let (id, key) = self.observed.running.swap_remove(at);
        let size = usize::from(end) * 2;
        let end = match (end % 5, key) {
            (0, _) => AttemptEnd::NotRun,
            (1, _) => AttemptEnd::Stopped,
            (2, _) => AttemptEnd::Broken,
            (_, None) => AttemptEnd::Finished,
            (_, Some(_)) => {
                let body = Bytes::from(vec![0; size]);
                AttemptEnd::Answered(StoredAnswer { status: 200, media: String::new(), body })
            }
        };
        if let (AttemptEnd::NotRun, Some(key)) = (&end, key) {
            *self.observed.keyed.entry((self.incarnation, key)).or_default() -= 1;
        }
        self.gate.record_end(id, end, self.now);
        true
    }

    fn query(&mut self, id: Id, cancel: bool, earlier: bool) -> bool {
        let queried =
            Incarnation(self.incarnation.0 - u64::from(earlier && self.incarnation.0 > 1));
        let state = self.gate.query(id, queried, cancel, self.now);
        match state {
            AttemptState::Revoked | AttemptState::Refused => {
                self.observed.reported_not_run.insert((queried, id));
                let running = self.observed.running.iter().any(|(running, _)| *running == id);
                queried == self.incarnation && !running
            }
            _ => true,
        }
    }

    fn restart(&mut self) -> bool {
        self.incarnation = self.incarnation.next();
        self.gate = gate(self.incarnation, self.protections);
        self.draining = false;
        self.observed.running.clear();
        true
    }

    fn apply_actions(&mut self) -> bool {
        self.gate.take_actions().into_iter().all(|action| match action {
            Action::Start(id) => self.check_start(id),
            Action::Drop(id, failure) => {
                let (_, target) = self.arrived[&id];
                failure.outcome == Outcome::NotRun && self.check_not_run(id, target)
            }
            Action::Cancel(id) => {
                let running = self.observed.running.iter();
                running.filter(|(running, key)| *running == id && key.is_none()).count() == 1
            }
        })
    }
}

fn run_holds(events: &[Event], protections: Protections) -> bool {
    let mut simulation = Simulation::new(protections);
    events.iter().all(|event| simulation.step(event))
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
fn invariants_hold_in_random_runs() {
    let run = |events: Vec<Event>| run_holds(&events, Protections::default());
    assert_eq!(run_quickcheck(run), Ok(env_number("AGENT_RUN_TESTS", TESTS)));
}

#[test]
fn random_runs_detect_unrecorded_attempts() {
    let run = |events: Vec<Event>| {
        run_holds(&events, Protections { attempts: false, ..Protections::default() })
    };
    assert!(run_quickcheck(run).is_err());
}

#[test]
fn random_runs_detect_unrecorded_keys() {
    let run = |events: Vec<Event>| {
        run_holds(&events, Protections { keys: false, ..Protections::default() })
    };
    assert!(run_quickcheck(run).is_err());
}

#[test]
fn random_runs_detect_starts_of_revoked_attempts() {
    let run = |events: Vec<Event>| {
        run_holds(&events, Protections { revoked: false, ..Protections::default() })
    };
    assert!(run_quickcheck(run).is_err());
}

#[test]
fn random_runs_detect_starts_of_calls_for_an_earlier_incarnation() {
    let run = |events: Vec<Event>| {
        run_holds(&events, Protections { incarnation: false, ..Protections::default() })
    };
    assert!(run_quickcheck(run).is_err());
}

#[test]
fn random_runs_detect_starts_while_draining() {
    let run = |events: Vec<Event>| {
        run_holds(&events, Protections { draining: false, ..Protections::default() })
    };
    assert!(run_quickcheck(run).is_err());
}
