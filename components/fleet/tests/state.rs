//! Tests of the replicated state: accepted data is kept, and every replica computes the same state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::ApplyOutcome;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::ListedResult;
use chicoryford_fleet::Stamped;
use chicoryford_fleet::State;
use chicoryford_fleet::StepSummary;
use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::copies::Placement;
use chicoryford_fleet::run::Cost;
use chicoryford_fleet::state::COST_TTL_MS;
use chicoryford_fleet::step::StoredResult;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::quickcheck;

fn at(at: u64, command: Command) -> Stamped {
    Stamped { at, command }
}

fn submit(id: &str, samples: u32, part: u64) -> Command {
    let step = StepSummary {
        id: id.to_owned(),
        model: "m".to_owned(),
        samples,
        age_ms: 1_000,
        part: PartId(part),
        ..StepSummary::default()
    };
    Command::Submit { step: Arc::new(step), placement: Placement::Stores(BTreeSet::new()) }
}

fn list(id: &str, indices: &[u32], part: u64) -> Command {
    let listed = |index: &u32| {
        let result = StoredResult::Completed {
            part: PartId(part),
            text_index: 0,
            bytes: 1,
            versions: vec![1],
            score: None,
        };
        Arc::new(ListedResult { index: *index, sample: format!("s{index}"), result })
    };
    Command::List {
        step: id.to_owned(),
        part: Some((PartId(part), Placement::Stores(BTreeSet::new()))),
        results: indices.iter().map(listed).collect(),
    }
}

fn configure(version: u64, source: &str) -> Command {
    let source = source.to_owned().into();
    Command::Configure(Arc::new(Config { version, source, ..Config::default() }))
}

#[test]
fn the_highest_version_is_in_force_and_its_content_never_changes() {
    let mut state = State::default();
    assert_eq!(state.apply(at(1, configure(5, "five"))), ApplyOutcome::Changed);
    assert_eq!(state.apply(at(2, configure(4, "four"))), ApplyOutcome::Held);
    assert_eq!(state.apply(at(3, configure(5, "other"))), ApplyOutcome::Held);
    assert_eq!(&state.config.as_ref().unwrap().source[..], b"five");
    assert_eq!(state.apply(at(4, configure(9, "nine"))), ApplyOutcome::Changed);
    let named = Command::Publish { model: "m".to_owned(), version: 3 };
    assert_eq!(state.apply(at(5, named.clone())), ApplyOutcome::Changed);
    assert_eq!(state.apply(at(6, named)), ApplyOutcome::Held);
    let older = Command::Publish { model: "m".to_owned(), version: 2 };
    assert_eq!(state.apply(at(7, older)), ApplyOutcome::Held);
    assert_eq!(state.versions["m"], 3);
}

/// Guards against a step that runs twice and against results that change their position. A
/// submission or listing whose acknowledgement was lost is sent again by another process or leader
/// and must be recognised.
#[test]
fn repeated_submissions_and_listings_have_no_effect() {
    let mut state = State::default();
    assert_eq!(state.apply(at(1, submit("a", 3, 10))), ApplyOutcome::Changed);
    assert_eq!(state.apply(at(2, submit("a", 3, 11))), ApplyOutcome::Held);
    assert!(!state.parts.contains_key(&PartId(11)));
    state.apply(at(3, list("a", &[2, 0], 20)));
    assert_eq!(state.apply(at(4, list("a", &[0], 21))), ApplyOutcome::Held);
    assert_eq!(state.apply(at(5, list("a", &[0, 1, 7], 22))), ApplyOutcome::Changed);
    let positions: Vec<u32> = state.steps["a"].results.iter().map(|listed| listed.index).collect();
    assert_eq!(positions, [2, 0, 1]);
    assert!(!state.steps["a"].is_open());
    assert_eq!(state.apply(at(6, list("b", &[0], 23))), ApplyOutcome::Unknown);
}

#[test]
fn an_ended_step_keeps_its_results_until_it_expires() {
    let mut state = State::default();
    state.apply(at(100, submit("a", 2, 10)));
    state.apply(at(200, list("a", &[0], 20)));
    let checkpoint = Command::Note {
        step: "a".to_owned(),
        part: PartId(30),
        placement: Placement::Stores(BTreeSet::new()),
    };
    assert_eq!(state.apply(at(210, checkpoint.clone())), ApplyOutcome::Changed);
    assert!(state.parts.contains_key(&PartId(30)));
    assert!(state.expired(10_000_000, 5_000).is_empty(), "the step is open");
    assert_eq!(state.apply(at(300, Command::End { step: "a".to_owned() })), ApplyOutcome::Changed);
    assert_eq!(state.apply(at(400, Command::End { step: "a".to_owned() })), ApplyOutcome::Held);
    assert!(!state.parts.contains_key(&PartId(30)), "checkpoints of an ended step are dropped");
    assert_eq!(state.apply(at(410, checkpoint)), ApplyOutcome::Held);
    assert_eq!(state.steps["a"].results.len(), 1);
    assert!(state.expired(5_099, 5_000).is_empty());
    let expired = state.expired(5_100, 5_000);
    assert_eq!(expired, ["a"]);
    state.apply(at(5_200, Command::Forget { steps: expired }));
    assert!(state.steps.is_empty() && state.parts.is_empty());
}

#[derive(Clone, Debug)]
struct Commands(Vec<Command>);

impl Arbitrary for Commands {
    fn arbitrary(g: &mut Gen) -> Self {
        let one = |g: &mut Gen| {
            let id = *g.choose(&["a", "b"]).unwrap();
            let (small, part) = (u8::arbitrary(g) % 4, u64::arbitrary(g));
            match u8::arbitrary(g) % 5 {
                0 => submit(id, 4, part),
                1 => list(id, &[u32::from(small)], part),
                2 => Command::End { step: id.to_owned() },
                3 => configure(u64::from(small), id),
                _ => Command::Publish { model: id.to_owned(), version: u64::from(small) },
            }
        };
        Self((0..g.size()).map(|_| one(g)).collect())
    }
}

quickcheck! {
    fn results_keep_their_positions_and_versions_never_decrease(commands: Commands) -> bool {
        let mut state = State::default();
        let mut clock = 0;
        commands.0.into_iter().all(|command| {
            clock += 1;
            let before = state.clone();
            state.apply(at(clock, command));
            let kept = before.steps.iter().all(|(id, step)| {
                state.steps[id].results.starts_with(&step.results)
            });
            let version = |state: &State| state.config.as_ref().map(|config| config.version);
            let named = before.versions.iter().all(|(model, version)| state.versions[model] >= *version);
            kept && named && version(&before) <= version(&state)
        })
    }

    fn a_deserialized_state_evolves_like_the_original(commands: Commands, cut: usize) -> bool {
        let cut = cut % (commands.0.len() + 1);
        let mut one = State::default();
        let mut other = State::default();
        for (clock, command) in commands.0.into_iter().enumerate() {
            if clock == cut {
                let bytes = rmp_serde::to_vec(&one).unwrap();
                other = rmp_serde::from_slice(&bytes).unwrap();
            }
            one.apply(at(clock as u64, command.clone()));
            other.apply(at(clock as u64, command));
        }
        rmp_serde::to_vec(&one).unwrap() == rmp_serde::to_vec(&other).unwrap()
    }
}

#[test]
fn endpoints_are_recorded_and_removed_individually() {
    let endpoint = |id: &str, version| Endpoint {
        announcement: Announcement {
            id: id.to_owned(),
            started_ms: 0,
            service: "a".to_owned(),
            address: "10.0.0.1:80".parse().unwrap(),
            data_centre: "z".to_owned(),
            slots: 1,
            draining: false,
            models: BTreeMap::from([("m".to_owned(), version)]),
            sequence: 1,
        },
        status: EndpointStatus::Ready,
    };
    let mut state = State::default();
    let mut update = |live: &[Endpoint], gone: &[&str]| {
        let gone = gone.iter().map(|id| (*id).to_owned()).collect();
        let command = Command::Know { live: live.to_vec(), gone };
        state.apply(Stamped { at: 1, command });
        let versions = state.endpoints.values().map(|known| known.announcement.models["m"]);
        versions.collect::<Vec<u64>>()
    };
    assert_eq!(update(&[endpoint("a", 1), endpoint("b", 1)], &[]), [1, 1]);
    assert_eq!(update(&[endpoint("b", 2), endpoint("c", 3)], &["a", "d"]), [2, 3]);
}

fn spend(sample: &str, failures: u32) -> Command {
    Command::Spend(vec![(sample.to_owned(), Cost { failures, ..Cost::default() })])
}

/// Guards against a replica that cannot start with a state that was stored without costs.
#[test]
fn a_state_that_was_stored_without_costs_can_be_read() {
    let mut state = State::default();
    state.apply(at(7, submit("a", 1, 1)));
    let bytes = rmp_serde::to_vec(&state).unwrap();
    // The state is an array whose length is in the first byte; the empty map of costs is its last.
    assert_eq!((bytes[0] & 0xf0, bytes[bytes.len() - 1]), (0x90, 0x80));
    let mut before = bytes[..bytes.len() - 1].to_vec();
    before[0] -= 1;
    let read: State = rmp_serde::from_slice(&before).unwrap();
    assert_eq!((read.clock, read.steps.len(), read.costs.len()), (7, 1, 0));
}

#[test]
fn costs_are_merged_and_kept_for_a_while() {
    let mut state = State::default();
    state.apply(at(0, spend("a", 2)));
    state.apply(at(1, spend("b", 1)));
    state.apply(at(COST_TTL_MS - 1, spend("a", 1)));
    assert_eq!(state.costs["a"].cost.failures, 2, "a cost never decreases");
    state.apply(at(COST_TTL_MS + 1, spend("c", 1)));
    let known: Vec<&str> = state.costs.keys().map(String::as_str).collect();
    assert_eq!(known, ["a", "c"]);
}
