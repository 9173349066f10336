//! Long randomised runs of admission. Admission checks its invariants itself; these runs drive it
//! and check the main ones again from outside.

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

/// A small random number generator, so that a run depends only on its seed.
struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

#[derive(Default)]
struct Observed {
    broken: u64,
    refused: BTreeSet<RequestId>,
    ran: BTreeMap<RequestId, Class>,
    retries: u64,
    finished: u64,
    max_waiting: usize,
    ran_after_refusal: u64,
}

impl Observed {
    fn run(&mut self, id: RequestId, class: Class) {
        self.ran_after_refusal += u64::from(self.refused.contains(&id));
        self.ran.insert(id, class);
    }
}

/// Runs admission at `load` percent of the capacity of the slots.
fn run(seed: u64, load: u64, protections: Protections) -> Observed {
    let settings = Settings { waiting: WAITING, protections, ..Settings::default() };
    let mut admission = Admission::new(settings, seed);
    let mut random = Random(seed);
    let mut observed = Observed::default();
    let mut running: Vec<RequestId> = Vec::new();
    let mut classes: BTreeMap<RequestId, Class> = BTreeMap::new();
    let model = Model::from("desk-app");
    let workspaces: Vec<Workspace> = (0..3).map(|n| Workspace(format!("workspace-{n}"))).collect();
    for workspace in &workspaces {
        let lease = Lease { rate: 200.0, running: 18 };
        admission.observe_workspace(workspace, Limits::default(), Retries::default(), 1, lease);
    }
    for step in 0..STEPS {
        let now = Millis(step * 10);
        // An attempt takes one second on average, that is 100 steps of 10 ms: in one step a slot
        // completes a hundredth of an attempt.
        if random.below(100) < u64::from(SLOTS) * load / 100 {
            let id = RequestId(seed, step);
            let class = CLASSES[random.below(3) as usize];
            classes.insert(id, class);
            let request = AdmissionRequest {
                id,
                workspace: &workspaces[random.below(3) as usize],
                model: &model,
                class,
                deadline: now + 500 + random.below(4_000),
                expected_ms: 1_000,
                capacity: Capacity { slots: SLOTS, load: running.len() as u32 },
            };
            match admission.admit(now, &request) {
                Decision::Admit => {
                    observed.run(id, class);
                    running.push(id);
                }
                Decision::Wait => {}
                Decision::Refuse(_) => {
                    observed.refused.insert(id);
                }
            }
        }
        for _ in 0..running.len() {
            if random.below(100) == 0 {
                let n = random.below(running.len() as u64) as usize;
                let id = running.swap_remove(n);
                let ok = random.below(4) > 0;
                let retry = Retry {
                    workspace: &workspaces[0],
                    attempts: 1,
                    outcome: Outcome::Unknown,
                    idempotent: true,
                    deadline: now + 60_000,
                    expected_ms: 100,
                };
                if !ok && admission.may_retry(now, &retry).is_some() {
                    observed.retries += 1;
                }
                observed.finished += u64::from(ok);
                admission.finished(now, id, Completion { ok, ms: 200 + random.below(1_600) });
            }
        }
        let load = running.len() as u32;
        for action in admission.poll(now, |_| Capacity { slots: SLOTS, load }) {
            match action {
                Action::Run(id) => {
                    observed.run(id, classes[&id]);
                    running.push(id);
                }
                Action::Refuse(id, _) => {
                    observed.refused.insert(id);
                }
            }
        }
        observed.max_waiting = observed.max_waiting.max(admission.waiting());
    }
    observed.broken = admission.counts().broken;
    observed
}

fn holds_invariants(observed: &Observed) -> bool {
    // The retries earned by successes, and the initial ones of three workspaces.
    let budget = observed.finished as f64 * 0.2 + 30.0;
    observed.broken == 0
        && observed.ran_after_refusal == 0
        && observed.max_waiting <= WAITING
        && observed.retries as f64 <= budget
}

#[test]
fn can_hold_all_invariants_at_any_load() {
    fn holds_at_all_loads(seed: u64) -> bool {
        [50, 80, 100, 150, 300]
            .iter()
            .all(|load| holds_invariants(&run(seed, *load, Protections::default())))
    }
    QuickCheck::new().tests(25).quickcheck(holds_at_all_loads as fn(u64) -> bool);
}

#[test]
fn can_serve_samples_under_overload() {
    for seed in 0..10 {
        let observed = run(seed, 300, Protections::default());
        let batch = observed.ran.values().filter(|class| **class == Class::Batch).count();
        assert!(batch * 50 > observed.ran.len(), "seed {seed}: {batch} of {}", observed.ran.len());
    }
}

#[test]
fn can_detect_each_disabled_protection() {
    let on = Protections::default();
    let mutants = [
        ("reserve", Protections { reserve: false, ..on }),
        ("bound", Protections { bound: false, ..on }),
        ("limits", Protections { limits: false, ..on }),
        ("budget", Protections { budget: false, ..on }),
        ("forget", Protections { forget: false, ..on }),
    ];
    for (name, mutant) in mutants {
        let detected = (0..20).any(|seed| run(seed, 300, mutant).broken > 0);
        assert!(detected, "no run detected that {name} was disabled");
    }
}
