//! Long randomised runs of admission. Its promises are asserted inside it; these runs drive it
//! and check them once more from outside.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_admission::Action;
use chicoryford_admission::Admission;
use chicoryford_admission::AdmissionRequest;
use chicoryford_admission::Capacity;
use chicoryford_admission::Completion;
use chicoryford_admission::Decision;
use chicoryford_admission::Lease;
use chicoryford_admission::Protections;
use chicoryford_admission::Retry;
use chicoryford_admission::Settings;
use chicoryford_types::Class;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Outcome;
use chicoryford_types::RequestId;
use chicoryford_types::Workspace;
use chicoryford_types::template::Limits;
use chicoryford_types::template::Retries;
use quickcheck::QuickCheck;

const SLOTS: u32 = 20;
const WAITING: usize = 20;
const STEPS: u64 = 4_000;
const CLASSES: [Class; 3] = [Class::Batch, Class::Normal, Class::Urgent];

/// A small generator, so that a run depends on its seed alone.
struct Draw(u64);

impl Draw {
    fn below(&mut self, n: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

#[derive(Default)]
struct Seen {
    broken: u64,
    refused: BTreeSet<RequestId>,
    ran: BTreeMap<RequestId, Class>,
    retries: u64,
    finished: u64,
    most_waiting: usize,
    ran_after_refusal: u64,
}

impl Seen {
    fn run(&mut self, id: RequestId, class: Class) {
        self.ran_after_refusal += u64::from(self.refused.contains(&id));
        self.ran.insert(id, class);
    }
}

/// Offers `load` percent of what the slots can do.
fn run(seed: u64, load: u64, protections: Protections) -> Seen {
    let settings = Settings { waiting: WAITING, protections, ..Settings::default() };
    let mut admission = Admission::new(settings, seed);
    let mut draw = Draw(seed);
    let mut seen = Seen::default();
    let mut running: Vec<RequestId> = Vec::new();
    let mut classes: BTreeMap<RequestId, Class> = BTreeMap::new();
    let model = Model::from("desk-app");
    let spaces: Vec<Workspace> = (0..3).map(|n| Workspace(format!("workspace-{n}"))).collect();
    for space in &spaces {
        let lease = Lease { rate: 200.0, running: 18 };
        admission.observe_workspace(space, Limits::default(), Retries::default(), 1, lease);
    }
    for step in 0..STEPS {
        let now = Millis(step * 10);
        // Each attempt takes a second on the mean: a slot does one step's worth in a hundred.
        if draw.below(100) < u64::from(SLOTS) * load / 100 {
            let id = RequestId(seed, step);
            let class = CLASSES[draw.below(3) as usize];
            classes.insert(id, class);
            let ask = AdmissionRequest {
                id,
                workspace: &spaces[draw.below(3) as usize],
                model: &model,
                class,
                deadline: now + 500 + draw.below(4_000),
                expected_ms: 1_000,
                capacity: Capacity { slots: SLOTS, load: running.len() as u32 },
            };
            match admission.admit(now, &ask) {
                Decision::Admit => {
                    seen.run(id, class);
                    running.push(id);
                }
                Decision::Wait => {}
                Decision::Refuse(_) => {
                    seen.refused.insert(id);
                }
            }
        }
        for _ in 0..running.len() {
            if draw.below(100) == 0 {
                let n = draw.below(running.len() as u64) as usize;
                let id = running.swap_remove(n);
                let ok = draw.below(4) > 0;
                let retry = Retry {
                    workspace: &spaces[0],
                    attempts: 1,
                    outcome: Outcome::Unknown,
                    idempotent: true,
                    deadline: now + 60_000,
                    expected_ms: 100,
                };
                if !ok && admission.may_retry(now, &retry).is_some() {
                    seen.retries += 1;
                }
                seen.finished += u64::from(ok);
                admission.finished(now, id, Completion { ok, ms: 200 + draw.below(1_600) });
            }
        }
        let load = running.len() as u32;
        for action in admission.poll(now, |_| Capacity { slots: SLOTS, load }) {
            match action {
                Action::Run(id) => {
                    seen.run(id, classes[&id]);
                    running.push(id);
                }
                Action::Refuse(id, _) => {
                    seen.refused.insert(id);
                }
            }
        }
        seen.most_waiting = seen.most_waiting.max(admission.waiting());
    }
    seen.broken = admission.counts().broken;
    seen
}

fn holds(seen: &Seen) -> bool {
    // What is earned by successes, and what was saved up at the start for three workspaces.
    let budget = seen.finished as f64 * 0.2 + 30.0;
    seen.broken == 0
        && seen.ran_after_refusal == 0
        && seen.most_waiting <= WAITING
        && seen.retries as f64 <= budget
}

#[test]
fn can_keep_every_promise_at_any_load() {
    fn keeps(seed: u64) -> bool {
        [50, 80, 100, 150, 300].iter().all(|load| holds(&run(seed, *load, Protections::default())))
    }
    QuickCheck::new().tests(25).quickcheck(keeps as fn(u64) -> bool);
}

#[test]
fn can_serve_samples_however_many_callers_come() {
    for seed in 0..10 {
        let seen = run(seed, 300, Protections::default());
        let batch = seen.ran.values().filter(|class| **class == Class::Batch).count();
        assert!(batch * 50 > seen.ran.len(), "seed {seed}: {batch} of {}", seen.ran.len());
    }
}

#[test]
fn can_notice_each_protection_that_is_off() {
    let on = Protections::default();
    let mutants = [
        ("reserve", Protections { reserve: false, ..on }),
        ("bound", Protections { bound: false, ..on }),
        ("limits", Protections { limits: false, ..on }),
        ("budget", Protections { budget: false, ..on }),
        ("forget", Protections { forget: false, ..on }),
    ];
    for (name, mutant) in mutants {
        let noticed = (0..20).any(|seed| run(seed, 300, mutant).broken > 0);
        assert!(noticed, "nothing noticed that {name} was off");
    }
}
