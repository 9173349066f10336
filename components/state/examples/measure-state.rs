//! Measures the cost of commands and the size of the replicated state.
//!
//! `cargo run --release -p chicoryford-state --example measure-state`

use std::time::Instant;

use bytes::Bytes;
use chicoryford_ledger::Body;
use chicoryford_ledger::GroupSpec;
use chicoryford_ledger::Holder;
use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::Record;
use chicoryford_ledger::StepKey;
use chicoryford_ledger::StepSpec;
use chicoryford_state::AgentAssignment;
use chicoryford_state::Base;
use chicoryford_state::ClaimEnd;
use chicoryford_state::Command;
use chicoryford_state::State;
use chicoryford_state::change_id;
use chicoryford_types::Attempt;
use chicoryford_types::Cursor;
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

const NOW: Unix = Unix(1_700_000_000_000);
const GROUPS: u32 = 512;
const SAMPLES: u32 = 8;

fn main() {
    measure_costs();
    measure_sizes_by_templates();
    measure_sizes_by_claims();
    measure_sizes_by_samples();
    measure_catch_up();
}

fn apply(state: &mut State, command: Command) {
    state.apply(Position::default(), NOW, command);
}

fn encode<T: serde::Serialize>(item: &T) -> usize {
    rmp_serde::to_vec_named(item).expect("plain data").len()
}

fn template(number: u64, round: u64) -> Template {
    let callers = (0..10).map(|n| (Principal(format!("caller-{number}-{n}")), Class::Normal));
    Template {
        workspace: Workspace(format!("workspace-{number:04}")),
        title: format!("Workspace {number}, change {round}"),
        models: (0..3).map(|n| Model(format!("model-{number}-{n}"))).collect(),
        callers: callers.collect(),
        trainers: vec![Principal(format!("trainer-{number}"))],
        ..Template::default()
    }
}

fn put(state: &State, number: u64, round: u64) -> Command {
    let template = template(number, round);
    let current = state.config.templates.get(&template.workspace);
    let base = current.map_or_else(Base::default, |versioned| Base {
        version: versioned.version,
        digest: versioned.template.digest(),
    });
    let change = change_id(NOW, round << 32 | number);
    Command::Apply { change, template: Box::new(template), base }
}

fn claim(number: u64) -> Command {
    Command::Claim {
        workspace: Workspace::from("packing"),
        key: IdempotencyKey(format!("{}.{number:016x}", NOW.0 + number % 1_000)),
        digest: Digest::of(&number.to_be_bytes()),
        request: RequestId(number, number),
        to: AgentAssignment { agent: Node::from("agent-17"), ..AgentAssignment::default() },
    }
}

fn settle(number: u64) -> Command {
    let body = Bytes::from(vec![7; 512]);
    let media = "application/json".to_owned();
    Command::Settle {
        workspace: Workspace::from("packing"),
        key: IdempotencyKey(format!("{}.{number:016x}", NOW.0 + number % 1_000)),
        attempt: Attempt(1),
        end: ClaimEnd::Answered(StoredAnswer { status: 200, media, body }),
    }
}

fn key(step: u64) -> StepKey {
    StepKey { workspace: Workspace::from("routes"), step: Step(step) }
}

fn open(step: u64) -> Command {
    let groups = vec![GroupSpec { prompt: "p".repeat(1_000) }; GROUPS as usize];
    let spec = StepSpec {
        workspace: key(step).workspace,
        step: Step(step),
        groups,
        samples: SAMPLES,
        ..StepSpec::default()
    };
    Command::Ledger(Box::new(LedgerCommand::Open { spec, bound: 2 }))
}

fn take(step: u64) -> Command {
    Command::Ledger(Box::new(LedgerCommand::Take { key: key(step), session: 1 }))
}

fn done(step: u64, number: u32, body: &Body) -> Command {
    let digest = match body {
        Body::Inline(bytes) => Digest::of(bytes),
        Body::Held(_) => Digest::default(),
    };
    let spans = vec![Span { from: 0, to: 2_000, version: Version(0) }];
    let record = Record { spans, tokens: 2_000, digest, body: body.clone() };
    Command::Ledger(Box::new(LedgerCommand::Done {
        key: key(step),
        group: Group(number / SAMPLES),
        number: SampleNo(number % SAMPLES),
        session: 1,
        record,
    }))
}

fn pull(cursor: u64, groups: u32) -> Command {
    Command::Ledger(Box::new(LedgerCommand::Pull {
        workspace: key(0).workspace,
        cursor: Cursor(cursor),
        groups,
        newest: Version(0),
    }))
}

fn ack(cursor: u64) -> Command {
    let workspace = key(0).workspace;
    Command::Ledger(Box::new(LedgerCommand::Ack { workspace, cursor: Cursor(cursor) }))
}

fn session() -> Command {
    Command::OpenSession { node: Node::from("entry-1"), incarnation: Incarnation(1) }
}

/// Measures the application of commands that were created in advance.
fn measure(state: &mut State, name: &str, commands: Vec<Command>) {
    let count = commands.len();
    let start = Instant::now();
    for command in commands {
        apply(state, command);
    }
    let ns = start.elapsed().as_nanos() / count.max(1) as u128;
    println!("cost command={name} count={count} ns={ns}");
}

fn measure_costs() {
    let mut state = State::default();
    for number in 0..100 {
        let command = put(&state, number, 0);
        apply(&mut state, command);
    }
    let mut preview = state.clone();
    let mut changes = Vec::new();
    for round in 1..=20 {
        for number in 0..100 {
            let command = put(&preview, number, round);
            apply(&mut preview, command.clone());
            changes.push(command);
        }
    }
    measure(&mut state, "apply", changes.clone());
    measure(&mut state, "apply_resent", changes);
    let publish = (1..=2_000).map(|version| Command::Publish {
        change: change_id(NOW, version),
        model: Model::from("model"),
        version: Version(version),
        source: "store/model".to_owned(),
    });
    measure(&mut state, "publish", publish.collect());
    measure(&mut state, "claim", (0..20_000).map(claim).collect());
    measure(&mut state, "settle", (0..20_000).map(settle).collect());
    apply(&mut state, session());
    measure(&mut state, "open_512x8", vec![open(0)]);
    measure(&mut state, "take_512x8", vec![take(0)]);
    let samples = GROUPS * SAMPLES;
    let inline = Body::Inline(Bytes::from(vec![7; 8 << 10]));
    measure(&mut state, "done_8KiB", (0..samples).map(|n| done(0, n, &inline)).collect());
    let pulls = (1..=8).flat_map(|cursor| [pull(cursor, 64), ack(cursor)]);
    measure(&mut state, "pull_and_ack_64x8", pulls.collect());
    measure(&mut state, "open_512x8", vec![open(1)]);
    measure(&mut state, "take_512x8", vec![take(1)]);
    let inline = Body::Inline(Bytes::from(vec![7; 32 << 10]));
    measure(&mut state, "done_32KiB", (0..samples).map(|n| done(1, n, &inline)).collect());
}

fn measure_sizes_by_templates() {
    for count in [0, 100, 1_000] {
        let mut state = State::default();
        for number in 0..count {
            let command = put(&state, number, 0);
            apply(&mut state, command);
        }
        let (all, config) = (encode(&state), encode(&state.config));
        println!("size templates={count} state_bytes={all} config_bytes={config}");
    }
}

fn measure_sizes_by_claims() {
    for count in [0, 1_000, 10_000, 50_000] {
        let mut state = State::default();
        for number in 0..count {
            apply(&mut state, claim(number));
        }
        let open = encode(&state);
        for number in 0..count {
            apply(&mut state, settle(number));
        }
        let ended = encode(&state);
        println!("size claims={count} open_bytes={open} answered_512B_bytes={ended}");
    }
}

fn measure_sizes_by_samples() {
    let holder = |n| Holder {
        node: Node(format!("entry-{n}")),
        incarnation: Incarnation(1_764_700_000_000),
    };
    let held = Body::Held((0..3).map(holder).collect());
    let inline = Body::Inline(Bytes::from(vec![7; 32 << 10]));
    for (name, body) in [("inline_32KiB", inline), ("held_at_3", held)] {
        for count in [0, 512, 4_096] {
            let mut state = State::default();
            apply(&mut state, session());
            apply(&mut state, open(0));
            apply(&mut state, take(0));
            let empty = encode(&state);
            for number in 0..count {
                apply(&mut state, done(0, number, &body));
            }
            let bytes = encode(&state) - empty;
            println!("size samples={count} body={name} step_bytes={empty} samples_bytes={bytes}");
        }
    }
}

fn measure_catch_up() {
    let mut state = State::default();
    for number in 0..100 {
        let command = put(&state, number, 0);
        apply(&mut state, command);
    }
    for missed in [10, 100, 1_000] {
        let from = state.config.at;
        for round in 0..missed {
            let command = put(&state, round * 37 % 100, 1 + missed + round);
            apply(&mut state, command);
        }
        let start = Instant::now();
        let delta = state.delta_since(from);
        let us = start.elapsed().as_micros();
        let (bytes, snapshot) = (encode(&delta), encode(&state.config));
        println!(
            "catch_up templates=100 missed={missed} delta_bytes={bytes} \
             snapshot_bytes={snapshot} us={us}"
        );
    }
}
