//! Deliveries to a workspace's trainer: one batch at a time, by a numbered cursor.

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

/// The number of ended steps that are remembered with their digests, to answer resent openings.
pub const REMEMBERED_STEPS: usize = 64;

/// The deliveries to a workspace's trainer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Delivery {
    /// The last acknowledged batch.
    pub acked: Cursor,
    /// The batch that was delivered and is not acknowledged yet.
    pub batch: Option<Batch>,
    /// The steps that ended last, each with the digest of its request; none if it was closed early.
    pub ended: BTreeMap<Step, Option<Digest>>,
    /// All steps up to this one have ended and are no longer remembered individually.
    pub floor: Option<Step>,
}

/// A batch; its samples never change.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Batch {
    /// Its number.
    pub cursor: Cursor,
    /// Its samples in order, as complete groups.
    pub samples: Vec<(StepKey, Group, SampleNo, Record)>,
    /// Samples dropped as stale by the pull that created it.
    pub stale: u32,
    /// A digest of its samples when it was created, to detect any change.
    pub seal: Digest,
}

impl Batch {
    /// Creates a batch.
    pub fn new(
        cursor: Cursor,
        samples: Vec<(StepKey, Group, SampleNo, Record)>,
        stale: u32,
    ) -> Self {
        let seal = seal(&samples);
        Self { cursor, samples, stale, seal }
    }

    /// Returns whether the batch is unchanged. The trainer may have received it before and must not
    /// train on two different versions of it.
    pub fn is_sealed(&self) -> bool {
        seal(&self.samples) == self.seal
    }

    /// Returns the reply to a pull.
    pub fn reply(&self) -> LedgerReply {
        LedgerReply::Batch { cursor: self.cursor, samples: self.samples.clone(), stale: self.stale }
    }

    /// Returns the bytes of its samples.
    pub fn bytes(&self) -> usize {
        self.samples.iter().map(|(.., record)| record.size()).sum()
    }
}

/// Digests the identity of each sample; the digest in its record covers its bytes.
fn seal(samples: &[(StepKey, Group, SampleNo, Record)]) -> Digest {
    let mut identity = Vec::with_capacity(samples.len() * 64);
    for (key, group, number, record) in samples {
        identity.extend_from_slice(key.workspace.as_str().as_bytes());
        identity.extend_from_slice(&key.step.0.to_be_bytes());
        identity.extend_from_slice(&group.0.to_be_bytes());
        identity.extend_from_slice(&number.0.to_be_bytes());
        identity.extend_from_slice(&record.digest.0);
    }
    Digest::of(&identity)
}

impl Delivery {
    /// Returns the cursor that may be pulled: that of the delivered batch, or the next one.
    pub fn expected(&self) -> Cursor {
        self.batch.as_ref().map_or(self.acked.next(), |batch| batch.cursor)
    }

    /// Records that a step ended, so that a resent opening does not run it again.
    pub fn record_end(&mut self, step: Step, digest: Option<Digest>) {
        self.ended.insert(step, digest);
        if self.ended.len() > REMEMBERED_STEPS
            && let Some((first, _)) = self.ended.pop_first()
        {
            self.floor = self.floor.max(Some(first));
        }
    }

    /// Returns the reply to an opening of a step that has ended; none if it has not.
    pub fn ended(&self, step: Step, digest: Digest) -> Option<LedgerReply> {
        match self.ended.get(&step) {
            Some(Some(first)) if *first == digest => Some(LedgerReply::Opened),
            Some(_) => Some(LedgerReply::Conflict),
            None => (Some(step) <= self.floor).then_some(LedgerReply::Conflict),
        }
    }
}
