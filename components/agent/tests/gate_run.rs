//! Long randomised runs of the gate, over resends, revocations, drains, crashes and restarts.
//!
//! `AGENT_RUN_SEED` and `AGENT_RUN_TESTS` give another seed and length.

use std::collections::HashMap;
use std::collections::HashSet;

use bytes::Bytes;
use chicoryford_agent::gate::Action;
use chicoryford_agent::gate::Arrival;
use chicoryford_agent::gate::End;
use chicoryford_agent::gate::Gate;
use chicoryford_agent::gate::GateSettings;
use chicoryford_agent::gate::Id;
use chicoryford_agent::gate::Once;
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
const START: u64 = 1_000_000_000;

#[derive(Clone, Debug)]
enum Event {
    Arrive { id: Id, class: Class, budget: u64, suspect: bool, key: Option<u8>, earlier: bool },
    End { pick: u8, end: u8 },
    Ask { id: Id, cancel: bool, earlier: bool },
    Gone { id: Id },
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
            22..=24 => Self::Ask {
                id: id(rng),
                cancel: bool::arbitrary(rng),
                earlier: u8::arbitrary(rng) % 8 == 0,
            },
            25 => Self::Gone { id: id(rng) },
            26 => Self::Drain(u8::arbitrary(rng) % 3 == 0),
            27 => Self::Health(u8::arbitrary(rng) % 4 != 0),
            28 => Self::Crash,
            29..=30 => Self::Wait(u16::arbitrary(rng) % 1_500),
            _ => Self::Restart,
        }
    }
}

/// What an observer outside the gate has seen, over all incarnations.
#[derive(Default)]
struct Seen {
    starts: HashMap<(Incarnation, Id), u32>,
    keyed: HashMap<(Incarnation, u8), i32>,
    denied: HashSet<(Incarnation, Id)>,
    running: Vec<(Id, Option<u8>)>,
}

struct World {
    gate: Gate,
    protections: Protections,
    incarnation: Incarnation,
    arrived: HashMap<Id, (Option<u8>, Incarnation)>,
    draining: bool,
    now: Millis,
    seen: Seen,
}

fn gate(incarnation: Incarnation, protections: Protections) -> Gate {
    let settings = GateSettings {
        slots: 3,
        waiting: 3,
        incarnation,
        window_ms: 10_000_000,
        remembered: 14,
        stored: 600,
        answer: 100,
        turn: 2,
        protections,
        ..GateSettings::default()
    };
    Gate::new(settings)
}

impl World {
    fn new(protections: Protections) -> Self {
        let incarnation = Incarnation(1);
        Self {
            gate: gate(incarnation, protections),
            protections,
            incarnation,
            arrived: HashMap::new(),
            draining: false,
            now: Millis(0),
            seen: Seen::default(),
        }
    }

    fn step(&mut self, event: &Event) -> bool {
        let kept = match event {
            Event::Arrive { .. } => self.arrive(event),
            Event::End { pick, end } => self.end(*pick, *end),
            Event::Ask { id, cancel, earlier } => self.ask(*id, *cancel, *earlier),
            Event::Gone { id } => {
                self.gate.gone(*id, self.now);
                true
            }
            Event::Drain(draining) => {
                self.draining = *draining;
                self.gate.drain(*draining, self.now);
                true
            }
            Event::Health(healthy) => {
                self.gate.health(*healthy, self.now);
                true
            }
            Event::Crash => {
                self.gate.crashed();
                true
            }
            Event::Wait(ms) => {
                self.now = self.now + u64::from(*ms);
                self.gate.tick(self.now);
                true
            }
            Event::Restart => self.restart(),
        };
        kept && self.act() && self.seen.running.len() <= 3 && self.gate.figures().promises == 0
    }

    fn arrive(&mut self, event: &Event) -> bool {
        let Event::Arrive { id, class, budget, suspect, key, earlier } = event.clone() else {
            return false;
        };
        // The key of a request never changes, and neither does the incarnation that an attempt
        // was sent to.
        let past = Incarnation(self.incarnation.0.saturating_sub(u64::from(earlier)).max(1));
        let (key, meant) = *self.arrived.entry(id).or_insert((key, past));
        let once = key.map(|key| Once {
            workspace: Workspace::from("w"),
            key: Some(IdempotencyKey(format!("{START}.{key}"))),
            incarnation: meant,
        });
        let fingerprint = Fingerprint(key.map_or(id.request.1 + 100, u64::from));
        let arrival = Arrival { id, class, budget, fingerprint, suspect, once };
        let wall = Unix(START + self.now.0);
        match self.gate.arrive(arrival, self.now, wall) {
            Verdict::Start => self.started(id),
            Verdict::Refuse(failure) if failure.outcome == Outcome::NotRun && key.is_some() => {
                self.deny(id, meant)
            }
            _ => true,
        }
    }

    /// "Not run" of a call that may not be repeated lets it run elsewhere: it must be true of
    /// the past and stay true.
    fn deny(&mut self, id: Id, meant: Incarnation) -> bool {
        if meant == self.incarnation {
            self.seen.denied.insert((meant, id));
        }
        !self.seen.running.iter().any(|(running, _)| *running == id)
    }

    fn started(&mut self, id: Id) -> bool {
        let (key, meant) = self.arrived[&id];
        let starts = self.seen.starts.entry((self.incarnation, id)).or_default();
        *starts += 1;
        let mut kept = *starts == 1 && !self.draining;
        kept &= !self.seen.denied.contains(&(self.incarnation, id));
        if let Some(key) = key {
            let runs = self.seen.keyed.entry((self.incarnation, key)).or_default();
            *runs += 1;
            kept &= *runs == 1 && !self.seen.denied.contains(&(meant, id));
        }
        self.seen.running.push((id, key));
        kept
    }

    fn end(&mut self, pick: u8, end: u8) -> bool {
        if self.seen.running.is_empty() {
            return true;
        }
        let at = usize::from(pick) % self.seen.running.len();
        let (id, key) = self.seen.running.swap_remove(at);
        let size = usize::from(end) * 2;
        let end = match (end % 5, key) {
            (0, _) => End::NotRun,
            (1, _) => End::Stopped,
            (2, _) => End::Broken,
            (_, None) => End::Finished,
            (_, Some(_)) => {
                let body = Bytes::from(vec![0; size]);
                End::Answered(StoredAnswer { status: 200, media: String::new(), body })
            }
        };
        if let (End::NotRun, Some(key)) = (&end, key) {
            *self.seen.keyed.entry((self.incarnation, key)).or_default() -= 1;
        }
        self.gate.ended(id, end, self.now);
        true
    }

    fn ask(&mut self, id: Id, cancel: bool, earlier: bool) -> bool {
        let asked = Incarnation(self.incarnation.0 - u64::from(earlier && self.incarnation.0 > 1));
        let state = self.gate.question(id, asked, cancel, self.now);
        match state {
            AttemptState::Revoked | AttemptState::Refused => {
                self.seen.denied.insert((asked, id));
                let running = self.seen.running.iter().any(|(running, _)| *running == id);
                asked == self.incarnation && !running
            }
            _ => true,
        }
    }

    fn restart(&mut self) -> bool {
        self.incarnation = self.incarnation.next();
        self.gate = gate(self.incarnation, self.protections);
        self.draining = false;
        self.seen.running.clear();
        true
    }

    fn act(&mut self) -> bool {
        self.gate.take().into_iter().all(|action| match action {
            Action::Start(id) => self.started(id),
            Action::Drop(id, failure) => {
                let (_, meant) = self.arrived[&id];
                failure.outcome == Outcome::NotRun && self.deny(id, meant)
            }
            Action::Cancel(id) => {
                let running = self.seen.running.iter();
                running.filter(|(running, key)| *running == id && key.is_none()).count() == 1
            }
        })
    }
}

fn holds(events: &[Event], protections: Protections) -> bool {
    let mut world = World::new(protections);
    events.iter().all(|event| world.step(event))
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
fn promises_hold_over_random_events() {
    let run = |events: Vec<Event>| holds(&events, Protections::default());
    assert_eq!(check(run), Ok(number("AGENT_RUN_TESTS", TESTS)));
}

#[test]
fn the_run_notices_when_attempts_are_not_remembered() {
    let run = |events: Vec<Event>| {
        holds(&events, Protections { attempts: false, ..Protections::default() })
    };
    assert!(check(run).is_err());
}

#[test]
fn the_run_notices_when_keys_are_not_remembered() {
    let run =
        |events: Vec<Event>| holds(&events, Protections { keys: false, ..Protections::default() });
    assert!(check(run).is_err());
}

#[test]
fn the_run_notices_when_revoked_attempts_start() {
    let run = |events: Vec<Event>| {
        holds(&events, Protections { revoked: false, ..Protections::default() })
    };
    assert!(check(run).is_err());
}

#[test]
fn the_run_notices_when_calls_for_an_earlier_incarnation_start() {
    let run = |events: Vec<Event>| {
        holds(&events, Protections { incarnation: false, ..Protections::default() })
    };
    assert!(check(run).is_err());
}

#[test]
fn the_run_notices_when_work_starts_while_draining() {
    let run = |events: Vec<Event>| {
        holds(&events, Protections { draining: false, ..Protections::default() })
    };
    assert!(check(run).is_err());
}
