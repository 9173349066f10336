//! Bytes of the replicated state: samples of steps, claims, templates, suspects.

use bytes::Bytes;
use chicoryford_ledger::Body;
use chicoryford_ledger::GroupSpec;
use chicoryford_ledger::Holder;
use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::Record;
use chicoryford_ledger::StepKey;
use chicoryford_ledger::StepSpec;
use chicoryford_state::Assigned;
use chicoryford_state::Base;
use chicoryford_state::ClaimEnd;
use chicoryford_state::Command;
use chicoryford_state::State;
use chicoryford_state::change_id;
use chicoryford_types::Attempt;
use chicoryford_types::Digest;
use chicoryford_types::Group;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Incarnation;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Position;
use chicoryford_types::Principal;
use chicoryford_types::RequestId;
use chicoryford_types::SampleNo;
use chicoryford_types::Span;
use chicoryford_types::Step;
use chicoryford_types::Template;
use chicoryford_types::Unix;
use chicoryford_types::Version;
use chicoryford_types::Workspace;
use chicoryford_types::request::Class;
use chicoryford_types::request::StoredAnswer;

use crate::data::Data;
use crate::data::Series;
use crate::data::Source;

use super::REPEATS;

const NOW: Unix = Unix(1_700_000_000_000);
const GROUPS: u32 = 512;
const SAMPLES: u32 = 8;
const PROMPT: usize = 1_000;
/// Bytes of a sample: some 2,000 tokens with their log probabilities.
const SAMPLE_BYTES: usize = 32 << 10;
const ANSWER_BYTES: usize = 512;
const MODELS: u64 = 21;

/// Measures all of them. The figures do not vary but for the names' lengths, so one seed is one
/// offset of the numbers.
pub fn measure(data: &mut Data) {
    for repeat in 0..REPEATS {
        let offset = repeat * 1_000_000;
        for count in [512, 1_024, 2_048, 4_096] {
            let held = Body::Held((0..3).map(holder).collect());
            add(data, "sample_held", "samples done", count, samples(count, &held, offset));
            let inline = Body::Inline(Bytes::from(vec![7; SAMPLE_BYTES]));
            add(data, "sample_inline", "samples done", count, samples(count, &inline, offset));
        }
        for count in [500, 1_000, 2_000, 4_000] {
            add(data, "claim", "claims answered", count, claims(u64::from(count), offset));
        }
        for count in [1, 10, 100, 400] {
            add(data, "template", "templates", count, templates(u64::from(count), offset));
        }
        for count in [100, 1_000, 4_000, 16_000] {
            add(data, "versions", "versions published", count, versions(u64::from(count), offset));
        }
        for count in [64, 128, 256, 512] {
            add(data, "step_open", "groups of a step", count, opened(count, offset));
        }
    }
}

fn holder(n: u32) -> Holder {
    Holder { node: Node(format!("entry-{n:03}")), incarnation: Incarnation(NOW.0) }
}

fn add(data: &mut Data, name: &str, variable: &str, x: u32, y: f64) {
    let series = Series { name, variable, unit: "B of state", source: Source::InProcess };
    data.add(&series, f64::from(x), y);
}

fn apply(state: &mut State, command: Command) {
    state.apply(Position::default(), NOW, command);
}

fn size(state: &State) -> f64 {
    rmp_serde::to_vec_named(state).expect("the state is plain data").len() as f64
}

fn key(step: u64) -> StepKey {
    StepKey { workspace: Workspace::from("routes"), step: Step(step) }
}

fn started(groups: u32, offset: u64) -> State {
    let mut state = State::default();
    let session =
        Command::OpenSession { node: Node::from("entry-001"), incarnation: Incarnation(1) };
    apply(&mut state, session);
    let spec = StepSpec {
        workspace: key(offset).workspace,
        step: Step(offset),
        groups: vec![GroupSpec { prompt: "p".repeat(PROMPT) }; groups as usize],
        samples: SAMPLES,
        ..StepSpec::default()
    };
    apply(&mut state, Command::Ledger(Box::new(LedgerCommand::Open { spec, bound: 2 })));
    let take = LedgerCommand::Take { key: key(offset), session: 1 };
    apply(&mut state, Command::Ledger(Box::new(take)));
    state
}

fn opened(groups: u32, offset: u64) -> f64 {
    size(&started(groups, offset))
}

fn samples(count: u32, body: &Body, offset: u64) -> f64 {
    let mut state = started(GROUPS, offset);
    let empty = size(&state);
    let digest = match body {
        Body::Inline(bytes) => Digest::of(bytes),
        Body::Held(_) => Digest::default(),
    };
    let spans = vec![Span { from: 0, to: 2_000, version: Version(0) }];
    for number in 0..count {
        let record = Record { spans: spans.clone(), tokens: 2_000, digest, body: body.clone() };
        let done = LedgerCommand::Done {
            key: key(offset),
            group: Group(number / SAMPLES),
            number: SampleNo(number % SAMPLES),
            session: 1,
            record,
        };
        apply(&mut state, Command::Ledger(Box::new(done)));
    }
    size(&state) - empty
}

fn claims(count: u64, offset: u64) -> f64 {
    let mut state = State::default();
    let key = |number: u64| IdempotencyKey(format!("{}.{number:016x}", NOW.0));
    for number in offset..offset + count {
        let claim = Command::Claim {
            workspace: Workspace::from("packing"),
            key: key(number),
            digest: Digest::of(&number.to_be_bytes()),
            request: RequestId(number, number),
            to: Assigned { agent: Node::from("agent-0017"), ..Assigned::default() },
        };
        apply(&mut state, claim);
        let media = "application/json".to_owned();
        let answer = StoredAnswer { status: 200, media, body: vec![7; ANSWER_BYTES].into() };
        let settle = Command::Settle {
            workspace: Workspace::from("packing"),
            key: key(number),
            attempt: Attempt(1),
            end: ClaimEnd::Answered(answer),
        };
        apply(&mut state, settle);
    }
    size(&state)
}

fn templates(count: u64, offset: u64) -> f64 {
    let mut state = State::default();
    for number in offset..offset + count {
        let callers = (0..10).map(|n| (Principal(format!("caller-{number}-{n}")), Class::Normal));
        let template = Template {
            workspace: Workspace(format!("workspace-{number:07}")),
            models: (0..3).map(|n| Model(format!("model-{number}-{n}"))).collect(),
            callers: callers.collect(),
            ..Template::default()
        };
        let change = change_id(NOW, number);
        let base = Base::default();
        apply(&mut state, Command::Apply { change, template: Box::new(template), base });
    }
    size(&state)
}

fn versions(count: u64, offset: u64) -> f64 {
    let mut state = State::default();
    for number in 1..=count {
        let publish = Command::Publish {
            change: change_id(NOW, offset + number),
            model: Model(format!("model-{:02}", number % MODELS)),
            version: Version(offset + number),
            source: format!("store/model-{:02}/{number:08}", number % MODELS),
        };
        apply(&mut state, publish);
    }
    size(&state)
}
