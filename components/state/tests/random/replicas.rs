//! Two replicas that apply the same commands, and the generation of those commands.

use bytes::Bytes;
use chicoryford_ledger::Body;
use chicoryford_ledger::GroupSpec;
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
use chicoryford_types::ChangeId;
use chicoryford_types::Config;
use chicoryford_types::Cursor;
use chicoryford_types::Digest;
use chicoryford_types::Endpoint;
use chicoryford_types::Epoch;
use chicoryford_types::Fingerprint;
use chicoryford_types::Group;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Incarnation;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Position;
use chicoryford_types::RequestId;
use chicoryford_types::Revision;
use chicoryford_types::SampleNo;
use chicoryford_types::Span;
use chicoryford_types::Step;
use chicoryford_types::Template;
use chicoryford_types::Unix;
use chicoryford_types::Version;
use chicoryford_types::Workspace;
use chicoryford_types::request::StoredAnswer;

use crate::commands::Op;
use crate::coverage;
use crate::oracle::Oracle;

const START: u64 = 1_700_000_000_000;
/// Milliseconds between the issue times of the claims' keys, so that a run sees them expire one by
/// one.
const KEY_MS: u64 = 100_000;
/// Milliseconds after which new keys are used.
const KEYS_MS: u64 = 1_800_000;
/// The staleness bound of every step, in versions.
pub const BOUND: u64 = 1;

/// Two replicas and the state by which they are checked.
#[derive(Default)]
pub struct Replicas {
    first: State,
    second: State,
    follower: Config,
    oracle: Oracle,
    sent: Vec<Command>,
    used_ids: Vec<ChangeId>,
    elapsed_ms: i64,
    epoch: u64,
}

impl Replicas {
    /// Executes one event.
    pub fn step(&mut self, op: &Op) -> Result<(), String> {
        match op {
            Op::Clock { ms } => self.elapsed_ms = (self.elapsed_ms + ms).max(0),
            Op::Epoch => self.epoch += 1,
            Op::Restore => self.restore()?,
            Op::Resend { back } => {
                let number = self.sent.len().checked_sub(usize::from(*back) + 1);
                if let Some(command) = number.and_then(|number| self.sent.get(number)).cloned() {
                    return self.apply(command);
                }
            }
            op => {
                let command = self.command(op);
                self.sent.push(command.clone());
                return self.apply(command);
            }
        }
        Ok(())
    }

    /// Compares the replicas and checks for invariant violations.
    pub fn finish(&mut self) -> Result<(), String> {
        if encode(&self.first) != encode(&self.second) {
            return Err("replicas differ".to_owned());
        }
        match self.first.violations() + self.second.violations() {
            0 => Ok(()),
            violations => Err(format!("{violations} invariant violations")),
        }
    }

    fn now(&self) -> Unix {
        Unix(START + self.elapsed_ms as u64)
    }

    fn apply(&mut self, command: Command) -> Result<(), String> {
        let at = Position { epoch: Epoch(self.epoch), revision: Revision(0) };
        let before = self.first.config.clone();
        let first = self.first.apply(at, self.now(), command.clone());
        let second = self.second.apply(at, self.now(), command.clone());
        if first != second {
            return Err(format!("answers differ: {first:?} and {second:?}"));
        }
        if self.first.violations() > 0 {
            return Err("an invariant is violated".to_owned());
        }
        self.follow();
        if self.follower != self.first.config {
            return Err("a follower differs from the replica".to_owned());
        }
        coverage::count(&first);
        self.oracle.check_reply(&before, &self.first, &command, &first)
    }

    /// Applies the latest changes to a follower of the configuration.
    fn follow(&mut self) {
        match self.first.delta_since(self.follower.at) {
            chicoryford_types::Delta::Snapshot(config) => self.follower = *config,
            chicoryford_types::Delta::Changes { changes, .. } => {
                for (at, change) in changes {
                    self.follower.apply(at, change);
                }
            }
        }
    }

    fn restore(&mut self) -> Result<(), String> {
        self.finish()?;
        let snapshot = encode(&self.first);
        self.second = rmp_serde::from_slice(&snapshot).map_err(|error| error.to_string())?;
        Ok(())
    }

    fn fresh_id(&mut self) -> ChangeId {
        let id = change_id(self.now(), self.used_ids.len() as u64);
        self.used_ids.push(id.clone());
        id
    }

    fn base(&self, workspace: &Workspace, kind: u8) -> Base {
        let in_force =
            self.first.config.templates.get(workspace).map(|current| Base {
                version: current.version,
                digest: current.template.digest(),
            });
        let in_force = in_force.unwrap_or_default();
        match kind {
            1 => Base { digest: Digest::of(b"another operator's text"), ..in_force },
            2 => Base { version: 1, ..in_force },
            _ => in_force,
        }
    }

    fn key(&self, number: u8) -> IdempotencyKey {
        let round = self.elapsed_ms as u64 / KEYS_MS * KEYS_MS;
        IdempotencyKey(format!("{}.{number}", START + round + u64::from(number) * KEY_MS))
    }

    fn next_cursor(&self, workspace: u8) -> u64 {
        self.oracle.next_cursor(&workspace_name(workspace))
    }

    /// Returns a step near the last ended ones, which must never be opened again.
    fn any_step(&self, workspace: u8, step: u8) -> StepKey {
        let workspace = workspace_name(workspace);
        let ended = self.oracle.ended(&workspace) + u64::from(step);
        StepKey { workspace, step: Step(ended.saturating_sub(2)) }
    }

    /// Returns one of the open steps, selected by `step`, or any step if there are too few.
    fn some_step(&self, workspace: u8, step: u8) -> StepKey {
        let any = self.any_step(workspace, step);
        let open = self.first.ledger.steps().map(|(key, _)| key);
        let mut open = open.filter(|key| key.workspace == any.workspace);
        open.nth(usize::from(step / 2)).cloned().unwrap_or(any)
    }

    /// Returns one of the open sessions, selected by `number`, or `number` itself if there are too
    /// few.
    fn some_session(&self, number: u8) -> u64 {
        let open = self.first.sessions().map(|(number, _)| number).nth(usize::from(number % 3));
        open.unwrap_or(u64::from(number))
    }

    fn newest(&self, model: &Model) -> u64 {
        self.first.config.weights.get(model).map_or(0, |newest| newest.version.0)
    }

    fn command(&mut self, op: &Op) -> Command {
        match *op {
            Op::Apply { workspace, content, base } => {
                let template = template(workspace, content);
                let base = self.base(&template.workspace, base);
                Command::Apply { change: self.fresh_id(), template: Box::new(template), base }
            }
            Op::Reuse { workspace, content, back } => {
                let template = template(workspace, content);
                let base = self.base(&template.workspace, 0);
                let used = self.used_ids.iter().rev().nth(usize::from(back)).cloned();
                let change = used.unwrap_or_else(|| self.fresh_id());
                Command::Apply { change, template: Box::new(template), base }
            }
            Op::Remove { workspace } => {
                let workspace = workspace_name(workspace);
                let base = self.base(&workspace, 0);
                Command::Remove { change: self.fresh_id(), workspace, base }
            }
            Op::Rollback { workspace, to } => {
                let workspace = workspace_name(workspace);
                let base = self.base(&workspace, 0);
                let change = self.fresh_id();
                Command::Rollback { change, workspace, to: u64::from(to), base }
            }
            Op::Publish { model, ahead } => {
                let model = model_name(model);
                let version = Version(self.newest(&model) + u64::from(ahead));
                let change = self.fresh_id();
                Command::Publish { change, model, version, source: "store".to_owned() }
            }
            Op::Crashed { endpoint, crash, ref blamed } => Command::Crashed {
                endpoint: Endpoint(format!("e{endpoint}")),
                crash: u64::from(crash),
                incarnation: Incarnation(self.epoch),
                blamed: blamed.iter().map(|content| Fingerprint(u64::from(*content))).collect(),
            },
            Op::Cleared { content } => {
                Command::Cleared { fingerprint: Fingerprint(u64::from(content)) }
            }
            _ => self.claim_or_step(op),
        }
    }

    fn claim_or_step(&self, op: &Op) -> Command {
        let workspace = workspace_name(0);
        match *op {
            Op::Claim { key, content, request, agent } => Command::Claim {
                workspace,
                key: self.key(key),
                digest: Digest::of(&[content]),
                request: RequestId(0, u64::from(request)),
                to: assigned(agent),
            },
            Op::Reassign { key, request, agent, after } => Command::Reassign {
                workspace,
                key: self.key(key),
                request: RequestId(0, u64::from(request)),
                after: Attempt(1 + u32::from(after)),
                to: assigned(agent),
            },
            Op::Settle { key, attempt, end } => Command::Settle {
                workspace,
                key: self.key(key),
                attempt: Attempt(1 + u32::from(attempt)),
                end: end_of(end),
            },
            Op::OpenSession { node, incarnation } => Command::OpenSession {
                node: Node(format!("n{node}")),
                incarnation: Incarnation(u64::from(incarnation)),
            },
            Op::CloseSession { number } => {
                Command::CloseSession { session: self.some_session(number) }
            }
            _ => Command::Ledger(Box::new(self.step_command(op))),
        }
    }

    fn step_command(&self, op: &Op) -> LedgerCommand {
        match *op {
            Op::Open { workspace, step, groups, samples, extra } => LedgerCommand::Open {
                spec: StepSpec {
                    workspace: workspace_name(workspace),
                    step: self.any_step(workspace, step).step,
                    model: model_name(workspace),
                    groups: vec![GroupSpec::default(); usize::from(groups)],
                    samples: u32::from(samples),
                    extra: u32::from(extra),
                    ..StepSpec::default()
                },
                bound: BOUND,
            },
            Op::Take { workspace, step, session } => LedgerCommand::Take {
                key: self.some_step(workspace, step),
                session: self.some_session(session),
            },
            Op::Done { workspace, step, group, number, session, behind, text } => {
                let newest = self.newest(&model_name(workspace));
                let key = self.some_step(workspace, step);
                let session = match self.first.ledger.step(&key) {
                    Some(step) if session > 1 => step.owner.unwrap_or(0),
                    _ => self.some_session(session),
                };
                LedgerCommand::Done {
                    key,
                    group: Group(u32::from(group)),
                    number: SampleNo(u32::from(number)),
                    session,
                    record: record(newest.saturating_sub(u64::from(behind)), text),
                }
            }
            Op::Pull { workspace, off, groups, newest } => LedgerCommand::Pull {
                workspace: workspace_name(workspace),
                cursor: Cursor((self.next_cursor(workspace) + u64::from(off)).saturating_sub(1)),
                groups: u32::from(groups),
                newest: Version(
                    (self.newest(&model_name(workspace)) + u64::from(newest)).saturating_sub(2),
                ),
            },
            Op::Ack { workspace, off } => LedgerCommand::Ack {
                workspace: workspace_name(workspace),
                cursor: Cursor((self.next_cursor(workspace) + u64::from(off)).saturating_sub(1)),
            },
            Op::Close { workspace, step } => {
                LedgerCommand::Close { key: self.any_step(workspace, step) }
            }
            _ => LedgerCommand::Orphans,
        }
    }
}

fn encode(state: &State) -> Vec<u8> {
    rmp_serde::to_vec_named(state).expect("the state is plain data")
}

fn workspace_name(number: u8) -> Workspace {
    Workspace(format!("w{number}"))
}

fn model_name(number: u8) -> Model {
    Model(format!("m{number}"))
}

fn template(workspace: u8, content: u8) -> Template {
    let workspace = workspace_name(workspace);
    Template { workspace, title: format!("content {content}"), ..Template::default() }
}

fn assigned(agent: u8) -> AgentAssignment {
    AgentAssignment { agent: Node(format!("a{agent}")), ..AgentAssignment::default() }
}

fn end_of(kind: u8) -> ClaimEnd {
    match kind {
        0 => ClaimEnd::NotRun,
        1 => ClaimEnd::Unknown,
        text => ClaimEnd::Answered(StoredAnswer {
            body: Bytes::from(vec![text]),
            ..StoredAnswer::default()
        }),
    }
}

fn record(version: u64, text: u8) -> Record {
    let spans = vec![Span { from: 0, to: 4, version: Version(version) }];
    let bytes = Bytes::from(vec![text; 8]);
    Record { spans, tokens: 4, digest: Digest::of(&bytes), body: Body::Inline(bytes) }
}
