//! The ledger, and the effect of each command.

use std::collections::BTreeMap;

use chicoryford_types::Cursor;
use chicoryford_types::Digest;
use chicoryford_types::Group;
use chicoryford_types::Model;
use chicoryford_types::SampleNo;
use chicoryford_types::Version;
use chicoryford_types::Workspace;
use serde::Deserialize;
use serde::Serialize;

use crate::command::LedgerCommand;
use crate::command::LedgerReply;
use crate::command::Record;
use crate::command::StepKey;
use crate::command::StepSpec;
use crate::delivery::Delivery;
use crate::group::KeepOutcome;
use crate::record::is_stale;
use crate::step::Step;

/// The most open steps per workspace.
pub const MAX_OPEN_STEPS: usize = 16;
/// The most workspaces with a cursor.
pub const MAX_WORKSPACES: usize = 4_096;
/// The most samples in one step, including the extra ones.
pub const MAX_STEP_SAMPLES: u64 = 1 << 20;
/// The most bytes of samples that are not acknowledged yet. Above it only the step that was opened
/// first may record samples, so that it can end and free space.
pub const MAX_SAMPLE_BYTES: usize = 128 << 20;
/// The most orphaned steps in one reply.
const MAX_ORPHANS: usize = 256;

/// The exactly-once ledger.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Ledger {
    /// Invariants found violated by this replica since it started; any value but zero is a bug.
    #[serde(skip)]
    pub violations: u64,
    pub(crate) steps: BTreeMap<StepKey, Step>,
    pub(crate) deliveries: BTreeMap<Workspace, Delivery>,
    /// Bytes of all samples, in steps and in batches.
    pub(crate) bytes: usize,
    opened: u64,
}

impl Ledger {
    /// Applies a command. `newest` returns the newest published version of a model in the
    /// replicated state.
    pub fn apply(
        &mut self,
        command: LedgerCommand,
        newest: impl Fn(&Model) -> Version,
    ) -> LedgerReply {
        match command {
            LedgerCommand::Open { spec, bound } => self.open(spec, bound),
            LedgerCommand::Take { key, session } => self.take(&key, session),
            LedgerCommand::Done { key, group, number, session, record } => {
                self.record_sample(&key, (group, number), session, record, newest)
            }
            LedgerCommand::Pull { workspace, cursor, groups, newest: published } => {
                self.pull(&workspace, cursor, groups, |model| newest(model).max(published))
            }
            LedgerCommand::Ack { workspace, cursor } => self.ack(&workspace, cursor),
            LedgerCommand::Close { key } => self.close(&key),
            LedgerCommand::Progress { key } => self.progress(&key),
            LedgerCommand::Orphans => LedgerReply::Orphans(self.orphans()),
            LedgerCommand::Rehold { name, from, to } => self.replace_holders(&name, &from, to),
            LedgerCommand::Lost { name, from } => self.reopen_lost(&name, &from),
        }
    }

    /// Drops the recorded samples that became stale by a newly published version.
    pub fn drop_stale_samples(&mut self, model: &Model, newest: Version) {
        for step in self.steps.values_mut().filter(|step| step.spec.model == *model) {
            let (_, bytes) = step.drop_stale(newest);
            self.bytes -= bytes;
        }
    }

    /// Releases the steps of a session, so that any session may take them.
    pub fn release(&mut self, session: u64) {
        for step in self.steps.values_mut() {
            if step.owner == Some(session) {
                step.owner = None;
            }
        }
    }

    /// Lists the steps that no session owns.
    pub fn orphans(&self) -> Vec<StepKey> {
        let orphans = self.steps.iter().filter(|(_, step)| step.owner.is_none());
        orphans.map(|(key, _)| key.clone()).take(MAX_ORPHANS).collect()
    }

    /// Finds an open step.
    pub fn step(&self, key: &StepKey) -> Option<&Step> {
        self.steps.get(key)
    }

    /// Lists the open steps.
    pub fn steps(&self) -> impl Iterator<Item = (&StepKey, &Step)> {
        self.steps.iter()
    }

    /// Returns the number of open steps.
    pub fn open_steps(&self) -> usize {
        self.steps.len()
    }

    /// Returns the bytes of the samples that are not acknowledged yet.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn report_violation(&mut self, invariant: &str, workspace: &Workspace) {
        self.violations += 1;
        tracing::error!(event = "promise_broken", promise = invariant, %workspace);
    }

    fn open(&mut self, spec: StepSpec, bound: u64) -> LedgerReply {
        let digest =
            Digest::of(&serde_json::to_vec(&spec).expect("a step spec is always serialisable"));
        let key = StepKey { workspace: spec.workspace.clone(), step: spec.step };
        if let Some(step) = self.steps.get(&key) {
            let is_resend = step.digest == digest;
            return if is_resend { LedgerReply::Opened } else { LedgerReply::Conflict };
        }
        let delivery = self.deliveries.get(&key.workspace);
        if let Some(reply) = delivery.and_then(|delivery| delivery.ended(key.step, digest)) {
            return reply;
        }
        if !self.has_capacity(&spec) {
            return LedgerReply::Full;
        }
        self.opened += 1;
        self.deliveries.entry(key.workspace.clone()).or_default();
        self.steps.insert(key, Step::new(spec, bound, digest, self.opened));
        LedgerReply::Opened
    }

    fn has_capacity(&self, spec: &StepSpec) -> bool {
        let open = self.steps.keys().filter(|key| key.workspace == spec.workspace).count();
        let max_samples = u64::from(spec.samples) + u64::from(spec.extra);
        let is_known = self.deliveries.contains_key(&spec.workspace);
        open < MAX_OPEN_STEPS
            && max_samples.saturating_mul(spec.groups.len() as u64) <= MAX_STEP_SAMPLES
            && (is_known || self.deliveries.len() < MAX_WORKSPACES)
    }

    fn take(&mut self, key: &StepKey, session: u64) -> LedgerReply {
        let Some(step) = self.steps.get_mut(key) else { return LedgerReply::Missing };
        match step.owner {
            Some(owner) if owner != session => LedgerReply::Owned(owner),
            _ => {
                step.owner = Some(session);
                LedgerReply::Taken(Box::new(step.progress()))
            }
        }
    }

    fn record_sample(
        &mut self,
        key: &StepKey,
        sample: (Group, SampleNo),
        session: u64,
        record: Record,
        newest: impl Fn(&Model) -> Version,
    ) -> LedgerReply {
        let exceeds_limit = self.bytes >= MAX_SAMPLE_BYTES && !self.is_oldest_step(key);
        let Some(step) = self.steps.get_mut(key) else { return LedgerReply::Missing };
        if step.owner != Some(session) {
            return LedgerReply::Fenced;
        }
        let spec = &step.spec;
        let (required, max_samples) = (spec.samples, spec.samples.saturating_add(spec.extra));
        let Some(group) = step.groups.get_mut(sample.0.0 as usize) else {
            return LedgerReply::Missing;
        };
        if sample.1.0 >= max_samples {
            return LedgerReply::Missing;
        }
        let newest = newest(&spec.model);
        let is_old = record.oldest().is_none_or(|oldest| is_stale(oldest, newest, step.bound));
        if is_old || !record.is_attributed() || !record.is_intact() {
            return LedgerReply::Undeliverable;
        }
        if exceeds_limit {
            return LedgerReply::Full;
        }
        let size = record.size();
        match group.keep(sample.1, record, required) {
            KeepOutcome::Recorded => {
                self.bytes += size;
                LedgerReply::Kept
            }
            KeepOutcome::AlreadyRecorded => LedgerReply::Kept,
            KeepOutcome::Duplicate => LedgerReply::Duplicate,
        }
    }

    fn is_oldest_step(&self, key: &StepKey) -> bool {
        let first = self.steps.iter().min_by_key(|(_, step)| step.order);
        first.is_some_and(|(first, _)| first == key)
    }

    fn ack(&mut self, workspace: &Workspace, cursor: Cursor) -> LedgerReply {
        let Some(delivery) = self.deliveries.get_mut(workspace) else {
            return LedgerReply::Missing;
        };
        if cursor <= delivery.acked {
            return LedgerReply::Acked;
        }
        let expected = delivery.expected();
        let Some(batch) = delivery.batch.take_if(|batch| batch.cursor == cursor) else {
            return LedgerReply::BadCursor { expected };
        };
        delivery.acked = cursor;
        self.bytes -= batch.bytes();
        self.finish_groups(workspace, cursor);
        LedgerReply::Acked
    }

    /// Counts the groups of an acknowledged batch as finished, and ends the steps whose groups are
    /// all finished.
    fn finish_groups(&mut self, workspace: &Workspace, cursor: Cursor) {
        let mut finished = Vec::new();
        for (key, step) in &mut self.steps {
            if key.workspace != *workspace {
                continue;
            }
            let in_batch = step.groups.iter().filter(|group| group.batch == Some(cursor));
            step.acked += in_batch.count();
            if step.is_finished() {
                finished.push((key.clone(), step.digest));
            }
        }
        for (key, digest) in finished {
            self.steps.remove(&key);
            self.deliveries.entry(key.workspace).or_default().record_end(key.step, Some(digest));
        }
    }

    fn close(&mut self, key: &StepKey) -> LedgerReply {
        match self.steps.remove(key) {
            Some(step) => {
                self.bytes -= step.bytes();
                let delivery = self.deliveries.entry(key.workspace.clone()).or_default();
                delivery.record_end(key.step, None);
                LedgerReply::Closed
            }
            None if self.has_ended(key) => LedgerReply::Closed,
            None => LedgerReply::Missing,
        }
    }

    fn has_ended(&self, key: &StepKey) -> bool {
        let delivery = self.deliveries.get(&key.workspace);
        delivery.is_some_and(|delivery| delivery.ended.contains_key(&key.step))
    }

    fn progress(&self, key: &StepKey) -> LedgerReply {
        match self.steps.get(key) {
            Some(step) => LedgerReply::Progress(Box::new(step.progress())),
            None => LedgerReply::Missing,
        }
    }
}
