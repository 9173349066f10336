//! The commands that move the ledger, and what each answers.

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
    /// The trainer's number of the step.
    pub step: Step,
}

/// What a trainer asks for when it opens a step.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// The workspace.
    pub workspace: Workspace,
    /// The step.
    pub step: Step,
    /// The trainer; filled in from its token.
    pub trainer: Principal,
    /// The model to sample from.
    pub model: Model,
    /// The prompts.
    pub groups: Vec<GroupSpec>,
    /// Samples wanted of each group.
    pub samples: u32,
    /// Samples begun beyond those wanted, of which the slowest are given up.
    pub extra: u32,
    /// Tokens of a sample at most.
    pub max_tokens: u32,
    /// The sampling temperature, in thousandths.
    pub temperature: u32,
    /// The seed from which each sample's seed is derived.
    pub seed: u64,
    /// Whether log-probabilities are wanted.
    pub logprobs: bool,
    /// A tighter bound on staleness than the template's, in versions.
    pub freshness: Option<u64>,
    /// Milliseconds in which the step should be whole.
    pub budget_ms: u64,
}

/// One prompt of a step.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct GroupSpec {
    /// The prompt.
    pub prompt: String,
}

/// Where a sample's bytes are.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Body {
    /// In the ledger itself.
    Inline(Bytes),
    /// At these processes, each of which holds all of them.
    Held(Vec<Holder>),
}

/// A finished sample as the ledger keeps it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// Which versions produced which tokens.
    pub spans: Vec<Span>,
    /// How many tokens it has.
    pub tokens: u32,
    /// The digest of its bytes: a `chicoryford_types::Sample` as JSON.
    pub digest: Digest,
    /// Where its bytes are.
    pub body: Body,
}

/// A command for the ledger.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerCommand {
    /// Opens a step; a resend with the same content is answered the same.
    Open {
        /// What is wanted.
        spec: StepSpec,
        /// The staleness bound in force, in versions.
        bound: u64,
    },
    /// Takes a step that no session owns.
    Take {
        /// The step.
        key: StepKey,
        /// The session that takes it.
        session: u64,
    },
    /// Records a finished sample; of several for one place the first wins.
    Done {
        /// The step.
        key: StepKey,
        /// The group.
        group: Group,
        /// The sample.
        number: SampleNo,
        /// The session that ran it; an earlier owner's is refused.
        session: u64,
        /// The sample.
        record: Record,
    },
    /// Hands out the batch of a cursor; the same cursor again gives the same batch.
    Pull {
        /// The workspace.
        workspace: Workspace,
        /// The cursor: one more than the last acknowledged, or that which was handed out last.
        cursor: Cursor,
        /// Groups wanted at most.
        groups: u32,
        /// The newest version that the trainer has published.
        newest: Version,
    },
    /// Acknowledges a batch, which may then be forgotten.
    Ack {
        /// The workspace.
        workspace: Workspace,
        /// The cursor of the batch.
        cursor: Cursor,
    },
    /// Gives up a step.
    Close {
        /// The step.
        key: StepKey,
    },
    /// Asks how a step goes.
    Progress {
        /// The step.
        key: StepKey,
    },
    /// Asks for the steps that no session owns.
    Orphans,
    /// Names other holders of a body, if the record still names those that the repairer saw.
    Rehold {
        /// The body.
        name: BodyName,
        /// The holders that the repairer saw.
        from: Vec<Holder>,
        /// The holders from now on, which acknowledged the bytes before.
        to: Vec<Holder>,
    },
    /// Tells that none of its holders has a body any more; its sample is run again.
    Lost {
        /// The body.
        name: BodyName,
        /// The holders that were asked.
        from: Vec<Holder>,
    },
}

/// How a step goes.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Progress {
    /// What was asked for.
    pub spec: StepSpec,
    /// The staleness bound in force.
    pub bound: u64,
    /// The session that owns it.
    pub owner: Option<u64>,
    /// The samples that are recorded and not yet stale.
    pub done: Vec<(Group, SampleNo)>,
    /// The groups that were handed out.
    pub delivered: Vec<Group>,
}

/// What the ledger answers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerReply {
    /// The step is open, now or since before.
    Opened,
    /// The step is open with other content, or was closed.
    Conflict,
    /// The session owns the step.
    Taken(Box<Progress>),
    /// Another session owns the step.
    Owned(u64),
    /// The sample is recorded.
    Kept,
    /// The sample's place was taken before; this one is dropped.
    Duplicate,
    /// The session no longer owns the step; nothing was recorded.
    Fenced,
    /// The sample has no version for some token, or is too old already; nothing was recorded.
    Undeliverable,
    /// The batch of the cursor.
    Batch {
        /// The cursor.
        cursor: Cursor,
        /// Its samples in order, whole groups.
        samples: Vec<(StepKey, Group, SampleNo, Record)>,
        /// Samples dropped as stale by this decision; their owner runs them again.
        stale: u32,
    },
    /// No whole group is there yet.
    NotReady,
    /// The cursor is neither the next nor the last.
    BadCursor {
        /// The cursor that may be pulled.
        expected: Cursor,
    },
    /// The batch is acknowledged, now or before.
    Acked,
    /// How the step goes.
    Progress(Box<Progress>),
    /// The steps that no session owns.
    Orphans(Vec<StepKey>),
    /// No such step, group or sample.
    Missing,
    /// The step is given up.
    Closed,
    /// The body has these holders now, or had them before.
    Reheld,
    /// The record names other holders, or other bytes, than the repairer saw.
    Moved,
    /// The sample's place is open again.
    Reopened,
    /// Something is full; nothing was recorded, and the same may be tried again later.
    Full,
}
