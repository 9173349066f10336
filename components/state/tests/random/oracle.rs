//! Checks replies independently of the code under test.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_ledger::Record;
use chicoryford_ledger::StepKey;
use chicoryford_state::Command;
use chicoryford_state::Refusal;
use chicoryford_state::Reply;
use chicoryford_state::State;
use chicoryford_types::Attempt;
use chicoryford_types::ChangeId;
use chicoryford_types::Config;
use chicoryford_types::Cursor;
use chicoryford_types::Group;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Model;
use chicoryford_types::RequestId;
use chicoryford_types::SampleNo;
use chicoryford_types::Version;
use chicoryford_types::Workspace;

use crate::replicas::BOUND;

type SampleKey = (StepKey, Group, SampleNo);

/// The replies so far.
#[derive(Default)]
pub struct Oracle {
    replies: BTreeMap<ChangeId, (Command, Reply)>,
    granted: BTreeMap<(IdempotencyKey, Attempt), RequestId>,
    ended: BTreeMap<IdempotencyKey, Reply>,
    batches: BTreeMap<(Workspace, Cursor), LedgerReply>,
    acked: BTreeMap<Workspace, u64>,
    delivered: BTreeMap<SampleKey, Cursor>,
    kept: BTreeMap<SampleKey, Record>,
    ended_steps: BTreeSet<StepKey>,
    open_steps: BTreeSet<StepKey>,
}

fn check(holds: bool, fault: impl Fn() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(fault()) }
}

impl Oracle {
    /// Returns the cursor that a trainer would pull next.
    pub fn next_cursor(&self, workspace: &Workspace) -> u64 {
        self.acked.get(workspace).copied().unwrap_or(0) + 1
    }

    /// Returns the number of ended steps of a workspace.
    pub fn ended(&self, workspace: &Workspace) -> u64 {
        self.ended_steps.iter().filter(|key| key.workspace == *workspace).count() as u64
    }

    /// Checks one reply.
    pub fn check_reply(
        &mut self,
        before: &Config,
        state: &State,
        command: &Command,
        reply: &Reply,
    ) -> Result<(), String> {
        check(state.config.at >= before.at, || "the revision decreased".to_owned())?;
        match command {
            Command::Apply { change, .. }
            | Command::Remove { change, .. }
            | Command::Rollback { change, .. }
            | Command::Publish { change, .. } => {
                self.check_change(before, state, change, command, reply)
            }
            Command::Claim { key, request, .. } | Command::Reassign { key, request, .. } => {
                self.check_grant(key, *request, reply)
            }
            Command::Settle { key, end, .. } if *reply == Reply::Done => {
                let end = Reply::Ended(end.clone());
                let first = self.ended.entry(key.clone()).or_insert_with(|| end.clone());
                check(*first == end, || format!("{key} ended twice"))
            }
            Command::Ledger(command) => match reply {
                Reply::Ledger(reply) => self.check_ledger(state, command, reply),
                other => Err(format!("the reply to a ledger command was {other:?}")),
            },
            _ => Ok(()),
        }
    }

    fn check_change(
        &mut self,
        before: &Config,
        state: &State,
        change: &ChangeId,
        command: &Command,
        reply: &Reply,
    ) -> Result<(), String> {
        if let Some((first, answer)) = self.replies.get(change) {
            check(
                state.config.at.revision.0 - before.at.revision.0 == 0
                    || suspicions_expired(before, state),
                || format!("change {change} was applied twice"),
            )?;
            let expired = *reply == Reply::Refused(Refusal::IdExpired);
            let reused = *reply == Reply::Refused(Refusal::IdReused);
            let valid = if first == command { reply == answer } else { reused };
            return check(valid || expired, || {
                format!("change {change}: {answer:?} then {reply:?}")
            });
        }
        self.replies.insert(change.clone(), (command.clone(), reply.clone()));
        if let (Command::Apply { base, .. }, Reply::Accepted { .. }) = (command, reply) {
            let Command::Apply { template, .. } = command else { return Ok(()) };
            let current = before.templates.get(&template.workspace);
            let version = current.map_or(0, |current| current.version);
            let digest = current.map(|c| c.template.digest()).unwrap_or_default();
            return check(base.version == version && base.digest == digest, || {
                "a change was accepted although its base was not in force".to_owned()
            });
        }
        Ok(())
    }

    fn check_grant(
        &mut self,
        key: &IdempotencyKey,
        request: RequestId,
        reply: &Reply,
    ) -> Result<(), String> {
        match reply {
            Reply::Granted { attempt } => {
                let ended = self.ended.contains_key(key);
                let first = self.granted.entry((key.clone(), *attempt)).or_insert(request);
                check(!ended && *first == request, || format!("{key} granted twice at {attempt}"))
            }
            Reply::Ended(_) => {
                let first = self.ended.entry(key.clone()).or_insert_with(|| reply.clone());
                check(first == reply, || format!("{key} ended in two ways"))
            }
            _ => Ok(()),
        }
    }

    fn check_ledger(
        &mut self,
        state: &State,
        command: &LedgerCommand,
        reply: &LedgerReply,
    ) -> Result<(), String> {
        let config = &state.config;
        self.check_steps(state)?;
        match (command, reply) {
            (LedgerCommand::Done { key, group, number, session, record }, LedgerReply::Kept) => {
                let owner = state.ledger.step(key).and_then(|step| step.owner);
                check(owner == Some(*session), || format!("session {session} is not the owner"))?;
                let sample_key = (key.clone(), *group, *number);
                let first = self.kept.insert(sample_key, record.clone());
                let model = Model(key.workspace.as_str().replace('w', "m"));
                let newest = newest(config, &model);
                let replaced = first.filter(|first| first != record && !is_stale(first, newest));
                // Samples that only a pull found too old, because of a version that the trainer
                // reported but never published, are removed below.
                check(replaced.is_none(), || format!("{key:?} {group} {number} was replaced"))
            }
            (
                LedgerCommand::Pull { workspace, newest: requested, .. },
                LedgerReply::Batch { cursor, samples, .. },
            ) => {
                let known = self.batches.get(&(workspace.clone(), *cursor));
                if let Some(first) = known {
                    return check(first == reply, || format!("batch {cursor} changed"));
                }
                check(cursor.0 == self.next_cursor(workspace), || {
                    format!("cursor {cursor} is out of order")
                })?;
                let newest = newest(config, &model_of(workspace)).max(*requested);
                self.remove_stale(workspace, newest);
                self.batches.insert((workspace.clone(), *cursor), reply.clone());
                samples.iter().try_for_each(|sample| self.check_delivery(sample, *cursor, newest))
            }
            (LedgerCommand::Pull { workspace, newest: requested, .. }, LedgerReply::NotReady) => {
                self.remove_stale(workspace, newest(config, &model_of(workspace)).max(*requested));
                Ok(())
            }
            (LedgerCommand::Ack { workspace, cursor }, LedgerReply::Acked) => {
                let acked = self.acked.entry(workspace.clone()).or_default();
                *acked = (*acked).max(cursor.0);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Checks that no ended step is opened again, because its samples would be run and delivered
    /// twice.
    fn check_steps(&mut self, state: &State) -> Result<(), String> {
        let open: BTreeSet<_> = state.ledger.steps().map(|(key, _)| key.clone()).collect();
        let ended = self.open_steps.difference(&open).cloned();
        self.ended_steps.extend(ended);
        let reopened = open.intersection(&self.ended_steps).next();
        check(reopened.is_none(), || format!("{reopened:?} was opened again"))?;
        self.open_steps = open;
        Ok(())
    }

    fn remove_stale(&mut self, workspace: &Workspace, newest: Version) {
        self.kept.retain(|sample_key, record| {
            sample_key.0.workspace != *workspace || !is_stale(record, newest)
        });
    }

    fn check_delivery(
        &mut self,
        sample: &(StepKey, Group, SampleNo, Record),
        cursor: Cursor,
        newest: Version,
    ) -> Result<(), String> {
        let (key, group, number, record) = sample;
        check(!is_stale(record, newest), || format!("{key:?} {group} {number} is too stale"))?;
        let sample_key = (key.clone(), *group, *number);
        let kept = self.kept.get(&sample_key) == Some(record);
        check(kept, || format!("{key:?} {group} {number} is not the recorded one"))?;
        let earlier = self.delivered.insert(sample_key, cursor);
        check(earlier.is_none(), || format!("{key:?} {group} {number} was delivered twice"))
    }
}

/// Returns whether suspicions or convictions expired, which also increases the revision.
fn suspicions_expired(before: &Config, state: &State) -> bool {
    before.suspects != state.config.suspects || before.convictions != state.config.convictions
}

fn model_of(workspace: &Workspace) -> Model {
    Model(workspace.as_str().replace('w', "m"))
}

fn newest(config: &Config, model: &Model) -> Version {
    config.weights.get(model).map(|newest| newest.version).unwrap_or_default()
}

fn is_stale(record: &Record, newest: Version) -> bool {
    let oldest = record.spans.iter().map(|span| span.version.0).min().unwrap_or(0);
    oldest + BOUND < newest.0
}
