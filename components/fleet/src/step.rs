//! Steps of trainers: what is submitted, and what becomes of each sample.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::copies::PartId;

/// Bytes of results in one reply; the bound of a reply is a megabyte.
pub const MAX_REPLY_BYTES: usize = 900 << 10;
/// Bytes of a result beside its text and its sample's identity: field names, versions, score.
const RESULT_OVERHEAD_BYTES: usize = 256;

/// Gives about how many bytes a result takes in a reply.
pub fn reply_bytes(sample: &str, text: usize) -> usize {
    text + sample.len() + RESULT_OVERHEAD_BYTES
}

/// A call that scores a finished sample.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Scorer {
    /// Identifies the call.
    pub id: String,
    /// The host of its route.
    pub host: String,
    /// The path of its route.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// One sample to be generated.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Sample {
    /// Identifies the sample, at endpoints too.
    pub id: String,
    /// The path of its request.
    pub path: String,
    /// The headers of its request.
    pub headers: Vec<(String, String)>,
    /// The body of its request.
    pub body: Bytes,
    /// Tokens of the prompt and the most that may be generated.
    pub tokens: u64,
    /// Tokens that will be generated, as its sender guesses; right at the median, often far off.
    pub expected_tokens: u64,
    /// The group that shares its prompt; empty for a sample by itself.
    pub group: String,
    /// The call that scores it, if there is one.
    pub scorer: Option<Scorer>,
}

/// A step as it was submitted, with what its route said at that time.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Step {
    /// Identifies the step.
    pub id: String,
    /// The host of its route.
    pub host: String,
    /// The path to which it was submitted.
    pub path: String,
    /// The model that generates.
    pub model: String,
    /// The number of the step at its trainer.
    pub number: u64,
    /// The oldest version of the weights that may generate.
    pub min_version: u64,
    /// The groups that its trainer waits for.
    pub wanted_groups: u64,
    /// The samples.
    pub samples: Vec<Sample>,
    /// Milliseconds after the submission at which results are due.
    pub due_ms: u64,
    /// Milliseconds after the submission at which a sample may be given up.
    pub age_ms: u64,
    /// Failures of a sample after which it may be given up.
    pub attempts: u32,
    /// Whether each sample must be made by one version.
    pub single_version: bool,
    /// Its rank, zero first: that of its workspace, or else of its route.
    pub priority: u32,
    /// The workspace that submitted it, if a key was needed; endpoints are told.
    pub workspace: Option<String>,
}

/// What became of a sample.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum SampleResult {
    /// It was generated whole and scored.
    Completed {
        /// The data of its events, joined by line feeds.
        text: String,
        /// The versions that generated events of it, oldest first.
        versions: Vec<u64>,
        /// The score, as the scorer gave it; none if the sample has no scorer.
        score: Option<String>,
    },
    /// It was given up.
    GivenUp,
}

/// A result at its place among a step's results, as the log holds it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ListedResult {
    /// The place of the sample in its step.
    pub index: u32,
    /// The sample.
    pub sample: String,
    /// What became of it.
    pub result: StoredResult,
}

impl ListedResult {
    /// Gives the part that holds its text, if it has one.
    pub fn part(&self) -> Option<PartId> {
        match &self.result {
            StoredResult::Completed { part, .. } => Some(*part),
            StoredResult::GivenUp => None,
        }
    }

    /// Puts the verdict together with the texts of parts; none if its text is not among them.
    pub fn with_text(&self, texts: &BTreeMap<PartId, Vec<String>>) -> Option<SampleResult> {
        let StoredResult::Completed { part, place, versions, score, .. } = &self.result else {
            return Some(SampleResult::GivenUp);
        };
        Some(SampleResult::Completed {
            text: texts.get(part)?.get(*place as usize)?.clone(),
            versions: versions.clone(),
            score: score.clone(),
        })
    }
}

/// What the log holds of a verdict.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum StoredResult {
    /// It was generated whole and scored.
    Completed {
        /// The part that holds its text.
        part: PartId,
        /// The place of its text there.
        place: u32,
        /// The bytes of its text.
        bytes: u32,
        /// The versions that generated events of it, oldest first.
        versions: Vec<u64>,
        /// The score, if it has a scorer.
        score: Option<String>,
    },
    /// It was given up.
    GivenUp,
}

/// What the log holds of a step; the samples are in its first part.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct StepSummary {
    /// Identifies the step.
    pub id: String,
    /// The model that generates.
    pub model: String,
    /// How many samples it has.
    pub samples: u32,
    /// Milliseconds after the submission at which a sample may be given up.
    pub age_ms: u64,
    /// The part that holds the step as it was submitted.
    pub part: PartId,
}
