//! The delivery of samples.

use chicoryford_types::Cursor;
use chicoryford_types::Group;
use chicoryford_types::Model;
use chicoryford_types::SampleNo;
use chicoryford_types::Version;
use chicoryford_types::Workspace;

use crate::command::LedgerReply;
use crate::command::Record;
use crate::command::StepKey;
use crate::delivery::Batch;
use crate::ledger::Ledger;
use crate::record::is_stale;

type Sample = (StepKey, Group, SampleNo, Record);

impl Ledger {
    /// Delivers the batch of a cursor.
    ///
    /// A trainer that did not receive the reply pulls the same cursor again, possibly through
    /// another entry, and receives the same batch. Only a new cursor creates a batch, and the
    /// staleness of its samples is checked then: after an earlier check, a version could be
    /// published before the delivery, and a stale sample would be delivered.
    pub(crate) fn pull(
        &mut self,
        workspace: &Workspace,
        cursor: Cursor,
        groups: u32,
        newest: impl Fn(&Model) -> Version,
    ) -> LedgerReply {
        let Some(delivery) = self.deliveries.get(workspace) else { return LedgerReply::Missing };
        let expected = delivery.expected();
        if cursor != expected {
            return LedgerReply::BadCursor { expected };
        }
        if let Some(batch) = &delivery.batch {
            let (reply, is_sealed) = (batch.reply(), batch.is_sealed());
            if !is_sealed {
                self.report_violation("batch_changed", workspace);
            }
            return reply;
        }
        let stale = self.drop_stale(workspace, &newest);
        let samples = self.collect(workspace, cursor, groups);
        if samples.is_empty() {
            return LedgerReply::NotReady;
        }
        self.check_ages(workspace, &samples, &newest);
        let batch = Batch::new(cursor, samples, stale);
        let reply = batch.reply();
        self.deliveries.entry(workspace.clone()).or_default().batch = Some(batch);
        reply
    }

    fn drop_stale(&mut self, workspace: &Workspace, newest: impl Fn(&Model) -> Version) -> u32 {
        let mut dropped = 0;
        let steps = self.steps.iter_mut().filter(|(key, _)| key.workspace == *workspace);
        for (_, step) in steps {
            let (count, bytes) = step.drop_stale(newest(&step.spec.model));
            dropped += count;
            self.bytes -= bytes;
        }
        dropped
    }

    /// Moves complete groups into the batch of `cursor`, from the oldest steps first.
    fn collect(&mut self, workspace: &Workspace, cursor: Cursor, max_groups: u32) -> Vec<Sample> {
        let mut samples = Vec::new();
        let mut in_two_batches = false;
        let mut remaining = max_groups;
        let steps = self.steps.iter_mut().filter(|(key, _)| key.workspace == *workspace);
        for (key, step) in steps {
            let required = step.spec.samples;
            for (number, group) in (0..).map(Group).zip(&mut step.groups) {
                if remaining == 0 {
                    break;
                }
                if group.batch.is_some() || required == 0 || !group.is_complete(required) {
                    continue;
                }
                in_two_batches |= group.batch.replace(cursor).is_some();
                let done = std::mem::take(&mut group.done);
                let done = done.into_iter().map(|(no, record)| (key.clone(), number, no, record));
                samples.extend(done);
                remaining -= 1;
            }
        }
        if in_two_batches {
            self.report_violation("sample_in_two_batches", workspace);
        }
        samples
    }

    /// Checks the staleness bound of the samples to be delivered, independently of the previous
    /// steps.
    fn check_ages(
        &mut self,
        workspace: &Workspace,
        samples: &[Sample],
        newest: impl Fn(&Model) -> Version,
    ) {
        let exceeds_bound = |(key, _, _, record): &Sample| {
            let Some(step) = self.steps.get(key) else { return true };
            let newest = newest(&step.spec.model);
            record.oldest().is_none_or(|oldest| is_stale(oldest, newest, step.bound))
        };
        if samples.iter().any(exceeds_bound) {
            self.report_violation("stale_sample_delivered", workspace);
        }
    }
}
