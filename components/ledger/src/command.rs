//! The commands that change the ledger, and their replies.

use bytes::Bytes;
use chicoryford_types::Cursor;
use chicoryford_types::Digest;
use chicoryford_types::Group;
use chicoryford_types::Model;
use chicoryford_types::Principal;
use chicoryford_types::SampleNo;
use chicoryford_types::Span;
use chicoryford_types::Step;
use chicoryford_types::Version;
use chicoryford_types::Workspace;
use serde::Deserialize;
use serde::Serialize;

use crate::holders::BodyName;
use crate::holders::Holder;

/// Identifies a step.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct StepKey {
    /// The workspace.
    pub workspace: Workspace,
    /// The trainer's number for the step.
    pub step: Step,
}

/// A trainer's request to open a step.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// The workspace.
    pub workspace: Workspace,
    /// The step.
    pub step: Step,
    /// The trainer; set from its token.
    pub trainer: Principal,
    /// The model to sample from.
    pub model: Model,
    /// The prompts.
    pub groups: Vec<GroupSpec>,
    /// The number of samples required per group.
    pub samples: u32,
    /// Samples started per group in addition to the required ones, to replace the slowest, which
    /// are cancelled.
    pub extra: u32,
    /// The most tokens per sample.
    pub max_tokens: u32,
    /// The sampling temperature, in thousandths.
    pub temperature: u32,
    /// The seed from which the seed of each sample is derived.
    pub seed: u64,
    /// Whether log-probabilities are requested.
    pub logprobs: bool,
    /// A staleness bound tighter than the template's, in versions.
    pub freshness: Option<u64>,
    /// Milliseconds within which the step should be complete.
    pub budget_ms: u64,
}

/// One prompt of a step.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct GroupSpec {
    /// The prompt.
    pub prompt: String,
}

/// The location of a sample's bytes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Body {
    /// In the ledger itself.
    Inline(Bytes),
    /// At these processes, each of which holds a full copy.
    Held(Vec<Holder>),
}

/// A finished sample as recorded in the ledger.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// The versions that generated its tokens.
    pub spans: Vec<Span>,
    /// Its number of tokens.
    pub tokens: u32,
    /// The digest of its bytes, which are a `chicoryford_types::Sample` in JSON.
    pub digest: Digest,
    /// The location of its bytes.
    pub body: Body,
}

/// A command to the ledger.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerCommand {
    /// Opens a step. Opening it again with the same content has the same reply.
    Open {
        /// The trainer's request.
        spec: StepSpec,
        /// The current staleness bound, in versions.
        bound: u64,
    },
    /// Takes ownership of a step that no session owns.
    Take {
        /// The step.
        key: StepKey,
        /// The session that takes it.
        session: u64,
    },
    /// Records a finished sample; the first record of a sample wins.
    Done {
        /// The step.
        key: StepKey,
        /// The group.
        group: Group,
        /// The sample.
        number: SampleNo,
        /// The session that ran it; the command of a previous owner is refused.
        session: u64,
        /// The record.
        record: Record,
    },
    /// Delivers the batch of a cursor. The same cursor delivers the same batch again.
    Pull {
        /// The workspace.
        workspace: Workspace,
        /// The cursor: one more than the last acknowledged one, or the one delivered last.
        cursor: Cursor,
        /// The most groups in the batch.
        groups: u32,
        /// The newest version that the trainer has published.
        newest: Version,
    },
    /// Acknowledges a batch, which may then be deleted.
    Ack {
        /// The workspace.
        workspace: Workspace,
        /// The cursor of the batch.
        cursor: Cursor,
    },
    /// Abandons a step.
    Close {
        /// The step.
        key: StepKey,
    },
    /// Returns the progress of a step.
    Progress {
        /// The step.
        key: StepKey,
    },
    /// Lists the steps that no session owns.
    Orphans,
    /// Replaces the holders of a body, if the record still names the expected ones.
    Rehold {
        /// The body.
        name: BodyName,
        /// The holders that the repairer expects.
        from: Vec<Holder>,
        /// The new holders, which have already acknowledged the bytes.
        to: Vec<Holder>,
    },
    /// Reports that no holder has the body any more, so that its sample is run again.
    Lost {
        /// The body.
        name: BodyName,
        /// The holders that were queried.
        from: Vec<Holder>,
    },
}

/// The progress of a step.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Progress {
    /// The trainer's request.
    pub spec: StepSpec,
    /// The staleness bound in force.
    pub bound: u64,
    /// The session that owns it.
    pub owner: Option<u64>,
    /// The recorded samples that are not stale.
    pub done: Vec<(Group, SampleNo)>,
    /// The groups that were delivered.
    pub delivered: Vec<Group>,
}

/// A reply of the ledger.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerReply {
    /// The step is open, or was opened before.
    Opened,
    /// The step is open with other content, or was closed.
    Conflict,
    /// The session owns the step.
    Taken(Box<Progress>),
    /// Another session owns the step.
    Owned(u64),
    /// The sample is recorded.
    Kept,
    /// The sample was recorded before; this record is dropped.
    Duplicate,
    /// The session no longer owns the step; nothing was recorded.
    Fenced,
    /// The record is invalid: a token has no version, the sample is already stale, the bytes do not
    /// match their digest, or the holders are too few or not distinct. Nothing was recorded.
    Undeliverable,
    /// The batch of the cursor.
    Batch {
        /// The cursor.
        cursor: Cursor,
        /// Its samples in order, as complete groups.
        samples: Vec<(StepKey, Group, SampleNo, Record)>,
        /// Samples dropped as stale by this pull; their owner runs them again.
        stale: u32,
    },
    /// No group is complete yet.
    NotReady,
    /// The cursor is neither the next nor the last one.
    BadCursor {
        /// The cursor that may be pulled.
        expected: Cursor,
    },
    /// The batch is acknowledged, or was before.
    Acked,
    /// The progress of the step.
    Progress(Box<Progress>),
    /// The steps that no session owns.
    Orphans(Vec<StepKey>),
    /// There is no such step, group or sample.
    Missing,
    /// The step is closed.
    Closed,
    /// The body has these holders, or had them already.
    Reheld,
    /// The record names other holders or other bytes than the repairer expected.
    Moved,
    /// The sample will be run again.
    Reopened,
    /// A limit is reached; nothing was recorded, and the command may be retried later.
    Full,
}
