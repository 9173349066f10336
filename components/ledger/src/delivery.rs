//! What is handed to a workspace's trainer: one batch at a time, by a numbered cursor.

use std::collections::BTreeMap;

use chicoryford_types::Cursor;
use chicoryford_types::Digest;
use chicoryford_types::Group;
use chicoryford_types::SampleNo;
use chicoryford_types::Step;
use serde::Deserialize;
use serde::Serialize;

use crate::command::LedgerReply;
use crate::command::Record;
use crate::command::StepKey;

/// Ended steps that are remembered by their content, for resent openings.
pub const REMEMBERED_STEPS: usize = 64;

/// What is handed to a workspace's trainer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Delivery {
    /// The last batch that was acknowledged.
    pub acked: Cursor,
    /// The batch that was handed out and not yet acknowledged.
    pub batch: Option<Batch>,
    /// The steps that ended last, each with the digest of its request; none if it was given up.
    pub ended: BTreeMap<Step, Option<Digest>>,
    /// Steps up to this one have ended, though they are no longer remembered one by one.
    pub floor: Option<Step>,
}

/// One batch; it never changes.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Batch {
    /// Its number.
    pub cursor: Cursor,
    /// Its samples in order, whole groups.
    pub samples: Vec<(StepKey, Group, SampleNo, Record)>,
    /// Samples dropped as stale by the decision that made it.
    pub stale: u32,
    /// Taken when it was made, to notice any change.
    pub seal: Digest,
}

impl Batch {
    /// Makes a batch.
    pub fn new(
        cursor: Cursor,
        samples: Vec<(StepKey, Group, SampleNo, Record)>,
        stale: u32,
    ) -> Self {
        let seal = seal(&samples);
        Self { cursor, samples, stale, seal }
    }

    /// Tells whether the batch is as it was made. The trainer may hold the first copy of it, and
    /// would train on two different ones.
    pub fn is_sealed(&self) -> bool {
        seal(&self.samples) == self.seal
    }

    /// Gives the answer to a pull.
    pub fn reply(&self) -> LedgerReply {
        LedgerReply::Batch { cursor: self.cursor, samples: self.samples.clone(), stale: self.stale }
    }

    /// Counts the bytes of the samples in it.
    pub fn bytes(&self) -> usize {
        self.samples.iter().map(|(.., record)| record.size()).sum()
    }
}

/// Digests what identifies each sample; the digest in its record stands for its bytes.
fn seal(samples: &[(StepKey, Group, SampleNo, Record)]) -> Digest {
    let mut text = Vec::with_capacity(samples.len() * 64);
    for (key, group, number, record) in samples {
        text.extend_from_slice(key.workspace.as_str().as_bytes());
        text.extend_from_slice(&key.step.0.to_be_bytes());
        text.extend_from_slice(&group.0.to_be_bytes());
        text.extend_from_slice(&number.0.to_be_bytes());
        text.extend_from_slice(&record.digest.0);
    }
    Digest::of(&text)
}

impl Delivery {
    /// Gives the cursor that may be pulled: that of the batch handed out, or the next.
    pub fn expected(&self) -> Cursor {
        self.batch.as_ref().map_or(self.acked.next(), |batch| batch.cursor)
    }

    /// Remembers that a step ended, so that a resent opening does not run it again.
    pub fn record_end(&mut self, step: Step, digest: Option<Digest>) {
        self.ended.insert(step, digest);
        if self.ended.len() > REMEMBERED_STEPS
            && let Some((first, _)) = self.ended.pop_first()
        {
            self.floor = self.floor.max(Some(first));
        }
    }

    /// Answers an opening of a step that has ended; none if it has not.
    pub fn ended(&self, step: Step, digest: Digest) -> Option<LedgerReply> {
        match self.ended.get(&step) {
            Some(Some(first)) if *first == digest => Some(LedgerReply::Opened),
            Some(_) => Some(LedgerReply::Conflict),
            None => (Some(step) <= self.floor).then_some(LedgerReply::Conflict),
        }
    }
}
